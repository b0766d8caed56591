package claims

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"cactuswell/core/record"
	"cactuswell/io/logservice"
)

// step is a point in the life of a call with the caller's own key.
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

// fault is what happens at a step.
type fault string

const (
	faultCrash           fault = "crash"
	faultPause           fault = "pause"
	faultPausePastWindow fault = "pausePastWindow"
	faultLostAnswer      fault = "lostAnswer"
	faultFailedAppend    fault = "failedAppend"
	faultLateAppend      fault = "lateAppend"
	faultRefusedAppend   fault = "refusedAppend"
	faultLogDown         fault = "logDown"
)

const (
	// testWindow is a short window, so that the tests can pass beyond it.
	testWindow = time.Hour
	// testPause is longer than any bound of a call, and shorter than the window.
	testPause     = 15 * time.Minute
	testLongPause = testWindow + 2*time.Hour
	// testRetention is how long the log keeps records.
	testRetention = testWindow + 30*time.Minute
	lateBy        = 7 * time.Second
)

// pauseOf returns how long a fault holds a step back, or zero.
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

// faultLog injects one fault into one host's calls of the log.
type faultLog struct {
	logservice.Log
	step  step
	fault fault
	// crash ends the host, and logDown the log, without waiting.
	crash   func()
	logDown func()
	mu      sync.Mutex
	fired   bool
}

// lostError is the cause of an append without a clear answer.
type lostError struct{}

func (lostError) Error() string { return "lost" }

func (l *faultLog) fire(at step) bool {
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
	if queued != "" && l.fire(queued) {
		if ended, err := l.before(stream, records); ended {
			return 0, err
		}
	}
	offset, err := l.Log.Append(ctx, stream, records)
	if appended != "" && l.fire(appended) {
		return l.after(offset, err)
	}
	return offset, err
}

// before applies the fault before the append takes effect, and reports whether
// the append ends with it.
func (l *faultLog) before(stream record.Stream, records [][]byte) (ended bool, err error) {
	lost := trace.Wrap(&logservice.UnavailableError{Cause: lostError{}})
	switch l.fault {
	case faultCrash:
		l.crash()
		return true, lost
	case faultPause, faultPausePastWindow:
		time.Sleep(pauseOf(l.fault))
		return false, nil
	case faultFailedAppend:
		return true, lost
	case faultLateAppend:
		time.AfterFunc(lateBy, func() { _, _ = l.Log.Append(context.Background(), stream, records) })
		return true, lost
	case faultRefusedAppend:
		return true, trace.Wrap(&logservice.RefusedError{Status: 429, RetryAfter: time.Second})
	case faultLogDown:
		l.logDown()
		return true, lost
	default:
		return false, nil
	}
}

// after applies the fault after the append took effect.
func (l *faultLog) after(offset record.Offset, err error) (record.Offset, error) {
	lost := trace.Wrap(&logservice.UnavailableError{Cause: lostError{}})
	switch l.fault {
	case faultCrash:
		l.crash()
		return 0, lost
	case faultPause, faultPausePastWindow:
		time.Sleep(pauseOf(l.fault))
		return offset, err
	case faultLostAnswer:
		return 0, lost
	case faultLogDown:
		l.logDown()
		return 0, lost
	default:
		return offset, err
	}
}

// Read applies a fault to the first read that brings a claim.
func (l *faultLog) Read(
	ctx context.Context, stream record.Stream, from record.Offset, options logservice.ReadOptions,
) (logservice.ReadResponse, error) {
	response, err := l.Log.Read(ctx, stream, from, options)
	if err != nil || len(response.Records) == 0 || !l.fire(stepClaimReadBack) {
		return response, err
	}
	lost := trace.Wrap(&logservice.UnavailableError{Cause: lostError{}})
	switch l.fault {
	case faultCrash:
		l.crash()
		return logservice.ReadResponse{}, lost
	case faultLostAnswer:
		return logservice.ReadResponse{}, lost
	case faultLogDown:
		l.logDown()
		return logservice.ReadResponse{}, lost
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
