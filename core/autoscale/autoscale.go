// Package autoscale decides how many endpoints of each service the fleet orders in each
// availability zone, spot and on-demand ones.
//
// # Usage
//
//	decider := autoscale.New(autoscale.Settings{OrdersPerSecond: 2})
//	for _, order := range decider.Step(now, services) {
//		decider.Record(now, order, outcome)
//	}
//
// It is designed for fleets of 6 to 2,400 hosts whose load is bursts of two to three times one
// request class over a steady base, on endpoints that start within seconds, and for spot
// capacity that the platform reclaims, all of a zone at once.
//
// A Decider is a state machine without a clock: it gets the time and what is observed, and
// returns the orders that are due. Orders are absolute numbers, so that they may be repeated.
// A new Decider starts from what it observes. It is not safe for concurrent use.
package autoscale

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cactuswell/core/route"
)

const (
	// settleTime is the time after the first observation in which nothing is reduced: it covers
	// endpoints that register late, and the smoothing of the demand.
	settleTime = 10 * time.Second
	// reductionInterval is the time between two reductions of a service while there is traffic,
	// and reductionShare the share of its endpoints, at most maxReduction, by which each reduces
	// it. Released endpoints lose their cached prompts, which the others have to prefill again.
	reductionInterval = 3 * time.Second
	reductionShare    = 0.03
	maxReduction      = 4
	// maxOrders bounds the orders of a step.
	maxOrders = 4
	// maxTokens bounds the orders that may follow each other without a delay.
	maxTokens = 4
	// limitPause is the time without orders after the control API rejected one for its rate.
	limitPause = time.Second
)

// Settings configures a Decider.
type Settings struct {
	// OrdersPerSecond bounds the rate of the orders.
	OrdersPerSecond float64
}

// Service is what is observed of a service whose number of endpoints may be ordered.
type Service struct {
	Name  string
	Scale route.Scale
	// Zones holds the zones with endpoints, and those that have a price.
	Zones []Zone
	Load  Load
	// IsStale is set if the endpoints may have changed without being observed. The zones of the
	// last observation count then, and nothing is reduced.
	IsStale bool
}

// Zone holds the endpoints of a service in a zone.
type Zone struct {
	Name     string
	OnDemand Count
	Spot     Count
}

// Count is a number of endpoints of one capacity type.
type Count struct {
	// Present counts those that are not leaving, and Serving those of them that are neither slow
	// after their start nor ejected.
	Present int
	Serving int
	Leaving int
}

// Subject is what an order is about.
type Subject struct {
	Service string
	Zone    string
	Spot    bool
}

// Order is an order for a number of endpoints, with the inputs that decided it.
type Order struct {
	Subject
	Desired int
	Reason  Reason
	// Before is the number that was ordered before or else observed, and Observed what is
	// observed.
	Before   int
	Observed Count
	// Total is the desired number of endpoints of the service, Serving what it has, and
	// Demand what it needs.
	Total   int
	Serving int
	Demand  Demand
}

// Reason is why an order is made.
type Reason string

// The reasons.
const (
	// ReasonGrow is that the demand, or the replacement of other endpoints, needs more.
	ReasonGrow Reason = "grow"
	// ReasonShrink is that fewer suffice.
	ReasonShrink Reason = "shrink"
	// ReasonRepeat is that the observed number does not follow the last order, or that the
	// outcome of the last order is unknown.
	ReasonRepeat Reason = "repeat"
)

// Outcome is the result of an order.
type Outcome int

// The outcomes.
const (
	// Accepted means that the order was accepted.
	Accepted Outcome = iota
	// Conflicted means that no capacity is available, or that another holder has ordered.
	Conflicted
	// Limited means that the order was rejected because of the rate of calls.
	Limited
	// Unknown means that the order may be executed, also later.
	Unknown
)

// Decider decides for all services. Use New.
type Decider struct {
	settings Settings
	services map[string]*service
	// tokens is the number of orders that are allowed at tokensAt.
	tokens      float64
	tokensAt    time.Time
	pausedUntil time.Time
}

// service is the state of a service.
type service struct {
	observed  Service
	startedAt time.Time
	// staleAt is when the endpoints were last unobserved.
	staleAt time.Time
	demand  demandMeter
	// reference holds the number of endpoints by zone when the Decider started.
	reference map[string]int
	// total is the desired number of endpoints of the service before those that replace
	// reclaimed ones, and lowSince since when fewer would do.
	total           int
	lowSince        time.Time
	nextLoweringAt  time.Time
	nextReductionAt time.Time
	subjects        map[Subject]*subject
	plan            plan
}

// New returns a Decider that has observed nothing.
func New(settings Settings) *Decider {
	return &Decider{
		settings: settings,
		services: make(map[string]*service),
	}
}

// Step takes what is observed and returns the orders that are due, the most urgent first. Those
// that are sent must be recorded. Times must never decrease.
func (d *Decider) Step(now time.Time, observed []Service) []Order {
	d.refill(now)
	known := make(map[string]bool, len(observed))
	var raises, reductions []Order
	for _, current := range observed {
		known[current.Name] = true
		s := d.service(now, current)
		s.observe(now, current)
		if s.isUnobserved(now) {
			continue
		}
		s.plan = s.makePlan(now)
		raises = append(raises, s.raises(now)...)
		reductions = append(reductions, s.reductions(now)...)
	}
	for name := range d.services {
		if !known[name] {
			delete(d.services, name)
		}
	}
	if now.Before(d.pausedUntil) {
		return nil
	}
	slices.SortStableFunc(raises, func(a, b Order) int {
		return cmp.Compare(b.Desired-b.Before, a.Desired-a.Before)
	})
	orders := append(raises, reductions...)
	return orders[:min(len(orders), maxOrders, max(int(d.tokens), 0))]
}

// Record takes the outcome of an order that was sent.
func (d *Decider) Record(now time.Time, order Order, outcome Outcome) {
	d.tokens--
	if outcome == Limited {
		d.pausedUntil = now.Add(limitPause)
	}
	s := d.services[order.Service]
	if s == nil {
		return
	}
	s.subject(order.Subject).record(now, order, outcome)
	if order.Reason == ReasonShrink && s.demand.hasTraffic(now) {
		s.nextReductionAt = now.Add(reductionInterval)
	}
}

func (d *Decider) refill(now time.Time) {
	if d.tokensAt.IsZero() {
		d.tokens = maxTokens
	} else {
		d.tokens = min(d.tokens+now.Sub(d.tokensAt).Seconds()*d.settings.OrdersPerSecond, maxTokens)
	}
	d.tokensAt = now
}

func (d *Decider) service(now time.Time, observed Service) *service {
	s, ok := d.services[observed.Name]
	if !ok {
		s = &service{
			startedAt: now,
			reference: make(map[string]int),
			subjects:  make(map[Subject]*subject),
		}
		d.services[observed.Name] = s
	}
	return s
}

// observe takes the endpoints and the load of the service.
func (s *service) observe(now time.Time, observed Service) {
	if observed.IsStale {
		s.observeBlindly(now, observed)
		return
	}
	s.observed = observed
	s.demand.observe(now, observed.Load)
	if now.Sub(s.startedAt) < settleTime {
		s.learnReference()
	}
	for _, zone := range observed.Zones {
		s.subject(s.key(zone.Name, false)).observe(now, zone.OnDemand, observed.Scale.Boot)
		s.subject(s.key(zone.Name, true)).observe(now, zone.Spot, observed.Scale.Boot)
	}
	s.resize(now)
}

// observeBlindly takes the load alone. An order for more than the remaining entries show would
// release endpoints that serve without being observed, as orders are absolute numbers.
func (s *service) observeBlindly(now time.Time, observed Service) {
	observed.Zones = s.observed.Zones
	s.observed = observed
	s.staleAt = now
	if len(observed.Zones) == 0 {
		s.startedAt = now
	}
	s.demand.observe(now, observed.Load)
	s.resize(now)
}

// isUnobserved reports whether the endpoints of the service are probably not known yet.
func (s *service) isUnobserved(now time.Time) bool {
	for _, zone := range s.observed.Zones {
		if zone.OnDemand.Present+zone.Spot.Present > 0 {
			return false
		}
	}
	return now.Sub(s.startedAt) < settleTime
}

// learnReference derives the size of the service from the endpoints. In a fleet that has replaced
// its on-demand endpoints, the spot ones tell it; in a zone from which they were reclaimed, the
// on-demand ones that are left do.
func (s *service) learnReference() {
	onDemand, spot, largest := 0, 0, 0
	for _, zone := range s.observed.Zones {
		onDemand += zone.OnDemand.Present
		spot += zone.Spot.Present
		largest = max(largest, zone.OnDemand.Present, zone.Spot.Present)
	}
	for _, zone := range s.observed.Zones {
		size := max(zone.OnDemand.Present, zone.Spot.Present)
		if zone.Spot.Present == 0 && zone.OnDemand.Present > 0 && spot > onDemand {
			size = max(size, min(int(float64(zone.OnDemand.Present-1)/onDemandShare)+1, largest))
		}
		s.reference[zone.Name] = max(s.reference[zone.Name], size)
	}
}

func (s *service) key(zone string, spot bool) Subject {
	return Subject{
		Service: s.observed.Name,
		Zone:    zone,
		Spot:    spot,
	}
}

func (s *service) subject(key Subject) *subject {
	known, ok := s.subjects[key]
	if !ok {
		known = &subject{isSpot: key.Spot}
		s.subjects[key] = known
	}
	return known
}

// raises returns the orders that add endpoints, or repeat the last order.
func (s *service) raises(now time.Time) []Order {
	var orders []Order
	for _, target := range s.plan.targets {
		known := s.subject(target.subject)
		before := known.committed()
		switch {
		case target.desired > before && !now.Before(known.retryAt):
			orders = append(orders, s.order(target.subject, known.probe(before, target.desired), ReasonGrow))
		case known.isRepeatDue(now):
			orders = append(orders, s.order(target.subject, before, ReasonRepeat))
		}
	}
	return orders
}

// reductions returns the orders that release endpoints.
func (s *service) reductions(now time.Time) []Order {
	isSettled := now.Sub(s.startedAt) >= settleTime && now.Sub(s.staleAt) >= settleTime
	if s.observed.IsStale || !isSettled || now.Before(s.nextReductionAt) || s.isBusy() {
		return nil
	}
	var orders []Order
	for _, target := range s.plan.targets {
		known := s.subject(target.subject)
		before := known.committed()
		if target.desired >= before || now.Before(known.retryAt) {
			continue
		}
		isIdle := !s.demand.hasTraffic(now)
		step := before - target.desired
		if !isIdle {
			step = min(step, max(int(math.Ceil(reductionShare*float64(s.total))), 1), maxReduction)
		}
		if target.subject.Spot {
			// Spot endpoints elsewhere that replace these have to serve first.
			step = min(step, s.servingSpot()-s.plan.spotTotal)
		}
		if step <= 0 {
			continue
		}
		orders = append(orders, s.order(target.subject, before-step, ReasonShrink))
		if !isIdle {
			break
		}
	}
	return orders
}

// isBusy reports whether the endpoints that serve have no room to take over the calls of others.
func (s *service) isBusy() bool {
	return s.demand.fast > lossUtilization*float64(s.serving())
}

// serving returns the number of endpoints that serve.
func (s *service) serving() int {
	serving := 0
	for _, zone := range s.observed.Zones {
		serving += zone.OnDemand.Serving + zone.Spot.Serving
	}
	return serving
}

func (s *service) servingSpot() int {
	serving := 0
	for _, zone := range s.observed.Zones {
		serving += zone.Spot.Serving
	}
	return serving
}

func (s *service) order(key Subject, desired int, reason Reason) Order {
	known := s.subject(key)
	return Order{
		Subject:  key,
		Desired:  desired,
		Reason:   reason,
		Before:   known.committed(),
		Observed: known.count,
		Total:    s.total,
		Serving:  s.serving(),
		Demand:   s.demand.current(),
	}
}

// String returns the outcome's name as used in logs and metrics.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Conflicted:
		return "conflict"
	case Limited:
		return "tooManyCalls"
	case Unknown:
		return "unknown"
	}
	return "none"
}
