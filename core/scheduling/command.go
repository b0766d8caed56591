package scheduling

import (
	"time"

	"cactuswell/core/quarantine"
)

// Command is an action that the caller of the state machine must perform. The types
// in this file are the only implementations.
type Command interface {
	isCommand()
}

// Send starts an attempt of a call at an endpoint.
type Send struct {
	Call    CallID
	Key     Key
	Address string
	// Version is the version of the endpoint's software.
	Version string
	// RequiresRecord is set if the version at which the stream begins must have been recorded
	// before the caller gets an event, as there are endpoints of the base version.
	RequiresRecord bool
	Priority       int
	// IsRetry reports whether an earlier attempt may have run.
	IsRetry bool
	// FirstEventTimeout is how long to wait for the first event or the response
	// header before AttemptSilent is reported; zero means no limit.
	FirstEventTimeout time.Duration
	// EventGapTimeout is the same limit for the time between two events.
	EventGapTimeout time.Duration
	// FetchFrom is the endpoint from whose KV cache the engine fetches the part of
	// the prompt that it has not cached, at FetchAddress. There is no fetch if
	// FetchAddress is empty.
	FetchFrom    Key
	FetchAddress string
	// Choice explains why the endpoint was chosen.
	Choice Choice
}

// Choice holds the figures behind the choice of an endpoint, for explanations.
type Choice struct {
	// TimeToFirstEvent is the predicted time to the first event, or to the answer
	// of a plain service.
	TimeToFirstEvent time.Duration
	// PrefillBacklog is the engine time of the prefills that are ahead of this
	// call.
	PrefillBacklog time.Duration
	// CachedTokens is the number of prompt tokens assumed to be cached by the
	// engine.
	CachedTokens int
	// FetchedTokens is the number of prompt tokens to be fetched from another
	// engine's cache.
	FetchedTokens int
	// Running is the estimated number of calls in flight at the endpoint.
	Running int
	// OwnTokens is the size of the prompts of this host's calls in flight there, without
	// this call.
	OwnTokens int
	// ComparedEndpoints is the number of endpoints that were scored.
	ComparedEndpoints int
	// LoadAge is the age of the endpoint's last reported load, or negative if it
	// has reported none.
	LoadAge time.Duration
	// PeerLoadAge is the age of the other hosts' load: that of the report of the peer
	// that has not reported for longest, or negative if there is no peer.
	PeerLoadAge time.Duration
	// QueueTime is how long the call was queued at this host.
	QueueTime time.Duration
}

// GiveUp ends a silent attempt, as another endpoint has room. The attempt must end as Silent, unless it has gone on.
type GiveUp struct {
	Call CallID
	// Silence is that of the AttemptSilent that the command answers.
	Silence int
	// PlaceAt is the endpoint whose place is kept for the call.
	PlaceAt Key
}

// Refuse ends a call without an answer from an endpoint.
type Refuse struct {
	Call   CallID
	Reason Reason
	// Cause is why the last attempt failed, or empty.
	Cause Reason
	// MayHaveRun reports whether the call may have run.
	MayHaveRun bool
	// RetryAfter is when the caller should retry, or zero.
	RetryAfter time.Duration
	// TimeToFirstEvent is the predicted time at the best endpoint, and DelayLimit the
	// longest with which the call would have been sent, if the reason is
	// ReasonOverloaded.
	TimeToFirstEvent time.Duration
	DelayLimit       time.Duration
	// KnownEndpoints is the number of endpoints of the service, UsableEndpoints the
	// number of those that take new work, and QueuedCalls the number of queued
	// calls. They serve explanations.
	KnownEndpoints  int
	UsableEndpoints int
	QueuedCalls     int
}

// DeliverFailure forwards the error response of the last endpoint to the caller.
type DeliverFailure struct {
	Call CallID
}

// EndpointHealthChanged reports that this host has ejected or reinstated an
// endpoint.
type EndpointHealthChanged struct {
	Key     Key
	Service string
	// Ejected reports whether the endpoint receives no calls for EjectedFor.
	Ejected    bool
	Failures   int
	Reason     Reason
	EjectedFor time.Duration
}

// QuarantineChanged reports a change of the calls that are kept from the endpoints.
type QuarantineChanged struct {
	Change quarantine.Change
}

// EndpointLimitChanged reports that an endpoint has named a limit, another one, or none any
// more.
type EndpointLimitChanged struct {
	Key     Key
	Service string
	Limit   Limit
	// SentLately is the number of this host's requests to the endpoint within
	// quota.Window.
	SentLately int
}

// EndpointRampChanged reports that the load of an endpoint is bounded because it has just appeared
// or recovered, or no longer.
type EndpointRampChanged struct {
	Key     Key
	Service string
	Begun   bool
	// Reason is why it began. Window is the number of calls of all hosts that are allowed there,
	// and After how long the bound has lasted, if it has ended.
	Reason Reason
	Window float64
	After  time.Duration
}

func (EndpointRampChanged) isCommand()   {}
func (EndpointLimitChanged) isCommand()  {}
func (QuarantineChanged) isCommand()     {}
func (Send) isCommand()                  {}
func (GiveUp) isCommand()                {}
func (Refuse) isCommand()                {}
func (DeliverFailure) isCommand()        {}
func (EndpointHealthChanged) isCommand() {}

// Reason is why a call was refused, or why an endpoint's health changed.
type Reason string

// The reasons.
const (
	ReasonNoEndpoint           Reason = "noEndpoint"
	ReasonAllFull              Reason = "allFull"
	ReasonAllQuiet             Reason = "allQuiet"
	ReasonAllLimited           Reason = "allLimited"
	ReasonOverloaded           Reason = "overloaded"
	ReasonQuarantined          Reason = "quarantined"
	ReasonVersionGone          Reason = "versionGone"
	ReasonVersionNotRecorded   Reason = "versionNotRecorded"
	ReasonTimedOut             Reason = "timedOut"
	ReasonOutcomeUnknown       Reason = "outcomeUnknown"
	ReasonRetryBudgetExhausted Reason = "retryBudgetSpent"
	ReasonAttemptsExhausted    Reason = "attemptsSpent"
	ReasonUnreachable          Reason = "unreachable"
	ReasonDeclined             Reason = "declined"
	ReasonMisdirected          Reason = "misdirected"
	ReasonAnswerBegun          Reason = "answerBegun"
	ReasonUnprovenRefusal      Reason = "unprovenRefusal"
	ReasonUnmatchedRun         Reason = "unmatchedRun"
	ReasonErrors               Reason = "errors"
	ReasonSilent               Reason = "silent"
	ReasonMalformedAnswer      Reason = "spoiledAnswers"
	ReasonConnectionBroken     Reason = "brokenConnections"
	ReasonRecovered            Reason = "recovered"
	ReasonAppeared             Reason = "appeared"
)
