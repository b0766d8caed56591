package admission

import (
	"time"

	"cactuswell/core/profile"
)

// Entry is a queued request. The caller embeds it in its own record of the
// request, so that queueing allocates nothing, and must not change the exported
// fields while the entry is queued.
type Entry struct {
	// ID identifies the request to the caller; the queue does not use it.
	ID    uint64
	Tier  profile.Tier
	Class string
	Team  string
	// Weight is the class's weight relative to the other classes of its tier.
	Weight float64
	// MinShare is the class's guaranteed share of the pool's service, from 0 to 1.
	MinShare float64
	// Value decides which request is evicted: the least valuable goes first.
	Value float64
	// Cost is the expected slot time in seconds.
	Cost float64
	// Deadline is the time by which the latency target must be met.
	Deadline time.Time
	// LatestStart is the latest start that can still meet the target.
	LatestStart time.Time
	// Pinned marks a request that is never evicted and never moved behind others
	// for being late, because its caller already has part of the answer.
	Pinned bool

	team        *team
	sequence    uint64
	late        bool
	viableIndex int
	evictIndex  int
	older       *Entry
	newer       *Entry
}

// Queued reports whether the entry is in a queue.
func (e *Entry) Queued() bool {
	return e.team != nil
}

// deadlineEarlier orders the entries of a team by deadline, then by arrival.
func deadlineEarlier(a, b *Entry) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.sequence < b.sequence
}

// lessValuable orders the entries of a team for eviction: by value, then the
// latest deadline first.
func lessValuable(a, b *Entry) bool {
	if a.Value != b.Value {
		return a.Value < b.Value
	}
	return deadlineEarlier(b, a)
}

func setViableIndex(e *Entry, index int) { e.viableIndex = index }
func setEvictIndex(e *Entry, index int)  { e.evictIndex = index }
