// Package pace estimates the usual gap between two events of a stream while nothing
// delays it.
//
// # Usage
//
//	var p pace.Pace
//	p.Pause(now.Sub(last))
//	usual, ok := p.Quick()
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

// Pace collects the first event gaps of a stream. The zero value is ready for use.
type Pace struct {
	gaps  [maxGaps]time.Duration
	count int
}

// Pause records the gap between two events.
func (p *Pace) Pause(gap time.Duration) {
	if p.count < maxGaps {
		p.gaps[p.count] = gap
		p.count++
	}
}

// Quick returns the lower quartile of the gaps. It reports false if there are too
// few.
func (p *Pace) Quick() (time.Duration, bool) {
	if p.count < minGaps {
		return 0, false
	}
	sorted := p.gaps
	slices.Sort(sorted[:p.count])
	return sorted[p.count/4], true
}
