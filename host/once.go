package host

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cactuswell/core/claim"
	"cactuswell/core/dispatch"
	"cactuswell/core/profile"
	"cactuswell/io/caller"
	"cactuswell/io/claims"
)

// forwardMargin is added to the time that a forwarded call may take at the
// issuer, so that the issuer's own answer comes first.
const forwardMargin = 2 * time.Second

// submitOnce takes a request that must not run twice.
func (h *Host) submitOnce(ctx context.Context, submission caller.Submission) *caller.Answer {
	deciding, cancel := context.WithTimeout(ctx, submission.Profile.WaitLimit())
	defer cancel()
	decision := h.claims.Decide(deciding, submission.Team, submission.IdempotencyKey, fingerprint(submission))
	switch decision := decision.(type) {
	case claims.Run:
		return h.submit(ctx, submission, decision.Ticket)
	case claims.Forward:
		return h.forward(ctx, submission, decision.Issuer)
	default:
		return answered(partOf(decision))
	}
}

func fingerprint(submission caller.Submission) claim.Fingerprint {
	return claim.NewFingerprint(submission.Profile.Name(), submission.Operation, submission.Body)
}

// answered returns an answer of one part.
func answered(part caller.Part) *caller.Answer {
	answer := caller.NewAnswer()
	answer.End(part)
	return answer
}

// partOf returns what a caller is answered when its call does not run here.
func partOf(decision claims.Decision) caller.Part {
	switch decision := decision.(type) {
	case claims.Replay:
		return replay(decision.Outcome)
	case claims.Refused:
		return caller.ProblemPart{
			Problem: caller.ClaimRefused(string(decision.Reason), decision.KeyUnchecked, decision.RetryAfter),
		}
	case claims.Mismatch:
		return caller.ProblemPart{Problem: caller.KeyReused()}
	case claims.Invalid:
		return caller.ProblemPart{Problem: caller.KeyInvalid(string(decision.Reason))}
	case claims.Unknown:
		return caller.ProblemPart{Problem: caller.KeyOutcomeUnknown(string(decision.Reason))}
	default:
		return caller.ProblemPart{Problem: caller.KeyOutcomeUnknown(string(claim.UnknownNoOutcome))}
	}
}

// replay returns the recorded answer to an earlier call.
func replay(outcome claim.Outcome) caller.Part {
	switch {
	case outcome.Unknown:
		return caller.ProblemPart{Problem: caller.KeyOutcomeUnknown(string(claim.UnknownRecorded))}
	case outcome.BodyOmitted:
		return caller.ProblemPart{Problem: caller.AnswerNotKept()}
	}
	return caller.BodyPart{
		ContentType: outcome.ContentType,
		Body:        outcome.Body,
		Replayed:    true,
	}
}

// forward passes a call on to the host that issued its key.
func (h *Host) forward(ctx context.Context, submission caller.Submission, issuer claim.Issuer) *caller.Answer {
	h.counters.Add("callsForwarded", 1)
	address, ok := h.addressOf(issuer)
	if !ok || submission.Forwarded {
		return answered(caller.ProblemPart{Problem: caller.KeyOutcomeUnknown(string(claim.UnknownIssuerStopped))})
	}
	limit := submission.Profile.WaitLimit() + dispatch.DefaultServiceRunLimit + forwardMargin
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return answered(partOf(h.forwarder.Forward(ctx, h.node.Transport().BaseURL(address), claims.ForwardedCall{
		Key:       submission.IdempotencyKey,
		Team:      submission.Team,
		Profile:   submission.Profile.Name(),
		RequestID: submission.RequestID,
		Path:      submission.Operation,
		Body:      submission.Body,
	})))
}

// addressOf returns the peer address of a life of a host that is live.
func (h *Host) addressOf(issuer claim.Issuer) (string, bool) {
	for _, member := range h.node.Live() {
		if member.Name == issuer.Host {
			return member.Address, true
		}
	}
	return "", false
}

// RunForwarded runs a call that another host passed on and that was granted
// here.
func (h *Host) RunForwarded(ctx context.Context, call claims.ForwardedCall, ticket *claims.Ticket) claims.Decision {
	current, ok := h.Profile(call.Profile)
	if !ok || current.Kind() != profile.KindService {
		return claims.Refused{
			Reason:     claim.RefuseIssuerUnreachable,
			RetryAfter: time.Second,
		}
	}
	// The call is seen through even if the other host gives up, so that its
	// outcome is recorded.
	ctx = context.WithoutCancel(ctx)
	answer := h.submit(ctx, caller.Submission{
		RequestID:      call.RequestID,
		Team:           call.Team,
		Profile:        current,
		IdempotencyKey: call.Key,
		Operation:      call.Path,
		Body:           call.Body,
		Forwarded:      true,
	}, ticket)
	part, err := answer.Next(ctx)
	if err != nil {
		return claims.Unknown{Reason: claim.UnknownForwardUnanswered}
	}
	return decisionOf(part)
}

// decisionOf restates an answer for the host that passed the call on.
func decisionOf(part caller.Part) claims.Decision {
	switch part := part.(type) {
	case caller.BodyPart:
		return claims.Replay{
			Outcome: claim.Outcome{
				Status:      http.StatusOK,
				ContentType: part.ContentType,
				Body:        part.Body,
			},
		}
	case caller.ProblemPart:
		if part.Problem.Ran == dispatch.NotRun {
			return claims.Refused{
				Reason:     claim.RefuseReason(part.Problem.Code),
				RetryAfter: time.Duration(part.Problem.RetryAfterMs) * time.Millisecond,
			}
		}
	}
	return claims.Unknown{Reason: claim.UnknownRecorded}
}

// IssueKey returns a new idempotency key for a team.
func (h *Host) IssueKey(ctx context.Context, team string) (string, error) {
	return h.claims.Issue(ctx, team)
}

// isUsed reports whether a ticket was started before.
func isUsed(err error) bool {
	var fault *claims.TicketError
	return errors.As(err, &fault) && fault.Reason == claims.TicketUsed
}
