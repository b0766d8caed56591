package autoscale_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"cactuswell/core/autoscale"
	"cactuswell/core/route"
)

const (
	simStep       = 500 * time.Millisecond
	simBoot       = 4 * time.Second
	simCold       = time.Second
	simDrain      = 3 * time.Second
	simVisibility = 500 * time.Millisecond
	simSlots      = 16
	simService    = "s"
)

var simPrices = map[string]float64{"a": 1, "b": 0.8, "c": 1.25}

// simEndpoint is an endpoint of the simulated platform.
type simEndpoint struct {
	subject autoscale.Subject
	// servesAt is when it is present, coldUntil until when it is slow, and leavesAt when it is
	// gone, if it is leaving since leavingSince.
	servesAt     time.Time
	coldUntil    time.Time
	leavingSince time.Time
	leavesAt     time.Time
}

func (e *simEndpoint) isLeaving() bool { return !e.leavesAt.IsZero() }

// lateOrder is an order that is executed later.
type lateOrder struct {
	at    time.Time
	order autoscale.Order
}

// simPlatform executes orders in virtual time.
type simPlatform struct {
	t         *testing.T
	now       time.Time
	started   time.Time
	scale     route.Scale
	endpoints []*simEndpoint
	desired   map[autoscale.Subject]int
	late      []lateOrder
	// outcome decides about an order; a late execution follows after the returned delay.
	outcome func(order autoscale.Order) (autoscale.Outcome, time.Duration)
	// ignores reports whether an order is accepted in vain. It may be nil.
	ignores func(order autoscale.Order) bool
	decider *autoscale.Decider
	// demand is the load in endpoints that it uses fully, at a time since the start.
	demand func(at time.Duration) float64
	// cost is the price of all endpoints so far, spent that of on-demand ones of the initial
	// number.
	cost, initialCost float64
	orders            []autoscale.Order
	// leastShare is the least ratio of serving endpoints to the demand.
	leastShare   float64
	leastShareAt time.Duration
	// shortFor is the time for which fewer endpoints served than the demand needs.
	shortFor time.Duration
}

func newPlatform(t *testing.T, prices map[string]float64, limit int, demand func(time.Duration) float64) *simPlatform {
	started := time.Date(2026, 12, 5, 6, 0, 0, 0, time.UTC)
	p := &simPlatform{
		t:       t,
		now:     started,
		started: started,
		scale: route.Scale{
			Max:        limit,
			Boot:       simBoot,
			SpotPrice:  0.18,
			ZonePrices: prices,
		},
		desired:    make(map[autoscale.Subject]int),
		outcome:    func(autoscale.Order) (autoscale.Outcome, time.Duration) { return autoscale.Accepted, 0 },
		demand:     demand,
		leastShare: 1e9,
	}
	for zone := range prices {
		p.add(simSubject(zone, false), simInitial)
		p.desired[simSubject(zone, false)] = simInitial
	}
	for _, e := range p.endpoints {
		e.servesAt, e.coldUntil = started.Add(-time.Minute), started.Add(-time.Minute)
	}
	p.replaceHolder()
	return p
}

func simSubject(zone string, spot bool) autoscale.Subject {
	return autoscale.Subject{
		Service: simService,
		Zone:    zone,
		Spot:    spot,
	}
}

// replaceHolder starts a holder that knows nothing of the orders before.
func (p *simPlatform) replaceHolder() {
	p.decider = autoscale.New(autoscale.Settings{OrdersPerSecond: 4})
}

func (p *simPlatform) add(subject autoscale.Subject, count int) {
	for range count {
		p.endpoints = append(p.endpoints, &simEndpoint{
			subject:   subject,
			servesAt:  p.now.Add(simBoot),
			coldUntil: p.now.Add(simBoot + simCold),
		})
	}
}

// execute brings a subject to the desired number.
func (p *simPlatform) execute(subject autoscale.Subject, desired int) {
	p.desired[subject] = desired
	staying := 0
	for _, e := range p.endpoints {
		if e.subject != subject || e.isLeaving() {
			continue
		}
		if staying++; staying > desired {
			e.leavingSince, e.leavesAt = p.now, p.now.Add(simDrain)
		}
	}
	p.add(subject, desired-staying)
}

// reclaim takes all spot endpoints of a zone, and returns their desired number to zero.
func (p *simPlatform) reclaim(zone string) {
	subject := simSubject(zone, true)
	p.desired[subject] = 0
	for _, e := range p.endpoints {
		if e.subject == subject && !e.isLeaving() {
			e.leavingSince, e.leavesAt = p.now, p.now.Add(2*time.Second)
		}
	}
}

// observe returns what a host sees, which is delayed.
func (p *simPlatform) observe() autoscale.Service {
	seen := p.now.Add(-simVisibility)
	observed := autoscale.Service{
		Name:  simService,
		Scale: p.scale,
	}
	for _, zone := range slices.Sorted(maps.Keys(p.scale.ZonePrices)) {
		z := autoscale.Zone{Name: zone}
		for _, e := range p.endpoints {
			count := &z.OnDemand
			if e.subject.Spot {
				count = &z.Spot
			}
			switch {
			case e.subject.Zone != zone || e.servesAt.After(seen):
			case e.isLeaving() && !e.leavingSince.After(seen):
				count.Leaving++
			default:
				count.Present++
				if !e.coldUntil.After(seen) {
					count.Serving++
				}
			}
		}
		observed.Zones = append(observed.Zones, z)
	}
	demand, capacity := p.demand(p.now.Sub(p.started)), p.capacity()
	observed.Load = autoscale.Load{
		Slots:    simSlots,
		InFlight: int(min(demand, capacity) * simSlots),
	}
	if demand > capacity {
		observed.Load.UnmetShare = 1 - capacity/demand
	}
	return observed
}

// capacity returns the number of endpoints that take calls.
func (p *simPlatform) capacity() float64 {
	serving := 0
	for _, e := range p.endpoints {
		if !e.servesAt.After(p.now) && !e.isLeaving() {
			serving++
		}
	}
	return float64(serving)
}

// run plays the platform and the holder for a time.
func (p *simPlatform) run(duration time.Duration) {
	for end := p.now.Add(duration); p.now.Before(end); p.now = p.now.Add(simStep) {
		p.late = slices.DeleteFunc(p.late, func(l lateOrder) bool {
			if l.at.After(p.now) {
				return false
			}
			p.execute(l.order.Subject, l.order.Desired)
			return true
		})
		p.endpoints = slices.DeleteFunc(p.endpoints, func(e *simEndpoint) bool {
			return e.isLeaving() && !e.leavesAt.After(p.now)
		})
		p.measure()
		for _, order := range p.decider.Step(p.now, []autoscale.Service{p.observe()}) {
			p.orders = append(p.orders, order)
			outcome, delay := p.outcome(order)
			if outcome == autoscale.Accepted && p.ignores != nil && p.ignores(order) {
				p.decider.Record(p.now, order, outcome)
				continue
			}
			if outcome == autoscale.Accepted {
				p.execute(order.Subject, order.Desired)
			} else if delay > 0 {
				p.late = append(p.late, lateOrder{
					at:    p.now.Add(delay),
					order: order,
				})
			}
			p.decider.Record(p.now, order, outcome)
		}
	}
}

func (p *simPlatform) measure() {
	for _, e := range p.endpoints {
		price := p.scale.ZonePrices[e.subject.Zone]
		if e.subject.Spot {
			price *= p.scale.SpotPrice
		}
		p.cost += price * simStep.Seconds()
	}
	at := p.now.Sub(p.started)
	if demand := p.demand(at); demand > 0 {
		if share := p.capacity() / demand; share < p.leastShare {
			p.leastShare, p.leastShareAt = share, at
		}
		if p.capacity() < demand {
			p.shortFor += simStep
		}
	}
	for _, price := range p.scale.ZonePrices {
		p.initialCost += price * simStep.Seconds() * float64(simInitial)
	}
}

// present returns the number of endpoints of a zone that stay.
func (p *simPlatform) present(zone string, spot bool) int {
	count := 0
	for _, e := range p.endpoints {
		if e.subject == simSubject(zone, spot) && !e.isLeaving() {
			count++
		}
	}
	return count
}

func (p *simPlatform) totals() (onDemand, spot int) {
	for zone := range p.scale.ZonePrices {
		onDemand += p.present(zone, false)
		spot += p.present(zone, true)
	}
	return onDemand, spot
}

// directionChanges counts how often the orders of a subject turn from more to fewer endpoints.
func (p *simPlatform) directionChanges() int {
	last := make(map[autoscale.Subject]autoscale.Reason)
	changes := 0
	for _, order := range p.orders {
		if order.Reason == autoscale.ReasonRepeat {
			continue
		}
		if last[order.Subject] == autoscale.ReasonGrow && order.Reason == autoscale.ReasonShrink {
			changes++
		}
		last[order.Subject] = order.Reason
	}
	return changes
}
