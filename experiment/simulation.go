package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cactuswell/core/dispatch"
	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
)

// simulation is the state of one run.
type simulation struct {
	deployment     Deployment
	scenario       Scenario
	policy         Policy
	startedAt      time.Time
	now            time.Time
	events         eventHeap
	random         *rand.Rand
	arrivals       []arrival
	profiles       map[*Class]profile.Profile
	hosts          []*host
	endpoints      []*simulatedEndpoint
	endpointsByKey map[endpoint.Key]*simulatedEndpoint
	collector      collector
}

func newSimulation(deployment Deployment, scenario Scenario, policy Policy, seed uint64) *simulation {
	startedAt := time.Unix(1_700_000_000, 0).UTC()
	s := &simulation{
		deployment:     deployment,
		scenario:       scenario,
		policy:         policy,
		startedAt:      startedAt,
		now:            startedAt,
		random:         rand.New(rand.NewPCG(seed, 1<<32)),
		profiles:       make(map[*Class]profile.Profile),
		endpointsByKey: make(map[endpoint.Key]*simulatedEndpoint),
	}
	s.collector = newCollector(s)
	for i := range s.deployment.Classes {
		class := &s.deployment.Classes[i]
		p, err := profile.New(class.Spec)
		if err != nil {
			panic(err)
		}
		s.profiles[class] = p
	}
	s.arrivals = generateArrivals(&s.deployment, &s.scenario, seed)
	s.addEndpoints(seed)
	s.addHosts(seed)
	return s
}

func (s *simulation) addEndpoints(seed uint64) {
	for i := range s.deployment.Engines.Count {
		e := s.addEndpoint(i, fmt.Sprintf("engine-%d", i), profile.KindModel, s.deployment.Engines.Pool, seed)
		e.slots = s.deployment.Engines.Slots
		e.reportLag = s.deployment.Engines.ReportLag
		e.cache = newBlockCache(s.deployment.Engines.CacheBlocks)
	}
	for i := range s.deployment.Services.Count {
		e := s.addEndpoint(i, fmt.Sprintf("service-%d", i), profile.KindService, s.deployment.Services.Pool, seed)
		e.slots = s.deployment.Services.Slots
		e.reportLag = s.deployment.Services.ReportLag
	}
	if s.scenario.ReportLag > 0 {
		for _, e := range s.endpoints {
			e.reportLag = s.scenario.ReportLag
		}
	}
}

func (s *simulation) addEndpoint(number int, name string, kind profile.Kind, pool string, seed uint64) *simulatedEndpoint {
	e := &simulatedEndpoint{
		simulation: s,
		number:     number,
		slowdown:   1,
		attempts:   make(map[attemptKey]*attempt),
		random:     rand.New(rand.NewPCG(seed, uint64(len(s.endpoints))+1<<33)),
		descriptor: endpoint.Descriptor{
			Key: endpoint.Key{
				Name:        name,
				Incarnation: 1,
			},
			Zone: s.deployment.Zones[number%len(s.deployment.Zones)],
			Kind: kind,
			Pool: pool,
		},
	}
	s.endpoints = append(s.endpoints, e)
	s.endpointsByKey[e.descriptor.Key] = e
	return e
}

func (s *simulation) addHosts(seed uint64) {
	for i := range s.deployment.Hosts {
		h := &host{
			simulation: s,
			number:     i,
			zone:       s.deployment.Zones[i%len(s.deployment.Zones)],
			pools:      make(map[string]*pool),
			requests:   make(map[dispatch.RequestID]*request),
			attempts:   make(map[dispatch.AttemptID]*attempt),
		}
		s.addPool(h, s.deployment.Engines.Pool, profile.KindModel, seed)
		s.addPool(h, s.deployment.Services.Pool, profile.KindService, seed)
		s.hosts = append(s.hosts, h)
	}
}

func (s *simulation) addPool(h *host, name string, kind profile.Kind, seed uint64) {
	h.pools[name] = &pool{
		dispatcher: s.policy.NewDispatcher(DispatcherParams{
			Host:      fmt.Sprintf("host-%d", h.number),
			Zone:      h.zone,
			ZoneDelay: s.deployment.ZoneDelay,
			Pool:      name,
			Kind:      kind,
			Random:    rand.New(rand.NewPCG(seed+uint64(h.number)+1, uint64(len(h.pools)))),
			routers:   &s.collector.routers,
		}),
	}
	h.poolNames = append(h.poolNames, name)
}

func (s *simulation) scheduleAt(at time.Time, run func()) {
	s.events.push(int64(at.Sub(s.startedAt)), run)
}

func (s *simulation) scheduleAfter(delay time.Duration, run func()) {
	s.scheduleAt(s.now.Add(delay), run)
}

// elapsed returns the time since the start of the run.
func (s *simulation) elapsed() time.Duration { return s.now.Sub(s.startedAt) }

func (s *simulation) run() {
	s.announceFleet()
	s.scheduleArrival(0)
	s.scheduleReports()
	s.scheduleFaults()
	for {
		event, ok := s.events.pop()
		if !ok || time.Duration(event.at) > arrivalPeriod+drainLimit {
			return
		}
		s.now = s.startedAt.Add(time.Duration(event.at))
		event.run()
		if s.elapsed() > arrivalPeriod && s.collector.allDone() {
			return
		}
	}
}

// announceFleet reports the number of hosts and all endpoints to every host.
func (s *simulation) announceFleet() {
	for _, h := range s.hosts {
		for _, name := range h.poolNames {
			h.step(name, dispatch.HostCountChanged{
				Hosts: len(s.hosts),
			})
		}
		for _, e := range s.endpoints {
			h.step(e.descriptor.Pool, dispatch.EndpointAdded{
				Descriptor: e.descriptor,
			})
		}
	}
}

func (s *simulation) scheduleArrival(i int) {
	if i >= len(s.arrivals) {
		return
	}
	a := &s.arrivals[i]
	s.scheduleAt(s.startedAt.Add(a.sinceStart), func() {
		s.chooseLiveHost(a.hostDraw).handleArrival(a)
		s.scheduleArrival(i + 1)
	})
}

// chooseLiveHost returns the live host that the load balancer chooses for draw, which
// is from 0 to 1.
func (s *simulation) chooseLiveHost(draw float64) *host {
	liveHosts := make([]*host, 0, len(s.hosts))
	for _, h := range s.hosts {
		if !h.failed {
			liveHosts = append(liveHosts, h)
		}
	}
	return liveHosts[int(draw*float64(len(liveHosts)))]
}

func (s *simulation) scheduleReports() {
	interval := s.deployment.Engines.ReportInterval
	for i, e := range s.endpoints {
		s.scheduleAfter(interval*time.Duration(i)/time.Duration(len(s.endpoints)), func() { s.reportPeriodically(e, interval) })
	}
}

func (s *simulation) reportPeriodically(e *simulatedEndpoint, interval time.Duration) {
	e.sendReport()
	s.scheduleAfter(interval, func() { s.reportPeriodically(e, interval) })
}
