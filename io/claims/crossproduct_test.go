package claims

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cactuswell/core/record"
	"cactuswell/io/logservice"
	standin "cactuswell/standin/logservice"
)

// told is what a caller was told.
type told string

const (
	toldAnswer  told = "answer"
	toldUnknown told = "unknown"
	// toldNotRun promises that this request was not run; toldNoneRun that no
	// request with its key was.
	toldNotRun  told = "notRun"
	toldNoneRun told = "noneRun"
	// toldNothing stands for a host that crashed under its caller.
	toldNothing told = "nothing"
)

const (
	// plainKey says nothing of its age; timedKey was made when the test begins.
	plainKey  = "hold-4711"
	timedKey  = "00dc6acf-ac00-7000-8000-000000004711"
	crossWait = 5 * time.Second
)

type retryPlace string

const (
	retrySameHost  retryPlace = "sameHost"
	retryOtherHost retryPlace = "otherHost"
	retryNewHost   retryPlace = "newHost"
)

type retryTime string

const (
	// retryAtOnce comes while the fault lasts, retryLater after the log and the
	// host are well again, and retryNextDay after the window.
	retryAtOnce  retryTime = "atOnce"
	retryLater   retryTime = "later"
	retryNextDay retryTime = "nextDay"
)

type crossCase struct {
	step  step
	fault fault
	place retryPlace
	time  retryTime
	key   string
	// abandons makes the first call give its ticket back.
	abandons bool
}

func (c crossCase) name() string {
	return fmt.Sprintf("%s/%s/%s/%s/%s", c.step, c.fault, c.place, c.time, c.key)
}

// faultsOf lists the faults that can happen at a step.
func faultsOf(at step) []fault {
	faults := []fault{faultCrash, faultPause, faultPausePastWindow, faultLogDown}
	switch at {
	case stepClaimQueued, stepOutcomeQueued, stepReleaseQueued:
		return append(faults, faultFailedAppend, faultLateAppend, faultRefusedAppend)
	case stepClaimAppended, stepClaimReadBack, stepOutcomeAppended, stepReleaseAppended:
		return append(faults, faultLostAnswer)
	default:
		return faults
	}
}

func crossProduct() []crossCase {
	steps := []step{
		stepClaimQueued, stepClaimAppended, stepClaimReadBack, stepGranted, stepStarted, stepExecuted,
		stepOutcomeQueued, stepOutcomeAppended, stepOutcomeRecorded, stepReleaseQueued, stepReleaseAppended,
	}
	var cases []crossCase
	for _, at := range steps {
		for _, f := range faultsOf(at) {
			for _, place := range []retryPlace{retrySameHost, retryOtherHost, retryNewHost} {
				for _, when := range []retryTime{retryAtOnce, retryLater, retryNextDay} {
					cases = append(cases, casesOf(at, f, place, when)...)
				}
			}
		}
	}
	return cases
}

func casesOf(at step, f fault, place retryPlace, when retryTime) []crossCase {
	var cases []crossCase
	keys := []string{plainKey}
	if when == retryNextDay {
		keys = append(keys, timedKey)
	}
	for _, key := range keys {
		cases = append(cases, crossCase{
			step:     at,
			fault:    f,
			place:    place,
			time:     when,
			key:      key,
			abandons: at == stepReleaseQueued || at == stepReleaseAppended,
		})
	}
	return cases
}

// TestCrossProduct crosses every step of a claim with every fault and with a
// retry at every place and time. The cases run beside each other, as each has a
// fleet and a virtual clock of its own.
func TestCrossProduct(t *testing.T) {
	for _, c := range crossProduct() {
		t.Run(c.name(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				newCross(t, c).run()
			})
		})
	}
}

// cross runs one case.
type cross struct {
	t       *testing.T
	c       crossCase
	fleet   *testFleet
	service *bookings
	faults  *faultLog
	faulty  *testHost
	other   *testHost
	calls   sync.WaitGroup
	mu      sync.Mutex
	ends    map[string]told
	noneRun []string
	// limit is how often the key may be executed.
	limit int
}

func newCross(t *testing.T, c crossCase) *cross {
	x := &cross{
		t:       t,
		c:       c,
		fleet:   newFleet(t),
		service: newBookings(),
		ends:    make(map[string]told),
		limit:   1,
	}
	x.fleet.settings.Window = testWindow
	x.faults = &faultLog{
		Log:     x.fleet.store,
		step:    c.step,
		fault:   c.fault,
		crash:   func() { x.faulty.cancel() },
		logDown: func() { x.fleet.store.SetFaults(keeping(true)) },
	}
	x.fleet.store.SetFaults(keeping(false))
	x.faulty = x.fleet.startOver("host-1", x.faults)
	x.other = x.fleet.start("host-2")
	return x
}

func (x *cross) run() {
	defer x.fleet.stop()
	time.Sleep(time.Second)
	x.call(x.faulty, "request-1", x.c.abandons)
	switch x.c.time {
	case retryAtOnce:
		time.Sleep(10 * time.Millisecond)
		x.retry("request-2")
		x.heal()
		x.retry("request-3")
	case retryLater:
		x.heal()
		x.retry("request-2")
		x.retry("request-3")
	case retryNextDay:
		x.heal()
		time.Sleep(2 * testPause)
		if x.c.key == plainKey && x.outcomeRecorded() {
			// A plain key that was settled longer than the window ago counts as
			// new.
			x.limit = 2
		}
		time.Sleep(testWindow + 2*testPause)
		x.retry("request-2")
		x.retry("request-3")
	}
	x.calls.Wait()
	time.Sleep(time.Minute)
	x.verify()
}

// heal waits until the first call must have had its decision, and ends the
// log's outage.
func (x *cross) heal() {
	time.Sleep(2 * crossWait)
	x.fleet.store.SetFaults(keeping(false))
	time.Sleep(2 * crossWait)
}

// keeping returns the faults of a log that keeps its records for a while.
func keeping(down bool) standin.Faults {
	return standin.Faults{
		Down:        down,
		RetentionMs: testRetention.Milliseconds(),
	}
}

func (x *cross) outcomeRecorded() bool {
	response, err := x.fleet.store.Read(context.Background(), record.StreamClaims, 0, logservice.ReadOptions{})
	if err != nil {
		x.t.Fatal(err)
	}
	for _, stored := range response.Records {
		envelope, err := record.Decode(stored.Data)
		if err == nil && envelope.Kind == record.KindClaimOutcome {
			return true
		}
	}
	return false
}

func (x *cross) retry(request string) {
	host := x.faulty
	switch x.c.place {
	case retrySameHost:
	case retryOtherHost:
		host = x.other
	case retryNewHost:
		host = x.fleet.start("host-3")
	}
	x.call(host, request, false)
	time.Sleep(2 * crossWait)
}

// call makes a call as a caller's path does, without waiting for its end.
func (x *cross) call(host *testHost, request string, abandons bool) {
	x.calls.Add(1)
	go func() {
		defer x.calls.Done()
		end := x.path(host, request, abandons)
		x.mu.Lock()
		defer x.mu.Unlock()
		x.ends[request] = end
		if end == toldNoneRun && x.service.ofKey(x.c.key) > 0 {
			x.noneRun = append(x.noneRun, request)
		}
	}()
}

func (x *cross) path(host *testHost, request string, abandons bool) told {
	switch decision := host.begin(x.c.key, "a", crossWait).(type) {
	case Run:
		return x.execute(host, decision.Ticket, request, abandons)
	case Replay:
		return toldAnswer
	case Refused:
		if decision.KeyUnchecked {
			return toldNotRun
		}
		return toldNoneRun
	default:
		return toldUnknown
	}
}

func (x *cross) execute(host *testHost, ticket *Ticket, request string, abandons bool) told {
	defer ticket.Close()
	if !x.reach(host, stepGranted) {
		return toldNothing
	}
	if abandons || ticket.MarkStarted() != nil {
		return toldNoneRun
	}
	if !x.reach(host, stepStarted) {
		return toldNothing
	}
	x.service.run(x.c.key, request)
	if !x.reach(host, stepExecuted) {
		return toldNothing
	}
	_ = ticket.Finish(booked)
	time.Sleep(time.Second)
	if !x.reach(host, stepOutcomeRecorded) {
		return toldNothing
	}
	return toldAnswer
}

// reach applies the fault if it belongs to this step, and reports whether the
// host goes on.
func (x *cross) reach(host *testHost, at step) bool {
	if host != x.faulty || !x.faults.fire(at) {
		return true
	}
	switch x.c.fault {
	case faultCrash:
		host.crash()
		return false
	case faultLogDown:
		x.faults.logDown()
	default:
		time.Sleep(pauseOf(x.c.fault))
	}
	return true
}

func (x *cross) verify() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.faults.fire(x.c.step) {
		x.t.Error("the fault did not happen")
	}
	if runs := x.service.ofKey(x.c.key); runs > x.limit {
		x.t.Errorf("executed %d times; callers were told %v", runs, x.ends)
	}
	for request, end := range x.ends {
		if (end == toldNotRun || end == toldNoneRun) && x.service.ofRequest(request) > 0 {
			x.t.Errorf("%s was told %s and was run", request, end)
		}
	}
	if len(x.noneRun) > 0 {
		x.t.Errorf("%v were told that the key was not run, and it was", x.noneRun)
	}
}
