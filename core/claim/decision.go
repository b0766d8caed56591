package claim

import "time"

// Decision is the answer to DecisionRequested. It is implemented by the types
// of this file only.
type Decision interface {
	isDecision()
}

// Run allows the call to run on this host, once.
type Run struct {
	Grant Grant
}

// Replay returns the outcome of an earlier run of the call.
type Replay struct {
	Outcome Outcome
}

// Unknown means that a call with this key may have run before and that its
// outcome is not known. This call is not run.
type Unknown struct {
	Reason UnknownReason
}

// Forward means that only the given host may run the call, so that the call has
// to be forwarded to it.
type Forward struct {
	Issuer Issuer
}

// Refused means that this request was not run and never will be.
type Refused struct {
	Reason RefuseReason
	// KeyUnchecked is true if the key could not be checked against the log, so
	// that an earlier request with the same key may have run. If it is false,
	// no request with the key has run within the window.
	KeyUnchecked bool
	// RetryAfter is the time after which the caller should retry, with the same
	// key.
	RetryAfter time.Duration
}

// Mismatch means that the key was first used for another request. This request
// was not run.
type Mismatch struct{}

// Invalid means that the key cannot be used. This request was not run.
type Invalid struct {
	Reason KeyErrorReason
}

func (Run) isDecision()      {}
func (Replay) isDecision()   {}
func (Unknown) isDecision()  {}
func (Forward) isDecision()  {}
func (Refused) isDecision()  {}
func (Mismatch) isDecision() {}
func (Invalid) isDecision()  {}

// UnknownReason is the reason why the outcome of a call is not known.
type UnknownReason string

// Reasons why the outcome of a call is not known.
const (
	// UnknownRecorded means that the host that started the call recorded its
	// outcome as unknown.
	UnknownRecorded UnknownReason = "recordedUnknown"
	// UnknownNoOutcome means that the key is claimed and that no outcome was
	// recorded before the caller's deadline.
	UnknownNoOutcome UnknownReason = "noOutcomeYet"
	// UnknownIssuerStopped means that the instance that issued the key no
	// longer exists or has published the key as used, and that no outcome was
	// recorded.
	UnknownIssuerStopped UnknownReason = "issuerGone"
	// UnknownExpired means that the key was issued longer ago than the window.
	UnknownExpired UnknownReason = "issuedKeyExpired"
	// UnknownForwardUnanswered means that the call was forwarded to the issuer
	// of its key and that no valid answer was received.
	UnknownForwardUnanswered UnknownReason = "forwardLost"
)

// RefuseReason is the reason why a call was refused.
type RefuseReason string

// Reasons why a call was refused.
const (
	RefuseLogUnavailable RefuseReason = "logUnavailable"
	RefuseCanceled       RefuseReason = "callerGone"
	RefuseStopping       RefuseReason = "hostStopping"
	RefuseTableFull      RefuseReason = "keysFull"
	RefuseTeamFull       RefuseReason = "teamKeysFull"
	RefuseTooManyCalls   RefuseReason = "tooManyKeyedCalls"
	RefuseNewerRecords   RefuseReason = "newerClaimRecords"
	RefuseDutyRestarted  RefuseReason = "claimsDutyRestarted"
	// RefuseKeyExpired means that the key is a UUID of version 7 whose
	// timestamp is too old for the window.
	RefuseKeyExpired        RefuseReason = "keyExpired"
	RefuseIssuerUnreachable RefuseReason = "issuerUnreachable"
)
