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

// callResult is the result that a caller received.
type callResult string

const (
	resultAnswer  callResult = "answer"
	resultUnknown callResult = "unknown"
	// resultNotRun guarantees that this request was not run.
	resultNotRun callResult = "notRun"
	// resultKeyNotRun guarantees that no request with its key was run.
	resultKeyNotRun callResult = "noneRun"
	// resultNone means that the host crashed before it responded.
	resultNone callResult = "nothing"
)

const (
	// plainKey has no timestamp.
	plainKey = "hold-4711"
	// timestampedKey is a UUID whose timestamp is the start time of the test.
	timestampedKey = "00dc6acf-ac00-7000-8000-000000004711"
	decisionWait   = 5 * time.Second
)

type retryPlace string

const (
	retrySameHost  retryPlace = "sameHost"
	retryOtherHost retryPlace = "otherHost"
	retryNewHost   retryPlace = "newHost"
)

type retryTime string

const (
	// retryAtOnce is a retry while the fault lasts.
	retryAtOnce retryTime = "atOnce"
	// retryLater is a retry after the log and the host have recovered.
	retryLater retryTime = "later"
	// retryNextDay is a retry after the window.
	retryNextDay retryTime = "nextDay"
)

type crossCase struct {
	step  step
	fault fault
	place retryPlace
	time  retryTime
	key   string
	// abandons is true if the first call abandons its ticket.
	abandons bool
}

func (c crossCase) name() string {
	return fmt.Sprintf("%s/%s/%s/%s/%s", c.step, c.fault, c.place, c.time, c.key)
}

// faultsOf returns the faults that can be injected at a step.
func faultsOf(at step) []fault {
	faults := []fault{faultCrash, faultPause, faultPausePastWindow, faultLogDown}
	switch at {
	case stepClaimQueued, stepOutcomeQueued, stepReleaseQueued:
		return append(faults, faultFailedAppend, faultLateAppend, faultRefusedAppend)
	case stepClaimAppended, stepClaimReadBack, stepOutcomeAppended, stepReleaseAppended:
		return append(faults, faultLostResponse)
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
		keys = append(keys, timestampedKey)
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

// TestCrossProduct guards against a second run of a key and against wrong
// reports that a call was not run. It combines every step of a claim with every
// fault at that step and with retries on every host and at every time. The
// cases run in parallel, as each has its own fleet and virtual clock.
func TestCrossProduct(t *testing.T) {
	for _, c := range crossProduct() {
		t.Run(c.name(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				newCrossRun(t, c).run()
			})
		})
	}
}

// crossRun is the run of one case.
type crossRun struct {
	t              *testing.T
	c              crossCase
	fleet          *testFleet
	service        *bookings
	faults         *faultLog
	faulty         *testHost
	other          *testHost
	calls          sync.WaitGroup
	mu             sync.Mutex
	results        map[string]callResult
	wrongKeyNotRun []string
	// maxRuns is the maximum number of executions of the key.
	maxRuns int
}

func newCrossRun(t *testing.T, c crossCase) *crossRun {
	x := &crossRun{
		t:       t,
		c:       c,
		fleet:   newFleet(t),
		service: newBookings(),
		results: make(map[string]callResult),
		maxRuns: 1,
	}
	x.fleet.settings.Window = testWindow
	x.faults = &faultLog{
		Log:     x.fleet.store,
		step:    c.step,
		fault:   c.fault,
		crash:   func() { x.faulty.cancel() },
		logDown: func() { x.fleet.store.SetFaults(logFaults(true)) },
	}
	x.fleet.store.SetFaults(logFaults(false))
	x.faulty = x.fleet.startOver("host-1", x.faults)
	x.other = x.fleet.start("host-2")
	return x
}

func (x *crossRun) run() {
	defer x.fleet.stop()
	time.Sleep(time.Second)
	x.startCall(x.faulty, "request-1", x.c.abandons)
	switch x.c.time {
	case retryAtOnce:
		time.Sleep(10 * time.Millisecond)
		x.retry("request-2")
		x.endOutage()
		x.retry("request-3")
	case retryLater:
		x.endOutage()
		x.retry("request-2")
		x.retry("request-3")
	case retryNextDay:
		x.endOutage()
		time.Sleep(2 * testPause)
		if x.c.key == plainKey && x.outcomeRecorded() {
			// A plain key whose outcome is older than the window counts as new.
			x.maxRuns = 2
		}
		time.Sleep(testWindow + 2*testPause)
		x.retry("request-2")
		x.retry("request-3")
	}
	x.calls.Wait()
	time.Sleep(time.Minute)
	x.verify()
}

// endOutage ends the log's outage after the first call must have been decided.
func (x *crossRun) endOutage() {
	time.Sleep(2 * decisionWait)
	x.fleet.store.SetFaults(logFaults(false))
	time.Sleep(2 * decisionWait)
}

// logFaults returns the faults of a log that retains its records for
// testRetention.
func logFaults(down bool) standin.Faults {
	return standin.Faults{
		Down:        down,
		RetentionMs: testRetention.Milliseconds(),
	}
}

func (x *crossRun) outcomeRecorded() bool {
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

func (x *crossRun) retry(request string) {
	host := x.faulty
	switch x.c.place {
	case retrySameHost:
	case retryOtherHost:
		host = x.other
	case retryNewHost:
		host = x.fleet.start("host-3")
	}
	x.startCall(host, request, false)
	time.Sleep(2 * decisionWait)
}

// startCall starts a call and records its result, without waiting for it.
func (x *crossRun) startCall(host *testHost, request string, abandons bool) {
	x.calls.Add(1)
	go func() {
		defer x.calls.Done()
		end := x.runCall(host, request, abandons)
		x.mu.Lock()
		defer x.mu.Unlock()
		x.results[request] = end
		if end == resultKeyNotRun && x.service.runsOfKey(x.c.key) > 0 {
			x.wrongKeyNotRun = append(x.wrongKeyNotRun, request)
		}
	}()
}

func (x *crossRun) runCall(host *testHost, request string, abandons bool) callResult {
	switch decision := host.decide(x.c.key, "a", decisionWait).(type) {
	case Run:
		return x.execute(host, decision.Ticket, request, abandons)
	case Replay:
		return resultAnswer
	case Refused:
		if decision.KeyUnchecked {
			return resultNotRun
		}
		return resultKeyNotRun
	default:
		return resultUnknown
	}
}

func (x *crossRun) execute(host *testHost, ticket *Ticket, request string, abandons bool) callResult {
	defer ticket.Close()
	if !x.reachStep(host, stepGranted) {
		return resultNone
	}
	if abandons || ticket.MarkStarted() != nil {
		return resultKeyNotRun
	}
	if !x.reachStep(host, stepStarted) {
		return resultNone
	}
	x.service.run(x.c.key, request)
	if !x.reachStep(host, stepExecuted) {
		return resultNone
	}
	_ = ticket.Finish(booked)
	time.Sleep(time.Second)
	if !x.reachStep(host, stepOutcomeRecorded) {
		return resultNone
	}
	return resultAnswer
}

// reachStep injects the fault if it belongs to this step, and reports whether
// the host continues.
func (x *crossRun) reachStep(host *testHost, at step) bool {
	if host != x.faulty || !x.faults.tryFire(at) {
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

func (x *crossRun) verify() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.faults.tryFire(x.c.step) {
		x.t.Error("the fault was not injected")
	}
	if runs := x.service.runsOfKey(x.c.key); runs > x.maxRuns {
		x.t.Errorf("key was executed %d times; results of the callers: %v", runs, x.results)
	}
	for request, end := range x.results {
		if (end == resultNotRun || end == resultKeyNotRun) && x.service.runsOfRequest(request) > 0 {
			x.t.Errorf("%s got the result %s but was run", request, end)
		}
	}
	if len(x.wrongKeyNotRun) > 0 {
		x.t.Errorf("%v were reported that the key was not run, but it was", x.wrongKeyNotRun)
	}
}
