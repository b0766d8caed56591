package dispatch_test

import (
	"math"
	"slices"
	"time"

	"cactuswell/core/dispatch"
	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
)

// failer is the part of a test that the model uses.
type failer interface {
	Fatalf(format string, args ...any)
}

// modelAttempt is the state of an attempt at its endpoint.
type modelAttempt struct {
	id           dispatch.AttemptID
	key          endpoint.Key
	running      bool
	resumed      bool
	tokens       int
	provenNotRun bool
}

// modelRequest is the state of a request at its caller.
type modelRequest struct {
	id       dispatch.RequestID
	profile  profile.Profile
	attempts []*modelAttempt
	// delivered is the number of tokens that the caller has received.
	delivered int
	adopted   *modelAttempt
	ended     bool
}

// model checks the commands of a pool against the guarantees of dispatching.
type model struct {
	t               failer
	driver          *driver
	requests        map[dispatch.RequestID]*modelRequest
	leaving         map[endpoint.Key]bool
	drained         map[endpoint.Key]bool
	canceledRequest dispatch.RequestID
	// queuedBefore counts the requests of lower tiers that were queued before
	// this step. A request whose backoff ends in the step may be queued only
	// after a refusal of the same step.
	queuedBefore map[string]int
	// brokenAttempt is the attempt whose connection broke in this step, which may be
	// resumed.
	brokenAttempt *modelAttempt
}

// step feeds one event and checks the resulting commands and the pool's state.
func (m *model) step(event dispatch.Event) {
	switch event := event.(type) {
	case dispatch.RequestArrived:
		m.requests[event.Request.ID] = &modelRequest{
			id:      event.Request.ID,
			profile: event.Request.Profile,
		}
	case dispatch.RequestCanceled:
		m.canceledRequest = event.Request
	case dispatch.EndpointLeaving:
		m.leaving[event.Key] = true
	case dispatch.EndpointDrainChanged:
		m.drained[event.Key] = event.Drained
	case dispatch.EndpointRemoved:
		m.drained[event.Key] = false
	case dispatch.LoadReported:
		m.leaving[event.Report.Key] = m.leaving[event.Report.Key] || event.Report.Leaving
	}
	m.queuedBefore = m.queuedLowerTiers()
	commands := m.driver.step(event)
	if progress, ok := event.(dispatch.AttemptProgressed); ok {
		m.checkCommands(commands)
		m.deliver(progress)
		m.checkInvariants()
		return
	}
	m.checkCommands(commands)
	if m.canceledRequest != 0 {
		m.requests[m.canceledRequest].ended = true
		m.canceledRequest = 0
	}
	m.checkInvariants()
}

// deliver delivers the tokens of an adopted attempt to the caller.
func (m *model) deliver(progress dispatch.AttemptProgressed) {
	r := m.requests[progress.Attempt.Request]
	if r.adopted == nil || r.adopted.id != progress.Attempt || r.ended || !r.adopted.running {
		return
	}
	r.delivered = max(r.delivered, progress.Tokens)
}

func (m *model) checkCommands(commands []dispatch.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case dispatch.StartAttempt:
			m.checkStart(command)
		case dispatch.ResumeAttempt:
			m.checkResume(command)
		case dispatch.AdoptAttempt:
			m.checkAdopt(command)
		case dispatch.CancelAttempt:
			m.checkCancel(command)
		case dispatch.CompleteRequest:
			m.checkComplete(command)
		case dispatch.RefuseRequest:
			m.checkRefusal(command)
		}
	}
}

func (m *model) openRequest(id dispatch.RequestID, command dispatch.Command) *modelRequest {
	r := m.requests[id]
	if r == nil || r.ended {
		m.t.Fatalf("command %+v for a request that is not open", command)
	}
	return r
}

func (m *model) runningAttempt(id dispatch.AttemptID, command dispatch.Command) (*modelRequest, *modelAttempt) {
	r := m.openRequest(id.Request, command)
	for _, a := range r.attempts {
		if a.id == id && a.running {
			return r, a
		}
	}
	m.t.Fatalf("command %+v for an attempt that is not running", command)
	return nil, nil
}

func (m *model) checkStart(command dispatch.StartAttempt) {
	r := m.openRequest(command.Attempt.Request, command)
	if m.leaving[command.Endpoint] || m.drained[command.Endpoint] {
		m.t.Fatalf("leaving endpoint was given new work: %+v", command)
	}
	if int(command.Attempt.Number) != len(r.attempts)+1 {
		m.t.Fatalf("attempt numbers have a gap: %+v after %d attempts", command, len(r.attempts))
	}
	if !r.profile.Idempotent() {
		if !command.NewConnection {
			m.t.Fatalf("non-idempotent request was sent without a fresh connection: %+v", command)
		}
		for _, a := range r.attempts {
			if !a.provenNotRun {
				m.t.Fatalf("non-idempotent request was sent again: %+v", command)
			}
		}
	}
	r.attempts = append(r.attempts, &modelAttempt{
		id:      command.Attempt,
		key:     command.Endpoint,
		running: true,
	})
}

func (m *model) checkResume(command dispatch.ResumeAttempt) {
	if m.brokenAttempt != nil && m.brokenAttempt.id == command.Attempt {
		m.brokenAttempt.running = true
	}
	_, a := m.runningAttempt(command.Attempt, command)
	if m.leaving[command.Endpoint] || m.drained[command.Endpoint] {
		m.t.Fatalf("leaving endpoint was asked to resume: %+v", command)
	}
	if a.key != command.Endpoint || a.tokens != command.From {
		m.t.Fatalf("wrong resume %+v of %+v", command, a)
	}
	a.resumed = true
}

func (m *model) checkAdopt(command dispatch.AdoptAttempt) {
	r, a := m.runningAttempt(command.Attempt, command)
	if command.From != r.delivered {
		m.t.Fatalf("%d tokens were delivered: %+v", r.delivered, command)
	}
	r.adopted = a
}

func (m *model) checkCancel(command dispatch.CancelAttempt) {
	r, a := m.runningAttempt(command.Attempt, command)
	a.running = false
	if command.Reason != dispatch.CancelPreempted {
		return
	}
	if r.profile.Tier() == profile.TierUrgent || !r.profile.Idempotent() {
		m.t.Fatalf("%+v preempts a request of tier %d", command, r.profile.Tier())
	}
}

func (m *model) checkComplete(command dispatch.CompleteRequest) {
	r, a := m.runningAttempt(command.Attempt, command)
	if r.adopted != a || a.tokens < r.delivered {
		m.t.Fatalf("completed by %+v, but %d tokens of %+v were delivered", a, r.delivered, r.adopted)
	}
	a.running = false
	m.endRequest(r)
}

func (m *model) checkRefusal(command dispatch.RefuseRequest) {
	r := m.openRequest(command.Request, command)
	provable := true
	for _, a := range r.attempts {
		provable = provable && a.provenNotRun
	}
	if (command.Execution == dispatch.NotRun) != provable {
		m.t.Fatalf("%+v, but attempts are %+v", command, r.attempts)
	}
	if command.RetryAfter <= 0 {
		m.t.Fatalf("%+v has no RetryAfter", command)
	}
	if r.profile.Tier() == profile.TierUrgent {
		m.checkUrgentRefusal(command)
	}
	m.endRequest(r)
}

// checkUrgentRefusal checks that no request of a lower tier could have made room.
func (m *model) checkUrgentRefusal(command dispatch.RefuseRequest) {
	reserve := 0
	switch command.Reason {
	case dispatch.RefuseQueueFull:
		reserve = modelReserve
	case dispatch.RefuseWaitLimit:
	case dispatch.RefuseCannotMeetLimit, dispatch.RefuseTeamQueueFull:
		m.t.Fatalf("urgent request was refused: %+v", command)
	default:
		return
	}
	for class, waiting := range m.queuedLowerTiers() {
		if command.Reason == dispatch.RefuseQueueFull {
			waiting -= m.queuedPartlyAnswered(class)
		}
		if min(waiting, m.queuedBefore[class]) > reserve {
			m.t.Fatalf("urgent request was refused while %s is queued: %+v", class, command)
		}
	}
	if command.Reason == dispatch.RefuseWaitLimit && m.lowerTierExceedsGuarantee() {
		m.t.Fatalf("urgent request was refused while a lower tier exceeds its guarantee: %+v", command)
	}
}

// queuedLowerTiers counts the queued requests of each class below the top tier.
func (m *model) queuedLowerTiers() map[string]int {
	classes := make(map[string]int)
	for _, queue := range m.driver.pool.Snapshot().Queue {
		if queue.Tier != profile.TierUrgent {
			classes[queue.Class] += queue.Viable + queue.Late
		}
	}
	return classes
}

// queuedPartlyAnswered counts the queued requests of a class whose callers have
// part of their answer. They don't count against the queue's bound, so evicting
// them would make no room.
func (m *model) queuedPartlyAnswered(class string) int {
	count := 0
	for _, r := range m.requests {
		running := slices.ContainsFunc(r.attempts, func(a *modelAttempt) bool { return a.running })
		if r.profile.Class() == class && !r.ended && !running && r.delivered > 0 {
			count++
		}
	}
	return count
}

// lowerTierExceedsGuarantee reports whether a class below the top tier holds more
// slots than its guaranteed share of all slots.
func (m *model) lowerTierExceedsGuarantee() bool {
	router := m.driver.router
	slots := float64(router.slots * len(router.endpoints))
	held := make(map[string]float64)
	for _, a := range m.runningAttempts() {
		p := m.requests[a.id.Request].profile
		held[p.Class()]++
		if p.Tier() != profile.TierUrgent && p.Idempotent() && held[p.Class()] > math.Ceil(p.MinShare()*slots) {
			return true
		}
	}
	return false
}

func (m *model) endRequest(r *modelRequest) {
	for _, a := range r.attempts {
		if a.running {
			m.t.Fatalf("request %d ended while attempt %+v was running", r.id, a)
		}
	}
	r.ended = true
}

// runningAttempts returns the running attempts in order of their IDs.
func (m *model) runningAttempts() []*modelAttempt {
	var running []*modelAttempt
	for _, r := range m.requests {
		for _, a := range r.attempts {
			if a.running {
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

func (m *model) checkInvariants() {
	open := 0
	for _, r := range m.requests {
		if !r.ended {
			open++
		}
	}
	if got := m.driver.pool.OpenRequests(); got != open {
		m.t.Fatalf("%d requests are open, but the pool reports %d", open, got)
	}
	running := len(m.runningAttempts())
	if router := m.driver.router; router.sent-router.ended != running {
		m.t.Fatalf("%d attempts are running, but %d were reported to the router", running, router.sent-router.ended)
	}
	counters := m.driver.pool.Counters()
	if further := counters.Retries + counters.Hedges + counters.Restarts; 10*further > counters.FirstAttempts {
		m.t.Fatalf("%d further attempts for %d first attempts", further, counters.FirstAttempts)
	}
	bound := modelMaxQueued + modelClasses*modelReserve + int(counters.FirstAttempts)/10
	if queued := m.driver.pool.QueuedRequests(); queued > bound {
		m.t.Fatalf("%d requests are queued; want at most %d", queued, bound)
	}
	if at, ok := m.driver.pool.NextWake(); open > 0 && !ok {
		m.t.Fatalf("%d requests are open, but no wake-up is due (%v)", open, at)
	}
}

// advance advances the time, with a step whenever the pool's NextWake is due.
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
