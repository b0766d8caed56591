package scheduling

import (
	"math"
	"time"

	"cactuswell/core/speed"
	"cactuswell/core/warmup"
)

// settleTime is the time after the start of this host within which endpoints that it learns of are
// not taken for new ones.
const settleTime = 3 * time.Second

// beginRamp bounds the load of an endpoint that has just appeared or recovered.
//
// It serves endpoints that are empty, so that all hosts prefer them, and slow for as long as they
// have nothing cached or have not recovered.
func (s *Scheduler) beginRamp(e *endpoint, reason Reason) {
	e.ramp = warmup.New(s.now, s.concurrencyLimit(s.ensurePool(e.entry.Service), e))
	e.rampBegunAt = s.now
	s.commands = append(s.commands, EndpointRampChanged{
		Key:     e.key,
		Service: e.entry.Service,
		Begun:   true,
		Reason:  reason,
		Window:  e.ramp.Window(s.now),
	})
}

// beginRampOfNew bounds the load of an endpoint that has appeared, unless this host has just begun
// to learn of the endpoints.
func (s *Scheduler) beginRampOfNew(e *endpoint) {
	if s.now.Sub(s.startedAt) > settleTime {
		s.beginRamp(e, ReasonAppeared)
	}
}

// recordRampAnswer records an answer of an endpoint, to any host.
func (s *Scheduler) recordRampAnswer(p *pool, e *endpoint, o speed.Observation) {
	if e.ramp == nil {
		return
	}
	ratio := 1.0
	if level, ok := p.speeds.Level(s.now, o.Kind); ok {
		ratio = math.Exp(o.LogRatio) / level
	}
	e.ramp.RecordAnswer(s.now, ratio)
	s.endRamp(e)
}

// endRamp ends a ramp that no longer bounds the load.
func (s *Scheduler) endRamp(e *endpoint) {
	if !e.ramp.IsOver(s.now) {
		return
	}
	s.commands = append(s.commands, EndpointRampChanged{
		Key:     e.key,
		Service: e.entry.Service,
		Window:  e.ramp.Window(s.now),
		After:   s.now.Sub(e.rampBegunAt),
	})
	e.ramp = nil
}

// allowsRamp reports whether the endpoint's ramp allows a call of this host.
func (s *Scheduler) allowsRamp(p *pool, e *endpoint) bool {
	if e.ramp == nil {
		return true
	}
	if s.endRamp(e); e.ramp == nil {
		return true
	}
	odds := e.ramp.Odds(s.now, warmup.View{
		InFlight:       e.inFlight(s.now),
		Hosts:          s.Hosts(),
		CallsPerSecond: float64(p.budget.FirstAttempts(s.now)) / max(s.settings.BudgetWindow, time.Second).Seconds(),
	})
	return odds >= 1 || odds > 0 && s.random.Float64() < odds
}

// RampingEndpoints returns the number of endpoints whose load is bounded because they have just
// appeared or recovered.
func (s *Scheduler) RampingEndpoints() int {
	ramping := 0
	for _, e := range s.endpoints {
		if e.ramp != nil {
			ramping++
		}
	}
	return ramping
}
