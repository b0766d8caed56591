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
	// MarkLeaving records that an endpoint accepts no new work.
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
	// SetHostCount sets the number of hosts that share the endpoints.
	SetHostCount(now time.Time, hosts int)
	// Pick chooses an endpoint for the request. It returns false if no endpoint has
	// room for the tier now. It does not reserve a slot.
	Pick(now time.Time, request *routing.Request) (routing.Choice, bool)
	// RecordSent records that work was sent to its endpoint, where it takes a slot.
	RecordSent(now time.Time, work routing.Attempt)
	// RecordProgress records that an attempt has produced tokens in total, of which
	// newTokens since its last progress, with the times since it was sent and since
	// that progress.
	RecordProgress(now time.Time, key endpoint.Key, tokens, newTokens int, sinceSent, sinceLast time.Duration)
	// RecordEnd records that sent work ended after producing tokens, and frees its
	// slot.
	RecordEnd(now time.Time, work routing.Attempt, outcome routing.Outcome, tokens int)
	// StallTimeout returns how long a stream from the endpoint may go without
	// progress before it is considered stalled.
	StallTimeout(key endpoint.Key) time.Duration
	// Tick runs the work that is due by now.
	Tick(now time.Time)
	// NextWake returns the time at which a Tick is due. It returns false when
	// none is due.
	NextWake() (time.Time, bool)
	// UsableEndpoints returns how many endpoints may take new work.
	UsableEndpoints() int
	// Capacity returns this host's current share of the endpoints' slots and of
	// their tokens per second.
	Capacity() (slots int, tokensPerSecond float64)
}
