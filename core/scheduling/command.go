package scheduling

import "time"

// Command is something that the surroundings must do. The types of this file
// are all there are.
type Command interface {
	isCommand()
}

// Send gives a call to an endpoint.
type Send struct {
	Call     CallID
	Key      Key
	Address  string
	Priority int
	// Repeat says that an attempt before may have run.
	Repeat bool
	// FirstLimit is how long to wait for the first event, or the header of the
	// answer, before the endpoint counts as silent; zero stands for no limit.
	FirstLimit time.Duration
	// SilenceLimit is the same between two events.
	SilenceLimit time.Duration
	// Fetch is the endpoint from whose memory the engine takes what it lacks of the
	// prompt, at FetchAddress, if FetchAddress is not empty.
	Fetch        Key
	FetchAddress string
	// Choice holds the reasons, for explanation.
	Choice Choice
}

// Choice is why an endpoint was chosen.
type Choice struct {
	// First is the predicted time to the first event, or to the answer.
	First time.Duration
	// Reading is the engine time for prompts that are read before this one.
	Reading time.Duration
	// Cached is the part of the prompt believed to be in the engine's memory.
	Cached int
	// Fetched is the part believed to come from another engine's memory.
	Fetched int
	// Running is the number of calls believed to run there.
	Running int
	// Compared is the number of endpoints that were compared.
	Compared int
	// LoadAge is the age of the endpoint's own account of its load, or negative
	// if there is none.
	LoadAge time.Duration
	// Waited is how long the call was held at this host.
	Waited time.Duration
}

// Refuse ends a call without an answer of an endpoint.
type Refuse struct {
	Call   CallID
	Reason Reason
	// Cause is why the last attempt failed, or empty.
	Cause Reason
	// Ran says that the call may have run.
	Ran bool
	// RetryAfter tells the caller when to come back, or is zero.
	RetryAfter time.Duration
	// Known, Usable and Waiting are the numbers of endpoints of the service, of
	// those in use, and of calls that wait, for explanation.
	Known   int
	Usable  int
	Waiting int
}

// Deliver gives the caller the failed answer that the last endpoint gave.
type Deliver struct {
	Call CallID
}

// EndpointJudged says that the host changed its mind on an endpoint's health.
type EndpointJudged struct {
	Key     Key
	Service string
	// Ejected says that the endpoint gets no calls until the time Until.
	Ejected  bool
	Failures int
	Reason   Reason
	For      time.Duration
}

func (Send) isCommand()           {}
func (Refuse) isCommand()         {}
func (Deliver) isCommand()        {}
func (EndpointJudged) isCommand() {}

// Reason says why a call got no answer, or an endpoint no calls.
type Reason string

// The reasons.
const (
	ReasonNoEndpoint    Reason = "noEndpoint"
	ReasonAllFull       Reason = "allFull"
	ReasonTimedOut      Reason = "timedOut"
	ReasonOutcome       Reason = "outcomeUnknown"
	ReasonBudgetSpent   Reason = "retryBudgetSpent"
	ReasonAttemptsSpent Reason = "attemptsSpent"
	ReasonUnreachable   Reason = "unreachable"
	ReasonDeclined      Reason = "declined"
	ReasonMisdirected   Reason = "misdirected"
	ReasonErrors        Reason = "errors"
	ReasonSilent        Reason = "silent"
	ReasonSpoiled       Reason = "spoiledAnswers"
	ReasonBroken        Reason = "brokenConnections"
	ReasonRecovered     Reason = "recovered"
)
