package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"cactuswell/core/autoscale"
	"cactuswell/core/route"
	"cactuswell/core/scheduling"
	"cactuswell/io/control"
	"cactuswell/trail"
)

const (
	// orderRateShare is the share of the control API's rate that orders may use; the rest is left
	// to usage reports, which are due at fixed times.
	orderRateShare = 0.2
	// autoscaleCallTime bounds all calls of a step together, so that the lease is checked again
	// after it.
	autoscaleCallTime = time.Second
	// autoscaleMaxPause is the time between two steps after which the host has lost sight of the
	// endpoints, and starts from what it observes.
	autoscaleMaxPause = 10 * time.Second
	// autoscaleStateAge is the age up to which the last step's state is reported. A host that does
	// not hold the lease makes no steps.
	autoscaleStateAge = 5 * time.Second
	// maxAutoscaleZones bounds the zones of a service, whose names are in the endpoints' entries, and
	// maxAutoscaleGauges the metrics.
	maxAutoscaleZones  = 64
	maxAutoscaleGauges = 4096
	// notReported is the value of the metrics of a host that makes no steps.
	notReported = -1
)

// Types of capacity in metrics and log lines.
const (
	capacityOnDemand = "onDemand"
	capacitySpot     = "spot"
)

// autoscaler orders endpoints for the fleet while this host holds the lease. Its state is derived
// from what is observed, so that a new holder needs none of its predecessor's.
type autoscaler struct {
	gateway *Gateway
	// decider and token belong to the lease of the last step.
	decider   *autoscale.Decider
	token     int64
	steppedAt time.Time
	// shortages holds the number of shortages that the decider had at the last step.
	shortages map[autoscale.Subject]int

	mu sync.Mutex
	// state is the state after the last step, which ended at stateAt.
	state   []autoscale.Snapshot
	stateAt time.Time
	// gauges holds the names of the metrics that are registered.
	gauges map[string]bool
}

func newAutoscaler(g *Gateway) *autoscaler {
	a := &autoscaler{
		gateway: g,
		gauges:  make(map[string]bool),
	}
	g.autoscaler.Store(a)
	return a
}

// step observes the services and makes the orders that are due. It takes up to autoscaleCallTime,
// unless ctx ends before. The error is that of the first order that failed for another reason
// than the rate of calls; after a *control.ConflictError the lease has to be read, as the API does
// not tell a lack of capacity from a higher token.
func (a *autoscaler) step(ctx context.Context, fence control.Fence, now time.Time) error {
	if ready, _ := a.gateway.ready(); !ready || a.gateway.Control == nil {
		return nil
	}
	if a.decider == nil || a.token != fence.Token || now.Sub(a.steppedAt) > autoscaleMaxPause {
		a.decider = autoscale.New(autoscale.Settings{OrdersPerSecond: orderRateShare * a.gateway.currentSettings.Load().ControlRate})
		a.token = fence.Token
		a.shortages = make(map[autoscale.Subject]int)
	}
	if now.Before(a.steppedAt) {
		now = a.steppedAt
	}
	if now.Before(a.steppedAt) {
		now = a.steppedAt
	}
	a.steppedAt = now
	orders := a.decider.Step(now, a.observe())
	defer a.publish(now)
	limited, cancel := context.WithTimeout(ctx, autoscaleCallTime)
	defer cancel()
	for _, order := range orders {
		if limited.Err() != nil {
			return nil
		}
		if err := a.send(limited, fence, now, order); err != nil {
			return err
		}
	}
	return nil
}

// send makes an order and records its outcome.
func (a *autoscaler) send(ctx context.Context, fence control.Fence, now time.Time, order autoscale.Order) error {
	err := a.gateway.Control.OrderEndpoints(ctx, fence, control.Order{
		Service: order.Service,
		Zone:    order.Zone,
		Spot:    order.Spot,
		Desired: order.Desired,
	})
	outcome := outcomeOf(err)
	a.decider.Record(now, order, outcome)
	a.logOrder(fence, order, outcome, err)
	a.gateway.meter.addToCounter(fmt.Sprintf("cactuswell_autoscale_orders_total{reason=%q,outcome=%q}", order.Reason, outcome), 1)
	if outcome == autoscale.Limited {
		return nil
	}
	return err
}

func outcomeOf(err error) autoscale.Outcome {
	var conflict *control.ConflictError
	var rate *control.RateError
	switch {
	case err == nil:
		return autoscale.Accepted
	case errors.As(err, &conflict):
		return autoscale.Conflicted
	case errors.As(err, &rate):
		return autoscale.Limited
	}
	return autoscale.Unknown
}

func (a *autoscaler) logOrder(fence control.Fence, order autoscale.Order, outcome autoscale.Outcome, err error) {
	line := a.gateway.trail.Notice
	if outcome != autoscale.Accepted {
		line = a.gateway.trail.Failure
	}
	appendCount(line("endpointsOrdered").Text("service", order.Service).Text("zone", order.Zone).
		Text("type", capacityType(order.Spot)).Int("desired", int64(order.Desired)).Int("before", int64(order.Before)).
		Text("reason", string(order.Reason)).Text("outcome", outcome.String()), order.Observed).
		Int("total", int64(order.Total)).Int("servingInAll", int64(order.Serving)).Float("demand", order.Demand.Now).
		Float("demandBase", order.Demand.Base).Float("demandPeak", order.Demand.Peak).Int("token", fence.Token).Err(err).End()
}

func appendCount(line *trail.Line, count autoscale.Count) *trail.Line {
	return line.Int("present", int64(count.Present)).Int("serving", int64(count.Serving)).Int("leaving", int64(count.Leaving))
}

func capacityType(spot bool) string {
	if spot {
		return capacitySpot
	}
	return capacityOnDemand
}

// observe returns what is observed of the services that have a scale.
func (a *autoscaler) observe() []autoscale.Service {
	services := a.gateway.configuration.current().Services()
	var loads []scheduling.ServiceLoad
	a.gateway.inspect(func() {
		loads = a.gateway.decisions.scheduler.ServiceLoads(a.gateway.timers.Now(), func(service string) bool {
			return services[service] != nil && services[service].Scale != nil
		})
	})
	isStale := a.gateway.endpoints.unavailable.Load()
	var observed []autoscale.Service
	for _, load := range loads {
		observed = append(observed, observeService(services[load.Service], load, isStale))
	}
	return observed
}

func observeService(service *route.Service, load scheduling.ServiceLoad, isStale bool) autoscale.Service {
	zones := make(map[string]*autoscale.Zone)
	for zone := range service.Scale.ZonePrices {
		zones[zone] = &autoscale.Zone{Name: zone}
	}
	slots, present := 0, 0
	for _, e := range load.Endpoints {
		zone, ok := zones[e.Zone]
		if !ok && len(zones) >= maxAutoscaleZones {
			continue
		}
		if !ok {
			zone = &autoscale.Zone{Name: e.Zone}
			zones[e.Zone] = zone
		}
		count := &zone.OnDemand
		if e.Spot {
			count = &zone.Spot
		}
		if e.Leaving {
			count.Leaving++
			continue
		}
		count.Present++
		if e.Serving {
			count.Serving++
		}
		slots += e.Slots
		present++
	}
	observed := autoscale.Service{
		Name:    service.Name,
		Scale:   *service.Scale,
		IsStale: isStale,
		Load: autoscale.Load{
			Slots:          float64(slots) / float64(max(present, 1)),
			InFlight:       load.InFlight,
			LatencyPrefill: load.LatencyPrefill,
			OtherPrefill:   load.OtherPrefill,
			UnmetShare:     load.UnmetShare,
		},
	}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		observed.Zones = append(observed.Zones, *zones[name])
	}
	return observed
}

// publish makes the state available to dumps and metrics.
func (a *autoscaler) publish(now time.Time) {
	state := a.decider.Snapshots(now)
	a.logShortages(state)
	a.mu.Lock()
	a.state = state
	a.stateAt = a.gateway.timers.Now()
	a.mu.Unlock()
	for _, service := range state {
		a.addGauge(fmt.Sprintf("cactuswell_autoscale_needed{service=%q}", service.Service), func() float64 {
			return a.readService(service.Service, func(s autoscale.Snapshot) float64 { return float64(s.Total) })
		})
		for _, subject := range service.Subjects {
			labels := fmt.Sprintf("{service=%q,zone=%q,type=%q}", service.Service, subject.Zone, capacityType(subject.Spot))
			a.addSubjectGauge("cactuswell_autoscale_desired"+labels, service.Service, subject, func(s autoscale.SubjectSnapshot) int { return s.Desired })
			a.addSubjectGauge("cactuswell_autoscale_ordered"+labels, service.Service, subject, func(s autoscale.SubjectSnapshot) int { return s.Ordered })
			a.addSubjectGauge("cactuswell_autoscale_observed"+labels, service.Service, subject, func(s autoscale.SubjectSnapshot) int { return s.Present })
		}
	}
}

// logShortages logs the capacity that has become short since the last step.
func (a *autoscaler) logShortages(state []autoscale.Snapshot) {
	for _, service := range state {
		for _, s := range service.Subjects {
			key := autoscale.Subject{
				Service: service.Service,
				Zone:    s.Zone,
				Spot:    s.Spot,
			}
			if s.Shortages <= a.shortages[key] {
				continue
			}
			a.shortages[key] = s.Shortages
			a.gateway.meter.addToCounter(fmt.Sprintf("cactuswell_autoscale_shortages_total{cause=%q}", s.ShortCause), 1)
			a.gateway.trail.Failure("capacityShort").Text("service", service.Service).Text("zone", s.Zone).
				Text("type", capacityType(s.Spot)).Text("cause", string(s.ShortCause)).Int("desired", int64(s.Desired)).
				Int("present", int64(s.Present)).Int("leaving", int64(s.Leaving)).
				Millis("for", time.Duration(s.ShortForMs*float64(time.Millisecond))).End()
		}
	}
}

func (a *autoscaler) addSubjectGauge(name, service string, subject autoscale.SubjectSnapshot, read func(autoscale.SubjectSnapshot) int) {
	a.addGauge(name, func() float64 {
		return a.readService(service, func(s autoscale.Snapshot) float64 {
			for _, current := range s.Subjects {
				if current.Zone == subject.Zone && current.Spot == subject.Spot {
					return float64(read(current))
				}
			}
			return notReported
		})
	})
}

func (a *autoscaler) addGauge(name string, read func() float64) {
	if !a.gauges[name] && len(a.gauges) < maxAutoscaleGauges {
		a.gauges[name] = true
		a.gateway.meter.addGauge(name, read)
	}
}

func (a *autoscaler) readService(service string, read func(autoscale.Snapshot) float64) float64 {
	for _, s := range a.snapshots(a.gateway.timers.Now()) {
		if s.Service == service {
			return read(s)
		}
	}
	return notReported
}

// snapshots returns the state after the last step, or nil if it is too old.
func (a *autoscaler) snapshots(now time.Time) []autoscale.Snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.stateAt) > autoscaleStateAge {
		return nil
	}
	return a.state
}
