package dispatch

import (
	"time"

	"cactuswell/core/profile"
	"cactuswell/core/routing"
)

const (
	// preemptAfterShare is the part of its target that a request of the top
	// tier waits before lower work is preempted for it.
	preemptAfterShare = 4
	// preemptPause is how long no preemption is tried after one that made no
	// room.
	preemptPause = time.Second
	// maxPreemptLooks bounds the attempts looked at for one preemption.
	maxPreemptLooks = 8
)

// preemptFor cancels a running attempt of the lowest tier to make room for a
// queued request of the top tier that is about to miss its target. It reports
// whether it did. A call of a plain service is never preempted: it is short, and
// the service goes on with it.
func (p *Pool) preemptFor(r *request) bool {
	if p.settings.NoPreemption || p.settings.Kind != profile.KindModel {
		return false
	}
	if r.entry.Tier != profile.TierUrgent || p.now.Before(p.preemptAt) {
		return false
	}
	if p.sinceArrival(r) < r.spec.Profile.Target()/preemptAfterShare {
		return false
	}
	victim := p.preemptionVictim()
	if victim == nil {
		return false
	}
	p.preempt(victim)
	return true
}

// preemptionVictim returns the attempt of the lowest tier that was started
// last, which has the least to lose, or nil.
func (p *Pool) preemptionVictim() *attempt {
	for tier := profile.TierBulk; tier > profile.TierUrgent; tier-- {
		a := p.preemptible[tier].last
		for range maxPreemptLooks {
			if a == nil {
				break
			}
			if p.mayPreempt(a) {
				return a
			}
			a = a.previous
		}
	}
	return nil
}

// mayPreempt reports whether canceling an attempt is allowed and could make room.
// One of two attempts at a request is canceled without a repetition.
func (p *Pool) mayPreempt(a *attempt) bool {
	if p.closed.has(a.work.Key) || !p.queue.ExceedsGuarantee(&a.request.entry) {
		return false
	}
	return a.request.running > 1 ||
		int(a.request.numbers) < p.settings.MaxAttempts && p.budget.CanReserve()
}

// preempt cancels an attempt and queues its request again, unless it has another
// attempt. What its caller already has is left out of the next attempt's answer.
func (p *Pool) preempt(a *attempt) {
	r := a.request
	p.counters.Preemptions++
	p.cancelAttempt(a, CancelPreempted, routing.OutcomeCanceled)
	if r.running > 0 {
		p.armRunning(r)
		return
	}
	p.budget.Reserve()
	r.failure = RefuseWaitLimit
	r.reserved = true
	waitUntil := p.now.Add(r.spec.Profile.WaitLimit())
	if r.delivered > 0 || waitUntil.After(r.endBy) {
		waitUntil = r.endBy
	}
	p.requeue(r, waitUntil)
}

// judgePreemption pauses preemption if the last one made no room.
func (p *Pool) judgePreemption(helped bool) {
	if !helped {
		p.preemptAt = p.now.Add(preemptPause)
	}
}
