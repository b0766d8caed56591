package dispatch

import (
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
	"cactuswell/core/routing"
)

// Command is something that the pool's surroundings must do. The types of this
// file are all there are.
type Command interface {
	isCommand()
}

// StartAttempt sends a request to an endpoint over a new attempt. Its tokens go
// to the caller only after an AdoptAttempt command for it.
type StartAttempt struct {
	Attempt  AttemptID
	Endpoint endpoint.Key
	Tier     profile.Tier
	// Fresh asks for a connection that is new or proven alive; it is set for
	// requests that must not run twice.
	Fresh bool
	// Choice holds the reasons, for explanation.
	Choice routing.Choice
}

// ResumeAttempt asks the endpoint for the rest of an attempt's stream, from
// token From on, over a new connection. The old connection is closed.
type ResumeAttempt struct {
	Attempt  AttemptID
	Endpoint endpoint.Key
	From     int
}

// AdoptAttempt says that the caller's answer comes from this attempt from now
// on. Tokens before From were already given to the caller by another attempt
// and must be left out.
type AdoptAttempt struct {
	Attempt AttemptID
	From    int
}

// CancelAttempt ends an attempt at its endpoint. Nothing that still arrives
// from it may reach the caller.
type CancelAttempt struct {
	Attempt  AttemptID
	Endpoint endpoint.Key
	Reason   CancelReason
}

// CompleteRequest says that the whole answer of the given attempt is the
// caller's answer.
type CompleteRequest struct {
	Request RequestID
	Attempt AttemptID
}

// RefuseRequest ends a request without a whole answer.
type RefuseRequest struct {
	Request   RequestID
	Reason    RefuseReason
	Execution Execution
	// RetryAfter tells the caller when to come back, or is zero.
	RetryAfter time.Duration
}

func (StartAttempt) isCommand()    {}
func (ResumeAttempt) isCommand()   {}
func (AdoptAttempt) isCommand()    {}
func (CancelAttempt) isCommand()   {}
func (CompleteRequest) isCommand() {}
func (RefuseRequest) isCommand()   {}

// Execution says what is known about the execution of a request that has no whole
// answer.
type Execution string

// What can be known of an execution.
const (
	// NotRun is a promise: nothing was sent, or the endpoint confirmed that it
	// did not start.
	NotRun Execution = "notRun"
	// MayHaveRun says that the request may have run, in part or whole.
	MayHaveRun Execution = "unknown"
)

// CancelReason says why an attempt was canceled.
type CancelReason string

// The reasons to cancel an attempt.
const (
	CancelCallerCanceled CancelReason = "callerGone"
	CancelHedgeLost      CancelReason = "hedgeLost"
	CancelSilent         CancelReason = "silent"
	CancelPreempted      CancelReason = "preempted"
	CancelTimedOut       CancelReason = "timedOut"
)

// RefuseReason says why a request got no whole answer.
type RefuseReason string

// The reasons to refuse a request.
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
