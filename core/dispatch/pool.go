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
	// dispatchRetryInterval is how long the pool waits before it queries the router
	// again after no endpoint had room, if no event comes first.
	dispatchRetryInterval = 100 * time.Millisecond
	// slotsRefreshInterval is the maximum age of the cached number of slots.
	slotsRefreshInterval = 100 * time.Millisecond
	// maxFreeRecords bounds the request and attempt records kept for reuse.
	maxFreeRecords = 4096
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
	// preemptible holds the running attempts of each tier that may be preempted.
	preemptible [profile.TierCount]attemptList
	histories   histories
	excluded    excludedEndpoints
	decisionLog decisionLog
	counters    Counters
	query       routing.Request
	// blockedTier is the highest tier for which no endpoint had room, or
	// profile.TierCount if there is none.
	blockedTier           profile.Tier
	blockedAt             time.Time
	slotsRefreshedAt      time.Time
	ownSlots              int
	preemptionPausedUntil time.Time
	backingOff            int
	running               int
	draining              bool

	// now and commands belong to the current call of Step.
	now          time.Time
	commands     []Command
	freeRequests []*request
	freeAttempts []*attempt
}

var _ Dispatcher = (*Pool)(nil)

// New returns a pool without endpoints. It replaces settings that are out of
// range by the defaults; see Settings.Check. random is the pool's only source of
// randomness.
func New(settings Settings, router Router, random *rand.Rand) *Pool {
	settings = settings.withDefaults()
	return &Pool{
		settings:    settings,
		router:      router,
		random:      random,
		queue:       admission.New(settings.Queue),
		budget:      retry.NewBudget(settings.RetryShare),
		requests:    make(map[RequestID]*request),
		timers:      heap.New(timerEarlier, setTimerIndex),
		histories:   newHistories(),
		excluded:    newExcludedEndpoints(),
		decisionLog: newDecisionLog(settings.JournalSize),
		counters: Counters{
			Refused: make(map[RefuseReason]uint64),
		},
		blockedTier: profile.TierCount,
	}
}

// Step implements Dispatcher.
func (p *Pool) Step(now time.Time, event Event, commands []Command) []Command {
	p.now = now
	p.commands = commands
	p.handleEvent(event)
	p.runPeriodicWork()
	p.runTimers()
	p.dispatchWaiting()
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
		at, ok = earliest(at, ok, p.blockedAt.Add(dispatchRetryInterval))
	}
	return at, ok
}

func earliest(at time.Time, ok bool, other time.Time) (time.Time, bool) {
	if !ok || other.Before(at) {
		return other, true
	}
	return at, true
}

func (p *Pool) handleEvent(event Event) {
	switch event := event.(type) {
	case RequestArrived:
		p.handleArrival(event.Request)
	case RequestCanceled:
		p.handleCancel(event.Request)
	case AttemptAccepted:
		p.handleAccepted(event.Attempt)
	case AttemptProgressed:
		p.handleProgress(event.Attempt, event.Tokens)
	case AttemptFinished:
		p.handleFinished(event.Attempt, event.Tokens)
	case AttemptFailed:
		p.handleFailed(event.Attempt, event.Failure)
	case DrainStarted:
		p.draining = true
	case Tick:
	default:
		p.handleEndpointEvent(event)
	}
}

// handleEndpointEvent handles events about endpoints and about the hosts that
// share them.
func (p *Pool) handleEndpointEvent(event Event) {
	switch event := event.(type) {
	case EndpointAdded:
		p.router.AddEndpoint(p.now, event.Descriptor)
		if p.excluded.leaving.has(event.Descriptor.Key) {
			p.router.MarkLeaving(p.now, event.Descriptor.Key)
		}
		p.clearBlockedTier()
	case EndpointLeaving:
		p.markLeaving(event.Key)
	case EndpointDrainChanged:
		p.excluded.setDrained(event.Key, event.Drained)
		p.router.SetDrained(p.now, event.Key, event.Drained)
		p.clearBlockedTier()
	case EndpointRemoved:
		p.excluded.setDrained(event.Key, false)
		p.router.RemoveEndpoint(p.now, event.Key)
	case LoadReported:
		p.router.ReportLoad(p.now, event.Report)
		if event.Report.Leaving {
			p.markLeaving(event.Report.Key)
		}
		p.clearBlockedTier()
	case CacheChanged:
		p.router.ApplyCache(p.now, event.Update)
	case HostCountChanged:
		p.router.SetHostCount(p.now, event.Hosts)
		p.clearBlockedTier()
	}
}

func (p *Pool) runPeriodicWork() {
	p.refreshSlots()
	if at, ok := p.router.NextWake(); ok && !at.After(p.now) {
		p.router.Tick(p.now)
		p.clearBlockedTier()
	}
	if !p.now.Before(p.blockedAt.Add(dispatchRetryInterval)) {
		p.clearBlockedTier()
	}
}

// refreshSlots updates this host's share of the pool's slots at most once per
// slotsRefreshInterval.
func (p *Pool) refreshSlots() {
	if p.now.Before(p.slotsRefreshedAt.Add(slotsRefreshInterval)) {
		return
	}
	p.slotsRefreshedAt = p.now
	p.ownSlots, _ = p.router.Capacity()
	p.queue.SetSlots(p.ownSlots, p.running)
}

// clearBlockedTier is called when an endpoint may have room again.
func (p *Pool) clearBlockedTier() {
	p.blockedTier = profile.TierCount
}

// setTimer sets the timer of a request; each request has only one.
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
			p.handleWaitTimeout(r)
		case phaseBackoff:
			p.finishBackoff(r)
		case phaseRunning:
			p.checkRunning(r)
		}
	}
}
