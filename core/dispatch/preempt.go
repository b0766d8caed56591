package dispatch

import (
	"time"

	"cactuswell/core/profile"
	"cactuswell/core/routing"
)

const (
	// preemptWaitDivisor sets how long a top-tier request waits before an
	// attempt of a lower tier is preempted for it: its target divided by this.
	preemptWaitDivisor = 4
	// preemptPause is how long preemption is suspended after one that made no
	// room.
	preemptPause = time.Second
	// maxPreemptionCandidates bounds the attempts of each tier that are
	// considered for one preemption.
	maxPreemptionCandidates = 8
)

// tryPreemptFor cancels a running attempt of the lowest tier to make room for a
// queued top-tier request that is about to miss its target. It reports whether it
// did. Calls of a plain service are never preempted: they are short, and the
// service keeps running a canceled call.
func (p *Pool) tryPreemptFor(r *request) bool {
	if p.settings.NoPreemption || p.settings.Kind != profile.KindModel {
		return false
	}
	if r.entry.Tier != profile.TierUrgent || p.now.Before(p.preemptionPausedUntil) {
		return false
	}
	if p.sinceArrival(r) < r.spec.Profile.Target()/preemptWaitDivisor {
		return false
	}
	victim := p.preemptionVictim()
	if victim == nil {
		return false
	}
	p.preemptAttempt(victim)
	return true
}

// preemptionVictim returns the most recently started attempt of the lowest tier
// that may be preempted, or nil. The most recent one loses the least progress.
func (p *Pool) preemptionVictim() *attempt {
	for tier := profile.TierBulk; tier > profile.TierUrgent; tier-- {
		a := p.preemptible[tier].last
		for range maxPreemptionCandidates {
			if a == nil {
				break
			}
			if p.canPreempt(a) {
				return a
			}
			a = a.previous
		}
	}
	return nil
}

// canPreempt reports whether an attempt may be canceled and doing so could make
// room. One of two attempts at a request needs no restart, and so no budget.
func (p *Pool) canPreempt(a *attempt) bool {
	if p.excluded.has(a.work.Key) || !p.queue.ExceedsGuarantee(&a.request.entry) {
		return false
	}
	return a.request.running > 1 ||
		int(a.request.attemptsStarted) < p.settings.MaxAttempts && p.budget.CanReserve()
}

// preemptAttempt cancels an attempt and queues its request again, unless the
// request has another running attempt. Tokens already delivered are skipped in
// the next attempt's answer.
func (p *Pool) preemptAttempt(a *attempt) {
	r := a.request
	p.counters.Preemptions++
	p.cancelAttempt(a, CancelPreempted, routing.OutcomeCanceled)
	if r.running > 0 {
		p.armRunning(r)
		return
	}
	p.budget.Reserve()
	r.failureReason = RefuseWaitLimit
	r.budgetReserved = true
	waitUntil := p.now.Add(r.spec.Profile.WaitLimit())
	if r.delivered > 0 || waitUntil.After(r.runDeadline) {
		waitUntil = r.runDeadline
	}
	p.requeue(r, waitUntil)
}

// recordPreemption suspends preemption if the last one made no room.
func (p *Pool) recordPreemption(madeRoom bool) {
	if !madeRoom {
		p.preemptionPausedUntil = p.now.Add(preemptPause)
	}
}
