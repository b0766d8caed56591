package fleet

import (
	"context"
	"errors"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"cactuswell/core/profile"
	"cactuswell/io/operator"
	"cactuswell/io/operator/operatorv1"
	"cactuswell/load"
	"cactuswell/standin/fault"
	"cactuswell/standin/logservice"
)

const (
	// leavingBound is when a leaving endpoint must get no new work any more.
	leavingBound = 3 * time.Second
	// inForceBound is when an accepted change must be in force everywhere.
	inForceBound = 6 * time.Second
	// killWindow is how long after a kill a broken connection is put down to it.
	killWindow = 2 * time.Second
	// faultyDelay and faultyShare are the log's faults in LogFaulty.
	faultyDelay = 300 * time.Millisecond
	faultyShare = 0.3
	// settleTime is how long a replaced host has before the next is stopped.
	settleTime = 500 * time.Millisecond
)

// Execute drives the load and carries out the steps of a course.
func (r *Run) Execute(ctx context.Context, course Course) (*Report, error) {
	driver, err := load.New(r.loadConfig(course))
	if err != nil {
		return nil, err
	}
	loading := &loadRun{
		driver: driver,
		done:   make(chan struct{}),
	}
	started := time.Now()
	go loading.run(ctx)
	for _, timed := range course.Steps {
		pause(ctx, time.Until(started.Add(timed.At)))
		r.config.Log("%6.1fs %T %+v", time.Since(started).Seconds(), timed.Step, timed.Step)
		if err := r.carryOut(ctx, timed.Step); err != nil {
			return nil, err
		}
	}
	<-loading.done
	if loading.err != nil {
		return nil, loading.err
	}
	r.checkProfilesStay(ctx)
	r.judge(loading.report)
	return &Report{
		Load:     loading.report,
		promises: r.promises,
	}, nil
}

// loadRun is the load beside the steps.
type loadRun struct {
	driver *load.Driver
	report *load.Report
	err    error
	done   chan struct{}
}

func (l *loadRun) run(ctx context.Context) {
	defer close(l.done)
	l.report, l.err = l.driver.Run(ctx)
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(max(0, duration))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (r *Run) carryOut(ctx context.Context, step Step) error {
	switch step := step.(type) {
	case KillHost:
		return r.killHost(ctx, step)
	case PauseHost:
		h := r.hosts[step.Host]
		h.process.signal(syscall.SIGSTOP)
		pause(ctx, step.For)
		h.process.signal(syscall.SIGCONT)
		return nil
	case LogDown:
		return r.logFaults(ctx, logservice.Faults{Down: true}, step.For, func() error { return nil })
	case LogFaulty:
		faults := logservice.Faults{
			DelayMs:     faultyDelay.Milliseconds(),
			LostAnswers: faultyShare,
		}
		return r.logFaults(ctx, faults, step.For, func() error { return r.raceOperators(ctx, step.Rounds) })
	case RaceOperators:
		return r.raceOperators(ctx, step.Rounds)
	case SilenceEndpoint:
		return r.endpointFaults(ctx, step.Endpoint, fault.Faults{Silent: true}, step.For)
	case SlowEndpoint:
		return r.endpointFaults(ctx, step.Endpoint, fault.Faults{Slowdown: step.Factor}, step.For)
	case CrashEndpoint:
		return r.endpointFaults(ctx, step.Endpoint, fault.Faults{Crashed: true}, step.For)
	case LoseAnswers:
		return r.endpointFaults(ctx, step.Endpoint, fault.Faults{LostAnswers: true}, step.For)
	case RejectPool:
		return r.rejectPool(ctx, step)
	case LeaveEndpoint:
		return r.leaveEndpoint(ctx, step)
	case RollingRestart:
		return r.rollingRestart(ctx)
	}
	return nil
}

func (r *Run) killHost(ctx context.Context, step KillHost) error {
	h := r.hosts[step.Host]
	h.killed = append(h.killed, time.Now())
	h.process.kill()
	pause(ctx, step.After)
	return r.restart(h)
}

func (r *Run) logFaults(ctx context.Context, faults logservice.Faults, length time.Duration, during func() error) error {
	until := time.Now().Add(length)
	if err := r.setLogFaults(faults); err != nil {
		return err
	}
	err := during()
	pause(ctx, time.Until(until))
	return trace.NewAggregate(err, r.setLogFaults(logservice.Faults{}))
}

func (r *Run) endpointFaults(ctx context.Context, name string, faults fault.Faults, length time.Duration) error {
	if err := r.setEndpointFaults(name, faults); err != nil {
		return err
	}
	pause(ctx, length)
	return r.setEndpointFaults(name, fault.Faults{})
}

func (r *Run) rejectPool(ctx context.Context, step RejectPool) error {
	var errs []error
	for _, endpoint := range r.config.Firm.Endpoints() {
		if endpoint.Pool.Name == step.Pool {
			errs = append(errs, r.setEndpointFaults(endpoint.Name, fault.Faults{Rejecting: true}))
		}
	}
	pause(ctx, step.For)
	for _, endpoint := range r.config.Firm.Endpoints() {
		if endpoint.Pool.Name == step.Pool {
			errs = append(errs, r.setEndpointFaults(endpoint.Name, fault.Faults{}))
		}
	}
	return trace.NewAggregate(errs...)
}

// leaveEndpoint checks that the endpoint gets no new attempt after the bound.
func (r *Run) leaveEndpoint(ctx context.Context, step LeaveEndpoint) error {
	if err := r.setEndpointFaults(step.Endpoint, fault.Faults{Leaving: true}); err != nil {
		return err
	}
	pause(ctx, leavingBound)
	before, err := r.attempts(step.Endpoint)
	if err != nil {
		return err
	}
	pause(ctx, step.Watch)
	after, err := r.attempts(step.Endpoint)
	if err != nil {
		return err
	}
	r.promises.check(promiseLeaving, after == before, "%s began %d attempts after the bound", step.Endpoint, after-before)
	return nil
}

func (r *Run) rollingRestart(ctx context.Context) error {
	for _, h := range r.hosts {
		err := h.process.stop()
		r.promises.check(promiseGracefulStop, err == nil, "%s ended with %v", h.name, err)
		if err := r.restart(h); err != nil {
			return err
		}
		pause(ctx, settleTime)
	}
	return nil
}

// raceOperators lets two operators change one profile from the same base, and
// checks that just one is accepted and is in force everywhere within the bound.
func (r *Run) raceOperators(ctx context.Context, rounds int) error {
	for round := range rounds {
		if err := r.raceOnce(ctx, round); err != nil {
			return err
		}
	}
	return nil
}

// contender is one operator of a race.
type contender struct {
	run      *Run
	host     int
	spec     profile.Spec
	base     uint64
	accepted operator.AcceptedChange
	err      error
}

func (c *contender) race(ctx context.Context, done chan<- struct{}) {
	c.accepted, c.err = c.run.setProfile(ctx, c.host, c.spec, c.base)
	done <- struct{}{}
}

func (r *Run) raceOnce(ctx context.Context, round int) error {
	spec := r.config.Firm.Profiles[len(r.config.Firm.Profiles)-1]
	base, err := r.revision(ctx, 0, spec.Name)
	if err != nil {
		return err
	}
	contenders := make([]*contender, 2)
	done := make(chan struct{}, len(contenders))
	for i := range contenders {
		contenders[i] = &contender{
			run:  r,
			host: i,
			spec: spec,
			base: base,
		}
		contenders[i].spec.TargetMs += int64(2*round + i)
		go contenders[i].race(ctx, done)
	}
	for range contenders {
		<-done
	}
	r.judgeRace(ctx, contenders)
	return nil
}

func (r *Run) judgeRace(ctx context.Context, contenders []*contender) {
	winners := 0
	for _, c := range contenders {
		var conflict *operator.ConflictError
		switch {
		case c.err == nil:
			winners++
			r.checkInForce(ctx, c)
		case errors.As(c.err, &conflict):
		default:
			r.promises.check(promiseConfiguration, false, "change through host %d: %v", c.host+1, c.err)
		}
	}
	r.promises.check(promiseConfiguration, winners == 1, "%d of two racing changes were accepted", winners)
}

func (r *Run) checkInForce(ctx context.Context, c *contender) {
	ctx, cancel := context.WithTimeout(ctx, inForceBound)
	defer cancel()
	err := r.operator(c.host).AwaitInForce(ctx, c.accepted.Offset)
	r.promises.check(promiseConfiguration, err == nil, "revision %d: %v", c.accepted.Revision, err)
}

func (r *Run) revision(ctx context.Context, host int, name string) (uint64, error) {
	response, err := r.operator(host).Service().GetProfile(ctx, connect.NewRequest(&operatorv1.GetProfileRequest{
		Name: name,
	}))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return response.Msg.GetProfile().GetRevision(), nil
}

// checkProfilesStay checks that at the end every host has the same revisions of
// all profiles, none of them older than what was accepted.
func (r *Run) checkProfilesStay(ctx context.Context) {
	for _, spec := range r.config.Firm.Profiles {
		newest := uint64(0)
		revisions := make([]uint64, len(r.hosts))
		for host := range r.hosts {
			revision, err := r.revision(ctx, host, spec.Name)
			r.promises.check(promiseConfiguration, err == nil, "%s at host %d: %v", spec.Name, host+1, err)
			revisions[host] = revision
			newest = max(newest, revision)
		}
		for host, revision := range revisions {
			r.promises.check(promiseConfiguration, revision == newest, "%s at host %d is revision %d, not %d",
				spec.Name, host+1, revision, newest)
		}
	}
}

// shedReasons are the refusals that shed load.
var shedReasons = map[string]bool{
	"queueFull":       true,
	"waitLimit":       true,
	"cannotMeetLimit": true,
	"teamOverItsPart": true,
}

// judge counts the checks and breaches that the load's report tells.
func (r *Run) judge(report *load.Report) {
	requests := 0
	for _, class := range report.Classes {
		requests += class.Requests
		if class.Tier == profile.TierUrgent {
			r.promises.count(promiseTopTier, class.Requests, 0)
		}
		r.promises.check(promiseNoStarving, class.Completed > 0, "%s completed nothing", class.Class)
	}
	r.promises.count(promiseWholeAnswer, requests, report.WrongAnswers+report.Untyped)
	r.promises.count(promiseNotRun, report.ReportedNotRun, report.FalseNotRun)
	r.promises.count(promiseOnce, report.Bookings, report.Duplicates+report.LostBookings)
	r.promises.count(promiseGracefulStop, requests, 0)
	for _, refusal := range report.Refusals {
		if refusal.Tier == profile.TierUrgent && shedReasons[refusal.Code] {
			r.promises.breaches[promiseTopTier]++
			r.promises.examples = append(r.promises.examples, "top-tier request shed: "+refusal.Code)
		}
		if refusal.Code == "connection" && !r.wasKilled(refusal) {
			r.promises.breaches[promiseGracefulStop]++
			r.promises.examples = append(r.promises.examples, "request cut off at "+refusal.Host)
		}
	}
	r.promises.examples = append(r.promises.examples, report.Examples...)
}

// wasKilled reports whether a broken connection is put down to a kill.
func (r *Run) wasKilled(refusal load.Refusal) bool {
	for _, h := range r.hosts {
		if h.process.addresses["callers"] != refusal.Host {
			continue
		}
		for _, at := range h.killed {
			if refusal.At.After(at.Add(-killWindow)) && refusal.At.Before(at.Add(killWindow)) {
				return true
			}
		}
	}
	return false
}
