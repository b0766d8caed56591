package claims

import (
	"context"
	"time"

	"cactuswell/core/claim"
	"cactuswell/timer"
)

const (
	// resultsCapacity bounds the answers of the log that wait for the decider.
	// There are at most one append and one read at a time, and those that a
	// restart left over.
	resultsCapacity = 16
	// readWait is how long the log may hold back the answer to a read.
	readWait = 10 * time.Second
	// readBatch bounds the records of one read.
	readBatch = 1000
	// firstReadDelay and maxReadDelay bound the pause after a failed read.
	firstReadDelay = 50 * time.Millisecond
	maxReadDelay   = time.Second
)

// decider is the duty that owns the machine.
type decider struct {
	claims   *Claims
	machine  *claim.Machine
	life     uint64
	waiters  map[claim.CallID]*waiter
	leaving  []*waiter
	commands []claim.Command
	alarm    *timer.Subscription
	ctx      context.Context
	// cancelRead ends the read that the follower is busy with.
	cancelRead context.CancelFunc
	reading    bool
	urgent     bool
	readDelay  time.Duration
	lastRead   time.Time
	lastError  string
}

// result is an answer of the log. A life that has ended is not told.
type result struct {
	life  uint64
	event claim.Event
	read  bool
	err   error
}

func newDecider(claims *Claims) *decider {
	d := &decider{
		claims:     claims,
		cancelRead: func() {},
	}
	d.begin()
	return d
}

// begin starts a new life.
func (d *decider) begin() {
	d.life = d.claims.deps.Entropy()
	d.claims.life.Store(d.life)
	d.machine = claim.New(claim.Issuer{
		Host:        d.claims.deps.Host,
		Incarnation: d.claims.deps.Incarnation,
		Instance:    d.life,
	}, d.claims.deps.Settings)
	d.waiters = make(map[claim.CallID]*waiter)
	d.leaving = nil
	d.reading = false
	d.readDelay = 0
}

// restarted answers the calls that the failed life had taken. Their claims, if
// any, stay without an outcome, so that none of them can run.
func (d *decider) restarted() {
	for _, waiting := range d.waiters {
		waiting.deliver(answer{
			decision: d.claims.refused(claim.RefuseDutyRestarted),
		})
	}
	d.cancelRead()
	d.begin()
}

func (d *decider) run(ctx context.Context) error {
	d.ctx = ctx
	d.alarm = d.claims.deps.Timers.After(time.Hour)
	defer d.alarm.Stop()
	defer func() {
		if ctx.Err() != nil {
			d.claims.stop()
		}
	}()
	d.read()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.claims.requests.Ready():
			d.takeRequests()
		case <-d.claims.closings.Ready():
			d.takeClosings()
		case <-d.claims.results.Ready():
			d.takeResults()
		case <-d.alarm.C():
			d.step(claim.Tick{})
		}
		d.afterwards()
	}
}

func (d *decider) takeRequests() {
	for next, ok := d.claims.requests.Pop(); ok; next, ok = d.claims.requests.Pop() {
		d.waiters[next.call] = next.waiter
		if _, leave := next.event.(claim.ShutdownRequested); leave {
			delete(d.waiters, next.call)
			d.leaving = append(d.leaving, next.waiter)
			// What was finished or abandoned before comes first.
			d.takeClosings()
		}
		d.step(next.event)
	}
}

func (d *decider) takeClosings() {
	for event, ok := d.claims.closings.Pop(); ok; event, ok = d.claims.closings.Pop() {
		d.step(event)
	}
}

func (d *decider) takeResults() {
	for next, ok := d.claims.results.Pop(); ok; next, ok = d.claims.results.Pop() {
		if next.life != d.life {
			continue
		}
		if next.read {
			d.readEnded(next.err)
		}
		if next.event != nil {
			d.step(next.event)
		}
		if next.read {
			d.read()
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
		d.deliver(command)
	case claim.Issue:
		d.answer(command.Call, answer{
			key: command.Key,
		})
	case claim.Append:
		d.claims.appends.PushEvicting(appendRequest{
			life:    d.life,
			records: command.Records,
		})
	case claim.ReadNow:
		d.urgent = true
		d.cancelRead()
	}
}

func (d *decider) deliver(command claim.Decide) {
	decision := d.convert(command.Decision)
	delivered := d.answer(command.Call, answer{
		decision: decision,
	})
	if run, ok := decision.(Run); ok && !delivered {
		// The caller has gone; the call counted itself out.
		d.claims.open.Add(1)
		_ = run.Ticket.Abandon()
	}
}

func (d *decider) answer(call claim.CallID, a answer) bool {
	waiting, ok := d.waiters[call]
	delete(d.waiters, call)
	return ok && waiting.deliver(a)
}

// read asks the follower for the next read.
func (d *decider) read() {
	if d.reading {
		return
	}
	d.reading = true
	wait := readWait
	if d.urgent || d.readDelay > 0 {
		wait = 0
	}
	d.urgent = false
	ctx, cancel := context.WithCancel(d.ctx)
	d.cancelRead = cancel
	d.claims.reads.PushEvicting(readRequest{
		ctx:      ctx,
		life:     d.life,
		position: d.machine.Position(),
		wait:     wait,
		delay:    d.readDelay,
	})
}

func (d *decider) readEnded(err error) {
	d.reading = false
	d.cancelRead()
	if err == nil {
		d.readDelay = 0
		d.lastError = ""
		d.lastRead = d.claims.deps.Timers.Now()
		return
	}
	d.lastError = err.Error()
	d.readDelay = min(max(firstReadDelay, 2*d.readDelay), maxReadDelay)
}

func (d *decider) afterwards() {
	if wake, ok := d.machine.NextWake(); ok {
		d.alarm.Reset(wake)
	}
	if len(d.leaving) > 0 && d.machine.UnwrittenRecords() == 0 {
		for _, waiting := range d.leaving {
			waiting.deliver(answer{})
		}
		d.leaving = nil
	}
	d.publish()
}
