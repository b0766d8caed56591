package dispatch_test

import (
	"math"
	"slices"
	"time"

	"cactuswell/core/dispatch"
	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
)

// reporter is what the model needs of a test.
type reporter interface {
	Fatalf(format string, args ...any)
}

// modelAttempt is an attempt as the endpoints see it.
type modelAttempt struct {
	id       dispatch.AttemptID
	key      endpoint.Key
	alive    bool
	resumed  bool
	tokens   int
	provable bool
}

// modelRequest is a request as its caller sees it.
type modelRequest struct {
	id       dispatch.RequestID
	profile  profile.Profile
	attempts []*modelAttempt
	// heard is the number of tokens that the caller has, in order.
	heard   int
	adopted *modelAttempt
	ended   bool
}

// model checks the commands of a pool against what the brief promises.
type model struct {
	t        reporter
	driver   *driver
	requests map[dispatch.RequestID]*modelRequest
	leaving  map[endpoint.Key]bool
	drained  map[endpoint.Key]bool
	canceled dispatch.RequestID
	// waitedBefore counts the lower work that waited before this step. What comes
	// out of a delay within the step may do so after a refusal.
	waitedBefore map[string]int
	// broken is the attempt whose connection broke in this step, which may be
	// resumed.
	broken *modelAttempt
}

// step feeds one event and checks everything that follows.
func (m *model) step(event dispatch.Event) {
	switch event := event.(type) {
	case dispatch.RequestArrived:
		m.requests[event.Request.ID] = &modelRequest{
			id:      event.Request.ID,
			profile: event.Request.Profile,
		}
	case dispatch.RequestCanceled:
		m.canceled = event.Request
	case dispatch.EndpointLeaving:
		m.leaving[event.Key] = true
	case dispatch.EndpointDrainChanged:
		m.drained[event.Key] = event.Drained
	case dispatch.EndpointRemoved:
		m.drained[event.Key] = false
	case dispatch.LoadReported:
		m.leaving[event.Report.Key] = m.leaving[event.Report.Key] || event.Report.Leaving
	}
	m.waitedBefore = m.lowerWaiting()
	commands := m.driver.step(event)
	if progress, ok := event.(dispatch.AttemptProgressed); ok {
		m.check(commands)
		m.hear(progress)
		m.invariants()
		return
	}
	m.check(commands)
	if m.canceled != 0 {
		m.requests[m.canceled].ended = true
		m.canceled = 0
	}
	m.invariants()
}

// hear gives the caller the tokens of an attempt that was adopted.
func (m *model) hear(progress dispatch.AttemptProgressed) {
	r := m.requests[progress.Attempt.Request]
	if r.adopted == nil || r.adopted.id != progress.Attempt || r.ended || !r.adopted.alive {
		return
	}
	r.heard = max(r.heard, progress.Tokens)
}

func (m *model) check(commands []dispatch.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case dispatch.StartAttempt:
			m.started(command)
		case dispatch.ResumeAttempt:
			m.resumed(command)
		case dispatch.AdoptAttempt:
			m.adopted(command)
		case dispatch.CancelAttempt:
			m.canceledAttempt(command)
		case dispatch.CompleteRequest:
			m.completed(command)
		case dispatch.RefuseRequest:
			m.refused(command)
		}
	}
}

func (m *model) open(id dispatch.RequestID, command dispatch.Command) *modelRequest {
	r := m.requests[id]
	if r == nil || r.ended {
		m.t.Fatalf("command %+v for a request that is not open", command)
	}
	return r
}

func (m *model) attempt(id dispatch.AttemptID, command dispatch.Command) (*modelRequest, *modelAttempt) {
	r := m.open(id.Request, command)
	for _, a := range r.attempts {
		if a.id == id && a.alive {
			return r, a
		}
	}
	m.t.Fatalf("command %+v for an attempt that is not running", command)
	return nil, nil
}

func (m *model) started(command dispatch.StartAttempt) {
	r := m.open(command.Attempt.Request, command)
	if m.leaving[command.Endpoint] || m.drained[command.Endpoint] {
		m.t.Fatalf("leaving endpoint was given new work: %+v", command)
	}
	if int(command.Attempt.Number) != len(r.attempts)+1 {
		m.t.Fatalf("attempt numbers have a gap: %+v after %d", command, len(r.attempts))
	}
	if !r.profile.Idempotent() {
		if !command.Fresh {
			m.t.Fatalf("non-idempotent request without a fresh connection: %+v", command)
		}
		for _, a := range r.attempts {
			if !a.provable {
				m.t.Fatalf("non-idempotent request sent again: %+v", command)
			}
		}
	}
	r.attempts = append(r.attempts, &modelAttempt{
		id:    command.Attempt,
		key:   command.Endpoint,
		alive: true,
	})
}

func (m *model) resumed(command dispatch.ResumeAttempt) {
	if m.broken != nil && m.broken.id == command.Attempt {
		m.broken.alive = true
	}
	_, a := m.attempt(command.Attempt, command)
	if m.leaving[command.Endpoint] || m.drained[command.Endpoint] {
		m.t.Fatalf("leaving endpoint was asked to resume: %+v", command)
	}
	if a.key != command.Endpoint || a.tokens != command.From {
		m.t.Fatalf("wrong resume %+v of %+v", command, a)
	}
	a.resumed = true
}

func (m *model) adopted(command dispatch.AdoptAttempt) {
	r, a := m.attempt(command.Attempt, command)
	if command.From != r.heard {
		m.t.Fatalf("caller has %d tokens: %+v", r.heard, command)
	}
	r.adopted = a
}

func (m *model) canceledAttempt(command dispatch.CancelAttempt) {
	r, a := m.attempt(command.Attempt, command)
	a.alive = false
	if command.Reason != dispatch.CancelPreempted {
		return
	}
	if r.profile.Tier() == profile.TierUrgent || !r.profile.Idempotent() {
		m.t.Fatalf("preempted %+v of tier %d", command, r.profile.Tier())
	}
}

func (m *model) completed(command dispatch.CompleteRequest) {
	r, a := m.attempt(command.Attempt, command)
	if r.adopted != a || a.tokens < r.heard {
		m.t.Fatalf("completed by %+v, caller heard %d of %+v", a, r.heard, r.adopted)
	}
	a.alive = false
	m.end(r)
}

func (m *model) refused(command dispatch.RefuseRequest) {
	r := m.open(command.Request, command)
	provable := true
	for _, a := range r.attempts {
		provable = provable && a.provable
	}
	if (command.Execution == dispatch.NotRun) != provable {
		m.t.Fatalf("%+v, but attempts are %+v", command, r.attempts)
	}
	if command.RetryAfter <= 0 {
		m.t.Fatalf("%+v names no time to come back", command)
	}
	if r.profile.Tier() == profile.TierUrgent {
		m.urgentRefused(command)
	}
	m.end(r)
}

// urgentRefused checks that no lower work was there that could have made room.
func (m *model) urgentRefused(command dispatch.RefuseRequest) {
	reserve := 0
	switch command.Reason {
	case dispatch.RefuseQueueFull:
		reserve = modelReserve
	case dispatch.RefuseWaitLimit:
	case dispatch.RefuseCannotMeetLimit, dispatch.RefuseTeamQueueFull:
		m.t.Fatalf("urgent request refused: %+v", command)
	default:
		return
	}
	for class, waiting := range m.lowerWaiting() {
		if command.Reason == dispatch.RefuseQueueFull {
			waiting -= m.partlyAnswered(class)
		}
		if min(waiting, m.waitedBefore[class]) > reserve {
			m.t.Fatalf("urgent request refused while %s waits: %+v", class, command)
		}
	}
	if command.Reason == dispatch.RefuseWaitLimit && m.lowerRunning() {
		m.t.Fatalf("urgent request refused while lower work runs: %+v", command)
	}
}

// lowerWaiting counts the queued requests of each class below the top tier.
func (m *model) lowerWaiting() map[string]int {
	classes := make(map[string]int)
	for _, queue := range m.driver.pool.Snapshot().Queue {
		if queue.Tier != profile.TierUrgent {
			classes[queue.Class] += queue.Viable + queue.Late
		}
	}
	return classes
}

// partlyAnswered counts the waiting requests of a class whose callers have part of
// their answer. They lie outside the queue's bound, so that they make no room.
func (m *model) partlyAnswered(class string) int {
	count := 0
	for _, r := range m.requests {
		running := slices.ContainsFunc(r.attempts, func(a *modelAttempt) bool { return a.alive })
		if r.profile.Class() == class && !r.ended && !running && r.heard > 0 {
			count++
		}
	}
	return count
}

// lowerRunning reports whether a class below the top tier holds more slots than
// its guaranteed share of all slots.
func (m *model) lowerRunning() bool {
	router := m.driver.router
	slots := float64(router.slots * len(router.endpoints))
	held := make(map[string]float64)
	for _, a := range m.running() {
		p := m.requests[a.id.Request].profile
		held[p.Class()]++
		if p.Tier() != profile.TierUrgent && p.Idempotent() && held[p.Class()] > math.Ceil(p.MinShare()*slots) {
			return true
		}
	}
	return false
}

func (m *model) end(r *modelRequest) {
	for _, a := range r.attempts {
		if a.alive {
			m.t.Fatalf("request %d ended while attempt %+v runs", r.id, a)
		}
	}
	r.ended = true
}

// running returns the running attempts in the order of their requests.
func (m *model) running() []*modelAttempt {
	var running []*modelAttempt
	for _, r := range m.requests {
		for _, a := range r.attempts {
			if a.alive {
				running = append(running, a)
			}
		}
	}
	slices.SortFunc(running, func(a, b *modelAttempt) int {
		if a.id.Request != b.id.Request {
			return int(a.id.Request) - int(b.id.Request)
		}
		return int(a.id.Number) - int(b.id.Number)
	})
	return running
}

func (m *model) invariants() {
	open := 0
	for _, r := range m.requests {
		if !r.ended {
			open++
		}
	}
	if got := m.driver.pool.OpenRequests(); got != open {
		m.t.Fatalf("%d requests open, pool says %d", open, got)
	}
	running := len(m.running())
	if router := m.driver.router; router.sent-router.ended != running {
		m.t.Fatalf("%d attempts run, router was told of %d", running, router.sent-router.ended)
	}
	counters := m.driver.pool.Counters()
	if further := counters.Retries + counters.Hedges + counters.Restarts; 10*further > counters.FirstAttempts {
		m.t.Fatalf("%d further attempts for %d first ones", further, counters.FirstAttempts)
	}
	bound := modelMaxQueued + modelClasses*modelReserve + int(counters.FirstAttempts)/10
	if queued := m.driver.pool.QueuedRequests(); queued > bound {
		m.t.Fatalf("%d requests queued, bound is %d", queued, bound)
	}
	if at, ok := m.driver.pool.NextWake(); open > 0 && !ok {
		m.t.Fatalf("%d requests open and no wake-up is due (%v)", open, at)
	}
}

// advance lets time pass, step by step.
func (m *model) advance(duration time.Duration) {
	end := m.driver.now.Add(duration)
	for {
		at, ok := m.driver.pool.NextWake()
		if !ok || at.After(end) {
			break
		}
		if at.After(m.driver.now) {
			m.driver.now = at
		}
		m.step(dispatch.Tick{})
	}
	m.driver.now = end
	m.step(dispatch.Tick{})
}
