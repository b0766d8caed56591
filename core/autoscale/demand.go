package autoscale

import (
	"math"
	"time"
)

const (
	// fullPrefillShare and fullLatencyPrefillShare are the shares of an engine's time that
	// prefills take while it is fully used: beyond them the queue grows without bound, or the
	// chunks of prompts stretch the event gaps of latency-sensitive streams.
	fullPrefillShare        = 0.9
	fullLatencyPrefillShare = 0.4
	// maxUnmetShare bounds the share of calls that found no room. A burst is up to three times
	// the usual load, and callers that retry count more than once.
	maxUnmetShare = 2.0 / 3
	// baseUtilization is the utilization that the usual load may cause. A request class with up
	// to 60% of the load that triples takes the endpoints to 0.88.
	baseUtilization = 0.4
	// peakUtilization is the utilization that the highest load of peakMemory would cause.
	peakUtilization = 0.75
	// lossUtilization and lossPeakUtilization are the same after the loss of all spot endpoints
	// of one zone, until they are replaced.
	lossUtilization     = 0.7
	lossPeakUtilization = 0.9
	// peakMemory is the time for which a peak counts, and peakInterval its resolution.
	peakMemory   = 60 * time.Second
	peakInterval = 2 * time.Second
	// fastTimeConstant smooths the single measurements, and baseTimeConstant is long compared
	// with a burst.
	fastTimeConstant = time.Second
	baseTimeConstant = 20 * time.Second
	// idleShare is the utilization below which there is no traffic, and idleTime the time for
	// which it has to stay there.
	idleShare = 0.005
	idleTime  = 10 * time.Second
)

// Load is the load of a service on all hosts.
type Load struct {
	// Slots is the mean number of calls that an endpoint runs concurrently, and InFlight the
	// number of calls that run or wait at the endpoints.
	Slots    float64
	InFlight int
	// LatencyPrefill is the prefill time a second of latency-sensitive streams, and OtherPrefill
	// that of other calls.
	LatencyPrefill time.Duration
	OtherPrefill   time.Duration
	// UnmetShare is the share of calls that found no room at once.
	UnmetShare float64
}

// endpoints returns the number of endpoints that the load uses fully.
func (l Load) endpoints() float64 {
	slots := float64(l.InFlight) / max(l.Slots, 1)
	prefill := l.LatencyPrefill.Seconds()/fullLatencyPrefillShare + l.OtherPrefill.Seconds()/fullPrefillShare
	return max(slots, prefill) / (1 - min(max(l.UnmetShare, 0), maxUnmetShare))
}

// Demand is the load in endpoints that it uses fully.
type Demand struct {
	// Now is the current demand, Base that of the last tens of seconds, and Peak the highest
	// within peakMemory.
	Now  float64 `json:"now"`
	Base float64 `json:"base"`
	Peak float64 `json:"peak"`
}

// need returns the number of endpoints for the demand with room for a burst.
func (d Demand) need() int {
	return int(math.Ceil(max(d.Base/baseUtilization, d.Peak/peakUtilization)))
}

// demandMeter measures the demand.
type demandMeter struct {
	at   time.Time
	fast float64
	base float64
	// peaks holds the highest demand of each interval within peakMemory, the oldest first.
	peaks []peak
	// busyAt is when there was traffic last.
	busyAt time.Time
}

type peak struct {
	startedAt time.Time
	demand    float64
}

func (m *demandMeter) observe(now time.Time, load Load) {
	demand := load.endpoints()
	if m.at.IsZero() {
		m.fast, m.base = demand, demand
	} else {
		elapsed := now.Sub(m.at)
		m.fast += (1 - decay(elapsed, fastTimeConstant)) * (demand - m.fast)
		m.base += (1 - decay(elapsed, baseTimeConstant)) * (demand - m.base)
	}
	m.at = now
	if n := len(m.peaks); n > 0 && now.Sub(m.peaks[n-1].startedAt) < peakInterval {
		m.peaks[n-1].demand = max(m.peaks[n-1].demand, m.fast)
	} else {
		m.peaks = append(m.peaks, peak{
			startedAt: now,
			demand:    m.fast,
		})
	}
	for now.Sub(m.peaks[0].startedAt) > peakMemory {
		m.peaks = m.peaks[1:]
	}
}

func decay(elapsed, constant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / constant.Seconds())
}

// observeTraffic records whether there is traffic for a service of a number of endpoints.
func (m *demandMeter) observeTraffic(now time.Time, total int) {
	if m.fast > idleShare*float64(total) {
		m.busyAt = now
	}
}

func (m *demandMeter) current() Demand {
	current := Demand{
		Now:  m.fast,
		Base: m.base,
	}
	for _, p := range m.peaks {
		current.Peak = max(current.Peak, p.demand)
	}
	return current
}

// hasTraffic reports whether there has been traffic within idleTime. A service without any shows
// nothing about the demand to come.
func (m *demandMeter) hasTraffic(now time.Time) bool {
	return !m.busyAt.IsZero() && now.Sub(m.busyAt) <= idleTime
}
