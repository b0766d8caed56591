package claims

import (
	"context"
	"time"

	"cactuswell/core/claim"
	"cactuswell/timer"
)

const (
	// logResultsCapacity is the capacity of the ring of log results. At most
	// one append and one read are in flight, besides those from before a
	// restart.
	logResultsCapacity = 16
	// longPollTimeout is how long the log may delay its response to a read at
	// the end of the stream (long poll).
	longPollTimeout = 10 * time.Second
	// maxRecordsPerRead is the maximum number of records in one read.
	maxRecordsPerRead = 1000
	// minReadBackoff and maxReadBackoff are the limits of the backoff after
	// failed reads.
	minReadBackoff = 50 * time.Millisecond
	maxReadBackoff = time.Second
)

// decider is the duty that owns the claim.Machine.
type decider struct {
	claims          *Claims
	machine         *claim.Machine
	instance        uint64
	waiters         map[claim.CallID]*waiter
	shutdownWaiters []*waiter
	commands        []claim.Command
	wakeTimer       *timer.Subscription
	ctx             context.Context
	// cancelRead cancels the read in flight.
	cancelRead    context.CancelFunc
	readInFlight  bool
	skipLongPoll  bool
	readBackoff   time.Duration
	lastReadAt    time.Time
	lastReadError string
}

// logResult is the result of a log call. It is ignored if the instance
// of the machine that requested it was replaced.
type logResult struct {
	instance uint64
	event    claim.Event
	isRead   bool
	err      error
}

func newDecider(claims *Claims) *decider {
	d := &decider{
		claims:     claims,
		cancelRead: func() {},
	}
	d.startInstance()
	return d
}

// startInstance creates a new instance of the machine.
func (d *decider) startInstance() {
	d.instance = d.claims.deps.Entropy()
	d.claims.instance.Store(d.instance)
	d.machine = claim.New(claim.Issuer{
		Host:        d.claims.deps.Host,
		Incarnation: d.claims.deps.Incarnation,
		Instance:    d.instance,
	}, d.claims.deps.Settings)
	d.waiters = make(map[claim.CallID]*waiter)
	d.shutdownWaiters = nil
	d.readInFlight = false
	d.readBackoff = 0
}

// handleRestart is called after a restart of the duty. It refuses the calls
// that the previous instance of the machine had not decided. Their claims, if
// any, stay without an outcome, so that none of these calls can run.
func (d *decider) handleRestart() {
	for _, waiting := range d.waiters {
		waiting.deliver(response{
			decision: d.claims.refusal(claim.RefuseDutyRestarted),
		})
	}
	d.cancelRead()
	d.startInstance()
}

func (d *decider) run(ctx context.Context) error {
	d.ctx = ctx
	d.wakeTimer = d.claims.deps.Timers.After(time.Hour)
	defer d.wakeTimer.Stop()
	defer func() {
		if ctx.Err() != nil {
			d.claims.signalStopped()
		}
	}()
	d.requestRead()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.claims.requests.Ready():
			d.handleRequests()
		case <-d.claims.events.Ready():
			d.handleEvents()
		case <-d.claims.logResults.Ready():
			d.handleLogResults()
		case <-d.wakeTimer.C():
			d.step(claim.Tick{})
		}
		d.finishIteration()
	}
}

func (d *decider) handleRequests() {
	for next, ok := d.claims.requests.Pop(); ok; next, ok = d.claims.requests.Pop() {
		d.waiters[next.call] = next.waiter
		if _, isShutdown := next.event.(claim.ShutdownRequested); isShutdown {
			delete(d.waiters, next.call)
			d.shutdownWaiters = append(d.shutdownWaiters, next.waiter)
			// Handle the calls that were finished or abandoned before the
			// shutdown was requested.
			d.handleEvents()
		}
		d.step(next.event)
	}
}

func (d *decider) handleEvents() {
	for event, ok := d.claims.events.Pop(); ok; event, ok = d.claims.events.Pop() {
		d.step(event)
	}
}

func (d *decider) handleLogResults() {
	for next, ok := d.claims.logResults.Pop(); ok; next, ok = d.claims.logResults.Pop() {
		if next.instance != d.instance {
			continue
		}
		if next.isRead {
			d.handleReadEnd(next.err)
		}
		if next.event != nil {
			d.step(next.event)
		}
		if next.isRead {
			d.requestRead()
		}
	}
}

func (d *decider) step(event claim.Event) {
	d.commands = d.machine.Step(d.claims.deps.Timers.Now(), event, d.commands[:0])
	for _, command := range d.commands {
		d.execute(command)
	}
}

func (d *decider) execute(command claim.Command) {
	switch command := command.(type) {
	case claim.Decide:
		d.deliverDecision(command)
	case claim.Issue:
		d.respond(command.Call, response{
			key: command.Key,
		})
	case claim.Append:
		d.claims.appendRequests.PushEvicting(appendRequest{
			instance: d.instance,
			records:  command.Records,
		})
	case claim.ReadNow:
		d.skipLongPoll = true
		d.cancelRead()
	}
}

func (d *decider) deliverDecision(command claim.Decide) {
	decision := d.convert(command.Decision)
	delivered := d.respond(command.Call, response{
		decision: decision,
	})
	if run, ok := decision.(Run); ok && !delivered {
		// The caller no longer waits and has already decremented the number of
		// open calls, which Abandon decrements again.
		d.claims.openCalls.Add(1)
		_ = run.Ticket.Abandon()
	}
}

func (d *decider) respond(call claim.CallID, r response) bool {
	waiting, ok := d.waiters[call]
	delete(d.waiters, call)
	return ok && waiting.deliver(r)
}

// requestRead requests the next read from the follower unless one is in flight.
func (d *decider) requestRead() {
	if d.readInFlight {
		return
	}
	d.readInFlight = true
	wait := longPollTimeout
	if d.skipLongPoll || d.readBackoff > 0 {
		wait = 0
	}
	d.skipLongPoll = false
	ctx, cancel := context.WithCancel(d.ctx)
	d.cancelRead = cancel
	d.claims.readRequests.PushEvicting(readRequest{
		ctx:      ctx,
		instance: d.instance,
		position: d.machine.Position(),
		wait:     wait,
		backoff:  d.readBackoff,
	})
}

func (d *decider) handleReadEnd(err error) {
	d.readInFlight = false
	d.cancelRead()
	if err == nil {
		d.readBackoff = 0
		d.lastReadError = ""
		d.lastReadAt = d.claims.deps.Timers.Now()
		return
	}
	d.lastReadError = err.Error()
	d.readBackoff = min(max(minReadBackoff, 2*d.readBackoff), maxReadBackoff)
}

func (d *decider) finishIteration() {
	if wake, ok := d.machine.NextWake(); ok {
		d.wakeTimer.Reset(wake)
	}
	if len(d.shutdownWaiters) > 0 && d.machine.UnwrittenRecords() == 0 {
		for _, waiting := range d.shutdownWaiters {
			waiting.deliver(response{})
		}
		d.shutdownWaiters = nil
	}
	d.publishDump()
}
