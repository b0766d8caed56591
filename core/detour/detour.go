// Package detour decides for one host over which path it connects to endpoints: directly,
// or through another host.
//
// A host that fails to connect to an endpoint cannot know whether the endpoint is down or
// its own path to it is gone. It asks another host to connect: if that host succeeds, the
// direct path is at fault. Once this has happened for two endpoints of a service, with no
// direct connection to any of its endpoints since, the path to the whole service counts as
// lost. A lost path is probed until direct connections succeed again.
//
// # Usage
//
//	planner := detour.New()
//	plan := planner.Plan(now, endpoint)
//	... connect as planned, and test the direct path besides if TakeProbe says so ...
//	change := planner.RecordDirect(now, endpoint, err == nil)
//	change = planner.RecordThrough(now, endpoint, err == nil)
//
// A Planner reads no clock and opens no connection. It is not safe for concurrent use.
package detour

import "time"

const (
	// ThroughDelay is how long a direct attempt may take until another host is asked too. It
	// is several round trips within a region.
	ThroughDelay = 50 * time.Millisecond
	// pairWindow is the time within which the outcomes on both paths are compared.
	pairWindow = time.Second
	// endpointsToLose is the number of endpoints that are reached only through other hosts
	// at which the path to their service counts as lost.
	endpointsToLose = 2
	// probesToRegain is the number of direct connections, with no failure between them, with
	// which a lost path counts as restored.
	probesToRegain = 2
	// proofAge is how long a direct connection proves that the path to its service is sound.
	proofAge = time.Second
	// probeInterval is the time between two probes of a lost path.
	probeInterval = 250 * time.Millisecond
	// questionsPerSecond and maxQuestions bound how often other hosts are asked about
	// endpoints while no path is lost, so that endpoints that are down cost them little.
	questionsPerSecond = 10
	maxQuestions       = 10
)

// Endpoint names an endpoint.
type Endpoint struct {
	Service string
	// Address is its IP and port.
	Address string
}

// Plan is how to connect to an endpoint.
type Plan struct {
	// Direct is set if the direct path is to be tried, and Through if another host is to be
	// asked. If both are, the other host is asked after ThroughDelay, or as soon as the
	// direct attempt has failed.
	Direct  bool
	Through bool
}

// Change is a change of the path to a service. It is implemented only by the types in this
// file.
type Change interface {
	isChange()
}

// Lost reports that the path to a service is lost.
type Lost struct {
	Service string
	// Endpoints is the number of endpoints that only other hosts have reached.
	Endpoints int
}

// Restored reports that the path to a service is restored.
type Restored struct {
	Service string
	After   time.Duration
}

func (Lost) isChange()     {}
func (Restored) isChange() {}

// Planner holds what a host knows of its paths.
type Planner struct {
	services map[string]*service
	// questions is the number of questions that may be asked at askedAt.
	questions float64
	askedAt   time.Time
}

// service is the state of the path to a service.
type service struct {
	endpoints map[string]*endpoint
	// connectedAt is the time of the last direct connection.
	connectedAt time.Time
	isLost      bool
	lostAt      time.Time
	probedAt    time.Time
	// regained counts the direct connections since the last failure.
	regained int
}

// endpoint is the state of the path to an endpoint. Endpoints without one have had no
// failure lately.
type endpoint struct {
	failedAt  time.Time
	reachedAt time.Time
	probedAt  time.Time
	// isBlocked is set while the endpoint is reached only through other hosts.
	isBlocked bool
}

// New returns a Planner for which no path is lost.
func New() *Planner {
	return &Planner{
		services:  make(map[string]*service),
		questions: maxQuestions,
	}
}

func (p *Planner) service(name string) *service {
	s, ok := p.services[name]
	if !ok {
		s = &service{endpoints: make(map[string]*endpoint)}
		p.services[name] = s
	}
	return s
}

func (s *service) endpoint(address string) *endpoint {
	e, ok := s.endpoints[address]
	if !ok {
		e = &endpoint{}
		s.endpoints[address] = e
	}
	return e
}

// IsLost reports whether the path to a service is lost.
func (p *Planner) IsLost(name string) bool {
	s, ok := p.services[name]
	return ok && s.isLost
}

// IsProven reports whether direct connections have shown lately that the path to a service is
// sound, so that an endpoint that cannot be reached is down: one was opened, and no attempt
// at another endpoint has failed since.
func (p *Planner) IsProven(now time.Time, to Endpoint) bool {
	s, ok := p.services[to.Service]
	if !ok || s.isLost || now.Sub(s.connectedAt) > proofAge {
		return false
	}
	for address, e := range s.endpoints {
		if address != to.Address && e.failedAt.After(s.connectedAt) {
			return false
		}
	}
	return true
}

// LostServices returns the number of services to which the path is lost.
func (p *Planner) LostServices() int {
	lost := 0
	for _, s := range p.services {
		if s.isLost {
			lost++
		}
	}
	return lost
}

// UsesDirect reports whether open direct connections to an endpoint are to be used. Those
// over a lost path may be silent.
func (p *Planner) UsesDirect(to Endpoint) bool {
	s, ok := p.services[to.Service]
	if !ok || s.isLost {
		return !ok
	}
	e, ok := s.endpoints[to.Address]
	return !ok || !e.isBlocked
}

// Plan returns how to connect to an endpoint.
func (p *Planner) Plan(now time.Time, to Endpoint) Plan {
	if p.UsesDirect(to) {
		return Plan{
			Direct:  true,
			Through: p.mayAsk(now),
		}
	}
	return Plan{Through: true}
}

// TakeProbe reports whether the direct path to an endpoint, which is not used, is to be tested
// now. If so, it is not due again for some time.
func (p *Planner) TakeProbe(now time.Time, to Endpoint) bool {
	if p.UsesDirect(to) {
		return false
	}
	s := p.services[to.Service]
	last := &s.probedAt
	if !s.isLost {
		last = &s.endpoint(to.Address).probedAt
	}
	if now.Sub(*last) < probeInterval {
		return false
	}
	*last = now
	return true
}

// mayAsk reports whether another host may be asked about an endpoint.
func (p *Planner) mayAsk(now time.Time) bool {
	return p.questionsAt(now) >= 1
}

func (p *Planner) questionsAt(now time.Time) float64 {
	return min(p.questions+questionsPerSecond*now.Sub(p.askedAt).Seconds(), maxQuestions)
}

// RecordQuestion records that another host is asked about an endpoint whose direct path was
// tried first.
func (p *Planner) RecordQuestion(now time.Time) {
	p.questions = p.questionsAt(now) - 1
	p.askedAt = now
}

// RecordDirect records whether a direct attempt has succeeded. It returns the change of the
// path that follows, or nil.
func (p *Planner) RecordDirect(now time.Time, to Endpoint, ok bool) Change {
	s := p.service(to.Service)
	if !ok {
		s.regained = 0
		s.endpoint(to.Address).failedAt = now
		return p.compare(now, s, to)
	}
	delete(s.endpoints, to.Address)
	s.connectedAt = now
	if !s.isLost {
		return nil
	}
	s.regained++
	if s.regained < probesToRegain {
		return nil
	}
	s.isLost = false
	clear(s.endpoints)
	return Restored{
		Service: to.Service,
		After:   now.Sub(s.lostAt),
	}
}

// RecordThrough records whether another host has connected to an endpoint. It returns the
// change of the path that follows, or nil.
func (p *Planner) RecordThrough(now time.Time, to Endpoint, ok bool) Change {
	s := p.service(to.Service)
	if !ok {
		// Both paths have failed, so the endpoint is down.
		if e, known := s.endpoints[to.Address]; known {
			e.isBlocked = false
		}
		return nil
	}
	s.endpoint(to.Address).reachedAt = now
	return p.compare(now, s, to)
}

// compare takes an endpoint for blocked if another host has reached it while this one has
// not.
func (p *Planner) compare(now time.Time, s *service, to Endpoint) Change {
	e := s.endpoint(to.Address)
	if e.failedAt.IsZero() || e.reachedAt.IsZero() || now.Sub(e.failedAt) > pairWindow || now.Sub(e.reachedAt) > pairWindow {
		return nil
	}
	e.isBlocked = true
	if s.isLost {
		return nil
	}
	blocked := 0
	for _, other := range s.endpoints {
		if other.isBlocked && other.failedAt.After(s.connectedAt) {
			blocked++
		}
	}
	if blocked < endpointsToLose {
		return nil
	}
	s.isLost = true
	s.lostAt = now
	s.probedAt = now
	s.regained = 0
	return Lost{
		Service:   to.Service,
		Endpoints: blocked,
	}
}

// Forget drops what is known of endpoints whose address is not in keep.
func (p *Planner) Forget(keep map[string]bool) {
	for _, s := range p.services {
		for address := range s.endpoints {
			if !keep[address] {
				delete(s.endpoints, address)
			}
		}
	}
}
