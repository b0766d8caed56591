package admission

import (
	"time"

	"cactuswell/core/profile"
)

// Entry is a request as the queue sees it. Its owner embeds it in its own
// record, so that queueing allocates nothing, and must not change the exported
// fields while the entry is queued.
type Entry struct {
	// ID is the owner's name for the request.
	ID    uint64
	Tier  profile.Tier
	Class string
	Team  string
	// Weight sets the class's part of its tier's service against the other
	// classes of the tier.
	Weight float64
	// MinShare is the class's guaranteed share of the pool's service.
	MinShare float64
	// Value weighs the request when something must be given up.
	Value float64
	// Cost is the expected service: the seconds for which a slot is held.
	Cost float64
	// Deadline is when the target is missed.
	Deadline time.Time
	// LatestStart is the last moment at which a start could still meet the
	// target.
	LatestStart time.Time
	// Pinned marks a request that is never evicted and never put behind others
	// for being late, because part of its answer has reached the caller.
	Pinned bool

	team     *team
	sequence uint64
	late     bool
	ready    int
	worth    int
	older    *Entry
	newer    *Entry
}

// Queued reports whether the entry stands in a queue.
func (e *Entry) Queued() bool {
	return e.team != nil
}

// earlier orders the entries of a team by deadline, then by arrival.
func earlier(a, b *Entry) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.sequence < b.sequence
}

// worthLess orders the entries of a team by what is lost with them: the value,
// then the later deadline first.
func worthLess(a, b *Entry) bool {
	if a.Value != b.Value {
		return a.Value < b.Value
	}
	return earlier(b, a)
}

func placeReady(e *Entry, index int) { e.ready = index }
func placeWorth(e *Entry, index int) { e.worth = index }
