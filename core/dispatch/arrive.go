package dispatch

import (
	"time"

	"cactuswell/core/admission"
	"cactuswell/core/profile"
)

// maxEarlyEvictions bounds the requests evicted for one arrival.
const maxEarlyEvictions = 4

// arrive queues a new request or refuses it at once.
func (p *Pool) arrive(spec Request) {
	if p.requests[spec.ID] != nil {
		return
	}
	p.counters.Arrived++
	r := p.newRequest(spec)
	p.prepare(r)
	if p.draining {
		p.refuse(r, RefuseHostStopping)
		return
	}
	if !p.canMeet(r) {
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
		p.setTimer(r, r.startBy)
		p.record(r, Decision{
			Kind: DecisionQueued,
		})
	}
}

// prepare fills in the times and the queue entry of a new request.
func (p *Pool) prepare(r *request) {
	spec := &r.spec
	history := p.histories.of(spec.Profile.Class())
	r.once = spec.AtMostOnce || !spec.Profile.Idempotent()
	r.arrived = p.now
	r.target = p.now.Add(spec.Profile.Target())
	r.startBy = p.now.Add(spec.Profile.WaitLimit())
	r.endBy = r.startBy.Add(p.settings.RunLimit)
	r.entry = admission.Entry{
		ID:          uint64(spec.ID),
		Tier:        spec.Profile.Tier(),
		Class:       spec.Profile.Class(),
		Team:        spec.Team,
		Weight:      spec.Profile.Value(),
		MinShare:    spec.Profile.MinShare(),
		Value:       spec.Profile.Value(),
		Cost:        history.slotTime(r.maxTokens()).Seconds(),
		Deadline:    r.target,
		LatestStart: r.target.Add(-history.delay.high()),
	}
}

func (p *Pool) outputTokens(r *request, history *history) int {
	if p.settings.Kind == profile.KindService {
		return 0
	}
	return history.expectedTokens(p.settings.OutputQuantile, r.maxTokens())
}

// canMeet reports whether a new request is likely to be started within its wait
// limit. Before it is given up, those are that would be served later: the oldest
// of its team that have missed their target, and less valuable requests of its
// tier. Requests of the top tier are not refused early.
func (p *Pool) canMeet(r *request) bool {
	if p.settings.NoEarlyRefusal || r.entry.Tier == profile.TierUrgent {
		return true
	}
	for range maxEarlyEvictions {
		if p.expectedWait(r) <= r.spec.Profile.WaitLimit() {
			return true
		}
		victim := p.earlyVictim(r)
		if victim == nil {
			return false
		}
		p.refuse(p.requests[RequestID(victim.ID)], RefuseCannotMeetLimit)
	}
	return p.expectedWait(r) <= r.spec.Profile.WaitLimit()
}

func (p *Pool) earlyVictim(r *request) *admission.Entry {
	if late := p.queue.OldestLate(p.now, &r.entry); late != nil && late.Value <= r.entry.Value {
		return late
	}
	if worst := p.queue.EvictionCandidateIn(r.entry.Tier); worst != nil && worst.Value < r.entry.Value {
		return worst
	}
	return nil
}

// expectedWait estimates how long a request that is queued now would wait. It
// is zero while that is unknown.
func (p *Pool) expectedWait(r *request) time.Duration {
	rate := p.serviceRate()
	if rate <= 0 || p.histories.of(r.entry.Class).slot.mean == 0 {
		return 0
	}
	return time.Duration(p.queue.ServiceAhead(&r.entry) / rate * float64(time.Second))
}

// serviceRate returns the slot time that the pool gives in a second: the slots in
// use, or this host's share of all if that is more.
func (p *Pool) serviceRate() float64 {
	return float64(max(p.queue.HeldSlots(), p.slots))
}
