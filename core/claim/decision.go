package claim

import "time"

// Decision is the answer to BeginRequested. The types of this file are all
// there are.
type Decision interface {
	isDecision()
}

// Run lets the call run here, once.
type Run struct {
	Grant Grant
}

// Replay says that the call was run before and how it ended.
type Replay struct {
	Outcome Outcome
}

// Unknown says that a call with this key was granted before and that its end is
// not known. It is not run again.
type Unknown struct {
	Reason UnknownReason
}

// Forward says that only the given host may run the call. The call has to be
// sent there.
type Forward struct {
	Issuer Issuer
}

// Refused says that this request was not run and never will be.
type Refused struct {
	Reason RefuseReason
	// KeyUnchecked says that the log could not be consulted, so that an earlier
	// request with the same key may have run. Without it, no request with the
	// key has run within the window.
	KeyUnchecked bool
	// RetryAfter is when the caller should come back, with the same key.
	RetryAfter time.Duration
}

// Mismatch says that the key was first used for another request. This request
// was not run.
type Mismatch struct{}

// Invalid says that the key cannot be used. This request was not run.
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

// UnknownReason says why the end of a call is not known.
type UnknownReason string

// Why the end of a call is not known.
const (
	// UnknownRecorded says that the host that ran the call did not learn its
	// end.
	UnknownRecorded UnknownReason = "recordedUnknown"
	// UnknownNoOutcome says that the call was granted and that no outcome came
	// within the time that the caller gave.
	UnknownNoOutcome UnknownReason = "noOutcomeYet"
	// UnknownIssuerStopped says that the key's issuer is gone and left no word.
	UnknownIssuerStopped UnknownReason = "issuerGone"
	// UnknownExpired says that the key was issued longer than the window ago.
	UnknownExpired UnknownReason = "issuedKeyExpired"
	// UnknownForwardUnanswered says that the answer of the key's issuer was lost.
	UnknownForwardUnanswered UnknownReason = "forwardLost"
)

// RefuseReason says why a call was refused.
type RefuseReason string

// The reasons to refuse a call.
const (
	RefuseLogUnavailable RefuseReason = "logUnavailable"
	RefuseCanceled       RefuseReason = "callerGone"
	RefuseStopping       RefuseReason = "hostStopping"
	RefuseTableFull      RefuseReason = "keysFull"
	RefuseTeamFull       RefuseReason = "teamKeysFull"
	RefuseTooManyCalls   RefuseReason = "tooManyKeyedCalls"
	RefuseNewerRecords   RefuseReason = "newerClaimRecords"
	RefuseDutyRestarted  RefuseReason = "claimsDutyRestarted"
	// RefuseKeyExpired says that the key is a UUID of version 7 whose time is
	// longer ago than the window.
	RefuseKeyExpired        RefuseReason = "keyExpired"
	RefuseIssuerUnreachable RefuseReason = "issuerUnreachable"
)
