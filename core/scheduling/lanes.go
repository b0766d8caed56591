package scheduling

import (
	"math"
	"sort"
	"time"
)

const (
	// laneMemory is the time over which the demand of the lanes is smoothed: long
	// against single calls, short against a burst.
	laneMemory = 8 * time.Second
	// laneStep is by how many engines the demand must differ from the lane's size
	// before that changes.
	laneStep = 0.7
	// minLaneTargets is the number of engines from which there are lanes.
	minLaneTargets = 3
)

// lanes divides the engines of a service into those that serve streams with
// short pauses and those that read long prompts. It answers the load of many
// short drafts beside bursts of long briefings: a prompt that is read in chunks
// stretches every pause of the streams that run beside it.
//
// All hosts order the engines alike, so that their lanes agree but for the size,
// which each takes from the calls that it sees.
type lanes struct {
	weights  Weights
	tight    int
	usable   int
	tightUse demand
	longUse  demand
}

// arrange gives the targets their places in the order of lanes. Those that leave
// have none.
func (l *lanes) arrange(targets []*target) {
	ordered := make([]*target, 0, len(targets))
	for _, t := range targets {
		t.laneRank = len(targets)
		if !t.leaving {
			ordered = append(ordered, t)
		}
	}
	sort.Slice(ordered, func(i, j int) bool {
		return mix(0, ordered[i].idHash) < mix(0, ordered[j].idHash)
	})
	for i, t := range ordered {
		t.laneRank = i
	}
	l.usable = len(ordered)
	l.resize(true)
}

// note counts the engine time of a call.
func (l *lanes) note(now time.Time, tight bool, work time.Duration) {
	if tight {
		l.tightUse.add(now, work.Seconds())
		l.longUse.add(now, 0)
	} else {
		l.longUse.add(now, work.Seconds())
		l.tightUse.add(now, 0)
	}
	l.resize(false)
}

// resize fits the number of engines for tight streams to the demand.
func (l *lanes) resize(forced bool) {
	if l.usable < minLaneTargets || l.weights.MaxLatencyPartitionShare == 0 {
		l.tight = 0
		return
	}
	tight := l.tightUse.rate / l.weights.LatencyPartitionLoad
	long := l.longUse.rate / l.weights.PrefillPartitionLoad
	if tight == 0 {
		if forced {
			l.tight = 0
		}
		return
	}
	wanted := float64(l.usable) * min(tight/(tight+long), l.weights.MaxLatencyPartitionShare)
	if forced || math.Abs(wanted-float64(l.tight)) > laneStep {
		l.tight = max(int(math.Round(wanted)), 1)
	}
}

// isTight reports whether an engine is in the lane of tight streams.
func (l *lanes) isTight(t *target) bool { return t.laneRank < l.tight }

// demand is a smoothed rate.
type demand struct {
	rate float64
	at   time.Time
}

func (d *demand) add(now time.Time, amount float64) {
	if !d.at.IsZero() {
		d.rate *= math.Exp(-now.Sub(d.at).Seconds() / laneMemory.Seconds())
	}
	d.at = now
	d.rate += amount / laneMemory.Seconds()
}
