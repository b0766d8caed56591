package dispatch

import (
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/routing"
)

// Router chooses endpoints and tracks their state. Package routing implements it.
// The times passed to it must not go backwards.
type Router interface {
	// AddEndpoint adds an endpoint, or a new incarnation of one.
	AddEndpoint(now time.Time, descriptor endpoint.Descriptor)
	// MarkLeaving records that an endpoint takes no new work.
	MarkLeaving(now time.Time, key endpoint.Key)
	// SetDrained records that an operator drained a known endpoint or reverted
	// the drain.
	SetDrained(now time.Time, key endpoint.Key, drained bool)
	// RemoveEndpoint removes an endpoint.
	RemoveEndpoint(now time.Time, key endpoint.Key)
	// ReportLoad applies an endpoint's report of its load.
	ReportLoad(now time.Time, report endpoint.Report)
	// ApplyCache applies an engine's prefix cache events.
	ApplyCache(now time.Time, update endpoint.CacheUpdate)
	// SetHosts sets the number of hosts that share the endpoints.
	SetHosts(now time.Time, hosts int)
	// Pick chooses an endpoint for ask. It returns false if no endpoint has room
	// for the tier now. It does not reserve a slot.
	Pick(now time.Time, ask *routing.Request) (routing.Choice, bool)
	// Sent records that work was sent to its endpoint, where it takes a slot.
	Sent(now time.Time, work routing.Attempt)
	// Progressed records that an attempt has produced tokens in total, of which
	// fresh since its last progress, with the times since it was sent and since
	// that progress.
	Progressed(now time.Time, key endpoint.Key, tokens, fresh int, sinceSent, sinceLast time.Duration)
	// Ended records that sent work ended after producing tokens, and frees its
	// slot.
	Ended(now time.Time, work routing.Attempt, outcome routing.Outcome, tokens int)
	// SilenceBound returns how long a stream from the endpoint may go without
	// progress before it is considered silent.
	SilenceBound(key endpoint.Key) time.Duration
	// Tick runs the work that is due by now.
	Tick(now time.Time)
	// NextWake returns the time at which a Tick is due. It returns false when
	// none is due.
	NextWake() (time.Time, bool)
	// Usable returns how many endpoints may take new work.
	Usable() int
	// Capacity returns this host's current share of the endpoints' slots and of
	// their tokens per second.
	Capacity() (slots int, tokensPerSecond float64)
}
