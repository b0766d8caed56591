package claims

import (
	"time"

	"cactuswell/core/claim"
)

// Decision is the answer of Begin. The types of this file are all there are.
type Decision interface {
	isDecision()
}

// Run lets the call run here, once, with the ticket.
type Run struct {
	Ticket *Ticket
}

// Replay says that the call was run before and how it ended. If the outcome's
// body was omitted, the caller is told so and the call is not run again.
type Replay struct {
	Outcome claim.Outcome
}

// Unknown says that a call with this key was granted before and that its end is
// not known here. It is never run again.
type Unknown struct {
	Reason claim.UnknownReason
}

// Forward says that only the key's issuer may run the call.
type Forward struct {
	Issuer claim.Issuer
}

// Refused says that this request was not run and never will be.
type Refused struct {
	Reason claim.RefuseReason
	// KeyUnchecked says that an earlier request with the same key may have run.
	// Without it, no request with the key has run within the window.
	KeyUnchecked bool
	RetryAfter   time.Duration
}

// Mismatch says that the key was first used for another request. This request
// was not run.
type Mismatch struct{}

// Invalid says that the key cannot be used. This request was not run.
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

// convert turns the machine's decision into the caller's.
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
