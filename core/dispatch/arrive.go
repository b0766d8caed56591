package dispatch

import (
	"time"

	"cactuswell/core/admission"
	"cactuswell/core/profile"
)

// maxEarlyEvictions bounds the queued requests evicted for one arrival.
const maxEarlyEvictions = 4

// handleArrival queues a new request or refuses it immediately.
func (p *Pool) handleArrival(spec Request) {
	if p.requests[spec.ID] != nil {
		return
	}
	p.counters.Arrived++
	r := p.newRequest(spec)
	p.initRequest(r)
	if p.draining {
		p.refuse(r, RefuseHostStopping)
		return
	}
	if !p.canMeetWaitLimit(r) {
		p.refuse(r, RefuseCannotMeetLimit)
		return
	}
	evicted, verdict := p.queue.Admit(&r.entry)
	if evicted != nil {
		p.refuse(p.requests[RequestID(evicted.ID)], RefuseQueueFull)
	}
	switch verdict {
	case admission.QueueFull:
		p.refuse(r, RefuseQueueFull)
	case admission.TeamFull:
		p.refuse(r, RefuseTeamQueueFull)
	case admission.Admitted:
		r.phase = phaseQueued
		p.setTimer(r, r.waitDeadline)
		p.recordDecision(r, Decision{
			Kind: DecisionQueued,
		})
	}
}

// initRequest sets the deadlines and the queue entry of a new request.
func (p *Pool) initRequest(r *request) {
	spec := &r.spec
	history := p.histories.of(spec.Profile.Class())
	r.atMostOnce = spec.AtMostOnce || !spec.Profile.Idempotent()
	r.arrived = p.now
	r.targetDeadline = p.now.Add(spec.Profile.Target())
	r.waitDeadline = p.now.Add(spec.Profile.WaitLimit())
	r.runDeadline = r.waitDeadline.Add(p.settings.RunLimit)
	r.entry = admission.Entry{
		ID:          uint64(spec.ID),
		Tier:        spec.Profile.Tier(),
		Class:       spec.Profile.Class(),
		Team:        spec.Team,
		Weight:      spec.Profile.Value(),
		MinShare:    spec.Profile.MinShare(),
		Value:       spec.Profile.Value(),
		Cost:        history.expectedSlotTime(r.maxTokens()).Seconds(),
		Deadline:    r.targetDeadline,
		LatestStart: r.targetDeadline.Add(-history.targetDelay.upperEstimate()),
	}
}

func (p *Pool) expectedOutputTokens(r *request, history *history) int {
	if p.settings.Kind == profile.KindService {
		return 0
	}
	return history.expectedTokens(p.settings.OutputQuantile, r.maxTokens())
}

// canMeetWaitLimit reports whether a new request is likely to be started within
// its wait limit. If not, it first evicts queued requests that would be served
// later: the oldest late ones of the same team, then less valuable ones of the
// same tier. Requests of the top tier are never refused early.
func (p *Pool) canMeetWaitLimit(r *request) bool {
	if p.settings.NoEarlyRefusal || r.entry.Tier == profile.TierUrgent {
		return true
	}
	for range maxEarlyEvictions {
		if p.expectedWait(r) <= r.spec.Profile.WaitLimit() {
			return true
		}
		victim := p.earlyEvictionVictim(r)
		if victim == nil {
			return false
		}
		p.refuse(p.requests[RequestID(victim.ID)], RefuseCannotMeetLimit)
	}
	return p.expectedWait(r) <= r.spec.Profile.WaitLimit()
}

// earlyEvictionVictim returns the queued entry to evict so that a new request can
// meet its wait limit, or nil.
func (p *Pool) earlyEvictionVictim(r *request) *admission.Entry {
	if late := p.queue.OldestLate(p.now, &r.entry); late != nil && late.Value <= r.entry.Value {
		return late
	}
	if worst := p.queue.EvictionCandidateIn(r.entry.Tier); worst != nil && worst.Value < r.entry.Value {
		return worst
	}
	return nil
}

// expectedWait estimates the queueing time of a request that is queued now. It
// returns zero while the service rate or the class's slot time is unknown.
func (p *Pool) expectedWait(r *request) time.Duration {
	rate := p.serviceRate()
	if rate <= 0 || p.histories.of(r.entry.Class).slotTime.mean == 0 {
		return 0
	}
	return time.Duration(p.queue.ServiceAhead(&r.entry) / rate * float64(time.Second))
}

// serviceRate returns the slot time that the pool provides per second: the
// number of slots in use, or this host's share of all slots if that is larger.
func (p *Pool) serviceRate() float64 {
	return float64(max(p.queue.HeldSlots(), p.ownSlots))
}
