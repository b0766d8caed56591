package dispatch

import (
	"time"

	"cactuswell/core/profile"
	"cactuswell/core/routing"
)

const (
	// firstTokenFactor is how many times the predicted time to the first token
	// is waited for, beside the bound on silence.
	firstTokenFactor = 4
	// hedgeFactor is how many times its predicted time an attempt has before it
	// is hedged.
	hedgeFactor = 2
	// holdCheck is how often a held request of the top tier is looked at.
	holdCheck = 250 * time.Millisecond
	// budgetCheck is how often a silent attempt is looked at that can't be
	// given up for want of budget.
	budgetCheck = 100 * time.Millisecond
	// minExpected is the least predicted delay that hedges count with.
	minExpected = time.Millisecond
)

// waitedTooLong handles a queued request whose timer is due.
func (p *Pool) waitedTooLong(r *request) {
	switch {
	case !p.now.Before(r.endBy):
		p.refuse(r, RefuseTimedOut)
	case r.entry.Tier == profile.TierUrgent && p.lowerTierHasRoom():
		p.hold(r)
	case r.numbers > 0:
		p.refuseFailed(r, r.failure)
	case p.router.Usable() == 0:
		p.refuse(r, RefuseNoEndpoint)
	default:
		p.refuse(r, RefuseWaitLimit)
	}
}

// hold keeps a request of the top tier queued beyond its wait limit.
func (p *Pool) hold(r *request) {
	if r.timerAt.Equal(r.startBy) {
		p.counters.UrgentWaitsExtended++
		p.record(r, Decision{
			Kind: DecisionWaitExtended,
			Wait: p.sinceArrival(r),
		})
	}
	at := p.now.Add(holdCheck)
	if at.After(r.endBy) {
		at = r.endBy
	}
	p.setTimer(r, at)
}

// lowerTierHasRoom reports whether work below the top tier is queued, or runs
// where it could make room. Without a usable endpoint nothing could.
func (p *Pool) lowerTierHasRoom() bool {
	if p.router.Usable() == 0 {
		return false
	}
	return p.queue.LenBelow(profile.TierUrgent) > 0 || p.runsBeyondGuarantee()
}

// runsBeyondGuarantee reports whether one of the latest attempts of a lower tier
// that may be interrupted holds a slot beyond its class's guaranteed share.
func (p *Pool) runsBeyondGuarantee() bool {
	for tier := range p.preemptible {
		a := p.preemptible[tier].last
		for range maxPreemptLooks {
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

// armRunning sets the timer of a running request to the next moment at which
// it has to be looked at.
func (p *Pool) armRunning(r *request) {
	at := r.endBy
	for _, a := range r.live[:r.running] {
		if silentAt, ok := p.silentAt(a); ok && silentAt.Before(at) {
			at = silentAt
		}
	}
	if hedgeAt, ok := p.hedgeAt(r); ok && hedgeAt.Before(at) {
		at = hedgeAt
	}
	p.setTimer(r, at)
}

// silentAt returns when an attempt is taken for silent.
func (p *Pool) silentAt(a *attempt) (time.Time, bool) {
	bound := p.router.SilenceBound(a.work.Key)
	if bound <= 0 || a.gaveUp {
		return time.Time{}, false
	}
	if a.tokens == 0 {
		bound += firstTokenFactor * max(a.firstToken, a.expected)
	}
	at := a.progressAt.Add(bound)
	if a.lookAt.After(at) {
		at = a.lookAt
	}
	return at, true
}

// checkRunning handles a running request whose timer is due.
func (p *Pool) checkRunning(r *request) {
	if !p.now.Before(r.endBy) {
		p.timedOut(r)
		return
	}
	for i := r.running - 1; i >= 0; i-- {
		a := r.live[i]
		silentAt, ok := p.silentAt(a)
		if !ok || silentAt.After(p.now) {
			continue
		}
		if !p.silent(r, a) {
			return
		}
	}
	if r.running == 0 {
		return
	}
	if hedgeAt, ok := p.hedgeAt(r); ok && !hedgeAt.After(p.now) {
		p.hedge(r)
	}
	p.armRunning(r)
}

func (p *Pool) timedOut(r *request) {
	reason := RefuseTimedOut
	if r.once {
		reason = RefuseOutcomeUnknown
	}
	p.cancelAll(r, CancelTimedOut)
	p.refuse(r, reason)
}

// silent handles an attempt without progress: its stream is asked for over a
// new connection once; then the request runs elsewhere if it may. It reports
// whether the request still runs.
func (p *Pool) silent(r *request, a *attempt) bool {
	switch {
	case p.canResume(a):
		p.resume(a)
		return true
	case r.once:
		a.gaveUp = true
		return true
	case r.running > 1:
		r.avoidEndpoint(a.work.Key)
		p.cancelAttempt(a, CancelSilent, routing.OutcomeStalled)
		return true
	}
	return p.runElsewhere(r, a)
}

// runElsewhere gives up the only attempt of an idempotent request and queues the
// request for another endpoint.
func (p *Pool) runElsewhere(r *request, a *attempt) bool {
	late := p.now.After(r.retryBy()) || int(r.numbers) >= p.settings.MaxAttempts
	if !late && !p.budget.Reserve() {
		p.counters.BudgetExhausted++
		a.lookAt = p.now.Add(budgetCheck)
		return true
	}
	r.avoidEndpoint(a.work.Key)
	p.cancelAttempt(a, CancelSilent, routing.OutcomeStalled)
	r.failure = RefuseStreamTruncated
	if late {
		p.refuseFailed(r, RefuseStreamTruncated)
		return false
	}
	r.reserved = true
	p.requeue(r, r.retryBy())
	return false
}

// hedgeAt returns when a second attempt is worth trying: not before the first
// is clearly late, and in time to meet the target with another.
func (p *Pool) hedgeAt(r *request) (time.Time, bool) {
	if p.settings.NoHedges || r.once || r.hedgeTried || r.running != 1 {
		return time.Time{}, false
	}
	a := r.live[0]
	if a.tokens > 0 || r.delivered > 0 || int(r.numbers) >= p.settings.MaxAttempts {
		return time.Time{}, false
	}
	expected := max(a.expected, minExpected)
	at := a.work.SentAt.Add(hedgeFactor * expected)
	if last := r.target.Add(-hedgeFactor * expected); last.After(at) {
		at = last
	}
	return at, at.Add(expected).Before(r.target)
}

// hedge starts a second attempt if that is likely to meet the target, nothing
// of the same or a higher tier waits, and the budget allows it.
func (p *Pool) hedge(r *request) {
	r.hedgeTried = true
	if p.queue.Len() > p.queue.LenBelow(r.entry.Tier) || !p.budget.CanReserve() {
		return
	}
	first := r.live[0].work.Key
	r.avoidEndpoint(first)
	choice, ok := p.pick(r, r.entry.Tier)
	if !ok || choice.Key == first {
		return
	}
	expected := expectedDelay(r.spec.Profile.Measure(), choice)
	if p.now.Add(expected).After(r.target) || !p.budget.Reserve() {
		return
	}
	p.queue.AcquireSlot(p.now, &r.entry)
	p.start(r, choice, r.entry.Tier, false, startedHedge)
}
