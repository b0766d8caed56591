package experiment

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cactuswell/core/dispatch"
	"cactuswell/core/profile"
)

// scheduleFaults schedules the faults of the scenario.
func (s *simulation) scheduleFaults() {
	s.scheduleAfter(faultStart, s.slowStragglers)
	s.scheduleAfter(faultEnd, s.restoreStragglers)
	s.scheduleAfter(faultStart, s.crashEndpoints)
	if s.scenario.EndpointsLeave {
		s.scheduleAfter(leaveStart, s.startLeaving)
	}
	if s.scenario.ConnectionsGoSilent {
		for after := faultStart; after < faultEnd; after += silentInterval {
			s.scheduleAfter(after, s.silenceConnections)
		}
	}
	if s.scenario.ZoneFails {
		s.scheduleAfter(faultStart, s.failZone)
	}
}

// stragglers returns the model engines that become slow during the fault.
func (s *simulation) stragglers() []*simulatedEndpoint {
	return s.endpoints[:s.scenario.StragglerCount]
}

func (s *simulation) slowStragglers() {
	for _, e := range s.stragglers() {
		e.slowdown = stragglerSlowdown
		e.reportLag = stragglerReportLag
	}
}

func (s *simulation) restoreStragglers() {
	for _, e := range s.stragglers() {
		e.slowdown = 1
	}
}

func (s *simulation) crashEndpoints() {
	for _, kind := range []profile.Kind{profile.KindModel, profile.KindService} {
		sameKind := s.endpointsOfKind(kind)
		count := int(math.Round(float64(len(sameKind)) * s.scenario.CrashShare))
		for _, e := range sameKind[:count] {
			e.crash()
		}
	}
}

func (s *simulation) endpointsOfKind(kind profile.Kind) []*simulatedEndpoint {
	var endpoints []*simulatedEndpoint
	for _, e := range s.endpoints {
		if e.descriptor.Kind == kind {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// startLeaving makes the first model engine and the first service start leaving. The
// hosts are notified one after another.
func (s *simulation) startLeaving() {
	for _, kind := range []profile.Kind{profile.KindModel, profile.KindService} {
		e := s.endpointsOfKind(kind)[0]
		s.collector.leavingSince[e] = s.now
		for i, h := range s.hosts {
			delay := leaveNoticeMaxDelay * time.Duration(i) / time.Duration(len(s.hosts))
			s.scheduleAfter(delay, func() {
				h.step(e.descriptor.Pool, dispatch.EndpointLeaving{
					Key: e.descriptor.Key,
				})
			})
		}
	}
}

// silenceConnections makes the connections of a share of the running attempts silent.
// A silent connection stays so; a resumed stream uses a new one.
func (s *simulation) silenceConnections() {
	for _, e := range s.endpoints {
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

// failZone makes the hosts of the first zone fail and its endpoints unreachable.
func (s *simulation) failZone() {
	zone := s.deployment.Zones[0]
	liveHosts := 0
	for _, h := range s.hosts {
		if h.zone == zone {
			s.failHost(h)
		} else {
			liveHosts++
		}
	}
	for _, e := range s.endpoints {
		if e.descriptor.Zone == zone {
			e.unreachable = true
			s.scheduleAfter(zoneRemovalDelay, func() {
				s.notifyHosts(e, dispatch.EndpointRemoved{
					Key: e.descriptor.Key,
				})
			})
		}
	}
	s.scheduleAfter(hostCountDelay, func() {
		hostCount := dispatch.HostCountChanged{
			Hosts: liveHosts,
		}
		s.notifyHosts(s.endpointsOfKind(profile.KindModel)[0], hostCount)
		s.notifyHosts(s.endpointsOfKind(profile.KindService)[0], hostCount)
	})
}

// failHost stops a host, closes its connections and ends its open requests.
func (s *simulation) failHost(h *host) {
	h.failed = true
	for _, e := range s.endpoints {
		for _, a := range append(slices.Clone(e.running), e.waiting...) {
			if a.host == h {
				a.closed = true
				e.releaseAttempt(a)
			}
		}
	}
	for _, r := range s.collector.requests {
		if h.requests[r.id] == r && !r.isDone() {
			r.hostFailed = true
			r.doneAt = s.now
		}
	}
}

func (s *simulation) notifyHosts(e *simulatedEndpoint, event dispatch.Event) {
	for _, h := range s.hosts {
		h.step(e.descriptor.Pool, event)
	}
}
