package scheduling

import (
	"time"

	"cactuswell/core/directory"
	"cactuswell/core/quarantine"
	"cactuswell/core/route"
	"cactuswell/core/speed"
)

// Event is an input of the state machine. The types in this file are the only
// implementations.
type Event interface {
	isEvent()
}

// CallArrived adds a new call.
type CallArrived struct {
	Call Call
}

// CallCanceled reports that the caller has canceled the call.
type CallCanceled struct {
	Call CallID
}

// AnswerStarted reports the first event of a stream, or the response header.
type AnswerStarted struct {
	Call CallID
	// Load is the load that the endpoint reported with the answer, if any.
	Load ReportedLoad
	// Limit is the limit that the endpoint named in the answer, if any.
	Limit Limit
}

// AnswerContinued reports the second event of a stream.
type AnswerContinued struct {
	Call CallID
}

// AttemptSilent reports that the endpoint of the attempt in flight has been silent for the time that its Send allows. The attempt
// goes on until a GiveUp.
type AttemptSilent struct {
	Call CallID
	// Silence numbers the silences of the call.
	Silence int
	// For is how long the caller has got nothing.
	For time.Duration
}

// AttemptProgressed reports that the attempt that was silent has gone on.
type AttemptProgressed struct {
	Call CallID
}

// AttemptEnded reports the outcome of the attempt in flight.
type AttemptEnded struct {
	Call    CallID
	Outcome Outcome
	Load    ReportedLoad
	// HasAnswer reports whether the header of an answer of the endpoint has arrived, and
	// Limit is the limit that the endpoint named in it, if any.
	HasAnswer bool
	Limit     Limit
	// EventGap is the usual gap between two events of the stream while nothing
	// delays it, or zero if unknown.
	EventGap time.Duration
	// QuietFor is for how long the endpoint asked not to be sent calls, or zero.
	QuietFor time.Duration
	// Excess is set if the endpoint sent further bytes after a complete answer, of this attempt or
	// of an earlier one on the same connection.
	Excess bool
}

// LeavingAnswered reports that an endpoint said in an answer that it is leaving.
type LeavingAnswered struct {
	Key Key
}

// EndpointChanged carries a change of the endpoint directory.
type EndpointChanged struct {
	Change directory.Change
}

// ConfigurationChanged carries a new configuration.
type ConfigurationChanged struct {
	Table *route.Table
}

// BudgetChanged carries new limits of the fleet's retry budget; see Settings.
type BudgetChanged struct {
	Window time.Duration
	Ratio  float64
	Slack  float64
}

// PeerReported carries the load of another host, or the total load of a zone's
// hosts.
type PeerReported struct {
	Peer string
	// Hosts is the number of hosts that the report covers; zero means one.
	Hosts int
	// IncludesSelf reports whether the totals include this host's own load, as last
	// reported.
	IncludesSelf bool
	// Complete reports whether Loads is the complete load of the peer rather than
	// only the changes.
	Complete bool
	Loads    []PeerLoad
	// Placements lists the prompts that the peer has recently sent to endpoints.
	Placements []Placement
	// Notices lists what endpoints have recently told the peer.
	Notices []Notice
	// Limits lists what the peer knows of the limits of endpoints, and CallDemands the demand
	// for the services that have limits. Complete reports list all of it.
	Limits      []LimitReport
	CallDemands []CallDemand
	// Speeds lists the observations of endpoints' speeds that the peer has made lately.
	Speeds []speed.Observation
	// Findings lists what the peer has found about prompts that crash endpoints.
	Findings []quarantine.Finding
	// Demands lists the demand that callers make on the peer, or is nil if the report
	// does not tell it.
	Demands []Demand
}

// FindingsRestored carries what the fleet had found about calls that crash endpoints before this
// host started.
type FindingsRestored struct {
	Findings []quarantine.Finding
}

// RecordsChanged tells how the versions at which resumable streams begin are recorded.
type RecordsChanged struct {
	// Bases holds the base version of each service for which it is known. Streams that begin
	// there need no record. It must not be changed.
	Bases map[string]string
	// IsOverdue is set while records are not acknowledged, so that a stream that begins at another
	// version would be taken for one of the base version.
	IsOverdue bool
}

// PeerRemoved reports that another host has been removed from the membership.
type PeerRemoved struct {
	Peer string
}

// Tick reports only that time has advanced.
type Tick struct{}

func (CallArrived) isEvent()          {}
func (CallCanceled) isEvent()         {}
func (AnswerStarted) isEvent()        {}
func (AnswerContinued) isEvent()      {}
func (AttemptSilent) isEvent()        {}
func (AttemptProgressed) isEvent()    {}
func (AttemptEnded) isEvent()         {}
func (LeavingAnswered) isEvent()      {}
func (EndpointChanged) isEvent()      {}
func (ConfigurationChanged) isEvent() {}
func (BudgetChanged) isEvent()        {}
func (PeerReported) isEvent()         {}
func (FindingsRestored) isEvent()     {}
func (RecordsChanged) isEvent()       {}
func (PeerRemoved) isEvent()          {}
func (Tick) isEvent()                 {}

// ReportedLoad is the load that an endpoint reports of itself.
type ReportedLoad struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Pace is the factor on the usual time of work that the endpoint claims for this moment, or
	// zero if it claims none. It may be false.
	Pace float64
}

// Limit is what an endpoint takes from all hosts together: a rate of requests, or a number of
// requests that it declines.
type Limit struct {
	// IsNamed reports whether the endpoint names a limit. PerSecond is the limit.
	IsNamed   bool
	PerSecond float64
	// IsBrittle reports whether the endpoint falls over if it has to decline more than
	// MaxDeclines requests within a second.
	IsBrittle   bool
	MaxDeclines int
	// IsMalformed is set if the endpoint names a limit that is no rate, so that the last one
	// stays.
	IsMalformed bool
}

// applies reports whether the endpoint names any limit.
func (l Limit) applies() bool { return l.IsNamed || l.IsBrittle }

// PeerLoad is the load that one host puts on one endpoint.
type PeerLoad struct {
	// Endpoint is the hash of the endpoint's key.
	Endpoint uint64
	// PendingPrefill is the whole engine time of the prefills whose stream has no first
	// event yet. It does not shrink while one of them is in progress, since a host does
	// not know which host's prompt an engine is working on.
	PendingPrefill time.Duration
	Running        int
	// LatencySensitive counts the running latency-sensitive streams.
	LatencySensitive int
	// Ejected reports whether the host has ejected the endpoint.
	Ejected bool
}

// Demand is the prefill time that callers request from a service, in engine time for each
// second. A host takes it into account to divide the engines like the other hosts.
type Demand struct {
	// Service is the hash of the service's name.
	Service uint64
	// LatencySensitive is the part of it for latency-sensitive streams, and Other the rest.
	LatencySensitive time.Duration
	Other            time.Duration
}

// Notice reports what an endpoint has told a host that called it.
type Notice struct {
	// Endpoint is the hash of the endpoint's key.
	Endpoint uint64
	// Leaving reports whether the endpoint accepts no new calls.
	Leaving bool
	// QuietFor is for how much longer the endpoint asked not to be sent calls.
	QuietFor time.Duration
}

// Placement reports that a prompt prefix was sent to an endpoint.
type Placement struct {
	// Endpoint is the hash of the endpoint's key.
	Endpoint uint64
	// PrefixHash is the hash of the prefix, and Tokens the size of its last part.
	PrefixHash uint64
	Tokens     int
}

// Outcome is the result of an attempt. The types in this file are the only
// implementations.
type Outcome interface {
	isOutcome()
}

// Completed means that the whole answer was delivered to the caller.
type Completed struct {
	// Unframed reports whether the end of the connection marked the end of the answer.
	Unframed bool
}

// Unreachable means that no connection could be made and nothing was sent.
type Unreachable struct{}

// Expired means that the call's deadline passed before it was sent. It implies
// nothing about the endpoint's health.
type Expired struct{}

// Declined means that the endpoint answered that it did not run the call.
type Declined struct {
	// RetryAfter is how long to avoid the endpoint, or zero.
	RetryAfter time.Duration
}

// Unproven means that the endpoint answered that it did not run the call, but the answer may be meant for
// another attempt.
type Unproven struct{}

// Misdirected means that another endpoint has taken over the address.
type Misdirected struct{}

// Failed means that the endpoint answered with an error status.
type Failed struct {
	Status int
}

// Broken means that the connection broke, or that the answer was malformed or
// missing. The call may have run.
type Broken struct {
	// PartlyDelivered reports whether the caller has received part of the answer,
	// so that only a resumable stream can continue.
	PartlyDelivered bool
	// Malformed reports whether bytes arrived that are not a valid answer.
	Malformed bool
	// EndpointDown reports whether the endpoint accepted no new connection afterwards. It
	// is determined only for answers that broke at their beginning.
	EndpointDown bool
	// JustBegun reports whether the header of the answer had just arrived, and no event.
	JustBegun bool
}

// Unrecorded means that the attempt was abandoned at the first event of its stream, as the version
// at which the stream begins could not be recorded.
type Unrecorded struct{}

// Unmatched means that the attempt was to go on with a stream and does not show that the caller's last event is a part of
// the answer. Its endpoint or an earlier one is at fault.
type Unmatched struct{}

// Silent means that the attempt was abandoned because the endpoint made no
// progress, after a GiveUp or at a limit of the caller of the state machine.
type Silent struct {
	PartlyDelivered bool
}

// TimedOut means that the call's deadline passed.
type TimedOut struct{}

// Abandoned means that the caller disconnected.
type Abandoned struct{}

func (Completed) isOutcome()   {}
func (Unreachable) isOutcome() {}
func (Expired) isOutcome()     {}
func (Declined) isOutcome()    {}
func (Unproven) isOutcome()    {}
func (Misdirected) isOutcome() {}
func (Failed) isOutcome()      {}
func (Broken) isOutcome()      {}
func (Unrecorded) isOutcome()  {}
func (Unmatched) isOutcome()   {}
func (Silent) isOutcome()      {}
func (TimedOut) isOutcome()    {}
func (Abandoned) isOutcome()   {}
