package dispatch

import (
	"time"

	"cactuswell/core/profile"
	"cactuswell/core/routing"
)

// findAttempt returns the running attempt with that ID. If the attempt has ended,
// it counts a late event and returns nil.
func (p *Pool) findAttempt(id AttemptID) *attempt {
	if r := p.requests[id.Request]; r != nil {
		if a := r.runningAttempt(id.Number); a != nil {
			return a
		}
	}
	p.counters.LateEvents++
	return nil
}

// handleAccepted does nothing but count a late event if the attempt has ended.
func (p *Pool) handleAccepted(id AttemptID) {
	p.findAttempt(id)
}

// handleProgress records an attempt's progress. The first attempt of a request
// that makes progress is adopted.
func (p *Pool) handleProgress(id AttemptID, tokens int) {
	a := p.findAttempt(id)
	if a == nil || tokens <= a.tokens {
		return
	}
	r := a.request
	first := a.tokens == 0
	p.reportProgress(a, tokens)
	a.tokens = tokens
	a.progressAt = p.now
	a.unansweredResumes = 0
	a.ignoreStall = false
	if first && r.spec.Profile.Measure() == profile.MeasureFirstToken {
		p.histories.of(r.entry.Class).targetDelay.add(p.now.Sub(a.work.SentAt))
	}
	p.adopt(r, a)
	r.delivered = max(r.delivered, tokens)
	if first {
		p.armRunning(r)
	}
}

// reportProgress reports an attempt's progress to the router. One event may cover
// several tokens; the first event is always reported as the first token.
func (p *Pool) reportProgress(a *attempt, tokens int) {
	sinceSent := p.now.Sub(a.work.SentAt)
	if a.tokens == 0 {
		p.router.RecordProgress(p.now, a.work.Key, 1, tokens, sinceSent, sinceSent)
		return
	}
	p.router.RecordProgress(p.now, a.work.Key, tokens, tokens-a.tokens, sinceSent, p.now.Sub(a.progressAt))
}

// adopt makes an attempt the source of the caller's answer and cancels the
// others.
func (p *Pool) adopt(r *request, a *attempt) {
	if r.adopted == a.id.Number {
		return
	}
	r.adopted = a.id.Number
	p.commands = append(p.commands, AdoptAttempt{
		Attempt: a.id,
		From:    r.delivered,
	})
	p.recordDecision(r, Decision{
		Kind:     DecisionAdopted,
		Attempt:  a.id.Number,
		Endpoint: a.work.Key,
		Tokens:   r.delivered,
	})
	if a.isHedge {
		p.counters.HedgesWon++
	}
	p.cancelOthers(r, a)
}

// handleFinished completes a request with the attempt's answer.
func (p *Pool) handleFinished(id AttemptID, tokens int) {
	a := p.findAttempt(id)
	if a == nil {
		return
	}
	r := a.request
	a.tokens = max(a.tokens, tokens)
	if tokens < r.delivered {
		p.refuseTruncated(r, a)
		return
	}
	history := p.histories.of(r.entry.Class)
	history.lengths.add(tokens)
	history.slotTime.add(p.now.Sub(a.work.SentAt))
	if r.spec.Profile.Measure() == profile.MeasureCompletion {
		history.targetDelay.add(p.now.Sub(a.work.SentAt))
	}
	p.adopt(r, a)
	p.commands = append(p.commands, CompleteRequest{
		Request: r.spec.ID,
		Attempt: a.id,
	})
	p.recordDecision(r, Decision{
		Kind:     DecisionCompleted,
		Attempt:  a.id.Number,
		Endpoint: a.work.Key,
		Wait:     p.sinceArrival(r),
		Tokens:   tokens,
	})
	p.counters.Completed++
	p.endAttempt(a, routing.OutcomeCompleted)
	p.removeRequest(r)
}

// refuseTruncated refuses a request whose finished answer is shorter than what
// was already delivered to the caller from another attempt.
func (p *Pool) refuseTruncated(r *request, a *attempt) {
	p.endAttempt(a, routing.OutcomeFailed)
	p.refuse(r, RefuseStreamTruncated)
}

// handleCancel removes a request whose caller canceled it. Such a request gets
// no final command.
func (p *Pool) handleCancel(id RequestID) {
	r := p.requests[id]
	if r == nil {
		return
	}
	p.counters.Canceled++
	p.cancelAll(r, CancelCallerCanceled)
	p.removeRequest(r)
}

// Bounds of the delay after which refused callers are asked to retry.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// refuse ends a request without a complete answer.
func (p *Pool) refuse(r *request, reason RefuseReason) {
	p.cancelAll(r, CancelTimedOut)
	execution := NotRun
	if r.mayHaveRun() {
		execution = MayHaveRun
	}
	p.commands = append(p.commands, RefuseRequest{
		Request:    r.spec.ID,
		Reason:     reason,
		Execution:  execution,
		RetryAfter: p.retryAfter(r),
	})
	p.recordDecision(r, Decision{
		Kind:   DecisionRefused,
		Reason: string(reason),
		Wait:   p.sinceArrival(r),
	})
	p.counters.Refused[reason]++
	p.removeRequest(r)
}

// retryAfter returns the delay after which a refused caller is asked to retry: the
// expected wait of its request, rounded to seconds and bounded.
func (p *Pool) retryAfter(r *request) time.Duration {
	wait := p.expectedWait(r).Round(time.Second)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
