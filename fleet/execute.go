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
	// maxLeavingDelay is the time after which a leaving endpoint must get no new work.
	maxLeavingDelay = 3 * time.Second
	// maxInForceDelay is the time within which an accepted change must be in force on
	// all hosts.
	maxInForceDelay = 6 * time.Second
	// killAttributionWindow is how long before or after a kill a broken connection is
	// attributed to it.
	killAttributionWindow = 2 * time.Second
	// degradedLogDelay is the delay of each log call and degradedLogDropShare the share
	// of appends that take effect but whose response is dropped, both in DegradeLog.
	degradedLogDelay     = 300 * time.Millisecond
	degradedLogDropShare = 0.3
	// restartSettleTime is the time between the restart of a host and the stop of the
	// next one in a rolling restart.
	restartSettleTime = 500 * time.Millisecond
)

// Execute generates the load of a scenario and executes its steps.
func (r *Run) Execute(ctx context.Context, scenario Scenario) (*Report, error) {
	driver, err := load.New(r.loadConfig(scenario))
	if err != nil {
		return nil, err
	}
	background := &backgroundLoad{
		driver: driver,
		done:   make(chan struct{}),
	}
	started := time.Now()
	go background.run(ctx)
	for _, timed := range scenario.Steps {
		pause(ctx, time.Until(started.Add(timed.StartOffset)))
		r.config.Log("%6.1fs %T %+v", time.Since(started).Seconds(), timed.Step, timed.Step)
		if err := r.executeStep(ctx, timed.Step); err != nil {
			return nil, err
		}
	}
	<-background.done
	if background.err != nil {
		return nil, background.err
	}
	r.checkProfilesConsistent(ctx)
	r.checkLoadReport(background.report)
	return &Report{
		Load:       background.report,
		guarantees: r.guarantees,
	}, nil
}

// backgroundLoad runs the load while the steps are executed.
type backgroundLoad struct {
	driver *load.Driver
	report *load.Report
	err    error
	done   chan struct{}
}

func (l *backgroundLoad) run(ctx context.Context) {
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

func (r *Run) executeStep(ctx context.Context, step Step) error {
	switch step := step.(type) {
	case KillHost:
		return r.killHost(ctx, step)
	case PauseHost:
		h := r.hosts[step.Host]
		h.process.signal(syscall.SIGSTOP)
		pause(ctx, step.Duration)
		h.process.signal(syscall.SIGCONT)
		return nil
	case DisableLog:
		return r.injectLogFaults(ctx, logservice.Faults{Down: true}, step.Duration, func() error { return nil })
	case DegradeLog:
		faults := logservice.Faults{
			DelayMs:     degradedLogDelay.Milliseconds(),
			LostAnswers: degradedLogDropShare,
		}
		return r.injectLogFaults(ctx, faults, step.Duration, func() error { return r.raceOperators(ctx, step.Rounds) })
	case RaceOperators:
		return r.raceOperators(ctx, step.Rounds)
	case SilenceEndpoint:
		return r.injectEndpointFaults(ctx, step.Endpoint, fault.Faults{Silent: true}, step.Duration)
	case SlowEndpoint:
		return r.injectEndpointFaults(ctx, step.Endpoint, fault.Faults{Slowdown: step.Factor}, step.Duration)
	case CrashEndpoint:
		return r.injectEndpointFaults(ctx, step.Endpoint, fault.Faults{Crashed: true}, step.Duration)
	case DropAnswers:
		return r.injectEndpointFaults(ctx, step.Endpoint, fault.Faults{LostAnswers: true}, step.Duration)
	case RejectPoolWork:
		return r.rejectPoolWork(ctx, step)
	case MarkEndpointLeaving:
		return r.markEndpointLeaving(ctx, step)
	case RollingRestart:
		return r.rollingRestart(ctx)
	}
	return nil
}

func (r *Run) killHost(ctx context.Context, step KillHost) error {
	h := r.hosts[step.Host]
	h.killTimes = append(h.killTimes, time.Now())
	h.process.kill()
	pause(ctx, step.Downtime)
	return r.restart(h)
}

func (r *Run) injectLogFaults(ctx context.Context, faults logservice.Faults, duration time.Duration, during func() error) error {
	until := time.Now().Add(duration)
	if err := r.setLogFaults(faults); err != nil {
		return err
	}
	err := during()
	pause(ctx, time.Until(until))
	return trace.NewAggregate(err, r.setLogFaults(logservice.Faults{}))
}

func (r *Run) injectEndpointFaults(ctx context.Context, name string, faults fault.Faults, duration time.Duration) error {
	if err := r.setEndpointFaults(name, faults); err != nil {
		return err
	}
	pause(ctx, duration)
	return r.setEndpointFaults(name, fault.Faults{})
}

func (r *Run) rejectPoolWork(ctx context.Context, step RejectPoolWork) error {
	var errs []error
	for _, endpoint := range r.config.Deployment.Endpoints() {
		if endpoint.Pool.Name == step.Pool {
			errs = append(errs, r.setEndpointFaults(endpoint.Name, fault.Faults{Rejecting: true}))
		}
	}
	pause(ctx, step.Duration)
	for _, endpoint := range r.config.Deployment.Endpoints() {
		if endpoint.Pool.Name == step.Pool {
			errs = append(errs, r.setEndpointFaults(endpoint.Name, fault.Faults{}))
		}
	}
	return trace.NewAggregate(errs...)
}

// markEndpointLeaving makes the endpoint report that it is leaving, and checks that it
// starts no new attempt after maxLeavingDelay.
func (r *Run) markEndpointLeaving(ctx context.Context, step MarkEndpointLeaving) error {
	if err := r.setEndpointFaults(step.Endpoint, fault.Faults{Leaving: true}); err != nil {
		return err
	}
	pause(ctx, maxLeavingDelay)
	before, err := r.fetchAttemptCount(step.Endpoint)
	if err != nil {
		return err
	}
	pause(ctx, step.ObservationTime)
	after, err := r.fetchAttemptCount(step.Endpoint)
	if err != nil {
		return err
	}
	r.guarantees.check(guaranteeLeaving, after == before, "%s started %d attempts after the allowed delay", step.Endpoint, after-before)
	return nil
}

func (r *Run) rollingRestart(ctx context.Context) error {
	for _, h := range r.hosts {
		err := h.process.stop()
		r.guarantees.check(guaranteeGracefulStop, err == nil, "%s exited with %v", h.name, err)
		if err := r.restart(h); err != nil {
			return err
		}
		pause(ctx, restartSettleTime)
	}
	return nil
}

// raceOperators makes two operators change one profile from the same base revision, and
// checks that exactly one change is accepted and in force on all hosts within
// maxInForceDelay.
func (r *Run) raceOperators(ctx context.Context, rounds int) error {
	for round := range rounds {
		if err := r.runRace(ctx, round); err != nil {
			return err
		}
	}
	return nil
}

// competingChange is the change of one of the racing operators.
type competingChange struct {
	run      *Run
	host     int
	spec     profile.Spec
	base     uint64
	accepted operator.AcceptedChange
	err      error
}

func (c *competingChange) submit(ctx context.Context, done chan<- struct{}) {
	c.accepted, c.err = c.run.setProfile(ctx, c.host, c.spec, c.base)
	done <- struct{}{}
}

func (r *Run) runRace(ctx context.Context, round int) error {
	spec := r.config.Deployment.Profiles[len(r.config.Deployment.Profiles)-1]
	base, err := r.fetchRevision(ctx, 0, spec.Name)
	if err != nil {
		return err
	}
	changes := make([]*competingChange, 2)
	done := make(chan struct{}, len(changes))
	for i := range changes {
		changes[i] = &competingChange{
			run:  r,
			host: i,
			spec: spec,
			base: base,
		}
		changes[i].spec.TargetMs += int64(2*round + i)
		go changes[i].submit(ctx, done)
	}
	for range changes {
		<-done
	}
	r.checkRace(ctx, changes)
	return nil
}

func (r *Run) checkRace(ctx context.Context, changes []*competingChange) {
	accepted := 0
	for _, c := range changes {
		var conflict *operator.ConflictError
		switch {
		case c.err == nil:
			accepted++
			r.checkInForce(ctx, c)
		case errors.As(c.err, &conflict):
		default:
			r.guarantees.check(guaranteeConfiguration, false, "change through host %d: %v", c.host+1, c.err)
		}
	}
	r.guarantees.check(guaranteeConfiguration, accepted == 1, "%d of 2 concurrent changes were accepted", accepted)
}

func (r *Run) checkInForce(ctx context.Context, c *competingChange) {
	ctx, cancel := context.WithTimeout(ctx, maxInForceDelay)
	defer cancel()
	err := r.operator(c.host).AwaitInForce(ctx, c.accepted.Offset)
	r.guarantees.check(guaranteeConfiguration, err == nil, "revision %d: %v", c.accepted.Revision, err)
}

func (r *Run) fetchRevision(ctx context.Context, host int, name string) (uint64, error) {
	response, err := r.operator(host).Service().GetProfile(ctx, connect.NewRequest(&operatorv1.GetProfileRequest{
		Name: name,
	}))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return response.Msg.GetProfile().GetRevision(), nil
}

// checkProfilesConsistent checks that, at the end of the run, all hosts have the same
// revisions of all profiles. It does not compare them with the accepted revisions.
func (r *Run) checkProfilesConsistent(ctx context.Context) {
	for _, spec := range r.config.Deployment.Profiles {
		newest := uint64(0)
		revisions := make([]uint64, len(r.hosts))
		for host := range r.hosts {
			revision, err := r.fetchRevision(ctx, host, spec.Name)
			r.guarantees.check(guaranteeConfiguration, err == nil, "%s at host %d: %v", spec.Name, host+1, err)
			revisions[host] = revision
			newest = max(newest, revision)
		}
		for host, revision := range revisions {
			r.guarantees.check(guaranteeConfiguration, revision == newest, "%s at host %d is revision %d, not %d",
				spec.Name, host+1, revision, newest)
		}
	}
}

// shedCodes are the codes of the refusals by which hosts shed load.
var shedCodes = map[string]bool{
	"queueFull":       true,
	"waitLimit":       true,
	"cannotMeetLimit": true,
	"teamOverItsPart": true,
}

// checkLoadReport adds the checks and breaches of the load's report.
func (r *Run) checkLoadReport(report *load.Report) {
	requests := 0
	for _, class := range report.Classes {
		requests += class.Requests
		if class.Tier == profile.TierUrgent {
			r.guarantees.addCounts(guaranteeUrgentTier, class.Requests, 0)
		}
		r.guarantees.check(guaranteeNoStarvation, class.Completed > 0, "%s completed no request", class.Class)
	}
	r.guarantees.addCounts(guaranteeCompleteAnswer, requests, report.WrongAnswers+report.Untyped)
	r.guarantees.addCounts(guaranteeNotRun, report.ReportedNotRun, report.FalseNotRun)
	r.guarantees.addCounts(guaranteeAtMostOnce, report.Bookings, report.Duplicates+report.LostBookings)
	r.guarantees.addCounts(guaranteeGracefulStop, requests, 0)
	for _, refusal := range report.Refusals {
		if refusal.Tier == profile.TierUrgent && shedCodes[refusal.Code] {
			r.guarantees.breaches[guaranteeUrgentTier]++
			r.guarantees.examples = append(r.guarantees.examples, "top-tier request shed: "+refusal.Code)
		}
		if refusal.Code == "connection" && !r.isCausedByKill(refusal) {
			r.guarantees.breaches[guaranteeGracefulStop]++
			r.guarantees.examples = append(r.guarantees.examples, "request interrupted at "+refusal.Host)
		}
	}
	r.guarantees.examples = append(r.guarantees.examples, report.Examples...)
}

// isCausedByKill reports whether a broken connection is attributed to a kill.
func (r *Run) isCausedByKill(refusal load.Refusal) bool {
	for _, h := range r.hosts {
		if h.process.addresses["callers"] != refusal.Host {
			continue
		}
		for _, at := range h.killTimes {
			if refusal.At.After(at.Add(-killAttributionWindow)) && refusal.At.Before(at.Add(killAttributionWindow)) {
				return true
			}
		}
	}
	return false
}
