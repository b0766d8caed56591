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
	// arrivalCapacity bounds the calls of one tier that wait for the duty.
	arrivalCapacity = 2048
	// eventCapacity bounds the events that wait for the duty.
	eventCapacity = 65536
	// eventRetryDelay is how long an attempt waits before it tries again to
	// report to a duty whose ring is full.
	eventRetryDelay = 5 * time.Millisecond
	// commandCapacity is the usual number of commands that follow from an event.
	commandCapacity = 16
)

// clients speak to the endpoints. Watching is for what endpoints say of
// themselves.
type clients struct {
	engine   *engine.Client
	service  *service.Client
	watching *engine.Client
	close    func()
}

// poolDependencies is what a pool is made from.
type poolDependencies struct {
	name      string
	hostID    string
	decisions func() decisions
	clients   clients
	baseURL   func(address string) string
	timers    *timer.Service
	logger    log.Logger
	counters  *metrics.Counters
	ids       *atomic.Uint64
	// rebuilt is called when the decisions were begun anew after a panic.
	rebuilt func(p *pool)
}

// pool is the duty that owns the decisions for one model or plain service.
type pool struct {
	poolDependencies
	arrivals [profile.TierCount]*ring.Ring[*call]
	events   *ring.Ring[any]
	signal   ring.Signal
	attempts sync.WaitGroup
	// ended is closed when the duty has ended for good and reads no more events.
	ended chan struct{}

	decided   decisions
	calls     map[dispatch.RequestID]*call
	addresses map[endpoint.Key]string
	commands  []dispatch.Command
	// relearned are the events that a restarted duty handles before all others.
	relearned []dispatch.Event
	open      atomic.Int64
}

// progressNotice says that an attempt received tokens.
type progressNotice struct {
	attempt *attempt
}

// inspection asks the duty to run a function between two events.
type inspection struct {
	look func(*decisions)
	done chan struct{}
}

// decisions are the state machines of one pool.
type decisions struct {
	pool   *dispatch.Pool
	router *routing.Router
}

func newPool(dependencies poolDependencies) *pool {
	signal := ring.NewSignal()
	p := &pool{
		poolDependencies: dependencies,
		events:           ring.NewWithSignal[any](eventCapacity, signal),
		signal:           signal,
		ended:            make(chan struct{}),
		calls:            make(map[dispatch.RequestID]*call),
		addresses:        make(map[endpoint.Key]string),
		commands:         make([]dispatch.Command, 0, commandCapacity),
	}
	for tier := range p.arrivals {
		p.arrivals[tier] = ring.NewWithSignal[*call](arrivalCapacity, signal)
	}
	p.decided = dependencies.decisions()
	return p
}

// submit hands a call to the duty. It reports false when the tier's ring is
// full.
func (p *pool) submit(c *call) bool {
	p.open.Add(1)
	if p.arrivals[c.submission.Profile.Tier()].TryPush(c) {
		return true
	}
	p.open.Add(-1)
	return false
}

// post hands an event to the duty. It waits while the ring is full, since the
// events of attempts must not be lost; only attempts and slow duties call it.
// After the end of the duty, it drops an event that finds no room.
func (p *pool) post(event any) {
	for !p.events.TryPush(event) {
		p.counters.Add("eventRingFull", 1)
		wait := p.timers.After(eventRetryDelay)
		select {
		case <-wait.C():
		case <-p.ended:
			wait.Stop()
			return
		}
	}
}

// look runs a function with the decisions, in the duty, and waits for its end.
// It reports false if ctx ended first.
func (p *pool) look(ctx context.Context, look func(*decisions)) bool {
	request := inspection{
		look: look,
		done: make(chan struct{}),
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

// run carries out the decisions until ctx ends. It is not run again after that.
func (p *pool) run(ctx context.Context) error {
	wake := p.timers.After(time.Hour)
	defer wake.Stop()
	for _, event := range p.relearned {
		p.handle(ctx, event)
	}
	p.relearned = nil
	for {
		if at, ok := p.decided.pool.NextWake(); ok {
			wake.Reset(at)
		}
		select {
		case <-ctx.Done():
			close(p.ended)
			p.stopAttempts()
			return nil
		case <-p.signal:
			p.drain(ctx)
		case <-wake.C():
			p.step(ctx, dispatch.Tick{})
		}
	}
}

// stopAttempts ends the attempts that would outlive the duty's last run.
func (p *pool) stopAttempts() {
	for _, c := range p.calls {
		for _, a := range c.attempts {
			a.stop()
		}
	}
}

// drain handles everything that waits, attempts' events before new calls and
// urgent calls before others.
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
		p.arrive(ctx, c)
	}
}

// arrive hands a new call to the decisions, unless its caller has gone away.
func (p *pool) arrive(ctx context.Context, c *call) {
	if c.gone.Load() {
		p.open.Add(-1)
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
	case progressNotice:
		event.attempt.notified.Store(false)
		p.step(ctx, dispatch.AttemptProgressed{
			Attempt: event.attempt.id,
			Tokens:  event.attempt.receivedTokens(),
		})
	case inspection:
		event.look(&p.decided)
		close(event.done)
	case dispatch.EndpointAdded:
		p.addresses[event.Descriptor.Key] = event.Descriptor.Address
		p.step(ctx, event)
	case dispatch.EndpointRemoved:
		delete(p.addresses, event.Key)
		p.step(ctx, event)
	case dispatch.RequestCanceled:
		p.step(ctx, event)
		p.forget(event.Request)
	case dispatch.AttemptFailed:
		p.fail(ctx, event)
	case dispatch.Event:
		p.step(ctx, event)
	}
}

// fail tells the decisions of a failed attempt, unless it was resumed since: the
// resumed attempt reports its own end.
func (p *pool) fail(ctx context.Context, event dispatch.AttemptFailed) {
	resumed := false
	p.withAttempt(event.Attempt, func(a *attempt) { resumed = a.speaks() })
	if resumed {
		p.counters.Add("failuresBeforeResume", 1)
		return
	}
	p.step(ctx, event)
}

// step feeds one event to the decisions and carries out what follows from it.
func (p *pool) step(ctx context.Context, event dispatch.Event) {
	p.commands = p.decided.pool.Step(p.timers.Now(), event, p.commands[:0])
	for _, command := range p.commands {
		p.carryOut(ctx, command)
	}
}

func (p *pool) carryOut(ctx context.Context, command dispatch.Command) {
	switch command := command.(type) {
	case dispatch.StartAttempt:
		p.start(ctx, command)
	case dispatch.ResumeAttempt:
		p.withAttempt(command.Attempt, (*attempt).resumeStream)
		p.counters.Add("resumes", 1)
	case dispatch.AdoptAttempt:
		p.withAttempt(command.Attempt, func(a *attempt) { a.adopt(command.From) })
	case dispatch.CancelAttempt:
		p.withAttempt(command.Attempt, (*attempt).stop)
		p.counters.Add("attemptsCanceled", 1)
	case dispatch.CompleteRequest:
		p.finish(command)
	case dispatch.RefuseRequest:
		p.refuse(command)
	}
}

func (p *pool) start(ctx context.Context, command dispatch.StartAttempt) {
	c, ok := p.calls[command.Attempt.Request]
	if !ok {
		return
	}
	a := &attempt{
		id:       command.Attempt,
		wireID:   p.wireID(command.Attempt),
		call:     c,
		pool:     p,
		endpoint: command.Endpoint,
		base:     p.base(command.Endpoint),
		fresh:    command.Fresh,
	}
	// An attempt outlives a restart of the duty, which cancels it by itself.
	a.ctx, a.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if c.attempts == nil {
		c.attempts = make(map[uint32]*attempt, 1)
	}
	c.attempts[command.Attempt.Number] = a
	p.counters.Add("attempts", 1)
	p.attempts.Add(1)
	go a.run()
}

// base returns an endpoint's base URL, or nothing if it is gone.
func (p *pool) base(key endpoint.Key) string {
	address, ok := p.addresses[key]
	if !ok {
		return ""
	}
	return p.baseURL(address)
}

func (p *pool) wireID(id dispatch.AttemptID) string {
	return p.hostID + "-" + strconv.FormatUint(uint64(id.Request), 36) + "-" + strconv.FormatUint(uint64(id.Number), 10)
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

func (p *pool) finish(command dispatch.CompleteRequest) {
	c, ok := p.calls[command.Request]
	if !ok {
		return
	}
	a, ok := c.attempts[command.Attempt.Number]
	if !ok {
		return
	}
	if c.outgrows(a) {
		p.refuse(dispatch.RefuseRequest{
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
	p.forget(command.Request)
}

func (p *pool) refuse(command dispatch.RefuseRequest) {
	c, ok := p.calls[command.Request]
	if !ok {
		return
	}
	c.refuse(command.Reason, command.Execution, command.RetryAfter)
	p.counters.Add("refused."+string(command.Reason), 1)
	_ = p.logger.Log("level", "info", "event", "requestRefused", "request", c.submission.RequestID,
		"profile", c.submission.Profile.Name(), "reason", command.Reason, "ran", command.Execution)
	p.forget(command.Request)
}

func (p *pool) forget(id dispatch.RequestID) {
	if _, ok := p.calls[id]; !ok {
		return
	}
	delete(p.calls, id)
	p.open.Add(-1)
}

// restarted answers for the calls that were lost with the duty's state.
func (p *pool) restarted() {
	for id, c := range p.calls {
		ran := dispatch.NotRun
		for _, a := range c.attempts {
			a.stop()
			ran = dispatch.MayHaveRun
		}
		c.refuse(dispatch.RefuseDutyRestarted, ran, time.Second)
		p.forget(id)
	}
	p.decided = p.decisions()
	p.relearned = nil
	p.addresses = make(map[endpoint.Key]string)
	if p.rebuilt != nil {
		p.rebuilt(p)
	}
	// The signal for what still waits in the rings may have been taken.
	select {
	case p.signal <- struct{}{}:
	default:
	}
}

// cutShort ends every call that has arrived. It runs in the duty.
func (p *pool) cutShort(ctx context.Context) {
	for id, c := range p.calls {
		c.cutShort()
		p.counters.Add("requestsCutShort", 1)
		p.handle(ctx, dispatch.RequestCanceled{
			Request: id,
		})
	}
}

// relearn tells a restarted duty, before its next run, what the lost state held.
// It takes no room in the ring, which only the duty itself could make.
func (p *pool) relearn(event dispatch.Event) {
	p.relearned = append(p.relearned, event)
}

// openCalls returns how many calls have no final answer yet.
func (p *pool) openCalls() int64 {
	return p.open.Load()
}

// newCall returns a call for a submission.
func (p *pool) newCall(submission caller.Submission, ticket *claims.Ticket) *call {
	return &call{
		id:         dispatch.RequestID(p.ids.Add(1)),
		submission: submission,
		answer:     caller.NewAnswer(),
		ticket:     ticket,
	}
}

// String names the pool in logs.
func (p *pool) String() string {
	return fmt.Sprintf("pool %s", p.name)
}
