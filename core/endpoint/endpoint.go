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

// Key identifies one life of an endpoint. An endpoint replaced under its old
// name or address has another incarnation.
type Key struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// Descriptor says what an endpoint is and where it stands.
type Descriptor struct {
	Key     Key
	Address string
	Zone    string
	Kind    profile.Kind
	// Pool names the model or the plain service.
	Pool string
	// ChecksFencing reports whether the endpoint refuses orders that carry an
	// old fencing number.
	ChecksFencing bool
}

// Report is an endpoint's own account of its load. It lags: At is the time at
// which it was true by the endpoint's account, not the time of arrival.
type Report struct {
	Key     Key
	At      time.Time
	Running int
	Queued  int
	// Slots is how many sequences the endpoint runs at once.
	Slots int
	// TokensPerSecond is the endpoint's whole decode rate at present.
	TokensPerSecond float64
	// PrefillTokensPerSecond is the rate at which prompts are read.
	PrefillTokensPerSecond float64
	// Leaving reports whether the endpoint itself says that it takes no new
	// work.
	Leaving bool
}

// CacheUpdate is a batch of an engine's prefix cache events. Sequences number
// the events of one incarnation from 1; a gap means that events were lost.
type CacheUpdate struct {
	Key           Key
	FirstSequence uint64
	Changes       []CacheChange
}

// CacheChange says that the block with the given prefix hash entered or left
// the cache. A hash of zero with Stored false stands for a cleared cache.
type CacheChange struct {
	Hash   uint64
	Stored bool
}
