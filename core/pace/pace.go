// Package pace measures how fast a stream comes while nothing holds it up.
//
// # Usage
//
//	var p pace.Pace
//	p.Pause(now.Sub(last))
//	usual, ok := p.Quick()
//
// The pauses of a stream are the engine's steps, some of them stretched by
// prompts that are read beside it. The lower quartile tells the speed of the
// engine, where the mean would tell of its load.
package pace

import (
	"slices"
	"time"
)

const (
	// window is the number of pauses that are looked at.
	window = 16
	// enough is the number of pauses from which there is a pace.
	enough = 4
)

// EventGaps collects the first pauses of a stream. The zero value is ready for use.
type EventGaps struct {
	pauses [window]time.Duration
	count  int
}

// Record notes a pause between two events.
func (p *EventGaps) Record(pause time.Duration) {
	if p.count < window {
		p.pauses[p.count] = pause
		p.count++
	}
}

// LowerQuartile returns the lower quartile of the pauses. It reports false if there are
// too few.
func (p *EventGaps) LowerQuartile() (time.Duration, bool) {
	if p.count < enough {
		return 0, false
	}
	sorted := p.pauses
	slices.Sort(sorted[:p.count])
	return sorted[p.count/4], true
}
