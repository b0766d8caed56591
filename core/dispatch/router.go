package dispatch

import (
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/routing"
)

// Router chooses endpoints and keeps what is known of them. Package routing
// implements it. Times never go backwards.
type Router interface {
	// AddEndpoint brings an endpoint, or a new incarnation of one.
	AddEndpoint(now time.Time, descriptor endpoint.Descriptor)
	// MarkLeaving says that an endpoint takes no new work.
	MarkLeaving(now time.Time, key endpoint.Key)
	// SetDrained says that an operator drains an endpoint that is known, or
	// takes the drain back.
	SetDrained(now time.Time, key endpoint.Key, drained bool)
	// RemoveEndpoint says that an endpoint is gone.
	RemoveEndpoint(now time.Time, key endpoint.Key)
	// ReportLoad brings an endpoint's account of its load.
	ReportLoad(now time.Time, report endpoint.Report)
	// ApplyCache brings an engine's prefix cache events.
	ApplyCache(now time.Time, update endpoint.CacheUpdate)
	// SetHosts says how many hosts share the endpoints.
	SetHosts(now time.Time, hosts int)
	// Pick chooses an endpoint for ask. It reports false when no endpoint has
	// room for the ask's tier now. It takes no slot.
	Pick(now time.Time, ask *routing.Request) (routing.Choice, bool)
	// Sent says that work was sent to its endpoint, and takes a slot there.
	Sent(now time.Time, work routing.Attempt)
	// Progressed says that an attempt has produced tokens in all, with the time
	// since it was sent and since its last progress, since when fresh tokens came.
	Progressed(now time.Time, key endpoint.Key, tokens, fresh int, sinceSent, sinceLast time.Duration)
	// Ended says that sent work ended after so many tokens, and frees its slot.
	Ended(now time.Time, work routing.Attempt, outcome routing.Outcome, tokens int)
	// SilenceBound returns how long a stream from the endpoint may make no
	// progress before it is taken for silent.
	SilenceBound(key endpoint.Key) time.Duration
	// Tick does what is due by now.
	Tick(now time.Time)
	// NextWake returns the time at which a Tick is due. It reports false when
	// none is.
	NextWake() (time.Time, bool)
	// Usable returns how many endpoints may take new work.
	Usable() int
	// Capacity returns this host's present share of the endpoints' slots and
	// of their tokens per second.
	Capacity() (slots int, tokensPerSecond float64)
}
