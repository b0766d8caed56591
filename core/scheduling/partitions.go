package scheduling

import (
	"math"
	"sort"
	"time"
)

const (
	// demandTimeConstant is the time constant over which the demand of each
	// partition is smoothed: long compared with a single call, short compared with
	// a burst.
	demandTimeConstant = 8 * time.Second
	// resizeThreshold is the difference between the wanted and the current size of
	// the latency partition, in engines, above which it is resized.
	resizeThreshold = 0.7
	// minPartitionedEngines is the least number of engines that are partitioned.
	minPartitionedEngines = 3
)

// partitions divides the engines of a service into the latency partition, for
// streams with short event gaps, and the prefill partition, for long prompts. It
// serves loads of many short latency-sensitive streams beside bursts of long
// prompts: a chunked prefill stretches every event gap of the streams that run on
// the same engine.
//
// All hosts rank the engines in the same order, so that their partitions differ
// only in size. Each host derives it from the calls that it and the other hosts see: the
// few calls of one host of a large fleet would give each host another size, and the
// engines in between would serve both kinds of calls.
type partitions struct {
	weights       Weights
	latencySize   int
	usableEngines int
	latencyDemand demand
	prefillDemand demand
	// others is the demand that callers make on the other hosts.
	others Demand
}

// rank ranks the endpoints that take new work. Endpoints that are leaving get the
// rank len(endpoints), which is outside the latency partition.
func (p *partitions) rank(endpoints []*endpoint) {
	ordered := make([]*endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		e.partitionRank = len(endpoints)
		if !e.leaving {
			ordered = append(ordered, e)
		}
	}
	sort.Slice(ordered, func(i, j int) bool {
		return mix(0, ordered[i].idHash) < mix(0, ordered[j].idHash)
	})
	for i, e := range ordered {
		e.partitionRank = i
	}
	p.usableEngines = len(ordered)
	p.resize(true)
}

// recordDemand records the prefill time of a call.
func (p *partitions) recordDemand(now time.Time, latencySensitive bool, prefill time.Duration) {
	if latencySensitive {
		p.latencyDemand.add(now, prefill.Seconds())
		p.prefillDemand.add(now, 0)
	} else {
		p.prefillDemand.add(now, prefill.Seconds())
		p.latencyDemand.add(now, 0)
	}
	p.resize(false)
}

// resize adapts the size of the latency partition to the demand. With force it
// ignores the resize threshold.
func (p *partitions) resize(force bool) {
	if p.usableEngines < minPartitionedEngines || p.weights.MaxLatencyPartitionShare == 0 {
		p.latencySize = 0
		return
	}
	latencyEngines := (p.latencyDemand.rate + p.others.LatencySensitive.Seconds()) / p.weights.LatencyPartitionLoad
	prefillEngines := (p.prefillDemand.rate + p.others.Other.Seconds()) / p.weights.PrefillPartitionLoad
	if latencyEngines == 0 {
		if force {
			p.latencySize = 0
		}
		return
	}
	wanted := float64(p.usableEngines) * min(latencyEngines/(latencyEngines+prefillEngines), p.weights.MaxLatencyPartitionShare)
	if force || math.Abs(wanted-float64(p.latencySize)) > resizeThreshold {
		p.latencySize = max(int(math.Round(wanted)), 1)
	}
}

// inLatencyPartition reports whether an engine belongs to the latency partition.
func (p *partitions) inLatencyPartition(e *endpoint) bool { return e.partitionRank < p.latencySize }

// demand is the smoothed prefill time that is requested per second, in seconds.
type demand struct {
	rate float64
	at   time.Time
}

// rateAt returns the demand at a time.
func (d *demand) rateAt(now time.Time) time.Duration {
	if d.at.IsZero() {
		return 0
	}
	rate := d.rate * math.Exp(-now.Sub(d.at).Seconds()/demandTimeConstant.Seconds())
	return time.Duration(rate * float64(time.Second))
}

func (d *demand) add(now time.Time, amount float64) {
	if !d.at.IsZero() {
		d.rate *= math.Exp(-now.Sub(d.at).Seconds() / demandTimeConstant.Seconds())
	}
	d.at = now
	d.rate += amount / demandTimeConstant.Seconds()
}
