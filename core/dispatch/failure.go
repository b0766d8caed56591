package dispatch

import (
	"time"

	"cactuswell/core/profile"
	"cactuswell/core/routing"
)

// maxResumes bounds the resumes of one attempt.
const maxResumes = 8

// handleFailed handles an attempt that ended without a complete answer.
func (p *Pool) handleFailed(id AttemptID, failure Failure) {
	a := p.findAttempt(id)
	if a == nil {
		return
	}
	r := a.request
	p.recordDecision(r, Decision{
		Kind:     DecisionFailed,
		Attempt:  a.id.Number,
		Endpoint: a.work.Key,
		Reason:   failureName(failure),
		Tokens:   a.tokens,
	})
	switch failure := failure.(type) {
	case NotStarted:
		p.handleNotStarted(r, a, failure)
	case Broken:
		if !r.atMostOnce && p.canResume(a) {
			p.resumeAttempt(a)
			p.armRunning(r)
			return
		}
		p.handleMayHaveRun(r, a, RefuseStreamTruncated)
	case Errored:
		if failure.Permanent {
			p.endAttempt(a, routing.OutcomeCanceled)
			p.refuseFailed(r, RefuseEndpointError)
			return
		}
		p.handleMayHaveRun(r, a, RefuseEndpointError)
	case Mismatched, UnknownAttempt:
		p.handleMayHaveRun(r, a, RefuseEndpointError)
	}
}

// handleNotStarted handles an attempt that certainly did not run. If the endpoint
// did not start a resume, the attempt itself may have run.
func (p *Pool) handleNotStarted(r *request, a *attempt, failure NotStarted) {
	if a.resumes > 0 {
		p.handleMayHaveRun(r, a, RefuseStreamTruncated)
		return
	}
	r.attemptsNotRun++
	outcome := routing.OutcomeFailed
	if failure.RetryAfter > 0 {
		outcome = routing.OutcomeRejected
	}
	r.avoidEndpoint(a.work.Key)
	p.endAttempt(a, outcome)
	p.scheduleRetry(r, RefuseAttemptsExhausted, failure.RetryAfter)
}

// handleMayHaveRun handles a failed attempt that may have run.
func (p *Pool) handleMayHaveRun(r *request, a *attempt, reason RefuseReason) {
	r.avoidEndpoint(a.work.Key)
	p.endAttempt(a, routing.OutcomeFailed)
	p.scheduleRetry(r, reason, 0)
}

// scheduleRetry schedules another attempt of a request, or refuses the request. If
// another attempt of it is running, it only sets the timer.
func (p *Pool) scheduleRetry(r *request, reason RefuseReason, retryAfter time.Duration) {
	if r.running > 0 {
		p.armRunning(r)
		return
	}
	if r.atMostOnce && r.mayHaveRun() {
		p.refuse(r, RefuseOutcomeUnknown)
		return
	}
	r.failureReason = reason
	r.failedAt = p.now
	if int(r.attemptsStarted) >= p.settings.MaxAttempts || p.backingOff >= p.settings.Queue.MaxQueued {
		p.refuseFailed(r, reason)
		return
	}
	r.phase = phaseBackoff
	p.backingOff++
	r.budgetReserved = p.budget.Reserve()
	p.startBackoff(r, retryAfter)
}

// refuseFailed refuses a request whose attempts failed.
func (p *Pool) refuseFailed(r *request, reason RefuseReason) {
	switch {
	case r.atMostOnce && r.mayHaveRun():
		reason = RefuseOutcomeUnknown
	case r.delivered > 0:
		reason = RefuseStreamTruncated
	case reason == RefuseStreamTruncated:
		reason = RefuseAttemptsExhausted
	}
	p.refuse(r, reason)
}

// startBackoff sets the timer for a request's next attempt, or refuses the
// request if that would be too late.
func (p *Pool) startBackoff(r *request, retryAfter time.Duration) {
	r.retries++
	at, ok := p.settings.Backoff.NextAttempt(p.now, r.retries, retryAfter, r.retryDeadline(), p.random)
	if !ok {
		p.refuseFailed(r, r.failureReason)
		return
	}
	p.recordDecision(r, Decision{
		Kind:   DecisionRetry,
		Reason: string(r.failureReason),
		Wait:   at.Sub(p.now),
	})
	p.setTimer(r, at)
}

// finishBackoff queues a request again if the retry budget allows, and otherwise
// backs off again.
func (p *Pool) finishBackoff(r *request) {
	if !r.budgetReserved {
		r.budgetReserved = p.budget.Reserve()
	}
	if !r.budgetReserved {
		p.counters.BudgetExhausted++
		p.startBackoff(r, 0)
		return
	}
	p.backingOff--
	p.requeue(r, r.retryDeadline())
}

// requeue queues a request again. The request has reserved an attempt of the retry
// budget.
func (p *Pool) requeue(r *request, waitUntil time.Time) {
	r.phase = phaseQueued
	r.hedgeTried = false
	r.waitDeadline = waitUntil
	r.entry.Pinned = r.delivered > 0
	p.queue.Add(&r.entry)
	p.setTimer(r, waitUntil)
}

// canResume reports whether the rest of an attempt's stream may be requested. A
// leaving endpoint gets no request at all, not even for the rest of an answer
// that it started: it counts every new connection as work that delays its
// leaving.
func (p *Pool) canResume(a *attempt) bool {
	return p.settings.Kind == profile.KindModel &&
		a.unansweredResumes == 0 &&
		a.resumes < maxResumes &&
		!p.excluded.has(a.work.Key)
}

func (p *Pool) resumeAttempt(a *attempt) {
	a.resumes++
	a.unansweredResumes++
	a.progressAt = p.now
	p.counters.Resumes++
	p.commands = append(p.commands, ResumeAttempt{
		Attempt:  a.id,
		Endpoint: a.work.Key,
		From:     a.tokens,
	})
	p.recordDecision(a.request, Decision{
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
