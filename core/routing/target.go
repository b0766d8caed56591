package routing

import (
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
)

// maxAwaiting bounds the attempts whose first token is awaited at one endpoint.
const maxAwaiting = 256

// target is an endpoint as one host sees it.
type target struct {
	descriptor endpoint.Descriptor
	addedAt    time.Time
	load       load
	window     window
	health     health
	cache      cacheState
	// leaving holds for the endpoint's incarnation.
	leaving bool
	// used reports whether the endpoint is in this host's subset.
	used   bool
	places [openSets]int
	// granted is the target's part of Router.granted.
	granted float64
	// mark is the number of the last decision that compared the target.
	mark     uint64
	awaiting []awaited
	// awaitingAt counts the awaited first tokens by tier.
	awaitingAt [profile.TierCount]int
	sent       uint64
}

// awaited is an attempt without a first token.
type awaited struct {
	sentAt time.Time
	// expected is the first-token time of an idle endpoint.
	expected time.Duration
	tier     profile.Tier
	// prefix is in the endpoint's cache once the first token is there.
	prefix []uint64
}

func (t *target) slots(settings *Settings) int {
	if t.load.reported && t.load.report.Slots > 0 {
		return t.load.report.Slots
	}
	return settings.DefaultSlots
}

func (t *target) prefillRate(settings *Settings) float64 {
	if t.load.report.PrefillTokensPerSecond > 0 {
		return t.load.report.PrefillTokensPerSecond
	}
	return settings.DefaultPrefillRate
}

// headroom returns the slots that lower tiers leave to the top tier at an
// endpoint: their share while there is top-tier work in the pool, and otherwise
// one, in which the first of it finds room.
func (r *Router) headroom(slots int) int {
	if slots <= 1 {
		return 0
	}
	if !r.reserving {
		return 1
	}
	return max(int(float64(slots)*r.settings.HeadroomShare), 1)
}

// isService reports whether the endpoint is a plain service, whose answers come
// in one piece.
func (t *target) isService() bool {
	return t.descriptor.Kind == profile.KindService
}

func (t *target) await(entry awaited) {
	if len(t.awaiting) >= maxAwaiting {
		t.forget(0)
	}
	t.awaiting = append(t.awaiting, entry)
	t.awaitingAt[entry.tier]++
}

func (t *target) forget(i int) {
	t.awaitingAt[t.awaiting[i].tier]--
	t.awaiting = append(t.awaiting[:i], t.awaiting[i+1:]...)
}

// settle forgets the attempt sent at the given time and returns what was known
// of it.
func (t *target) settle(sentAt time.Time) (awaited, bool) {
	for i := range t.awaiting {
		if t.awaiting[i].sentAt.Equal(sentAt) {
			entry := t.awaiting[i]
			t.forget(i)
			return entry, true
		}
	}
	return awaited{}, false
}

// awaitingAbove returns how many of this host's attempts of the given tier and
// the more urgent ones have no first token yet.
func (t *target) awaitingAbove(tier profile.Tier) int {
	count := 0
	for _, awaiting := range t.awaitingAt[:tier+1] {
		count += awaiting
	}
	return count
}
