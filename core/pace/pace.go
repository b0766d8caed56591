// Package pace estimates the usual gap between two events of a stream while nothing
// delays it.
//
// # Usage
//
//	var gaps pace.EventGaps
//	gaps.Record(now.Sub(last))
//	usual, ok := gaps.LowerQuartile()
//
// The gaps of a stream follow the engine's steps, some of which are stretched by
// prefills on the same engine. The lower quartile shows the speed of the engine,
// while the mean would show its load.
package pace

import (
	"slices"
	"time"
)

const (
	// maxGaps is the number of gaps that are collected.
	maxGaps = 16
	// minGaps is the least number of gaps for an estimate.
	minGaps = 4
)

// EventGaps collects the first event gaps of a stream. The zero value is ready for
// use.
type EventGaps struct {
	gaps  [maxGaps]time.Duration
	count int
}

// Record records the gap between two events.
func (g *EventGaps) Record(gap time.Duration) {
	if g.count < maxGaps {
		g.gaps[g.count] = gap
		g.count++
	}
}

// LowerQuartile returns the lower quartile of the gaps. It reports false if there
// are too few.
func (g *EventGaps) LowerQuartile() (time.Duration, bool) {
	if g.count < minGaps {
		return 0, false
	}
	sorted := g.gaps
	slices.Sort(sorted[:g.count])
	return sorted[g.count/4], true
}
