package host

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"cactuswell/core/dispatch"
	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
	"cactuswell/core/routing"
	"cactuswell/io/caller"
	"cactuswell/io/claims"
	"cactuswell/io/engine"
	"cactuswell/io/service"
	"cactuswell/metrics"
	"cactuswell/ring"
	"cactuswell/timer"
)

const (
	// arrivalCapacity bounds the new calls of one tier that wait for the duty.
	arrivalCapacity = 2048
	// eventCapacity bounds the events that wait for the duty.
	eventCapacity = 65536
	// eventRetryDelay is the delay before post retries when the event ring is
	// full.
	eventRetryDelay = 5 * time.Millisecond
	// commandCapacity is the initial capacity for the commands that result from
	// one event.
	commandCapacity = 16
)

// clients are the clients of endpoints. The client in watching polls load reports
// and cache events.
type clients struct {
	engine   *engine.Client
	service  *service.Client
	watching *engine.Client
	close    func()
}

// poolDependencies are the dependencies of a pool.
type poolDependencies struct {
	name             string
	instanceID       string
	newStateMachines func() stateMachines
	clients          clients
	baseURL          func(address string) string
	timers           *timer.Service
	logger           log.Logger
	counters         *metrics.Counters
	callIDs          *atomic.Uint64
	// restore is called after a panic, when the state machines were replaced by
	// new ones.
	restore func(p *pool)
}

// pool is the duty that owns the state machines for one model or plain service.
type pool struct {
	poolDependencies
	arrivals [profile.TierCount]*ring.Ring[*call]
	events   *ring.Ring[any]
	signal   ring.Signal
	attempts sync.WaitGroup
	// stopped is closed when the duty has ended, will not be restarted and reads
	// no more events.
	stopped chan struct{}

	machines  stateMachines
	calls     map[dispatch.RequestID]*call
	addresses map[endpoint.Key]string
	commands  []dispatch.Command
	// restoreEvents are the events that a restarted duty handles first.
	restoreEvents []dispatch.Event
	openCount     atomic.Int64
}

// progressEvent means that an attempt received tokens.
type progressEvent struct {
	attempt *attempt
}

// inspection requests that the duty runs a function between two events.
type inspection struct {
	inspect func(*stateMachines)
	done    chan struct{}
}

// stateMachines are the state machines that decide for one pool.
type stateMachines struct {
	pool   *dispatch.Pool
	router *routing.Router
}

func newPool(dependencies poolDependencies) *pool {
	signal := ring.NewSignal()
	p := &pool{
		poolDependencies: dependencies,
		events:           ring.NewWithSignal[any](eventCapacity, signal),
		signal:           signal,
		stopped:          make(chan struct{}),
		calls:            make(map[dispatch.RequestID]*call),
		addresses:        make(map[endpoint.Key]string),
		commands:         make([]dispatch.Command, 0, commandCapacity),
	}
	for tier := range p.arrivals {
		p.arrivals[tier] = ring.NewWithSignal[*call](arrivalCapacity, signal)
	}
	p.machines = dependencies.newStateMachines()
	return p
}

// submit passes a call to the duty. It returns false when the ring of the call's
// tier is full.
func (p *pool) submit(c *call) bool {
	p.openCount.Add(1)
	if p.arrivals[c.submission.Profile.Tier()].TryPush(c) {
		return true
	}
	p.openCount.Add(-1)
	return false
}

// post passes an event to the duty. It blocks while the ring is full, since the
// events of attempts must not be dropped, so only attempts and slow duties may call
// it. After the end of the duty, it drops an event if the ring is full.
func (p *pool) post(event any) {
	for !p.events.TryPush(event) {
		p.counters.Add("eventRingFull", 1)
		wait := p.timers.After(eventRetryDelay)
		select {
		case <-wait.C():
		case <-p.stopped:
			wait.Stop()
			return
		}
	}
}

// inspect runs a function on the state machines in the duty, and waits until it
// has returned. It returns false if the event ring is full or ctx ends first.
func (p *pool) inspect(ctx context.Context, inspect func(*stateMachines)) bool {
	request := inspection{
		inspect: inspect,
		done:    make(chan struct{}),
	}
	if !p.events.TryPush(request) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-request.done:
		return true
	}
}

// run handles events and new calls until ctx ends. It is not called again after
// that.
func (p *pool) run(ctx context.Context) error {
	wake := p.timers.After(time.Hour)
	defer wake.Stop()
	for _, event := range p.restoreEvents {
		p.handle(ctx, event)
	}
	p.restoreEvents = nil
	for {
		if at, ok := p.machines.pool.NextWake(); ok {
			wake.Reset(at)
		}
		select {
		case <-ctx.Done():
			close(p.stopped)
			p.stopAttempts()
			return nil
		case <-p.signal:
			p.drain(ctx)
		case <-wake.C():
			p.step(ctx, dispatch.Tick{})
		}
	}
}

// stopAttempts stops the attempts, which would otherwise outlive the duty's last
// run.
func (p *pool) stopAttempts() {
	for _, c := range p.calls {
		for _, a := range c.attempts {
			a.stop()
		}
	}
}

// drain handles all pending events, then the new calls, the most urgent tier
// first.
func (p *pool) drain(ctx context.Context) {
	for {
		if event, ok := p.events.Pop(); ok {
			p.handle(ctx, event)
			continue
		}
		c, ok := p.nextArrival()
		if !ok {
			return
		}
		p.handleArrival(ctx, c)
	}
}

// handleArrival passes a new call to the state machines, unless its caller has
// already disconnected.
func (p *pool) handleArrival(ctx context.Context, c *call) {
	if c.callerCanceled.Load() {
		p.openCount.Add(-1)
		p.counters.Add("callersGoneBeforeArrival", 1)
		return
	}
	p.calls[c.id] = c
	p.step(ctx, dispatch.RequestArrived{
		Request: c.request(),
	})
}

func (p *pool) nextArrival() (*call, bool) {
	for _, arrivals := range p.arrivals {
		if c, ok := arrivals.Pop(); ok {
			return c, true
		}
	}
	return nil, false
}

func (p *pool) handle(ctx context.Context, event any) {
	switch event := event.(type) {
	case progressEvent:
		event.attempt.progressPending.Store(false)
		p.step(ctx, dispatch.AttemptProgressed{
			Attempt: event.attempt.id,
			Tokens:  event.attempt.receivedTokens(),
		})
	case inspection:
		event.inspect(&p.machines)
		close(event.done)
	case dispatch.EndpointAdded:
		p.addresses[event.Descriptor.Key] = event.Descriptor.Address
		p.step(ctx, event)
	case dispatch.EndpointRemoved:
		delete(p.addresses, event.Key)
		p.step(ctx, event)
	case dispatch.RequestCanceled:
		p.step(ctx, event)
		p.removeCall(event.Request)
	case dispatch.AttemptFailed:
		p.handleAttemptFailed(ctx, event)
	case dispatch.Event:
		p.step(ctx, event)
	}
}

// handleAttemptFailed passes the failure of an attempt to the state machines. It
// ignores a failure from before the attempt was resumed: the resumed attempt
// reports its own end.
func (p *pool) handleAttemptFailed(ctx context.Context, event dispatch.AttemptFailed) {
	resumed := false
	p.withAttempt(event.Attempt, func(a *attempt) { resumed = a.isRunning() })
	if resumed {
		p.counters.Add("failuresBeforeResume", 1)
		return
	}
	p.step(ctx, event)
}

// step passes one event to the state machines and executes the resulting commands.
func (p *pool) step(ctx context.Context, event dispatch.Event) {
	p.commands = p.machines.pool.Step(p.timers.Now(), event, p.commands[:0])
	for _, command := range p.commands {
		p.execute(ctx, command)
	}
}

func (p *pool) execute(ctx context.Context, command dispatch.Command) {
	switch command := command.(type) {
	case dispatch.StartAttempt:
		p.startAttempt(ctx, command)
	case dispatch.ResumeAttempt:
		p.withAttempt(command.Attempt, (*attempt).resumeStream)
		p.counters.Add("resumes", 1)
	case dispatch.AdoptAttempt:
		p.withAttempt(command.Attempt, func(a *attempt) { a.adopt(command.From) })
	case dispatch.CancelAttempt:
		p.withAttempt(command.Attempt, (*attempt).stop)
		p.counters.Add("attemptsCanceled", 1)
	case dispatch.CompleteRequest:
		p.completeRequest(command)
	case dispatch.RefuseRequest:
		p.refuseRequest(command)
	}
}

func (p *pool) startAttempt(ctx context.Context, command dispatch.StartAttempt) {
	c, ok := p.calls[command.Attempt.Request]
	if !ok {
		return
	}
	a := &attempt{
		id:            command.Attempt,
		wireID:        p.wireID(command.Attempt),
		call:          c,
		pool:          p,
		endpoint:      command.Endpoint,
		baseURL:       p.endpointURL(command.Endpoint),
		newConnection: command.NewConnection,
	}
	// The context must not end with a failed run of the duty: handleRestart stops
	// the attempts itself.
	a.ctx, a.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if c.attempts == nil {
		c.attempts = make(map[uint32]*attempt, 1)
	}
	c.attempts[command.Attempt.Number] = a
	p.counters.Add("attempts", 1)
	p.attempts.Add(1)
	go a.run()
}

// endpointURL returns an endpoint's base URL, or an empty string if the endpoint
// was removed.
func (p *pool) endpointURL(key endpoint.Key) string {
	address, ok := p.addresses[key]
	if !ok {
		return ""
	}
	return p.baseURL(address)
}

func (p *pool) wireID(id dispatch.AttemptID) string {
	return p.instanceID + "-" + strconv.FormatUint(uint64(id.Request), 36) + "-" + strconv.FormatUint(uint64(id.Number), 10)
}

func (p *pool) withAttempt(id dispatch.AttemptID, act func(*attempt)) {
	c, ok := p.calls[id.Request]
	if !ok {
		return
	}
	if a, ok := c.attempts[id.Number]; ok {
		act(a)
	}
}

func (p *pool) completeRequest(command dispatch.CompleteRequest) {
	c, ok := p.calls[command.Request]
	if !ok {
		return
	}
	a, ok := c.attempts[command.Attempt.Number]
	if !ok {
		return
	}
	if c.hasDeliveredMoreThan(a) || a.hasDiverged() {
		p.refuseRequest(dispatch.RefuseRequest{
			Request:   command.Request,
			Reason:    dispatch.RefuseStreamTruncated,
			Execution: dispatch.MayHaveRun,
		})
		return
	}
	if err := c.complete(a); err != nil {
		p.counters.Add("outcomesNotRecorded", 1)
		_ = p.logger.Log("level", "error", "event", "outcomeNotRecorded", "request", c.submission.RequestID,
			"error", err.Error())
	}
	p.counters.Add("requestsCompleted", 1)
	p.removeCall(command.Request)
}

func (p *pool) refuseRequest(command dispatch.RefuseRequest) {
	c, ok := p.calls[command.Request]
	if !ok {
		return
	}
	c.refuse(command.Reason, command.Execution, command.RetryAfter)
	p.counters.Add("refused."+string(command.Reason), 1)
	_ = p.logger.Log("level", "info", "event", "requestRefused", "request", c.submission.RequestID,
		"profile", c.submission.Profile.Name(), "reason", command.Reason, "ran", command.Execution)
	p.removeCall(command.Request)
}

func (p *pool) removeCall(id dispatch.RequestID) {
	if _, ok := p.calls[id]; !ok {
		return
	}
	delete(p.calls, id)
	p.openCount.Add(-1)
}

// handleRestart refuses the calls of the failed run and creates new state
// machines.
func (p *pool) handleRestart() {
	for id, c := range p.calls {
		ran := dispatch.NotRun
		for _, a := range c.attempts {
			a.stop()
			ran = dispatch.MayHaveRun
		}
		c.refuse(dispatch.RefuseDutyRestarted, ran, time.Second)
		p.removeCall(id)
	}
	p.machines = p.newStateMachines()
	p.restoreEvents = nil
	p.addresses = make(map[endpoint.Key]string)
	if p.restore != nil {
		p.restore(p)
	}
	// The failed run may have consumed the signal for events that are still in the
	// rings.
	select {
	case p.signal <- struct{}{}:
	default:
	}
}

// terminateCalls ends every call that the duty has taken from the rings. It must
// run in the duty.
func (p *pool) terminateCalls(ctx context.Context) {
	for id, c := range p.calls {
		c.terminate()
		p.counters.Add("requestsCutShort", 1)
		p.handle(ctx, dispatch.RequestCanceled{
			Request: id,
		})
	}
}

// addRestoreEvent adds an event that a restarted duty handles at the start of its
// next run. It bypasses the ring: while the duty does not run, nothing would make
// room in a full ring.
func (p *pool) addRestoreEvent(event dispatch.Event) {
	p.restoreEvents = append(p.restoreEvents, event)
}

// openCalls returns the number of calls without a final answer.
func (p *pool) openCalls() int64 {
	return p.openCount.Load()
}

// newCall returns a call for a submission. The ticket is nil for an idempotent
// call.
func (p *pool) newCall(submission caller.Submission, ticket *claims.Ticket) *call {
	return &call{
		id:         dispatch.RequestID(p.callIDs.Add(1)),
		submission: submission,
		answer:     caller.NewAnswer(),
		ticket:     ticket,
	}
}

// String returns the name of the pool in dumps and errors.
func (p *pool) String() string {
	return fmt.Sprintf("pool %s", p.name)
}
