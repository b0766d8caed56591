// Package endpoint describes the model engines and plain services that requests
// are routed to, and what they report about themselves.
//
// # Usage
//
//	key := endpoint.Key{
//		Name:        "engine-3",
//		Incarnation: 7,
//	}
package endpoint

import (
	"time"

	"cactuswell/core/profile"
)

// Key identifies one incarnation of an endpoint. An endpoint that is replaced
// under its old name or address has another incarnation.
type Key struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// Descriptor describes an endpoint and its location.
type Descriptor struct {
	Key     Key
	Address string
	Zone    string
	Kind    profile.Kind
	// Pool names the model or the plain service that the endpoint provides.
	Pool string
	// ChecksFencing reports whether the endpoint rejects orders (see io/engine,
	// /v1/orders) with an outdated fencing number.
	ChecksFencing bool
}

// Report is the load that an endpoint reports of itself. It lags: At is the time
// for which the endpoint states the load, not the time of arrival.
type Report struct {
	Key     Key
	At      time.Time
	Running int
	Queued  int
	// Slots is the maximum number of sequences that the endpoint runs
	// concurrently.
	Slots int
	// TokensPerSecond is the endpoint's current total decode rate.
	TokensPerSecond float64
	// PrefillTokensPerSecond is the rate at which prompts are prefilled.
	PrefillTokensPerSecond float64
	// Leaving reports whether the endpoint states that it accepts no new work.
	Leaving bool
}

// CacheUpdate is a batch of an engine's prefix cache events. The events of one
// incarnation are numbered from 1; a gap in the sequence means that events were
// lost.
type CacheUpdate struct {
	Key Key
	// FirstSequence is the sequence number of the first of Changes.
	FirstSequence uint64
	Changes       []CacheChange
}

// CacheChange is the addition of the block with the given prefix hash to the
// cache, or its removal. A hash of zero with Stored false means that the whole
// cache was cleared.
type CacheChange struct {
	Hash   uint64
	Stored bool
}
