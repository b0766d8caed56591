package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cactuswell/core/dispatch"
	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
)

// simulation is one run.
type simulation struct {
	deployment Deployment
	scenario   Scenario
	policy     Policy
	startedAt  time.Time
	now        time.Time
	events     eventHeap
	random     *rand.Rand
	arrivals   []arrival
	profiles   map[*Class]profile.Profile
	hosts      []*host
	engines    []*engine
	byKey      map[endpoint.Key]*engine
	meter      meter
}

func newSimulation(deployment Deployment, scenario Scenario, policy Policy, seed uint64) *simulation {
	startedAt := time.Unix(1_700_000_000, 0).UTC()
	s := &simulation{
		deployment: deployment,
		scenario:   scenario,
		policy:     policy,
		startedAt:  startedAt,
		now:        startedAt,
		random:     rand.New(rand.NewPCG(seed, 1<<32)),
		profiles:   make(map[*Class]profile.Profile),
		byKey:      make(map[endpoint.Key]*engine),
	}
	s.meter = newMeter(s)
	for i := range s.deployment.Classes {
		class := &s.deployment.Classes[i]
		p, err := profile.New(class.Spec)
		if err != nil {
			panic(err)
		}
		s.profiles[class] = p
	}
	s.arrivals = script(&s.deployment, &s.scenario, seed)
	s.addEngines(seed)
	s.addHosts(seed)
	return s
}

func (s *simulation) addEngines(seed uint64) {
	for i := range s.deployment.Engines.Count {
		e := s.newEngine(i, fmt.Sprintf("engine-%d", i), profile.KindModel, s.deployment.Engines.Pool, seed)
		e.slots = s.deployment.Engines.Slots
		e.reportLag = s.deployment.Engines.ReportLag
		e.cache = newBlockCache(s.deployment.Engines.CacheBlocks)
	}
	for i := range s.deployment.Services.Count {
		e := s.newEngine(i, fmt.Sprintf("service-%d", i), profile.KindService, s.deployment.Services.Pool, seed)
		e.slots = s.deployment.Services.Slots
		e.reportLag = s.deployment.Services.ReportLag
	}
	if s.scenario.ReportLag > 0 {
		for _, e := range s.engines {
			e.reportLag = s.scenario.ReportLag
		}
	}
}

func (s *simulation) newEngine(number int, name string, kind profile.Kind, pool string, seed uint64) *engine {
	e := &engine{
		simulation: s,
		number:     number,
		slowdown:   1,
		known:      make(map[attemptKey]*attempt),
		random:     rand.New(rand.NewPCG(seed, uint64(len(s.engines))+1<<33)),
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
	s.engines = append(s.engines, e)
	s.byKey[e.descriptor.Key] = e
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
			routers:   &s.meter.routers,
		}),
	}
	h.poolNames = append(h.poolNames, name)
}

func (s *simulation) at(at time.Time, run func()) { s.events.add(int64(at.Sub(s.startedAt)), run) }

func (s *simulation) after(delay time.Duration, run func()) { s.at(s.now.Add(delay), run) }

// since returns the time since the start of the run.
func (s *simulation) since() time.Duration { return s.now.Sub(s.startedAt) }

func (s *simulation) run() {
	s.introduce()
	s.planArrival(0)
	s.planReports()
	s.planFaults()
	for {
		event, ok := s.events.next()
		if !ok || time.Duration(event.at) > horizon+drainLimit {
			return
		}
		s.now = s.startedAt.Add(time.Duration(event.at))
		event.run()
		if s.since() > horizon && s.meter.allEnded() {
			return
		}
	}
}

// introduce tells every host of the others and of the endpoints.
func (s *simulation) introduce() {
	for _, h := range s.hosts {
		for _, name := range h.poolNames {
			h.step(name, dispatch.HostsCounted{
				Hosts: len(s.hosts),
			})
		}
		for _, e := range s.engines {
			h.step(e.descriptor.Pool, dispatch.EndpointAdded{
				Descriptor: e.descriptor,
			})
		}
	}
}

func (s *simulation) planArrival(i int) {
	if i >= len(s.arrivals) {
		return
	}
	a := &s.arrivals[i]
	s.at(s.startedAt.Add(a.after), func() {
		s.liveHost(a.host).arrive(a)
		s.planArrival(i + 1)
	})
}

// liveHost returns the host that the balancer chooses.
func (s *simulation) liveHost(drawn float64) *host {
	live := make([]*host, 0, len(s.hosts))
	for _, h := range s.hosts {
		if !h.lost {
			live = append(live, h)
		}
	}
	return live[int(drawn*float64(len(live)))]
}

func (s *simulation) planReports() {
	every := s.deployment.Engines.ReportInterval
	for i, e := range s.engines {
		s.after(every*time.Duration(i)/time.Duration(len(s.engines)), func() { s.reportAndRepeat(e, every) })
	}
}

func (s *simulation) reportAndRepeat(e *engine, every time.Duration) {
	e.report()
	s.after(every, func() { s.reportAndRepeat(e, every) })
}
