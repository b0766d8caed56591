package routing

import (
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
)

// maxAwaitingFirstToken is the maximum number of attempts without a first token
// that are tracked at one endpoint.
const maxAwaitingFirstToken = 256

// endpointState is what one host knows of an endpoint.
type endpointState struct {
	descriptor endpoint.Descriptor
	addedAt    time.Time
	load       load
	limit      concurrencyLimit
	health     health
	cache      cacheState
	// leaving reports whether the endpoint accepts no new attempts, because its
	// incarnation is leaving or because an operator drained it.
	leaving bool
	// inSubset reports whether the endpoint is in this host's subset. It is also
	// set for leaving endpoints.
	inSubset     bool
	setPositions [availableSetCount]int
	// countedLimit is the limit that Router.totalLimit includes for the endpoint.
	countedLimit float64
	// lastDecision is the number of the last decision that compared the endpoint.
	lastDecision       uint64
	awaitingFirstToken []awaitingAttempt
	// awaitingByTier counts the attempts without a first token by tier.
	awaitingByTier [profile.TierCount]int
	sentCount      uint64
}

// awaitingAttempt is an attempt that has no first token yet.
type awaitingAttempt struct {
	sentAt time.Time
	// idleFirstTokenTime is the first-token time of an idle endpoint.
	idleFirstTokenTime time.Duration
	tier               profile.Tier
	// prefix is assumed to be in the endpoint's cache from the first token on.
	prefix []uint64
}

func (e *endpointState) slots(settings *Settings) int {
	if e.load.hasReport && e.load.report.Slots > 0 {
		return e.load.report.Slots
	}
	return settings.DefaultSlots
}

func (e *endpointState) prefillRate(settings *Settings) float64 {
	if e.load.report.PrefillTokensPerSecond > 0 {
		return e.load.report.PrefillTokensPerSecond
	}
	return settings.DefaultPrefillRate
}

// headroom returns the number of an endpoint's slots that are reserved for the
// top tier: HeadroomShare of them while the pool gets top-tier requests, and
// otherwise one, for the first such request.
func (r *Router) headroom(slots int) int {
	if slots <= 1 {
		return 0
	}
	if !r.reservingHeadroom {
		return 1
	}
	return max(int(float64(slots)*r.settings.HeadroomShare), 1)
}

// isService reports whether the endpoint is a plain service, which does not
// stream its answers.
func (e *endpointState) isService() bool {
	return e.descriptor.Kind == profile.KindService
}

func (e *endpointState) addAwaiting(entry awaitingAttempt) {
	if len(e.awaitingFirstToken) >= maxAwaitingFirstToken {
		e.removeAwaiting(0)
	}
	e.awaitingFirstToken = append(e.awaitingFirstToken, entry)
	e.awaitingByTier[entry.tier]++
}

func (e *endpointState) removeAwaiting(i int) {
	e.awaitingByTier[e.awaitingFirstToken[i].tier]--
	e.awaitingFirstToken = append(e.awaitingFirstToken[:i], e.awaitingFirstToken[i+1:]...)
}

// takeAwaiting removes the attempt that was sent at the given time and returns it.
// It reports false if there is none.
func (e *endpointState) takeAwaiting(sentAt time.Time) (awaitingAttempt, bool) {
	for i := range e.awaitingFirstToken {
		if e.awaitingFirstToken[i].sentAt.Equal(sentAt) {
			entry := e.awaitingFirstToken[i]
			e.removeAwaiting(i)
			return entry, true
		}
	}
	return awaitingAttempt{}, false
}

// awaitingAtOrAbove returns the number of this host's attempts of the given tier
// and the more urgent ones that have no first token yet.
func (e *endpointState) awaitingAtOrAbove(tier profile.Tier) int {
	count := 0
	for _, awaiting := range e.awaitingByTier[:tier+1] {
		count += awaiting
	}
	return count
}
