package scheduling

import (
	"math"
	"time"
)

const (
	// unmetTimeConstant is the time constant over which the share of unmet calls is smoothed: a
	// burst lasts for a few seconds.
	unmetTimeConstant = 3 * time.Second
	// minUnmetCalls is the number of calls by which the share is lowered, so that one call of a
	// host with few does not represent the whole fleet.
	minUnmetCalls = 5
)

// ServiceLoad is the load of a service on all hosts, as far as this host knows it, with the
// endpoints that carry it.
type ServiceLoad struct {
	Service string
	// InFlight is the number of calls that run or wait at the endpoints.
	InFlight int
	// LatencyPrefill is the prefill time a second that callers request for latency-sensitive
	// streams, and OtherPrefill that for other calls. They are zero for plain services.
	LatencyPrefill time.Duration
	OtherPrefill   time.Duration
	// UnmetShare is the share of this host's calls that found no room at once. Callers are spread
	// over the hosts, so that it represents all of them.
	UnmetShare float64
	Endpoints  []EndpointState
}

// EndpointState is the state of an endpoint.
type EndpointState struct {
	Zone    string
	Spot    bool
	Slots   int
	Leaving bool
	// Serving reports whether the endpoint is neither leaving, nor slow after its start, nor
	// ejected by this host.
	Serving bool
}

// ServiceLoads returns the load of the wanted services, in the order in which they became known.
func (s *Scheduler) ServiceLoads(now time.Time, isWanted func(service string) bool) []ServiceLoad {
	loads := make([]ServiceLoad, 0, len(s.poolsInOrder))
	for _, p := range s.poolsInOrder {
		if !isWanted(p.name) {
			continue
		}
		load := ServiceLoad{
			Service:        p.name,
			LatencyPrefill: p.partitions.latencyDemand.rateAt(now) + p.partitions.others.LatencySensitive,
			OtherPrefill:   p.partitions.prefillDemand.rateAt(now) + p.partitions.others.Other,
			UnmetShare:     p.unmet.share(now),
			Endpoints:      make([]EndpointState, 0, len(p.endpoints)),
		}
		for _, e := range p.endpoints {
			load.InFlight += e.inFlight(now)
			load.Endpoints = append(load.Endpoints, EndpointState{
				Zone:    e.entry.Zone,
				Spot:    e.entry.Spot,
				Slots:   e.entry.Slots,
				Leaving: e.leaving,
				Serving: !e.leaving && !now.Before(e.coldUntil) && !e.health.isEjected(now),
			})
		}
		loads = append(loads, load)
	}
	return loads
}

// unmetMeter measures the share of calls that found no room at once, because the endpoints were
// full or overloaded.
type unmetMeter struct {
	at     time.Time
	placed float64
	unmet  float64
}

func (m *unmetMeter) decay(now time.Time) {
	if !m.at.IsZero() {
		factor := math.Exp(-now.Sub(m.at).Seconds() / unmetTimeConstant.Seconds())
		m.placed *= factor
		m.unmet *= factor
	}
	m.at = now
}

func (m *unmetMeter) share(now time.Time) float64 {
	m.decay(now)
	return m.unmet / (m.placed + m.unmet + minUnmetCalls)
}

// recordPlaced records that a call is sent for the first time, unless it was unmet before.
func (m *unmetMeter) recordPlaced(now time.Time, c *call) {
	if c.sends == 0 && !c.isUnmet {
		m.decay(now)
		m.placed++
	}
}

// recordUnmet records that a call that was not sent yet found no room.
func (m *unmetMeter) recordUnmet(now time.Time, c *call) {
	if c.sends == 0 && !c.isUnmet {
		c.isUnmet = true
		m.decay(now)
		m.unmet++
	}
}

// isLackOfCapacity reports whether a call that is refused for the reason would have run on further
// endpoints.
func (r Reason) isLackOfCapacity() bool {
	return r == ReasonAllFull || r == ReasonOverloaded || r == ReasonNoEndpoint || r == ReasonAllLimited
}
