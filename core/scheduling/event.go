package scheduling

import (
	"time"

	"cactuswell/core/directory"
	"cactuswell/core/route"
)

// Event is something that happened. The types of this file are all there are.
type Event interface {
	isEvent()
}

// CallArrived brings a new call.
type CallArrived struct {
	Call Call
}

// CallCanceled says that the caller no longer waits.
type CallCanceled struct {
	Call CallID
}

// AnswerStarted says that the endpoint gave its first event, or the header of its
// answer.
type AnswerStarted struct {
	Call CallID
	// Load is what the endpoint said of itself, if it did.
	Load ReportedLoad
}

// AttemptEnded says how the attempt under way came to its end.
type AttemptEnded struct {
	Call    CallID
	Outcome Outcome
	Load    ReportedLoad
	// EventGap is the usual pause between two events of a stream while nothing holds
	// it up, or zero if it is not known.
	EventGap time.Duration
}

// EndpointChanged brings a change of the directory.
type EndpointChanged struct {
	Change directory.Change
}

// ConfigurationChanged brings a new configuration.
type ConfigurationChanged struct {
	Table *route.Table
}

// BudgetChanged brings new bounds of the fleet's retry budget; see Settings.
type BudgetChanged struct {
	Window time.Duration
	Ratio  float64
	Slack  float64
}

// PeerReported brings another host's account of its work, or that of a zone's
// hosts together.
type PeerReported struct {
	Peer string
	// Hosts is the number of hosts that the account is of; zero stands for one.
	Hosts int
	// IncludesSelf says that this host's own work, as it told it last, is part of it.
	IncludesSelf bool
	// Complete says that Work is all the work of the peer, not what changed only.
	Complete bool
	Loads    []PeerLoad
	// Placements names prompts that the peer sent to endpoints of late.
	Placements []Placement
}

// PeerRemoved says that another host is not heard any more.
type PeerRemoved struct {
	Peer string
}

// Tick says only that time has passed.
type Tick struct{}

func (CallArrived) isEvent()          {}
func (CallCanceled) isEvent()         {}
func (AnswerStarted) isEvent()        {}
func (AttemptEnded) isEvent()         {}
func (EndpointChanged) isEvent()      {}
func (ConfigurationChanged) isEvent() {}
func (BudgetChanged) isEvent()        {}
func (PeerReported) isEvent()         {}
func (PeerRemoved) isEvent()          {}
func (Tick) isEvent()                 {}

// ReportedLoad is an endpoint's own account of its work.
type ReportedLoad struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
}

// PeerLoad is the work of one host at one endpoint.
type PeerLoad struct {
	// Endpoint is the hash of the endpoint's key.
	Endpoint uint64
	// PrefillBacklog is the engine time needed for prompts that have no first event.
	PrefillBacklog time.Duration
	Running        int
	// LatencySensitive counts the running streams whose pauses must be short.
	LatencySensitive int
	// Ejected says that the host has taken the endpoint out of use.
	Ejected bool
}

// Placement says that an endpoint was given a prompt to read.
type Placement struct {
	// Endpoint is the hash of the endpoint's key.
	Endpoint uint64
	// PrefixHash is the hash of the leading parts, and Tokens the size of the last of
	// them.
	PrefixHash uint64
	Tokens     int
}

// Outcome is the end of an attempt. The types of this file are all there are.
type Outcome interface {
	isOutcome()
}

// Completed is a whole answer, delivered.
type Completed struct{}

// Unreachable says that no connection could be made: nothing was sent.
type Unreachable struct{}

// Expired says that the call's time was over before it was sent. It tells nothing
// of the endpoint.
type Expired struct{}

// Declined says that the endpoint answered that it did not run the call.
type Declined struct {
	// RetryAfter is how long the endpoint asked us to stay away, or zero.
	RetryAfter time.Duration
}

// Misdirected says that another endpoint has taken over the address.
type Misdirected struct{}

// Failed is an answer of the endpoint that says that the call failed.
type Failed struct {
	Status int
}

// Broken is a lost connection, a spoiled answer, or none: the call may have
// run.
type Broken struct {
	// PartlyDelivered says that the caller has part of the answer, which only a
	// resumed stream can go on from.
	PartlyDelivered bool
	// Malformed says that bytes arrived that were no proper answer.
	Malformed bool
}

// Silent says that the endpoint was given up as it made no progress.
type Silent struct {
	PartlyDelivered bool
}

// TimedOut says that the call's time was over.
type TimedOut struct{}

// Abandoned says that the caller went away.
type Abandoned struct{}

func (Completed) isOutcome()   {}
func (Unreachable) isOutcome() {}
func (Expired) isOutcome()     {}
func (Declined) isOutcome()    {}
func (Misdirected) isOutcome() {}
func (Failed) isOutcome()      {}
func (Broken) isOutcome()      {}
func (Silent) isOutcome()      {}
func (TimedOut) isOutcome()    {}
func (Abandoned) isOutcome()   {}
