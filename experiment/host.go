package experiment

import (
	"fmt"
	"math"
	"time"

	"cactuswell/core/dispatch"
	"cactuswell/core/profile"
)

// leastWake keeps a dispatcher's wakes from standing still.
const leastWake = time.Millisecond

// host plays the part of one host's sockets around its dispatchers.
type host struct {
	simulation *simulation
	number     int
	zone       string
	lost       bool
	pools      map[string]*pool
	poolNames  []string
	requests   map[dispatch.RequestID]*request
	attempts   map[dispatch.AttemptID]*attempt
	nextID     dispatch.RequestID
}

// pool is one dispatcher of a host.
type pool struct {
	dispatcher dispatch.Dispatcher
	wakeAt     time.Time
	commands   []dispatch.Command
	waiting    int
	// lowerWaiting and lowerRunning count the requests below the top tier that
	// have not been sent, and those that have, until they end.
	lowerWaiting int
	lowerRunning int
}

// request is a caller's request as the caller and the host see it.
type request struct {
	id        dispatch.RequestID
	arrival   *arrival
	arrivedAt time.Time
	// delivered is how many tokens the caller has.
	delivered  int
	adopted    *attempt
	firstToken time.Duration
	completed  bool
	refused    bool
	canceled   bool
	// lost marks a request whose host was lost.
	lost     bool
	tookAll  time.Duration
	endedAt  time.Time
	attempts int
	// live is how many attempts run or wait at endpoints.
	live int
	// runs is how many attempts began to run.
	runs int
}

func (r *request) ended() bool { return r.completed || r.refused || r.canceled || r.lost }

func (r *request) isUrgent() bool { return r.arrival.class.Spec.Tier == profile.TierUrgent }

// end counts a request that has ended.
func (h *host) end(p *pool, r *request) {
	r.endedAt = h.simulation.now
	switch {
	case r.isUrgent():
	case r.attempts == 0:
		p.lowerWaiting--
	default:
		p.lowerRunning--
	}
}

// arrive takes a new request.
func (h *host) arrive(a *arrival) {
	h.nextID++
	r := &request{
		id:        h.nextID,
		arrival:   a,
		arrivedAt: h.simulation.now,
	}
	h.requests[r.id] = r
	h.simulation.meter.requests = append(h.simulation.meter.requests, r)
	p := h.pools[a.class.Spec.Pool]
	h.addWaiting(p, 1)
	if !r.isUrgent() {
		p.lowerWaiting++
	}
	h.step(a.class.Spec.Pool, dispatch.RequestArrived{
		Request: dispatch.Request{
			ID:           r.id,
			Team:         fmt.Sprintf("team-%d", a.team),
			Profile:      h.simulation.profiles[a.class],
			PromptTokens: a.promptTokens,
			Prefix:       a.prefix,
			AtMostOnce:   !a.class.Spec.Idempotent,
		},
	})
	h.simulation.after(a.class.patience(), func() { h.giveUp(r) })
}

// giveUp lets the caller go away.
func (h *host) giveUp(r *request) {
	if r.ended() || h.lost {
		return
	}
	r.canceled = true
	h.leaveQueue(r)
	h.end(h.pools[r.arrival.class.Spec.Pool], r)
	h.step(r.arrival.class.Spec.Pool, dispatch.RequestCanceled{
		Request: r.id,
	})
}

func (h *host) addWaiting(p *pool, change int) {
	p.waiting += change
	h.simulation.meter.largestQueue = max(h.simulation.meter.largestQueue, p.waiting)
}

// leaveQueue counts a request that ends before its first attempt.
func (h *host) leaveQueue(r *request) {
	if r.attempts == 0 {
		h.addWaiting(h.pools[r.arrival.class.Spec.Pool], -1)
	}
}

// step feeds one event and carries out what follows.
func (h *host) step(name string, event dispatch.Event) {
	if h.lost {
		return
	}
	p := h.pools[name]
	p.commands = p.dispatcher.Step(h.simulation.now, event, p.commands[:0])
	for _, command := range p.commands {
		h.execute(p, command)
	}
	h.planWake(name, p)
}

func (h *host) planWake(name string, p *pool) {
	at, ok := p.dispatcher.NextWake()
	if !ok {
		return
	}
	if earliest := h.simulation.now.Add(leastWake); at.Before(earliest) {
		at = earliest
	}
	if !p.wakeAt.IsZero() && !at.Before(p.wakeAt) {
		return
	}
	p.wakeAt = at
	h.simulation.at(at, func() {
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
		h.start(p, command)
	case dispatch.ResumeAttempt:
		h.resume(command)
	case dispatch.AdoptAttempt:
		h.adopt(command)
	case dispatch.CancelAttempt:
		h.cancel(command.Attempt)
	case dispatch.CompleteRequest:
		h.complete(p, command)
	case dispatch.RefuseRequest:
		h.refuse(p, command)
	}
}

func (h *host) start(p *pool, command dispatch.StartAttempt) {
	s := h.simulation
	r := h.requests[command.Attempt.Request]
	e := s.byKey[command.Endpoint]
	if r.attempts == 0 {
		h.addWaiting(p, -1)
		if !r.isUrgent() {
			p.lowerWaiting--
			p.lowerRunning++
		}
	}
	r.attempts++
	r.live++
	s.meter.started(e, s.now)
	a := &attempt{
		id:        command.Attempt,
		host:      h,
		request:   r,
		engine:    e,
		tier:      command.Tier,
		startedAt: s.now,
	}
	h.attempts[a.id] = a
	s.after(s.deployment.ZoneDelay, func() { e.start(a) })
}

func (h *host) resume(command dispatch.ResumeAttempt) {
	a := h.attempts[command.Attempt]
	if a == nil {
		return
	}
	h.simulation.meter.resumes++
	h.simulation.after(h.simulation.deployment.ZoneDelay, func() { a.engine.resume(a) })
}

func (h *host) adopt(command dispatch.AdoptAttempt) {
	a := h.attempts[command.Attempt]
	r := h.requests[command.Attempt.Request]
	if a == nil || r == nil {
		h.simulation.meter.breaches.TokenErrors++
		return
	}
	if command.From != r.delivered {
		h.simulation.meter.breaches.TokenErrors++
	}
	r.adopted = a
	h.deliver(a)
}

func (h *host) cancel(id dispatch.AttemptID) {
	a := h.attempts[id]
	if a == nil {
		return
	}
	h.close(a)
	h.simulation.after(h.simulation.deployment.ZoneDelay, func() { a.engine.cancel(a) })
}

func (h *host) close(a *attempt) {
	if !a.closed {
		a.closed = true
		a.request.live--
	}
	delete(h.attempts, a.id)
}

func (h *host) complete(p *pool, command dispatch.CompleteRequest) {
	r := h.requests[command.Request]
	if r == nil || r.ended() {
		return
	}
	if r.adopted != nil {
		h.deliver(r.adopted)
	}
	if r.adopted == nil || r.adopted.id != command.Attempt || r.delivered != r.arrival.outputTokens {
		h.simulation.meter.breaches.TokenErrors++
	}
	r.completed = true
	h.end(p, r)
	r.tookAll = h.simulation.now.Sub(r.arrivedAt) + 2*h.simulation.deployment.ClientDelay
}

func (h *host) refuse(p *pool, command dispatch.RefuseRequest) {
	r := h.requests[command.Request]
	if r == nil || r.ended() {
		return
	}
	h.leaveQueue(r)
	r.refused = true
	h.end(p, r)
	meter := &h.simulation.meter
	meter.refusals[command.Reason]++
	if command.Execution == dispatch.NotRun && r.runs > 0 {
		meter.breaches.NotRunButRan++
	}
	shed := command.Reason != dispatch.RefuseOutcomeUnknown && command.Reason != dispatch.RefuseEndpointError &&
		command.Reason != dispatch.RefuseAttemptsExhausted
	if shed && r.isUrgent() && h.lowerCouldMakeRoom(p, r.arrival.class) {
		meter.breaches.UrgentShed++
	}
}

// lowerCouldMakeRoom reports whether lower work waits, or runs where it could
// make room for the class: on an engine, beyond the guaranteed shares.
func (h *host) lowerCouldMakeRoom(p *pool, class *Class) bool {
	if p.lowerWaiting > 0 {
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
			guaranteed += math.Ceil(other.Spec.MinShare * float64(s.deployment.slots(class)) / float64(s.deployment.Hosts))
		}
	}
	return float64(p.lowerRunning) > guaranteed
}

// hear takes a message of an attempt.
func (h *host) hear(a *attempt, event dispatch.Event) {
	name := a.request.arrival.class.Spec.Pool
	switch event := event.(type) {
	case dispatch.AttemptProgressed:
		a.arrived = event.Tokens
		h.step(name, event)
		h.deliver(a)
	case dispatch.AttemptFinished:
		a.arrived = event.Tokens
		h.step(name, event)
		h.close(a)
	case dispatch.AttemptFailed:
		h.close(a)
		h.step(name, event)
	default:
		h.step(name, event)
	}
}

// deliver gives the caller the tokens that have arrived, if the attempt is the
// adopted one.
func (h *host) deliver(a *attempt) {
	r := a.request
	if r.adopted != a || r.ended() || a.arrived <= r.delivered {
		return
	}
	if r.delivered == 0 {
		r.firstToken = h.simulation.now.Sub(r.arrivedAt) + 2*h.simulation.deployment.ClientDelay
	}
	r.delivered = a.arrived
}
