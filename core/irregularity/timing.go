package irregularity

import "time"

const (
	// atOnceShare is the part of the usual gap, as its reciprocal, in which an event comes at once after another.
	atOnceShare = 8
	// minUsualGap is the least usual gap that can be told from the delays of a host.
	minUsualGap = 4 * time.Millisecond
	// minRoom is the least part of a usual gap by which events must be overdue for one to come at once.
	minRoom = 0.5
	// burstShare is the share of the events at which bursts are usual, as its reciprocal.
	burstShare = 8
)

// timing follows when events come.
type timing struct {
	lastAt time.Time
	// room is the number of events that are overdue, so that they may come at once.
	room float64
	// bursts counts the times at which events came early, and isInBurst is set during one.
	bursts    int
	isInBurst bool
}

// isEarly reports whether an event, which is the n-th, comes sooner than the endpoint generates events: at once after the one
// before it or together with the one behind it, although none is overdue. Events that were held up in the network, or on a
// host that was paused, are overdue.
func (t *timing) isEarly(block Block, n int) bool {
	gap := block.At.Sub(t.lastAt)
	t.lastAt = block.At
	if n == 1 || block.UsualGap < minUsualGap {
		return false
	}
	isEarly := false
	if gap > block.UsualGap/atOnceShare {
		t.room = gap.Seconds()/block.UsualGap.Seconds() - 1
		t.isInBurst = false
	} else if isEarly = t.room < minRoom; !isEarly {
		t.room--
	}
	isEarly = isEarly || block.IsFollowed && t.room < minRoom
	if !isEarly {
		return false
	}
	isUsual := t.bursts*burstShare > n
	if !t.isInBurst {
		t.bursts++
		t.isInBurst = true
	}
	return !isUsual
}
