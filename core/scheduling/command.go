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
	// IsRetry says that an attempt before may have run.
	IsRetry bool
	// FirstEventTimeout is how long to wait for the first event, or the header of the
	// answer, before the endpoint counts as silent; zero stands for no limit.
	FirstEventTimeout time.Duration
	// EventGapTimeout is the same between two events.
	EventGapTimeout time.Duration
	// FetchFrom is the endpoint from whose memory the engine takes what it lacks of the
	// prompt, at FetchAddress, if FetchAddress is not empty.
	FetchFrom    Key
	FetchAddress string
	// Choice holds the reasons, for explanation.
	Choice Choice
}

// Choice is why an endpoint was chosen.
type Choice struct {
	// TimeToFirstEvent is the predicted time to the first event, or to the answer.
	TimeToFirstEvent time.Duration
	// PrefillBacklog is the engine time for prompts that are read before this one.
	PrefillBacklog time.Duration
	// CachedTokens is the part of the prompt believed to be in the engine's memory.
	CachedTokens int
	// FetchedTokens is the part believed to come from another engine's memory.
	FetchedTokens int
	// Running is the number of calls believed to run there.
	Running int
	// ComparedEndpoints is the number of endpoints that were compared.
	ComparedEndpoints int
	// LoadAge is the age of the endpoint's own account of its load, or negative
	// if there is none.
	LoadAge time.Duration
	// QueueTime is how long the call was held at this host.
	QueueTime time.Duration
}

// Refuse ends a call without an answer of an endpoint.
type Refuse struct {
	Call   CallID
	Reason Reason
	// Cause is why the last attempt failed, or empty.
	Cause Reason
	// MayHaveRun says that the call may have run.
	MayHaveRun bool
	// RetryAfter tells the caller when to come back, or is zero.
	RetryAfter time.Duration
	// Known, Usable and Waiting are the numbers of endpoints of the service, of
	// those in use, and of calls that wait, for explanation.
	KnownEndpoints  int
	UsableEndpoints int
	QueuedCalls     int
}

// DeliverFailure gives the caller the failed answer that the last endpoint gave.
type DeliverFailure struct {
	Call CallID
}

// EndpointHealthChanged says that the host changed its mind on an endpoint's health.
type EndpointHealthChanged struct {
	Key     Key
	Service string
	// Ejected says that the endpoint gets no calls until the time Until.
	Ejected    bool
	Failures   int
	Reason     Reason
	EjectedFor time.Duration
}

func (Send) isCommand()                  {}
func (Refuse) isCommand()                {}
func (DeliverFailure) isCommand()        {}
func (EndpointHealthChanged) isCommand() {}

// Reason says why a call got no answer, or an endpoint no calls.
type Reason string

// The reasons.
const (
	ReasonNoEndpoint           Reason = "noEndpoint"
	ReasonAllFull              Reason = "allFull"
	ReasonTimedOut             Reason = "timedOut"
	ReasonOutcomeUnknown       Reason = "outcomeUnknown"
	ReasonRetryBudgetExhausted Reason = "retryBudgetSpent"
	ReasonAttemptsExhausted    Reason = "attemptsSpent"
	ReasonUnreachable          Reason = "unreachable"
	ReasonDeclined             Reason = "declined"
	ReasonMisdirected          Reason = "misdirected"
	ReasonErrors               Reason = "errors"
	ReasonSilent               Reason = "silent"
	ReasonMalformedAnswer      Reason = "spoiledAnswers"
	ReasonConnectionBroken     Reason = "brokenConnections"
	ReasonRecovered            Reason = "recovered"
)
