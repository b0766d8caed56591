package autoscale_test

import (
	"testing"
	"time"

	"cactuswell/core/autoscale"
	"cactuswell/core/route"
)

const (
	simInitial = 30
	simLimit   = 60
	// reflectTime is the time from an order until it is repeated because it is not observed.
	reflectTime = simBoot + 5*time.Second
)

func constantly(demand float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return demand }
}

func (p *simPlatform) report() {
	onDemand, spot := p.totals()
	p.t.Logf("%s: least capacity %.2f of the demand at %s, cost %.3f of the initial number's, %d on-demand and %d spot endpoints, %d orders, %d turns",
		p.now.Sub(p.started), p.leastShare, p.leastShareAt, p.cost/p.initialCost, onDemand, spot, len(p.orders), p.directionChanges())
}

// check checks the capacity that callers had, and the cost, over the whole run.
func (p *simPlatform) check(leastShare, maxCost float64, maxTurns int) {
	p.t.Helper()
	p.report()
	if p.leastShare < leastShare {
		p.t.Errorf("the capacity was %.2f of the demand at %s, want %.2f", p.leastShare, p.leastShareAt, leastShare)
	}
	if got := p.cost / p.initialCost; got > maxCost {
		p.t.Errorf("the cost was %.2f of that of the initial number, want %.2f", got, maxCost)
	}
	if got := p.directionChanges(); got > maxTurns {
		p.t.Errorf("orders turned %d times, want %d", got, maxTurns)
	}
}

// TestLoads guards against a capacity that is too small for the load at any moment after the
// endpoints' boot time, against orders that follow the load up and down, and against a cost that
// is not far below that of the initial number.
func TestLoads(t *testing.T) {
	for name, test := range map[string]struct {
		demand     func(time.Duration) float64
		leastShare float64
		maxShort   time.Duration
		maxCost    float64
		maxTurns   int
	}{
		"idle": {
			demand:  constantly(0),
			maxCost: 0.5,
		},
		"calm": {
			demand:     constantly(30),
			leastShare: 2.5,
			maxCost:    0.55,
			maxTurns:   3,
		},
		"busy": {
			demand:     constantly(60),
			leastShare: 1.5,
			maxCost:    0.8,
		},
		"oscillating": {
			demand: func(at time.Duration) float64 {
				if at%(40*time.Second) < 20*time.Second {
					return 15
				}
				return 45
			},
			leastShare: 2,
			maxCost:    0.55,
		},
		"burst of a class to three times its rate for 5 s every 30 s": {
			demand: func(at time.Duration) float64 {
				if at%(30*time.Second) > 25*time.Second {
					return 66
				}
				return 30
			},
			leastShare: 1.5,
			maxCost:    0.6,
		},
		"six times as much after 5 min": {
			demand: func(at time.Duration) float64 {
				if at > 5*time.Minute {
					return 120
				}
				return 20
			},
			// Until more endpoints have started, those that are there are all that there is.
			leastShare: 0.6,
			maxShort:   simBoot + 2*time.Second,
			maxCost:    0.7,
			maxTurns:   6,
		},
		"rare bursts": {
			demand: func(at time.Duration) float64 {
				if at%(100*time.Second) > 96*time.Second {
					return 66
				}
				return 20
			},
			// Only the first burst is not known before.
			leastShare: 1.5,
			maxCost:    0.55,
			maxTurns:   2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlatform(t, simPrices, simLimit, test.demand)
			p.run(10 * time.Minute)
			p.check(test.leastShare, test.maxCost, test.maxTurns)
			if p.shortFor > test.maxShort {
				t.Errorf("too few endpoints for %s, want %s", p.shortFor, test.maxShort)
			}
		})
	}
}

// TestReclaim guards against a zone's spot endpoints without which the rest does not suffice, also
// if no others are available there for some time, and a change to a holder without state.
func TestReclaim(t *testing.T) {
	for name, replaceHolder := range map[string]bool{
		"same holder": false,
		"new holder":  true,
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlatform(t, simPrices, simLimit, constantly(40))
			p.run(3 * time.Minute)
			p.report()
			before := p.capacity()
			reclaimedAt := p.now
			p.reclaim("c")
			p.ignores = func(order autoscale.Order) bool {
				return order.Subject == simSubject("c", true) && p.now.Sub(reclaimedAt) < 20*time.Second
			}
			p.run(2 * time.Second)
			if replaceHolder {
				p.replaceHolder()
			}
			p.run(simBoot + 2*time.Second)
			if got := p.capacity(); got < before-5 {
				t.Errorf("%.0f endpoints after the boot time, %.0f before", got, before)
			}
			p.run(time.Minute)
			if got := p.present("c", true); got < simInitial {
				t.Errorf("%d spot endpoints in the zone a minute after the reclaim, want %d", got, simInitial)
			}
			p.run(4 * time.Minute)
			p.check(2, 0.75, 6)
		})
	}
}

// TestReclaimOfOnlyZone guards against spot endpoints without which too few are left, where no other
// zone can absorb their loss.
func TestReclaimOfOnlyZone(t *testing.T) {
	p := newPlatform(t, map[string]float64{"a": 1}, simLimit, constantly(12))
	p.run(3 * time.Minute)
	p.reclaim("a")
	p.run(10 * time.Second)
	p.check(1.3, 0.9, 0)
}

// TestNoCapacity guards against releasing endpoints for others that are not to be had, and against
// ordering them too often.
func TestNoCapacity(t *testing.T) {
	p := newPlatform(t, simPrices, simLimit, constantly(50))
	p.outcome = func(order autoscale.Order) (autoscale.Outcome, time.Duration) {
		if order.Reason == autoscale.ReasonShrink {
			return autoscale.Accepted, 0
		}
		return autoscale.Conflicted, 0
	}
	p.run(5 * time.Minute)
	onDemand, spot := p.totals()
	if onDemand != 3*simInitial || spot != 0 {
		t.Errorf("%d on-demand and %d spot endpoints", onDemand, spot)
	}
	if len(p.orders) > 60 {
		t.Errorf("%d orders within 5 min", len(p.orders))
	}
	p.check(1.5, 1.01, 0)
	p.outcome = func(autoscale.Order) (autoscale.Outcome, time.Duration) { return autoscale.Accepted, 0 }
	p.run(3 * time.Minute)
	if _, spot := p.totals(); spot < 3*simInitial {
		t.Errorf("%d spot endpoints 3 min after there is capacity again", spot)
	}
}

// TestPartialCapacity guards against a zone without spot endpoints because it has not as many as are
// wanted.
func TestPartialCapacity(t *testing.T) {
	p := newPlatform(t, simPrices, simLimit, constantly(30))
	p.outcome = func(order autoscale.Order) (autoscale.Outcome, time.Duration) {
		if order.Spot && order.Desired > 10 {
			return autoscale.Conflicted, 0
		}
		return autoscale.Accepted, 0
	}
	p.run(2 * time.Minute)
	if onDemand, spot := p.totals(); spot < 20 || onDemand+spot < 75 {
		t.Errorf("%d on-demand and %d spot endpoints", onDemand, spot)
	}
}

// TestStaleOrderInForce guards against a number of endpoints that stays what an old order made it,
// which was executed after the newest one.
func TestStaleOrderInForce(t *testing.T) {
	for name, stale := range map[string]int{
		"fewer": 2,
		"more":  simInitial,
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlatform(t, simPrices, simLimit, constantly(30))
			p.run(3 * time.Minute)
			before := p.present("c", false)
			p.execute(simSubject("c", false), stale)
			p.run(2*simBoot + reflectTime)
			if got := p.present("c", false); got != before {
				t.Errorf("%d endpoints, want %d", got, before)
			}
		})
	}
}

// TestLateExecution guards against an old order that is executed after a newer one and stays in
// force.
func TestLateExecution(t *testing.T) {
	p := newPlatform(t, simPrices, simLimit, constantly(30))
	calls := 0
	p.outcome = func(autoscale.Order) (autoscale.Outcome, time.Duration) {
		calls++
		switch calls % 3 {
		case 0:
			return autoscale.Unknown, 6 * time.Second
		case 1:
			return autoscale.Unknown, 0
		}
		return autoscale.Accepted, 0
	}
	p.run(6 * time.Minute)
	onDemand, spot := p.totals()
	if onDemand < 20 || onDemand > 30 || spot < 75 || spot > 100 {
		t.Errorf("%d on-demand and %d spot endpoints", onDemand, spot)
	}
	p.check(2, 0.9, 12)
}

// TestNewHolder guards against a new holder that takes the endpoints of a fleet that has replaced
// its on-demand ones for those of a new fleet, and orders as many again. Orders of the one before
// are executed late.
func TestNewHolder(t *testing.T) {
	p := newPlatform(t, simPrices, simLimit, constantly(40))
	calls := 0
	p.outcome = func(autoscale.Order) (autoscale.Outcome, time.Duration) {
		if calls++; calls%5 == 0 {
			return autoscale.Unknown, 5 * time.Second
		}
		return autoscale.Accepted, 0
	}
	for range 10 {
		p.run(40 * time.Second)
		p.replaceHolder()
	}
	p.run(time.Minute)
	if onDemand, spot := p.totals(); onDemand > 30 || spot > 110 {
		t.Errorf("%d on-demand and %d spot endpoints", onDemand, spot)
	}
	p.check(2, 0.7, 12)
}

// TestBounds guards against orders beyond the limit of a zone, and against changes of a number that
// an operator has pinned.
func TestBounds(t *testing.T) {
	for name, test := range map[string]struct {
		min, max int
		demand   float64
		wantSpot bool
		// leastShare is the least capacity in terms of the demand.
		leastShare float64
	}{
		"pinned":                  {min: simInitial, max: simInitial, demand: 20},
		"limit is initial number": {min: 0, max: simInitial, demand: 20, wantSpot: true},
		"no room for a swap":      {min: 0, max: simInitial, demand: 75, leastShare: 1.2},
		"too much demand":         {min: 0, max: simLimit, demand: 300, wantSpot: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlatform(t, simPrices, test.max, constantly(test.demand))
			p.scale.Min = test.min
			p.run(5 * time.Minute)
			p.report()
			if p.leastShare < test.leastShare {
				t.Errorf("the capacity was %.2f of the demand at %s", p.leastShare, p.leastShareAt)
			}
			ordered := make(map[autoscale.Subject]int)
			for zone := range simPrices {
				ordered[simSubject(zone, false)] = simInitial
			}
			for _, order := range p.orders {
				ordered[order.Subject] = order.Desired
				zone := order.Zone
				if sum := ordered[simSubject(zone, true)] + ordered[simSubject(zone, false)]; sum < test.min || sum > test.max {
					t.Fatalf("%d endpoints in zone %s after %+v", sum, zone, order)
				}
			}
			if _, spot := p.totals(); (spot > simInitial) != test.wantSpot {
				t.Errorf("%d spot endpoints", spot)
			}
			if test.min == test.max && len(p.orders) > 0 {
				t.Errorf("%d orders", len(p.orders))
			}
		})
	}
}

// TestOrdersWhileEndpointsAreUnobserved guards against an order that grows a number which is
// observed only in part while the store is down: the number is absolute, so that it releases
// endpoints that still serve.
func TestOrdersWhileEndpointsAreUnobserved(t *testing.T) {
	const existing, visible = 30, 3
	for name, seen := range map[string]time.Duration{
		"holder":     2 * time.Second,
		"new holder": 0,
	} {
		t.Run(name, func(t *testing.T) {
			decider := autoscale.New(autoscale.Settings{OrdersPerSecond: 10})
			for at := time.Duration(0); at < 30*time.Second; at += 500 * time.Millisecond {
				observed := autoscale.Service{
					Name: "s",
					Scale: route.Scale{
						Min:  10,
						Max:  60,
						Boot: simBoot,
					},
					Zones: []autoscale.Zone{{Name: "a"}},
					Load:  autoscale.Load{Slots: 1},
				}
				observed.Zones[0].OnDemand.Present = existing
				if at >= seen {
					observed.IsStale = true
					observed.Zones[0].OnDemand.Present = visible
				}
				observed.Zones[0].OnDemand.Serving = observed.Zones[0].OnDemand.Present
				now := time.Unix(0, 0).Add(at)
				for _, order := range decider.Step(now, []autoscale.Service{observed}) {
					if order.Desired < existing {
						t.Errorf("at %s: %s order for %d of %d endpoints", at, order.Reason, order.Desired, existing)
					}
					// The orders for more are rejected, so that part of the number is ordered next.
					decider.Record(now, order, autoscale.Conflicted)
				}
			}
		})
	}
}
