package dispatch

import (
	"time"

	"cactuswell/core/profile"
	"cactuswell/core/routing"
)

// find returns the running attempt that an event is about, or nil for one that
// has ended.
func (p *Pool) find(id AttemptID) *attempt {
	if r := p.requests[id.Request]; r != nil {
		if a := r.attempt(id.Number); a != nil {
			return a
		}
	}
	p.counters.LateEvents++
	return nil
}

// accepted counts the acceptance of an attempt that has ended as a late event.
func (p *Pool) accepted(id AttemptID) {
	p.find(id)
}

// progressed takes note of an attempt's progress. The first attempt of a request
// to make any is the one that the caller hears.
func (p *Pool) progressed(id AttemptID, tokens int) {
	a := p.find(id)
	if a == nil || tokens <= a.tokens {
		return
	}
	r := a.request
	first := a.tokens == 0
	p.reportProgress(a, tokens)
	a.tokens = tokens
	a.progressAt = p.now
	a.unanswered = 0
	a.gaveUp = false
	if first && r.spec.Profile.Measure() == profile.MeasureFirstToken {
		p.histories.of(r.entry.Class).delay.add(p.now.Sub(a.work.SentAt))
	}
	p.adopt(r, a)
	r.delivered = max(r.delivered, tokens)
	if first {
		p.armRunning(r)
	}
}

// reportProgress tells the router of an attempt's progress. One event may stand
// for several tokens; the first one is the first token in any case.
func (p *Pool) reportProgress(a *attempt, tokens int) {
	sinceSent := p.now.Sub(a.work.SentAt)
	if a.tokens == 0 {
		p.router.Progressed(p.now, a.work.Key, 1, tokens, sinceSent, sinceSent)
		return
	}
	p.router.Progressed(p.now, a.work.Key, tokens, tokens-a.tokens, sinceSent, p.now.Sub(a.progressAt))
}

// adopt makes an attempt the one that the caller hears and cancels the others.
func (p *Pool) adopt(r *request, a *attempt) {
	if r.adopted == a.id.Number {
		return
	}
	r.adopted = a.id.Number
	p.commands = append(p.commands, AdoptAttempt{
		Attempt: a.id,
		From:    r.delivered,
	})
	p.record(r, Decision{
		Kind:     DecisionAdopted,
		Attempt:  a.id.Number,
		Endpoint: a.work.Key,
		Tokens:   r.delivered,
	})
	if a.hedge {
		p.counters.HedgesWon++
	}
	p.cancelOthers(r, a)
}

// finished ends a request with the attempt's whole answer.
func (p *Pool) finished(id AttemptID, tokens int) {
	a := p.find(id)
	if a == nil {
		return
	}
	r := a.request
	a.tokens = max(a.tokens, tokens)
	if tokens < r.delivered {
		p.finishedShort(r, a)
		return
	}
	history := p.histories.of(r.entry.Class)
	history.lengths.add(tokens)
	history.slot.add(p.now.Sub(a.work.SentAt))
	if r.spec.Profile.Measure() == profile.MeasureCompletion {
		history.delay.add(p.now.Sub(a.work.SentAt))
	}
	p.adopt(r, a)
	p.commands = append(p.commands, CompleteRequest{
		Request: r.spec.ID,
		Attempt: a.id,
	})
	p.record(r, Decision{
		Kind:     DecisionCompleted,
		Attempt:  a.id.Number,
		Endpoint: a.work.Key,
		Wait:     p.sinceArrival(r),
		Tokens:   tokens,
	})
	p.counters.Completed++
	p.end(a, routing.OutcomeCompleted)
	p.forget(r)
}

// finishedShort ends a request whose answer, run again, is shorter than what
// the caller already has of another answer.
func (p *Pool) finishedShort(r *request, a *attempt) {
	r.mayHaveRun = true
	p.end(a, routing.OutcomeFailed)
	p.refuse(r, RefuseStreamTruncated)
}

// cancel ends a request that nobody waits for. It has no final command.
func (p *Pool) cancel(id RequestID) {
	r := p.requests[id]
	if r == nil {
		return
	}
	p.counters.Canceled++
	p.cancelAll(r, CancelCallerCanceled)
	p.forget(r)
}

const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// refuse ends a request without a whole answer, at once.
func (p *Pool) refuse(r *request, reason RefuseReason) {
	p.cancelAll(r, CancelTimedOut)
	ran := NotRun
	if r.mayHaveRun {
		ran = MayHaveRun
	}
	p.commands = append(p.commands, RefuseRequest{
		Request:    r.spec.ID,
		Reason:     reason,
		Execution:  ran,
		RetryAfter: p.retryAfter(r),
	})
	p.record(r, Decision{
		Kind:   DecisionRefused,
		Reason: string(reason),
		Wait:   p.sinceArrival(r),
	})
	p.counters.Refused[reason]++
	p.forget(r)
}

// retryAfter estimates when a refused caller would find room.
func (p *Pool) retryAfter(r *request) time.Duration {
	wait := p.expectedWait(r).Round(time.Second)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
