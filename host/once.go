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

// forwardMargin is added to the time that a forwarded call may take at the host
// that issued its key, so that the issuer answers before this host times out.
const forwardMargin = 2 * time.Second

// submitOnce accepts a request that must not run twice.
func (h *Host) submitOnce(ctx context.Context, submission caller.Submission) *caller.Answer {
	claimCtx, cancel := context.WithTimeout(ctx, submission.Profile.WaitLimit())
	defer cancel()
	decision := h.claims.Decide(claimCtx, submission.Team, submission.IdempotencyKey, fingerprint(submission))
	switch decision := decision.(type) {
	case claims.Run:
		return h.submit(ctx, submission, decision.Ticket)
	case claims.Forward:
		return h.forward(ctx, submission, decision.Issuer)
	default:
		return singlePartAnswer(partFromDecision(decision))
	}
}

func fingerprint(submission caller.Submission) claim.Fingerprint {
	return claim.NewFingerprint(submission.Profile.Name(), submission.Operation, submission.Body)
}

// singlePartAnswer returns an answer that consists of one part.
func singlePartAnswer(part caller.Part) *caller.Answer {
	answer := caller.NewAnswer()
	answer.End(part)
	return answer
}

// partFromDecision returns the answer to a call that does not run on this host.
func partFromDecision(decision claims.Decision) caller.Part {
	switch decision := decision.(type) {
	case claims.Replay:
		return replayedPart(decision.Outcome)
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

// replayedPart returns the recorded answer to an earlier call, or a problem if
// there is none.
func replayedPart(outcome claim.Outcome) caller.Part {
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

// forward forwards a call to the host that issued its key.
func (h *Host) forward(ctx context.Context, submission caller.Submission, issuer claim.Issuer) *caller.Answer {
	h.counters.Add("callsForwarded", 1)
	address, ok := h.issuerAddress(issuer)
	if !ok || submission.Forwarded {
		return singlePartAnswer(caller.ProblemPart{Problem: caller.KeyOutcomeUnknown(string(claim.UnknownIssuerStopped))})
	}
	limit := submission.Profile.WaitLimit() + dispatch.DefaultServiceRunLimit + forwardMargin
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return singlePartAnswer(partFromDecision(h.forwarder.Forward(ctx, h.node.Transport().BaseURL(address), claims.ForwardedCall{
		Key:       submission.IdempotencyKey,
		Team:      submission.Team,
		Profile:   submission.Profile.Name(),
		RequestID: submission.RequestID,
		Path:      submission.Operation,
		Body:      submission.Body,
	})))
}

// issuerAddress returns the peer address of the issuer, if it is live. It compares
// only the host's name, not its incarnation.
func (h *Host) issuerAddress(issuer claim.Issuer) (string, bool) {
	for _, member := range h.node.Live() {
		if member.Name == issuer.Host {
			return member.Address, true
		}
	}
	return "", false
}

// RunForwarded runs a call that another host forwarded and whose claim was granted
// on this host.
func (h *Host) RunForwarded(ctx context.Context, call claims.ForwardedCall, ticket *claims.Ticket) claims.Decision {
	current, ok := h.Profile(call.Profile)
	if !ok || current.Kind() != profile.KindService {
		return claims.Refused{
			Reason:     claim.RefuseIssuerUnreachable,
			RetryAfter: time.Second,
		}
	}
	// The call runs to completion even if the other host cancels it, so that its
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
	return decisionFromPart(part)
}

// decisionFromPart converts an answer into a decision for the host that forwarded
// the call.
func decisionFromPart(part caller.Part) claims.Decision {
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

// isTicketUsed reports whether err means that the ticket was already started.
func isTicketUsed(err error) bool {
	var ticketErr *claims.TicketError
	return errors.As(err, &ticketErr) && ticketErr.Reason == claims.TicketUsed
}
