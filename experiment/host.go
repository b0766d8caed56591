package experiment

import (
	"fmt"
	"math"
	"time"

	"cactuswell/core/dispatch"
	"cactuswell/core/profile"
)

// minWakeInterval is the least time until a dispatcher's next wake-up, so that virtual
// time advances even if the dispatcher requests an immediate wake-up.
const minWakeInterval = time.Millisecond

// host simulates one host: it passes events to its dispatchers and executes their
// commands in place of network connections.
type host struct {
	simulation *simulation
	number     int
	zone       string
	failed     bool
	pools      map[string]*pool
	poolNames  []string
	requests   map[dispatch.RequestID]*request
	attempts   map[dispatch.AttemptID]*attempt
	lastID     dispatch.RequestID
}

// pool is the dispatcher of one pool on a host, with counts of its requests.
type pool struct {
	dispatcher dispatch.Dispatcher
	wakeAt     time.Time
	commands   []dispatch.Command
	queued     int
	// lowerTierQueued and lowerTierRunning count the open requests below the top
	// tier: those without an attempt so far and those with at least one.
	lowerTierQueued  int
	lowerTierRunning int
}

// request is the state of a caller's request at the caller and the host.
type request struct {
	id        dispatch.RequestID
	arrival   *arrival
	arrivedAt time.Time
	// deliveredTokens is the number of tokens that the caller has received.
	deliveredTokens  int
	adoptedAttempt   *attempt
	timeToFirstToken time.Duration
	completed        bool
	refused          bool
	canceled         bool
	// hostFailed is set when the request ended because its host failed.
	hostFailed bool
	totalTime  time.Duration
	doneAt     time.Time
	attempts   int
	// liveAttempts is the number of attempts that run or wait at endpoints.
	liveAttempts int
	// startedRuns is the number of attempts that endpoints have started to run.
	startedRuns int
}

func (r *request) isDone() bool { return r.completed || r.refused || r.canceled || r.hostFailed }

func (r *request) isUrgent() bool { return r.arrival.class.Spec.Tier == profile.TierUrgent }

// recordDone records the end of a request.
func (h *host) recordDone(p *pool, r *request) {
	r.doneAt = h.simulation.now
	switch {
	case r.isUrgent():
	case r.attempts == 0:
		p.lowerTierQueued--
	default:
		p.lowerTierRunning--
	}
}

// handleArrival passes a new request to the dispatcher of its pool and schedules the
// caller's timeout.
func (h *host) handleArrival(a *arrival) {
	h.lastID++
	r := &request{
		id:        h.lastID,
		arrival:   a,
		arrivedAt: h.simulation.now,
	}
	h.requests[r.id] = r
	h.simulation.collector.requests = append(h.simulation.collector.requests, r)
	p := h.pools[a.class.Spec.Pool]
	h.addQueued(p, 1)
	if !r.isUrgent() {
		p.lowerTierQueued++
	}
	h.step(a.class.Spec.Pool, dispatch.RequestArrived{
		Request: dispatch.Request{
			ID:           r.id,
			Team:         fmt.Sprintf("team-%d", a.team),
			Profile:      h.simulation.profiles[a.class],
			PromptTokens: a.promptTokens,
			PrefixHashes: a.prefix,
			AtMostOnce:   !a.class.Spec.Idempotent,
		},
	})
	h.simulation.scheduleAfter(a.class.callerTimeout(), func() { h.cancelByCaller(r) })
}

// cancelByCaller cancels the request, unless it is done, when the caller's timeout has
// passed.
func (h *host) cancelByCaller(r *request) {
	if r.isDone() || h.failed {
		return
	}
	r.canceled = true
	h.removeQueued(r)
	h.recordDone(h.pools[r.arrival.class.Spec.Pool], r)
	h.step(r.arrival.class.Spec.Pool, dispatch.RequestCanceled{
		Request: r.id,
	})
}

func (h *host) addQueued(p *pool, change int) {
	p.queued += change
	h.simulation.collector.largestQueue = max(h.simulation.collector.largestQueue, p.queued)
}

// removeQueued removes a request that ends before its first attempt from the count of
// queued requests.
func (h *host) removeQueued(r *request) {
	if r.attempts == 0 {
		h.addQueued(h.pools[r.arrival.class.Spec.Pool], -1)
	}
}

// step passes one event to a pool's dispatcher and executes the resulting commands.
func (h *host) step(name string, event dispatch.Event) {
	if h.failed {
		return
	}
	p := h.pools[name]
	p.commands = p.dispatcher.Step(h.simulation.now, event, p.commands[:0])
	for _, command := range p.commands {
		h.execute(p, command)
	}
	h.scheduleWake(name, p)
}

func (h *host) scheduleWake(name string, p *pool) {
	at, ok := p.dispatcher.NextWake()
	if !ok {
		return
	}
	if earliest := h.simulation.now.Add(minWakeInterval); at.Before(earliest) {
		at = earliest
	}
	if !p.wakeAt.IsZero() && !at.Before(p.wakeAt) {
		return
	}
	p.wakeAt = at
	h.simulation.scheduleAt(at, func() {
		if !p.wakeAt.Equal(at) {
			return
		}
		p.wakeAt = time.Time{}
		h.step(name, dispatch.Tick{})
	})
}

func (h *host) execute(p *pool, command dispatch.Command) {
	switch command := command.(type) {
	case dispatch.StartAttempt:
		h.startAttempt(p, command)
	case dispatch.ResumeAttempt:
		h.resumeAttempt(command)
	case dispatch.AdoptAttempt:
		h.adoptAttempt(command)
	case dispatch.CancelAttempt:
		h.cancelAttempt(command.Attempt)
	case dispatch.CompleteRequest:
		h.completeRequest(p, command)
	case dispatch.RefuseRequest:
		h.refuseRequest(p, command)
	}
}

func (h *host) startAttempt(p *pool, command dispatch.StartAttempt) {
	s := h.simulation
	r := h.requests[command.Attempt.Request]
	e := s.endpointsByKey[command.Endpoint]
	if r.attempts == 0 {
		h.addQueued(p, -1)
		if !r.isUrgent() {
			p.lowerTierQueued--
			p.lowerTierRunning++
		}
	}
	r.attempts++
	r.liveAttempts++
	s.collector.recordStart(e, s.now)
	a := &attempt{
		id:        command.Attempt,
		host:      h,
		request:   r,
		endpoint:  e,
		tier:      command.Tier,
		startedAt: s.now,
	}
	h.attempts[a.id] = a
	s.scheduleAfter(s.deployment.ZoneDelay, func() { e.acceptAttempt(a) })
}

func (h *host) resumeAttempt(command dispatch.ResumeAttempt) {
	a := h.attempts[command.Attempt]
	if a == nil {
		return
	}
	h.simulation.collector.resumes++
	h.simulation.scheduleAfter(h.simulation.deployment.ZoneDelay, func() { a.endpoint.resumeStream(a) })
}

func (h *host) adoptAttempt(command dispatch.AdoptAttempt) {
	a := h.attempts[command.Attempt]
	r := h.requests[command.Attempt.Request]
	if a == nil || r == nil {
		h.simulation.collector.breaches.TokenErrors++
		return
	}
	if command.From != r.deliveredTokens {
		h.simulation.collector.breaches.TokenErrors++
	}
	r.adoptedAttempt = a
	h.deliverTokens(a)
}

func (h *host) cancelAttempt(id dispatch.AttemptID) {
	a := h.attempts[id]
	if a == nil {
		return
	}
	h.closeAttempt(a)
	h.simulation.scheduleAfter(h.simulation.deployment.ZoneDelay, func() { a.endpoint.cancelAttempt(a) })
}

func (h *host) closeAttempt(a *attempt) {
	if !a.closed {
		a.closed = true
		a.request.liveAttempts--
	}
	delete(h.attempts, a.id)
}

func (h *host) completeRequest(p *pool, command dispatch.CompleteRequest) {
	r := h.requests[command.Request]
	if r == nil || r.isDone() {
		return
	}
	if r.adoptedAttempt != nil {
		h.deliverTokens(r.adoptedAttempt)
	}
	if r.adoptedAttempt == nil || r.adoptedAttempt.id != command.Attempt || r.deliveredTokens != r.arrival.outputTokens {
		h.simulation.collector.breaches.TokenErrors++
	}
	r.completed = true
	h.recordDone(p, r)
	r.totalTime = h.simulation.now.Sub(r.arrivedAt) + 2*h.simulation.deployment.ClientDelay
}

func (h *host) refuseRequest(p *pool, command dispatch.RefuseRequest) {
	r := h.requests[command.Request]
	if r == nil || r.isDone() {
		return
	}
	h.removeQueued(r)
	r.refused = true
	h.recordDone(p, r)
	metrics := &h.simulation.collector
	metrics.refusals[command.Reason]++
	if command.Execution == dispatch.NotRun && r.startedRuns > 0 {
		metrics.breaches.NotRunButRan++
	}
	isShed := command.Reason != dispatch.RefuseOutcomeUnknown && command.Reason != dispatch.RefuseEndpointError &&
		command.Reason != dispatch.RefuseAttemptsExhausted
	if isShed && r.isUrgent() && h.canLowerTierMakeRoom(p, r.arrival.class) {
		metrics.breaches.UrgentShed++
	}
}

// canLowerTierMakeRoom reports whether requests below the top tier could make room for
// a request of the class: those that are queued, and on engines also those that run
// beyond the guaranteed shares of their classes.
func (h *host) canLowerTierMakeRoom(p *pool, class *Class) bool {
	if p.lowerTierQueued > 0 {
		return true
	}
	if class.Spec.Kind == profile.KindService {
		return false
	}
	s := h.simulation
	guaranteed := 0.0
	for i := range s.deployment.Classes {
		other := &s.deployment.Classes[i]
		if other.Spec.Pool == class.Spec.Pool && other.Spec.Tier != profile.TierUrgent {
			guaranteed += math.Ceil(other.Spec.MinShare * float64(s.deployment.poolSlots(class)) / float64(s.deployment.Hosts))
		}
	}
	return float64(p.lowerTierRunning) > guaranteed
}

// handleAttemptEvent handles a message of an attempt.
func (h *host) handleAttemptEvent(a *attempt, event dispatch.Event) {
	name := a.request.arrival.class.Spec.Pool
	switch event := event.(type) {
	case dispatch.AttemptProgressed:
		a.receivedTokens = event.Tokens
		h.step(name, event)
		h.deliverTokens(a)
	case dispatch.AttemptFinished:
		a.receivedTokens = event.Tokens
		h.step(name, event)
		h.closeAttempt(a)
	case dispatch.AttemptFailed:
		h.closeAttempt(a)
		h.step(name, event)
	default:
		h.step(name, event)
	}
}

// deliverTokens delivers the received tokens to the caller if the attempt is the
// adopted one.
func (h *host) deliverTokens(a *attempt) {
	r := a.request
	if r.adoptedAttempt != a || r.isDone() || a.receivedTokens <= r.deliveredTokens {
		return
	}
	if r.deliveredTokens == 0 {
		r.timeToFirstToken = h.simulation.now.Sub(r.arrivedAt) + 2*h.simulation.deployment.ClientDelay
	}
	r.deliveredTokens = a.receivedTokens
}
