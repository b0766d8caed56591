package claims

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"cactuswell/core/record"
	"cactuswell/io/logservice"
)

// step is a step in the handling of a call with a key chosen by the caller.
type step string

const (
	stepClaimQueued     step = "claimQueued"
	stepClaimAppended   step = "claimAppended"
	stepClaimReadBack   step = "claimReadBack"
	stepGranted         step = "granted"
	stepStarted         step = "started"
	stepExecuted        step = "executed"
	stepOutcomeQueued   step = "outcomeQueued"
	stepOutcomeAppended step = "outcomeAppended"
	stepOutcomeRecorded step = "outcomeRecorded"
	stepReleaseQueued   step = "releaseQueued"
	stepReleaseAppended step = "releaseAppended"
)

// fault is a fault that is injected at a step.
type fault string

const (
	faultCrash           fault = "crash"
	faultPause           fault = "pause"
	faultPausePastWindow fault = "pausePastWindow"
	faultLostResponse    fault = "lostAnswer"
	faultFailedAppend    fault = "failedAppend"
	faultLateAppend      fault = "lateAppend"
	faultRefusedAppend   fault = "refusedAppend"
	faultLogDown         fault = "logDown"
)

const (
	// testWindow is a short window, so that tests can run past it.
	testWindow = time.Hour
	// testPause is longer than any timeout of a call and shorter than the
	// window.
	testPause     = 15 * time.Minute
	testLongPause = testWindow + 2*time.Hour
	// testRetention is how long the log retains records.
	testRetention = testWindow + 30*time.Minute
	lateBy        = 7 * time.Second
)

// pauseOf returns how long a fault delays a step, or zero.
func pauseOf(f fault) time.Duration {
	switch f {
	case faultPause:
		return testPause
	case faultPausePastWindow:
		return testLongPause
	default:
		return 0
	}
}

// faultLog injects one fault into the calls of the log by one host.
type faultLog struct {
	logservice.Log
	step  step
	fault fault
	// crash stops the host and logDown makes the log unavailable. Neither
	// waits.
	crash   func()
	logDown func()
	mu      sync.Mutex
	fired   bool
}

// noResponseError is the cause of a call of the log without a response.
type noResponseError struct{}

func (noResponseError) Error() string { return "lost" }

func (l *faultLog) tryFire(at step) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fired || at != l.step {
		return false
	}
	l.fired = true
	return true
}

func (l *faultLog) Append(ctx context.Context, stream record.Stream, records [][]byte) (record.Offset, error) {
	queued, appended := stepsOf(records)
	if queued != "" && l.tryFire(queued) {
		if ended, err := l.injectBefore(stream, records); ended {
			return 0, err
		}
	}
	offset, err := l.Log.Append(ctx, stream, records)
	if appended != "" && l.tryFire(appended) {
		return l.injectAfter(offset, err)
	}
	return offset, err
}

// injectBefore injects the fault before the append takes effect, and reports
// whether the append ends with it.
func (l *faultLog) injectBefore(stream record.Stream, records [][]byte) (ended bool, err error) {
	noResponse := trace.Wrap(&logservice.UnavailableError{Cause: noResponseError{}})
	switch l.fault {
	case faultCrash:
		l.crash()
		return true, noResponse
	case faultPause, faultPausePastWindow:
		time.Sleep(pauseOf(l.fault))
		return false, nil
	case faultFailedAppend:
		return true, noResponse
	case faultLateAppend:
		time.AfterFunc(lateBy, func() { _, _ = l.Log.Append(context.Background(), stream, records) })
		return true, noResponse
	case faultRefusedAppend:
		return true, trace.Wrap(&logservice.RefusedError{Status: 429, RetryAfter: time.Second})
	case faultLogDown:
		l.logDown()
		return true, noResponse
	default:
		return false, nil
	}
}

// injectAfter injects the fault after the append took effect.
func (l *faultLog) injectAfter(offset record.Offset, err error) (record.Offset, error) {
	noResponse := trace.Wrap(&logservice.UnavailableError{Cause: noResponseError{}})
	switch l.fault {
	case faultCrash:
		l.crash()
		return 0, noResponse
	case faultPause, faultPausePastWindow:
		time.Sleep(pauseOf(l.fault))
		return offset, err
	case faultLostResponse:
		return 0, noResponse
	case faultLogDown:
		l.logDown()
		return 0, noResponse
	default:
		return offset, err
	}
}

// Read injects the fault of stepClaimReadBack into the first read that returns
// records.
func (l *faultLog) Read(
	ctx context.Context, stream record.Stream, from record.Offset, options logservice.ReadOptions,
) (logservice.ReadResponse, error) {
	response, err := l.Log.Read(ctx, stream, from, options)
	if err != nil || len(response.Records) == 0 || !l.tryFire(stepClaimReadBack) {
		return response, err
	}
	noResponse := trace.Wrap(&logservice.UnavailableError{Cause: noResponseError{}})
	switch l.fault {
	case faultCrash:
		l.crash()
		return logservice.ReadResponse{}, noResponse
	case faultLostResponse:
		return logservice.ReadResponse{}, noResponse
	case faultLogDown:
		l.logDown()
		return logservice.ReadResponse{}, noResponse
	default:
		time.Sleep(pauseOf(l.fault))
		return response, err
	}
}

func stepsOf(records [][]byte) (queued, appended step) {
	envelope, err := record.Decode(records[0])
	if err != nil {
		return "", ""
	}
	switch envelope.Kind {
	case record.KindClaim:
		return stepClaimQueued, stepClaimAppended
	case record.KindClaimOutcome:
		return stepOutcomeQueued, stepOutcomeAppended
	case record.KindClaimRelease:
		return stepReleaseQueued, stepReleaseAppended
	default:
		return "", ""
	}
}
