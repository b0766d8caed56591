package scheduling

import (
	"time"

	"cactuswell/core/quota"
)

const (
	// declineHosts is the number of hosts at a brittle endpoint that one decline stands for,
	// since several may send at the same moment.
	declineHosts = 1.5
	// minDeclinePause and maxDeclinePause bound how long a host leaves a brittle endpoint alone
	// that has declined a call.
	minDeclinePause = time.Second
	maxDeclinePause = 5 * time.Second
	// brittleUse is the share of a brittle endpoint's slots that hosts use which have less
	// than one slot each.
	brittleUse = 0.25
	// runTimeWeight is the weight of a new observation in the smoothed run time of a pool.
	runTimeWeight = 0.05
)

// allowsBrittle reports whether a call may be sent to an endpoint, which may be brittle. A
// brittle endpoint falls over if it has to decline many calls, so that hosts keep to slots
// that are theirs: their part of the demand, and besides what leaves one slot to each other
// host. Hosts whose part is less than a slot take turns.
//
// It serves endpoints that fall over when many hosts find them free at the same time.
func (s *Scheduler) allowsBrittle(e *endpoint) bool {
	l := &e.limit
	if !l.IsBrittle {
		return true
	}
	if s.now.Before(l.shutUntil) {
		return false
	}
	slots := max(e.entry.Slots, 1)
	p := s.ensurePool(e.entry.Service)
	_, rivals := s.partOfDemand(p)
	part := p.part.partAtReports
	// Each slot costs more than 1/(slots+1) of the demand (the Droop quota): the hosts own at most
	// all slots together, and inexact parts of hosts with equal demand do not leave slots unowned.
	own := float64(slots+1) * part
	inFlight := e.inFlight(s.now)
	switch {
	case inFlight >= slots:
		return false
	case float64(e.running+1) < own, inFlight+1+rivals <= slots:
		return true
	case own > 1 || float64(inFlight) >= brittleUse*float64(slots):
		return false
	}
	rate := brittleUse * float64(slots) / max(p.meanRunTime().Seconds(), 0.001)
	if l.turns == nil {
		l.turns = quota.New(s.now, rate, s.random.Float64())
	}
	l.turns.SetRate(rate)
	return l.turns.Allows(s.now, quota.View{
		Sent:   l.sentByAll(s.now),
		Part:   part,
		Rivals: rivals,
	})
}

// recordDecline narrows the ramp of an endpoint that has declined a call, and makes this host leave
// it alone if it is brittle, for so long that all hosts together stay below what it bears.
func (s *Scheduler) recordDecline(e *endpoint) {
	if e.ramp != nil {
		e.ramp.RecordDecline(s.now)
	}
	l := &e.limit
	if !l.IsBrittle {
		return
	}
	pause := maxDeclinePause
	if l.MaxDeclines > 0 {
		pause = time.Duration(declineHosts * float64(s.Hosts()) / float64(l.MaxDeclines) * float64(time.Second))
	}
	l.shutUntil = s.now.Add(min(max(pause, minDeclinePause), maxDeclinePause))
}

// recordRunTime records how long a call ran at an endpoint of the pool.
func (p *pool) recordRunTime(took time.Duration) {
	if p.runTime == 0 {
		p.runTime = took
		return
	}
	p.runTime += time.Duration(runTimeWeight * float64(took-p.runTime))
}

// meanRunTime returns the smoothed run time of the pool's calls.
func (p *pool) meanRunTime() time.Duration {
	if p.runTime == 0 {
		return time.Duration(p.answerTime * float64(time.Second))
	}
	return p.runTime
}
