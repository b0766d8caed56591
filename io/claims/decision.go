package claims

import (
	"time"

	"cactuswell/core/claim"
)

// Decision is the result of Claims.Decide. It is implemented by the types of
// this file only.
type Decision interface {
	isDecision()
}

// Run allows the call to run on this host, once, with the ticket.
type Run struct {
	Ticket *Ticket
}

// Replay returns the outcome of an earlier run of the call. If the outcome's
// body was omitted, the caller gets an error that says so, and the call is not
// run again.
type Replay struct {
	Outcome claim.Outcome
}

// Unknown means that a call with this key may have run before and that its
// outcome is not known on this host. This call is not run.
type Unknown struct {
	Reason claim.UnknownReason
}

// Forward means that only the issuer of the key may run the call.
type Forward struct {
	Issuer claim.Issuer
}

// Refused means that this request was not run and never will be.
type Refused struct {
	Reason claim.RefuseReason
	// KeyUnchecked is true if an earlier request with the same key may have
	// run. If it is false, no request with the key has run within the window.
	KeyUnchecked bool
	RetryAfter   time.Duration
}

// Mismatch means that the key was first used for another request. This request
// was not run.
type Mismatch struct{}

// Invalid means that the key cannot be used. This request was not run.
type Invalid struct {
	Reason claim.KeyErrorReason
}

func (Run) isDecision()      {}
func (Replay) isDecision()   {}
func (Unknown) isDecision()  {}
func (Forward) isDecision()  {}
func (Refused) isDecision()  {}
func (Mismatch) isDecision() {}
func (Invalid) isDecision()  {}

// convert converts a decision of the machine to that returned to the caller.
func (d *decider) convert(decision claim.Decision) Decision {
	switch decision := decision.(type) {
	case claim.Run:
		return Run{Ticket: newTicket(d.claims, decision.Grant)}
	case claim.Replay:
		return Replay{Outcome: decision.Outcome}
	case claim.Unknown:
		return Unknown{Reason: decision.Reason}
	case claim.Forward:
		return Forward{Issuer: decision.Issuer}
	case claim.Refused:
		return Refused{
			Reason:       decision.Reason,
			KeyUnchecked: decision.KeyUnchecked,
			RetryAfter:   decision.RetryAfter,
		}
	case claim.Mismatch:
		return Mismatch{}
	case claim.Invalid:
		return Invalid{Reason: decision.Reason}
	default:
		return Unknown{Reason: claim.UnknownNoOutcome}
	}
}
