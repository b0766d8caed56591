package experiment

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cactuswell/core/dispatch"
	"cactuswell/core/profile"
)

// planFaults schedules what goes wrong in the scenario.
func (s *simulation) planFaults() {
	s.after(faultAt, s.slowStragglers)
	s.after(faultEnd, s.healStragglers)
	s.after(faultAt, s.crashEngines)
	if s.scenario.EndpointsLeave {
		s.after(leaveAt, s.leave)
	}
	if s.scenario.ConnectionsGoSilent {
		for after := faultAt; after < faultEnd; after += silentEvery {
			s.after(after, s.silence)
		}
	}
	if s.scenario.ZoneFails {
		s.after(faultAt, s.loseZone)
	}
}

// stragglers returns the model engines that slow down.
func (s *simulation) stragglers() []*engine {
	return s.engines[:s.scenario.StragglerCount]
}

func (s *simulation) slowStragglers() {
	for _, e := range s.stragglers() {
		e.slowdown = stragglerSlowdown
		e.reportLag = stragglerLag
	}
}

func (s *simulation) healStragglers() {
	for _, e := range s.stragglers() {
		e.slowdown = 1
	}
}

func (s *simulation) crashEngines() {
	for _, kind := range []profile.Kind{profile.KindModel, profile.KindService} {
		alike := s.enginesOf(kind)
		count := int(math.Round(float64(len(alike)) * s.scenario.CrashShare))
		for _, e := range alike[:count] {
			e.crash()
		}
	}
}

func (s *simulation) enginesOf(kind profile.Kind) []*engine {
	var alike []*engine
	for _, e := range s.engines {
		if e.descriptor.Kind == kind {
			alike = append(alike, e)
		}
	}
	return alike
}

// leave lets the first model engine and the first service leave. The news
// reaches the hosts one after another.
func (s *simulation) leave() {
	for _, kind := range []profile.Kind{profile.KindModel, profile.KindService} {
		e := s.enginesOf(kind)[0]
		s.meter.leavingSince[e] = s.now
		for i, h := range s.hosts {
			delay := leaveNewsWithin * time.Duration(i) / time.Duration(len(s.hosts))
			s.after(delay, func() {
				h.step(e.descriptor.Pool, dispatch.EndpointLeaving{
					Key: e.descriptor.Key,
				})
			})
		}
	}
}

// silence lets a share of the open connections go silent for good.
func (s *simulation) silence() {
	for _, e := range s.engines {
		open := slices.Clone(e.running)
		slices.SortFunc(open, func(a, b *attempt) int {
			return cmp.Or(
				cmp.Compare(a.host.number, b.host.number),
				cmp.Compare(a.id.Request, b.id.Request),
				cmp.Compare(a.id.Number, b.id.Number),
			)
		})
		for _, a := range open {
			if s.random.Float64() < silentShare {
				a.silent = true
			}
		}
	}
}

// loseZone takes away the hosts and endpoints of the first zone.
func (s *simulation) loseZone() {
	zone := s.deployment.Zones[0]
	live := 0
	for _, h := range s.hosts {
		if h.zone == zone {
			s.loseHost(h)
		} else {
			live++
		}
	}
	for _, e := range s.engines {
		if e.descriptor.Zone == zone {
			e.unreachable = true
			s.after(zoneNewsAfter, func() {
				s.tellAll(e, dispatch.EndpointRemoved{
					Key: e.descriptor.Key,
				})
			})
		}
	}
	s.after(hostNewsAfter, func() {
		news := dispatch.HostsCounted{
			Hosts: live,
		}
		s.tellAll(s.enginesOf(profile.KindModel)[0], news)
		s.tellAll(s.enginesOf(profile.KindService)[0], news)
	})
}

// loseHost ends a host and the connections that it held.
func (s *simulation) loseHost(h *host) {
	h.lost = true
	for _, e := range s.engines {
		for _, a := range append(slices.Clone(e.running), e.waiting...) {
			if a.host == h {
				a.closed = true
				e.end(a)
			}
		}
	}
	for _, r := range s.meter.requests {
		if h.requests[r.id] == r && !r.ended() {
			r.lost = true
			r.endedAt = s.now
		}
	}
}

func (s *simulation) tellAll(e *engine, event dispatch.Event) {
	for _, h := range s.hosts {
		h.step(e.descriptor.Pool, event)
	}
}
