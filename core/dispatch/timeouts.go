package dispatch

import (
	"time"

	"cactuswell/core/profile"
	"cactuswell/core/routing"
)

const (
	// firstTokenFactor is the multiple of the predicted time to the first token
	// that is added to the stall timeout before the first token.
	firstTokenFactor = 4
	// hedgeFactor is the multiple of its predicted delay after which an attempt
	// may be hedged.
	hedgeFactor = 2
	// extendedWaitInterval is how often a top-tier request queued beyond its wait
	// limit is checked.
	extendedWaitInterval = 250 * time.Millisecond
	// budgetRetryInterval is how often a stalled attempt is checked while the
	// retry budget is exhausted.
	budgetRetryInterval = 100 * time.Millisecond
	// minExpectedDelay is the minimum predicted delay assumed for hedging.
	minExpectedDelay = time.Millisecond
)

// handleWaitTimeout handles a queued request whose timer has expired.
func (p *Pool) handleWaitTimeout(r *request) {
	switch {
	case !p.now.Before(r.runDeadline):
		p.refuse(r, RefuseTimedOut)
	case r.entry.Tier == profile.TierUrgent && p.canLowerTierMakeRoom():
		p.extendWait(r)
	case r.attemptsStarted > 0:
		p.refuseFailed(r, r.failureReason)
	case p.router.UsableEndpoints() == 0:
		p.refuse(r, RefuseNoEndpoint)
	default:
		p.refuse(r, RefuseWaitLimit)
	}
}

// extendWait keeps a top-tier request queued beyond its wait limit.
func (p *Pool) extendWait(r *request) {
	if r.timerAt.Equal(r.waitDeadline) {
		p.counters.UrgentWaitsExtended++
		p.recordDecision(r, Decision{
			Kind: DecisionWaitExtended,
			Wait: p.sinceArrival(r),
		})
	}
	at := p.now.Add(extendedWaitInterval)
	if at.After(r.runDeadline) {
		at = r.runDeadline
	}
	p.setTimer(r, at)
}

// canLowerTierMakeRoom reports whether requests of lower tiers are queued or hold
// slots beyond their guaranteed share. It is false without a usable endpoint.
func (p *Pool) canLowerTierMakeRoom() bool {
	if p.router.UsableEndpoints() == 0 {
		return false
	}
	return p.queue.LenBelow(profile.TierUrgent) > 0 || p.lowerTierExceedsGuarantee()
}

// lowerTierExceedsGuarantee reports whether one of the latest preemptible
// attempts of each tier belongs to a class that holds more slots than its
// guaranteed share.
func (p *Pool) lowerTierExceedsGuarantee() bool {
	for tier := range p.preemptible {
		a := p.preemptible[tier].last
		for range maxPreemptionCandidates {
			if a == nil {
				break
			}
			if p.queue.ExceedsGuarantee(&a.request.entry) {
				return true
			}
			a = a.previous
		}
	}
	return false
}

// armRunning sets the timer of a running request to the next time at which it
// must be checked.
func (p *Pool) armRunning(r *request) {
	at := r.runDeadline
	for _, a := range r.attempts[:r.running] {
		if stalledAt, ok := p.stallDeadline(a); ok && stalledAt.Before(at) {
			at = stalledAt
		}
	}
	if hedgeAt, ok := p.hedgeTime(r); ok && hedgeAt.Before(at) {
		at = hedgeAt
	}
	p.setTimer(r, at)
}

// stallDeadline returns the time at which an attempt is considered stalled. It
// returns false if there is no such time.
func (p *Pool) stallDeadline(a *attempt) (time.Time, bool) {
	timeout := p.router.StallTimeout(a.work.Key)
	if timeout <= 0 || a.ignoreStall {
		return time.Time{}, false
	}
	if a.tokens == 0 {
		timeout += firstTokenFactor * max(a.expectedFirstToken, a.expectedDelay)
	}
	at := a.progressAt.Add(timeout)
	if a.nextStallCheck.After(at) {
		at = a.nextStallCheck
	}
	return at, true
}

// checkRunning handles a running request whose timer has expired.
func (p *Pool) checkRunning(r *request) {
	if !p.now.Before(r.runDeadline) {
		p.handleRunTimeout(r)
		return
	}
	for i := r.running - 1; i >= 0; i-- {
		a := r.attempts[i]
		stalledAt, ok := p.stallDeadline(a)
		if !ok || stalledAt.After(p.now) {
			continue
		}
		if !p.handleStall(r, a) {
			return
		}
	}
	if r.running == 0 {
		return
	}
	if hedgeAt, ok := p.hedgeTime(r); ok && !hedgeAt.After(p.now) {
		p.hedge(r)
	}
	p.armRunning(r)
}

func (p *Pool) handleRunTimeout(r *request) {
	reason := RefuseTimedOut
	if r.atMostOnce {
		reason = RefuseOutcomeUnknown
	}
	p.cancelAll(r, CancelTimedOut)
	p.refuse(r, reason)
}

// handleStall handles an attempt without progress. Its stream is first resumed
// over a new connection. If that gets no answer either, the attempt is canceled
// if another one is running; otherwise the request is restarted at another
// endpoint if allowed. It returns false if the request was refused or queued
// again, so that no attempt is left to check.
func (p *Pool) handleStall(r *request, a *attempt) bool {
	switch {
	case p.canResume(a):
		p.resumeAttempt(a)
		return true
	case r.atMostOnce:
		a.ignoreStall = true
		return true
	case r.running > 1:
		r.avoidEndpoint(a.work.Key)
		p.cancelAttempt(a, CancelStalled, routing.OutcomeStalled)
		return true
	}
	return p.restartElsewhere(r, a)
}

// restartElsewhere cancels the only attempt of an idempotent request and queues
// the request for another endpoint, or refuses the request if it is too late for
// another attempt. While the retry budget is exhausted, it keeps the attempt and
// schedules another check. It reports whether it kept the attempt.
func (p *Pool) restartElsewhere(r *request, a *attempt) bool {
	late := p.now.After(r.retryDeadline()) || int(r.attemptsStarted) >= p.settings.MaxAttempts
	if !late && !p.budget.Reserve() {
		p.counters.BudgetExhausted++
		a.nextStallCheck = p.now.Add(budgetRetryInterval)
		return true
	}
	r.avoidEndpoint(a.work.Key)
	p.cancelAttempt(a, CancelStalled, routing.OutcomeStalled)
	r.failureReason = RefuseStreamTruncated
	if late {
		p.refuseFailed(r, RefuseStreamTruncated)
		return false
	}
	r.budgetReserved = true
	p.requeue(r, r.retryDeadline())
	return false
}

// hedgeTime returns when to start a second attempt: not before the first is
// clearly late, and early enough that the second can still meet the target. It
// returns false if there is no such time.
func (p *Pool) hedgeTime(r *request) (time.Time, bool) {
	if p.settings.NoHedges || r.atMostOnce || r.hedgeTried || r.running != 1 {
		return time.Time{}, false
	}
	a := r.attempts[0]
	if a.tokens > 0 || r.delivered > 0 || int(r.attemptsStarted) >= p.settings.MaxAttempts {
		return time.Time{}, false
	}
	expected := max(a.expectedDelay, minExpectedDelay)
	at := a.work.SentAt.Add(hedgeFactor * expected)
	if last := r.targetDeadline.Add(-hedgeFactor * expected); last.After(at) {
		at = last
	}
	return at, at.Add(expected).Before(r.targetDeadline)
}

// hedge starts a second attempt if it is likely to meet the target, no request of
// the same or a higher tier is queued, and the retry budget allows it.
func (p *Pool) hedge(r *request) {
	r.hedgeTried = true
	if p.queue.Len() > p.queue.LenBelow(r.entry.Tier) || !p.budget.CanReserve() {
		return
	}
	first := r.attempts[0].work.Key
	r.avoidEndpoint(first)
	choice, ok := p.pickEndpoint(r, r.entry.Tier)
	if !ok || choice.Key == first {
		return
	}
	expected := expectedDelay(r.spec.Profile.Measure(), choice)
	if p.now.Add(expected).After(r.targetDeadline) || !p.budget.Reserve() {
		return
	}
	p.queue.AcquireSlot(p.now, &r.entry)
	p.startAttempt(r, choice, r.entry.Tier, false, startReasonHedge)
}
