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

// call is a submission on its way through a pool. The pool's duty owns it.
type call struct {
	id         dispatch.RequestID
	submission caller.Submission
	answer     *caller.Answer
	// ticket is the right to run a call that must not run twice, else nil.
	ticket   *claims.Ticket
	attempts map[uint32]*attempt
	// delivered is the number of tokens that the caller was given. It may be
	// ahead of what the decisions know, which hear of progress by events.
	delivered atomic.Int64
	// gone says that the caller went away. It is set before the event that says
	// so is posted, as that event may overtake the call's arrival.
	gone atomic.Bool
	// unwatch ends the watch over the caller. It is set before the call is
	// submitted, and is nil for a call that is seen through.
	unwatch func() bool
}

// once reports whether the call must not run twice.
func (c *call) once() bool {
	return !c.submission.Profile.Idempotent()
}

// request returns the call as the decisions see it.
func (c *call) request() dispatch.Request {
	return dispatch.Request{
		ID:           c.id,
		Team:         c.submission.Team,
		Profile:      c.submission.Profile,
		PromptTokens: c.submission.PromptTokens,
		MaxTokens:    c.submission.MaxTokens,
		Prefix:       c.submission.PrefixHashes,
		AtMostOnce:   c.once(),
	}
}

// refuse ends the call without a whole answer. A call whose ticket was started
// and not taken back may have run, whatever was believed of it.
func (c *call) refuse(reason dispatch.RefuseReason, ran dispatch.Execution, retryAfter time.Duration) {
	if c.ticket != nil {
		if ran == dispatch.NotRun && isUsed(c.ticket.Abandon()) {
			ran = dispatch.MayHaveRun
		}
		c.ticket.Close()
	}
	c.end(caller.ProblemPart{
		Problem: caller.Refusal(reason, ran, retryAfter),
	})
}

// end gives the caller the last part of the answer. From then on the end of its
// request says nothing.
func (c *call) end(part caller.Part) {
	if c.unwatch != nil {
		c.unwatch()
	}
	c.answer.End(part)
}

// cutShort ends the call because the host can wait no longer.
func (c *call) cutShort() {
	switch {
	case len(c.attempts) == 0:
		c.refuse(dispatch.RefuseHostStopping, dispatch.NotRun, time.Second)
	case c.once():
		c.refuse(dispatch.RefuseOutcomeUnknown, dispatch.MayHaveRun, 0)
	default:
		c.refuse(dispatch.RefuseStreamTruncated, dispatch.MayHaveRun, 0)
	}
}

// outgrows reports whether the caller already has more tokens, of an earlier
// attempt, than a's whole answer.
func (c *call) outgrows(a *attempt) bool {
	end := a.end()
	return end.body == nil && int64(end.tokens) < c.delivered.Load()
}

// complete ends the call with the whole answer of an attempt. It returns the
// error of recording the answer for retries; the caller is answered in any case.
func (c *call) complete(a *attempt) error {
	end := a.end()
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
