package claims

import (
	"sync/atomic"
	"time"

	"cactuswell/core/claim"
)

// Ticket is the permission to run one call once. It is safe for concurrent use.
type Ticket struct {
	claims *Claims
	grant  claim.Grant
	state  atomic.Int32
}

const (
	ticketOpen int32 = iota
	ticketStarted
	ticketClosed
)

// TicketError reports that a ticket cannot be used in the requested way.
type TicketError struct {
	Reason TicketErrorReason
}

// TicketErrorReason is the reason why a ticket cannot be used.
type TicketErrorReason string

// Reasons why a ticket cannot be used.
const (
	// TicketUsed means that the ticket was started or closed before.
	TicketUsed TicketErrorReason = "used"
	// TicketExpired means that the grant is too old for the call to be started.
	// Nothing was sent, and the ticket has to be abandoned.
	TicketExpired TicketErrorReason = "expired"
	// TicketNotStarted means that the ticket is not in the started state.
	TicketNotStarted TicketErrorReason = "notStarted"
)

// Error returns a message with the reason.
func (e *TicketError) Error() string { return "ticket: " + string(e.Reason) }

func newTicket(claims *Claims, grant claim.Grant) *Ticket {
	return &Ticket{
		claims: claims,
		grant:  grant,
	}
}

// ID returns the ID of the grant, for logs.
func (t *Ticket) ID() string { return t.grant.ID }

// MarkStarted must be called just before the first byte of the call may be
// sent. After an error, which is a *TicketError, nothing may be sent.
func (t *Ticket) MarkStarted() error {
	if t.isExpired(t.claims.deps.Timers.Now()) {
		return &TicketError{Reason: TicketExpired}
	}
	if !t.state.CompareAndSwap(ticketOpen, ticketStarted) {
		return &TicketError{Reason: TicketUsed}
	}
	return nil
}

// MarkNotStarted reverts the ticket to the state before the start. It may be
// called only if the endpoint has reported reliably that it did not start the
// call, or if nothing was sent. The error is a *TicketError.
func (t *Ticket) MarkNotStarted() error {
	if !t.state.CompareAndSwap(ticketStarted, ticketOpen) {
		return &TicketError{Reason: TicketNotStarted}
	}
	return nil
}

// Finish records the outcome of a started call, for its retries. The answer may
// be returned to the caller without waiting for the record to be written. The
// error is a *TicketError.
func (t *Ticket) Finish(outcome claim.Outcome) error {
	if !t.state.CompareAndSwap(ticketStarted, ticketClosed) {
		return &TicketError{Reason: TicketNotStarted}
	}
	t.sendFinalEvent(claim.CallFinished{
		Grant:   t.grant,
		Outcome: outcome,
	})
	return nil
}

// FinishUnknown records that the call was started and that its outcome is not
// known. The error is a *TicketError.
func (t *Ticket) FinishUnknown() error {
	return t.Finish(claim.Outcome{Unknown: true})
}

// Abandon returns a ticket that was not started, so that a retry can run. The
// call may then be reported as not run. The error is a *TicketError.
func (t *Ticket) Abandon() error {
	if !t.state.CompareAndSwap(ticketOpen, ticketClosed) {
		return &TicketError{Reason: TicketUsed}
	}
	t.sendFinalEvent(claim.CallAbandoned{Grant: t.grant})
	return nil
}

// Close closes a ticket that is still open: if the call was started, its
// outcome is recorded as unknown, and otherwise the ticket is abandoned. It is
// meant to be deferred.
func (t *Ticket) Close() {
	if t.FinishUnknown() != nil {
		_ = t.Abandon()
	}
}

func (t *Ticket) sendFinalEvent(event claim.Event) {
	t.claims.events.TryPush(event)
	t.claims.openCalls.Add(-1)
}

// isExpired compares both the monotonic and the wall clock, as either may stop
// while the host is paused.
func (t *Ticket) isExpired(now time.Time) bool {
	limit := t.grant.StartBefore
	if limit.IsZero() {
		return false
	}
	return now.After(limit) || now.Round(0).After(limit.Round(0))
}
