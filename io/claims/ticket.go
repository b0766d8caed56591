package claims

import (
	"sync/atomic"
	"time"

	"cactuswell/core/claim"
)

// Ticket is the right to run one call once. It is safe for concurrent use.
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

// TicketError says that a ticket cannot be used in this way any more.
type TicketError struct {
	Reason TicketErrorReason
}

// TicketErrorReason says what is wrong with the use of a ticket.
type TicketErrorReason string

// What can be wrong with the use of a ticket.
const (
	// TicketUsed says that the ticket was started or closed before.
	TicketUsed TicketErrorReason = "used"
	// TicketExpired says that the grant is too old to be started. Nothing was
	// sent, and the ticket has to be abandoned.
	TicketExpired TicketErrorReason = "expired"
	// TicketNotStarted says that the ticket was not started.
	TicketNotStarted TicketErrorReason = "notStarted"
)

// Error names the fault.
func (e *TicketError) Error() string { return "ticket: " + string(e.Reason) }

func newTicket(claims *Claims, grant claim.Grant) *Ticket {
	return &Ticket{
		claims: claims,
		grant:  grant,
	}
}

// ID returns an id of the grant, for logs.
func (t *Ticket) ID() string { return t.grant.ID }

// MarkStarted must be called just before the first byte of the call may leave the
// host. After an error, which is a *TicketError, nothing may be sent.
func (t *Ticket) MarkStarted() error {
	if t.expired(t.claims.deps.Timers.Now()) {
		return &TicketError{Reason: TicketExpired}
	}
	if !t.state.CompareAndSwap(ticketOpen, ticketStarted) {
		return &TicketError{Reason: TicketUsed}
	}
	return nil
}

// MarkNotStarted takes Started back. It may be called only if the endpoint has
// proved that it did not start the call, or nothing was sent.
func (t *Ticket) MarkNotStarted() error {
	if !t.state.CompareAndSwap(ticketStarted, ticketOpen) {
		return &TicketError{Reason: TicketNotStarted}
	}
	return nil
}

// Finish records how the call ended, for its retries. The answer may be given
// to the caller without waiting.
func (t *Ticket) Finish(outcome claim.Outcome) error {
	if !t.state.CompareAndSwap(ticketStarted, ticketClosed) {
		return &TicketError{Reason: TicketNotStarted}
	}
	t.close(claim.CallFinished{
		Grant:   t.grant,
		Outcome: outcome,
	})
	return nil
}

// FinishUnknown records that the call was started and that its end is not known.
func (t *Ticket) FinishUnknown() error {
	return t.Finish(claim.Outcome{Unknown: true})
}

// Abandon gives the ticket back before Started, so that a retry can run. The
// caller may then be told that the call was not run.
func (t *Ticket) Abandon() error {
	if !t.state.CompareAndSwap(ticketOpen, ticketClosed) {
		return &TicketError{Reason: TicketUsed}
	}
	t.close(claim.CallAbandoned{Grant: t.grant})
	return nil
}

// Close closes a ticket that is still in use: one that was started has an
// unknown end, and one that was not is abandoned. It is meant to be deferred.
func (t *Ticket) Close() {
	if t.FinishUnknown() != nil {
		_ = t.Abandon()
	}
}

func (t *Ticket) close(event claim.Event) {
	t.claims.closings.TryPush(event)
	t.claims.open.Add(-1)
}

// expired compares both the monotonic and the wall clock, as either may stand
// still while the host is paused.
func (t *Ticket) expired(now time.Time) bool {
	limit := t.grant.StartBefore
	if limit.IsZero() {
		return false
	}
	return now.After(limit) || now.Round(0).After(limit.Round(0))
}
