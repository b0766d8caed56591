package dispatch

import (
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
	"cactuswell/core/routing"
)

// Command is an action that the caller of Step must execute. All command types
// are in this file.
type Command interface {
	isCommand()
}

// StartAttempt sends a request to an endpoint as a new attempt. Its tokens go to
// the caller only after an AdoptAttempt command for it.
type StartAttempt struct {
	Attempt  AttemptID
	Endpoint endpoint.Key
	Tier     profile.Tier
	// NewConnection requires a connection that is new or known to be alive. It is
	// set for requests that must not run twice.
	NewConnection bool
	// Choice holds the reasons for choosing the endpoint.
	Choice routing.Choice
}

// ResumeAttempt requests the rest of an attempt's stream from the endpoint,
// starting at token From, over a new connection. The old connection is closed.
type ResumeAttempt struct {
	Attempt  AttemptID
	Endpoint endpoint.Key
	From     int
}

// AdoptAttempt makes this attempt the source of the caller's answer. Tokens
// before From were already delivered from another attempt and must be skipped.
type AdoptAttempt struct {
	Attempt AttemptID
	From    int
}

// CancelAttempt cancels an attempt at its endpoint. Data that still arrives from
// it must not reach the caller.
type CancelAttempt struct {
	Attempt  AttemptID
	Endpoint endpoint.Key
	Reason   CancelReason
}

// CompleteRequest completes a request: the attempt's complete answer is the
// caller's answer.
type CompleteRequest struct {
	Request RequestID
	Attempt AttemptID
}

// RefuseRequest ends a request without a complete answer.
type RefuseRequest struct {
	Request   RequestID
	Reason    RefuseReason
	Execution Execution
	// RetryAfter is the delay after which the caller should retry, or zero.
	RetryAfter time.Duration
}

func (StartAttempt) isCommand()    {}
func (ResumeAttempt) isCommand()   {}
func (AdoptAttempt) isCommand()    {}
func (CancelAttempt) isCommand()   {}
func (CompleteRequest) isCommand() {}
func (RefuseRequest) isCommand()   {}

// Execution is what is known about the execution of a request without a
// complete answer.
type Execution string

// The values of Execution.
const (
	// NotRun guarantees that the request did not run: nothing was sent, or the
	// endpoint confirmed that it did not start.
	NotRun Execution = "notRun"
	// MayHaveRun means that the request may have run, partly or completely.
	MayHaveRun Execution = "unknown"
)

// CancelReason is the reason why an attempt was canceled.
type CancelReason string

// The reasons for canceling an attempt.
const (
	CancelCallerCanceled CancelReason = "callerGone"
	CancelHedgeLost      CancelReason = "hedgeLost"
	CancelStalled        CancelReason = "silent"
	CancelPreempted      CancelReason = "preempted"
	CancelTimedOut       CancelReason = "timedOut"
)

// RefuseReason is the reason why a request got no complete answer.
type RefuseReason string

// The reasons for refusing a request.
const (
	RefuseQueueFull         RefuseReason = "queueFull"
	RefuseWaitLimit         RefuseReason = "waitLimit"
	RefuseCannotMeetLimit   RefuseReason = "cannotMeetLimit"
	RefuseNoEndpoint        RefuseReason = "noEndpoint"
	RefuseHostStopping      RefuseReason = "hostStopping"
	RefuseAttemptsExhausted RefuseReason = "attemptsSpent"
	RefuseOutcomeUnknown    RefuseReason = "outcomeUnknown"
	RefuseEndpointError     RefuseReason = "endpointError"
	RefuseTimedOut          RefuseReason = "timedOut"
	RefuseStreamTruncated   RefuseReason = "streamCutShort"
	RefuseDutyRestarted     RefuseReason = "hostDutyRestarted"
	RefuseTeamQueueFull     RefuseReason = "teamOverItsPart"
)
