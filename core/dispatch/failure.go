package dispatch

import (
	"time"

	"cactuswell/core/profile"
	"cactuswell/core/routing"
)

// maxResumes bounds the resumes of one attempt.
const maxResumes = 8

// failed takes note of an attempt that ended without a whole answer.
func (p *Pool) failed(id AttemptID, failure Failure) {
	a := p.find(id)
	if a == nil {
		return
	}
	r := a.request
	p.record(r, Decision{
		Kind:     DecisionFailed,
		Attempt:  a.id.Number,
		Endpoint: a.work.Key,
		Reason:   failureName(failure),
		Tokens:   a.tokens,
	})
	switch failure := failure.(type) {
	case NotStarted:
		p.notStarted(r, a, failure)
	case Broken:
		if !r.once && p.canResume(a) {
			p.resume(a)
			p.armRunning(r)
			return
		}
		p.failedRunning(r, a, RefuseStreamTruncated)
	case Errored:
		if failure.Permanent {
			r.mayHaveRun = true
			p.end(a, routing.OutcomeCanceled)
			p.refuseFailed(r, RefuseEndpointError)
			return
		}
		p.failedRunning(r, a, RefuseEndpointError)
	case Mismatched, UnknownAttempt:
		p.failedRunning(r, a, RefuseEndpointError)
	}
}

// notStarted handles an attempt that was certainly not run, unless it is the
// resume of one that may have been.
func (p *Pool) notStarted(r *request, a *attempt, failure NotStarted) {
	if a.resumes > 0 {
		p.failedRunning(r, a, RefuseStreamTruncated)
		return
	}
	outcome := routing.OutcomeFailed
	if failure.RetryAfter > 0 {
		outcome = routing.OutcomeRejected
	}
	r.avoidEndpoint(a.work.Key)
	p.end(a, outcome)
	p.retry(r, RefuseAttemptsExhausted, failure.RetryAfter)
}

// failedRunning handles a failed attempt that may have run.
func (p *Pool) failedRunning(r *request, a *attempt, reason RefuseReason) {
	r.mayHaveRun = true
	r.avoidEndpoint(a.work.Key)
	p.end(a, routing.OutcomeFailed)
	p.retry(r, reason, 0)
}

// retry schedules another attempt at a request that has none running, or ends
// the request.
func (p *Pool) retry(r *request, reason RefuseReason, retryAfter time.Duration) {
	if r.running > 0 {
		p.armRunning(r)
		return
	}
	if r.once && r.mayHaveRun {
		p.refuse(r, RefuseOutcomeUnknown)
		return
	}
	r.failure = reason
	r.brokenAt = p.now
	if int(r.numbers) >= p.settings.MaxAttempts || p.backingOff >= p.settings.Queue.MaxQueued {
		p.refuseFailed(r, reason)
		return
	}
	r.phase = phaseBackoff
	p.backingOff++
	r.reserved = p.budget.Reserve()
	p.backOff(r, retryAfter)
}

// refuseFailed ends a request whose attempts failed.
func (p *Pool) refuseFailed(r *request, reason RefuseReason) {
	switch {
	case r.once && r.mayHaveRun:
		reason = RefuseOutcomeUnknown
	case r.delivered > 0:
		reason = RefuseStreamTruncated
	case reason == RefuseStreamTruncated:
		reason = RefuseAttemptsExhausted
	}
	p.refuse(r, reason)
}

// backOff arms the timer for a request's next attempt, or ends the request if
// that would be too late.
func (p *Pool) backOff(r *request, retryAfter time.Duration) {
	r.retries++
	at, ok := p.settings.Backoff.NextAttempt(p.now, r.retries, retryAfter, r.retryBy(), p.random)
	if !ok {
		p.refuseFailed(r, r.failure)
		return
	}
	p.record(r, Decision{
		Kind:   DecisionRetry,
		Reason: string(r.failure),
		Wait:   at.Sub(p.now),
	})
	p.setTimer(r, at)
}

// backoffOver queues a request again if the budget allows.
func (p *Pool) backoffOver(r *request) {
	if !r.reserved {
		r.reserved = p.budget.Reserve()
	}
	if !r.reserved {
		p.counters.BudgetExhausted++
		p.backOff(r, 0)
		return
	}
	p.backingOff--
	p.requeue(r, r.retryBy())
}

// requeue puts a request that holds a budgeted attempt back into the queue.
func (p *Pool) requeue(r *request, waitUntil time.Time) {
	r.phase = phaseQueued
	r.hedgeTried = false
	r.startBy = waitUntil
	r.entry.Pinned = r.delivered > 0
	p.queue.Add(&r.entry)
	p.setTimer(r, waitUntil)
}

// canResume reports whether the rest of an attempt's stream may be asked for.
// A leaving endpoint is asked for nothing, not even for the rest of what it
// began: it counts every new connection as work that keeps it from leaving.
func (p *Pool) canResume(a *attempt) bool {
	return p.settings.Kind == profile.KindModel &&
		a.unanswered == 0 &&
		a.resumes < maxResumes &&
		!p.closed.has(a.work.Key)
}

func (p *Pool) resume(a *attempt) {
	a.resumes++
	a.unanswered++
	a.progressAt = p.now
	p.counters.Resumes++
	p.commands = append(p.commands, ResumeAttempt{
		Attempt:  a.id,
		Endpoint: a.work.Key,
		From:     a.tokens,
	})
	p.record(a.request, Decision{
		Kind:     DecisionResumed,
		Attempt:  a.id.Number,
		Endpoint: a.work.Key,
		Tokens:   a.tokens,
	})
}

func failureName(failure Failure) string {
	switch failure.(type) {
	case NotStarted:
		return "notStarted"
	case Broken:
		return "broken"
	case Errored:
		return "errored"
	case Mismatched:
		return "mismatched"
	case UnknownAttempt:
		return "forgotten"
	}
	return "unknown"
}
