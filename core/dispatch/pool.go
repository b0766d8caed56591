package dispatch

import (
	"math/rand/v2"
	"time"

	"cactuswell/core/admission"
	"cactuswell/core/heap"
	"cactuswell/core/profile"
	"cactuswell/core/retry"
	"cactuswell/core/routing"
)

const (
	// retryPumpAfter is how long a queue that found no endpoint waits before it
	// asks the router again, if no event comes first.
	retryPumpAfter = 100 * time.Millisecond
	// refreshSlotsAfter is how old the known number of slots may grow.
	refreshSlotsAfter = 100 * time.Millisecond
	// maxFree bounds the records kept for reuse.
	maxFree = 4096
)

// Pool is the dispatcher of one pool of endpoints on one host.
type Pool struct {
	settings Settings
	router   Router
	random   *rand.Rand
	queue    *admission.Queue
	budget   *retry.Budget
	requests map[RequestID]*request
	timers   heap.Heap[*request]
	// preemptible holds the running attempts that may be preempted, by tier.
	preemptible [profile.TierCount]attemptList
	histories   histories
	closed      closedKeys
	journal     journal
	counters    Counters
	ask         routing.Request
	// blocked is the highest tier known to find no endpoint with room, or
	// profile.TierCount.
	blocked    profile.Tier
	blockedAt  time.Time
	slotsAt    time.Time
	slots      int
	preemptAt  time.Time
	backingOff int
	running    int
	draining   bool

	// now and commands are those of the current step.
	now          time.Time
	commands     []Command
	freeRequests []*request
	freeAttempts []*attempt
}

var _ Dispatcher = (*Pool)(nil)

// New returns a pool without endpoints. Settings that are out of range are
// taken as the defaults; see Settings.Check. The pool takes its randomness from
// random only.
func New(settings Settings, router Router, random *rand.Rand) *Pool {
	settings = settings.withDefaults()
	return &Pool{
		settings:  settings,
		router:    router,
		random:    random,
		queue:     admission.New(settings.Queue),
		budget:    retry.NewBudget(settings.RetryShare),
		requests:  make(map[RequestID]*request),
		timers:    heap.New(requestEarlier, placeRequest),
		histories: newHistories(),
		closed:    newClosedKeys(),
		journal:   newJournal(settings.JournalSize),
		counters: Counters{
			Refused: make(map[RefuseReason]uint64),
		},
		blocked: profile.TierCount,
	}
}

// Step implements Dispatcher.
func (p *Pool) Step(now time.Time, event Event, commands []Command) []Command {
	p.now = now
	p.commands = commands
	p.handle(event)
	p.tick()
	p.runTimers()
	p.pump()
	p.counters.LargestQueue = max(p.counters.LargestQueue, p.queue.Len())
	commands = p.commands
	p.commands = nil
	return commands
}

// NextWake implements Dispatcher.
func (p *Pool) NextWake() (time.Time, bool) {
	at, ok := p.router.NextWake()
	if p.timers.Len() > 0 {
		at, ok = earliest(at, ok, p.timers.Top().timerAt)
	}
	if p.queue.Len() > 0 {
		at, ok = earliest(at, ok, p.blockedAt.Add(retryPumpAfter))
	}
	return at, ok
}

func earliest(at time.Time, ok bool, other time.Time) (time.Time, bool) {
	if !ok || other.Before(at) {
		return other, true
	}
	return at, true
}

func (p *Pool) handle(event Event) {
	switch event := event.(type) {
	case RequestArrived:
		p.arrive(event.Request)
	case RequestCanceled:
		p.cancel(event.Request)
	case AttemptAccepted:
		p.accepted(event.Attempt)
	case AttemptProgressed:
		p.progressed(event.Attempt, event.Tokens)
	case AttemptFinished:
		p.finished(event.Attempt, event.Tokens)
	case AttemptFailed:
		p.failed(event.Attempt, event.Failure)
	case DrainStarted:
		p.draining = true
	case Tick:
	default:
		p.handleEndpoint(event)
	}
}

// handleEndpoint handles the events of endpoints and of the host list.
func (p *Pool) handleEndpoint(event Event) {
	switch event := event.(type) {
	case EndpointAdded:
		p.router.AddEndpoint(p.now, event.Descriptor)
		if p.closed.leaving.has(event.Descriptor.Key) {
			p.router.MarkLeaving(p.now, event.Descriptor.Key)
		}
		p.unblock()
	case EndpointLeaving:
		p.markLeaving(event.Key)
	case EndpointDrainChanged:
		p.closed.setDrained(event.Key, event.Drained)
		p.router.SetDrained(p.now, event.Key, event.Drained)
		p.unblock()
	case EndpointRemoved:
		p.closed.setDrained(event.Key, false)
		p.router.RemoveEndpoint(p.now, event.Key)
	case LoadReported:
		p.router.ReportLoad(p.now, event.Report)
		if event.Report.Leaving {
			p.markLeaving(event.Report.Key)
		}
		p.unblock()
	case CacheChanged:
		p.router.ApplyCache(p.now, event.Update)
	case HostsCounted:
		p.router.SetHosts(p.now, event.Hosts)
		p.unblock()
	}
}

func (p *Pool) tick() {
	p.refreshSlots()
	if at, ok := p.router.NextWake(); ok && !at.After(p.now) {
		p.router.Tick(p.now)
		p.unblock()
	}
	if !p.now.Before(p.blockedAt.Add(retryPumpAfter)) {
		p.unblock()
	}
}

// refreshSlots asks the router now and then for this host's share of the slots.
func (p *Pool) refreshSlots() {
	if p.now.Before(p.slotsAt.Add(refreshSlotsAfter)) {
		return
	}
	p.slotsAt = p.now
	p.slots, _ = p.router.Capacity()
	p.queue.SetSlots(p.slots, p.running)
}

// unblock says that an endpoint may have room again.
func (p *Pool) unblock() {
	p.blocked = profile.TierCount
}

// setTimer arms the one timer of a request.
func (p *Pool) setTimer(r *request, at time.Time) {
	r.timerAt = at
	if r.timerIndex == heap.NoIndex {
		p.timers.Push(r)
		return
	}
	p.timers.Fix(r.timerIndex)
}

func (p *Pool) runTimers() {
	for p.timers.Len() > 0 {
		r := p.timers.Top()
		if r.timerAt.After(p.now) {
			return
		}
		p.timers.Remove(r.timerIndex)
		switch r.phase {
		case phaseQueued:
			p.waitedTooLong(r)
		case phaseBackoff:
			p.backoffOver(r)
		case phaseRunning:
			p.checkRunning(r)
		}
	}
}
