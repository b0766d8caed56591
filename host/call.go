package host

import (
	"net/http"
	"sync/atomic"
	"time"

	"cactuswell/core/claim"
	"cactuswell/core/dispatch"
	"cactuswell/io/caller"
	"cactuswell/io/claims"
)

// call is a submission in a pool. The pool's duty owns it.
type call struct {
	id         dispatch.RequestID
	submission caller.Submission
	answer     *caller.Answer
	// ticket is the permission to run a call that must not run twice, or nil for
	// an idempotent call.
	ticket   *claims.Ticket
	attempts map[uint32]*attempt
	// delivered is the number of tokens that were delivered to the caller. It may
	// be ahead of the count in the state machines, which learn of progress by
	// events.
	delivered atomic.Int64
	// deliveredText identifies their texts. Only the attempt that the caller's answer
	// comes from writes it.
	deliveredText atomic.Uint64
	// callerCanceled is set when the caller has disconnected. It is set before
	// the RequestCanceled event is posted, since that event may overtake the
	// arrival of the call.
	callerCanceled atomic.Bool
	// stopCallerWatch stops watching for the caller's disconnect. It is set
	// before the call is submitted, and is nil for a call that runs to completion
	// without its caller.
	stopCallerWatch func() bool
}

// isAtMostOnce reports whether the call must not run more than once.
func (c *call) isAtMostOnce() bool {
	return !c.submission.Profile.Idempotent()
}

// request returns the call as input for the state machines.
func (c *call) request() dispatch.Request {
	return dispatch.Request{
		ID:           c.id,
		Team:         c.submission.Team,
		Profile:      c.submission.Profile,
		PromptTokens: c.submission.PromptTokens,
		MaxTokens:    c.submission.MaxTokens,
		PrefixHashes: c.submission.PrefixHashes,
		AtMostOnce:   c.isAtMostOnce(),
	}
}

// refuse ends the call without a complete answer. It reports ran as unknown, even
// if the parameter is NotRun, when the ticket was marked as started and not as
// not started again: the call may have run.
func (c *call) refuse(reason dispatch.RefuseReason, ran dispatch.Execution, retryAfter time.Duration) {
	if c.ticket != nil {
		if ran == dispatch.NotRun && isTicketUsed(c.ticket.Abandon()) {
			ran = dispatch.MayHaveRun
		}
		c.ticket.Close()
	}
	c.end(caller.ProblemPart{
		Problem: caller.Refusal(reason, ran, retryAfter),
	})
}

// end delivers the last part of the answer. It stops watching the caller first,
// since the request's context ends after every answer.
func (c *call) end(part caller.Part) {
	if c.stopCallerWatch != nil {
		c.stopCallerWatch()
	}
	c.answer.End(part)
}

// terminate ends the call at the end of the host's stop timeout.
func (c *call) terminate() {
	switch {
	case len(c.attempts) == 0:
		c.refuse(dispatch.RefuseHostStopping, dispatch.NotRun, time.Second)
	case c.isAtMostOnce():
		c.refuse(dispatch.RefuseOutcomeUnknown, dispatch.MayHaveRun, 0)
	default:
		c.refuse(dispatch.RefuseStreamTruncated, dispatch.MayHaveRun, 0)
	}
}

// hasDeliveredMoreThan reports whether an earlier attempt has already delivered
// more tokens than the complete answer of a has.
func (c *call) hasDeliveredMoreThan(a *attempt) bool {
	end := a.finalResult()
	return end.body == nil && int64(end.tokens) < c.delivered.Load()
}

// complete ends the call with the complete answer of an attempt. The caller
// always gets the answer; the error means that it was not recorded for retries.
func (c *call) complete(a *attempt) error {
	end := a.finalResult()
	var err error
	if c.ticket != nil {
		err = c.ticket.Finish(claim.Outcome{
			Status:      http.StatusOK,
			ContentType: end.contentType,
			Body:        end.body,
			BodyOmitted: end.body == nil,
		})
	}
	if end.body != nil {
		c.end(caller.BodyPart{
			ContentType: end.contentType,
			Body:        end.body,
		})
		return err
	}
	c.end(caller.EndPart{
		FinishReason: end.finishReason,
		Tokens:       end.tokens,
	})
	return err
}
