package host

import (
	"time"

	"cactuswell/core/dispatch"
	"cactuswell/io/caller"
)

// ticket is the right to run a call that must not run twice. A call without
// one may be run freely.
type ticket interface {
	// Started says that the first byte is about to leave the host. It reports
	// false when the call must not be sent.
	Started() bool
	// Finish records the whole answer.
	Finish(contentType string, body []byte)
	// Abandon gives the right back; nothing was run.
	Abandon()
	// Unknown records that the call may have run.
	Unknown()
}

// call is a submission on its way through a pool. The pool's duty owns it.
type call struct {
	id         dispatch.RequestID
	submission caller.Submission
	answer     *caller.Answer
	ticket     ticket
	taken      time.Time
	attempts   map[uint32]*attempt
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
		Prefix:       c.submission.Prefix,
		Once:         c.once(),
	}
}

// refuse ends the call without a whole answer.
func (c *call) refuse(reason dispatch.RefuseReason, ran dispatch.Ran, retryAfter time.Duration) {
	if c.ticket != nil {
		if ran == dispatch.NotRun {
			c.ticket.Abandon()
		} else {
			c.ticket.Unknown()
		}
	}
	c.answer.End(caller.ProblemPart{
		Problem: caller.Refusal(reason, ran, retryAfter),
	})
}

// complete ends the call with the whole answer of an attempt.
func (c *call) complete(a *attempt) {
	end := a.end()
	if c.ticket != nil {
		c.ticket.Finish(end.contentType, end.body)
	}
	if end.body != nil {
		c.answer.End(caller.BodyPart{
			ContentType: end.contentType,
			Body:        end.body,
		})
		return
	}
	c.answer.End(caller.EndPart{
		FinishReason: end.finishReason,
		Tokens:       end.tokens,
	})
}
