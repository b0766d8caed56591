package claims

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"cactuswell/core/claim"
	"cactuswell/io/node/nodev1"
	"cactuswell/io/node/nodev1/nodev1connect"
)

// maxForwardBytes is the maximum size of a forwarded call and of its response.
const maxForwardBytes = 32 << 20

// ForwardedCall is a call that is forwarded to the issuer of its key, the only
// host that may run it.
type ForwardedCall struct {
	Key         string
	Team        string
	Profile     string
	RequestID   string
	Path        string
	ContentType string
	Body        []byte
}

// Fingerprint returns the fingerprint of the request.
func (c ForwardedCall) Fingerprint() claim.Fingerprint {
	return claim.NewFingerprint(c.Profile, c.Path, c.Body)
}

// Forwarder forwards calls to the issuers of their keys. It is safe for
// concurrent use.
type Forwarder struct {
	http                connect.HTTPClient
	mismatchedResponses atomic.Uint64
}

// NewForwarder returns a forwarder that uses the HTTP client, whose connections
// must have deadlines.
func NewForwarder(httpClient connect.HTTPClient) *Forwarder {
	return &Forwarder{
		http: httpClient,
	}
}

// MismatchedResponses returns the number of responses that belonged to another
// request. They were dropped.
func (f *Forwarder) MismatchedResponses() uint64 { return f.mismatchedResponses.Load() }

// Forward forwards the call to the issuer at the base URL. The result is a
// Replay with the complete answer, or an Unknown, Refused or Mismatch. A key
// that the issuer finds invalid leads to a Refused with the issuer's reason.
// The result is Unknown if no valid response was received; the call may then be
// forwarded again, as the issuer runs it at most once.
func (f *Forwarder) Forward(ctx context.Context, baseURL string, call ForwardedCall) Decision {
	client := nodev1connect.NewCallsServiceClient(f.http, baseURL, connect.WithReadMaxBytes(maxForwardBytes))
	response, err := client.Forward(ctx, connect.NewRequest(&nodev1.ForwardRequest{
		Key:         call.Key,
		Profile:     call.Profile,
		Team:        call.Team,
		RequestId:   call.RequestID,
		Path:        call.Path,
		Body:        call.Body,
		ContentType: call.ContentType,
	}))
	if err != nil {
		return decisionForError(err)
	}
	if response.Msg.GetRequestId() != call.RequestID {
		f.mismatchedResponses.Add(1)
		return Unknown{Reason: claim.UnknownForwardUnanswered}
	}
	return decisionFromResponse(response.Msg)
}

// decisionForError returns the decision after a failed call of the issuer:
// Refused if no connection was made, so that the call was not sent, and Unknown
// otherwise.
func decisionForError(err error) Decision {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return Refused{
			Reason:       claim.RefuseIssuerUnreachable,
			KeyUnchecked: true,
			RetryAfter:   time.Second,
		}
	}
	return Unknown{Reason: claim.UnknownForwardUnanswered}
}

func decisionFromResponse(response *nodev1.ForwardResponse) Decision {
	switch {
	case response.GetMismatch():
		return Mismatch{}
	case response.GetRan() == nodev1.Ran_RAN_COMPLETED:
		return Replay{
			Outcome: claim.Outcome{
				Status:      int(response.GetStatus()),
				ContentType: response.GetContentType(),
				Body:        response.GetBody(),
				BodyOmitted: response.GetBodyOmitted(),
			},
		}
	case response.GetRan() == nodev1.Ran_RAN_NOT_RUN:
		return Refused{
			Reason:       claim.RefuseReason(response.GetReason()),
			KeyUnchecked: response.GetKeyUnchecked(),
			RetryAfter:   time.Duration(response.GetRetryAfterMs()) * time.Millisecond,
		}
	default:
		return Unknown{Reason: claim.UnknownReason(response.GetReason())}
	}
}

// Runner runs calls that another host forwarded and that were granted on this
// host. It must start and finish the ticket as for any other call, and returns
// a Replay with the complete answer, or an Unknown or Refused.
type Runner interface {
	RunForwarded(ctx context.Context, call ForwardedCall, ticket *Ticket) Decision
}

// Handler serves the calls that other hosts forward to this host.
type Handler struct {
	claims *Claims
	runner Runner
}

// NewHandler returns the path and the HTTP handler to mount on the peer
// listener.
func NewHandler(claims *Claims, runner Runner) (string, http.Handler) {
	handler := &Handler{
		claims: claims,
		runner: runner,
	}
	return nodev1connect.NewCallsServiceHandler(handler, connect.WithReadMaxBytes(maxForwardBytes))
}

// Forward implements nodev1connect.CallsServiceHandler.
func (h *Handler) Forward(
	ctx context.Context, request *connect.Request[nodev1.ForwardRequest],
) (*connect.Response[nodev1.ForwardResponse], error) {
	call := ForwardedCall{
		Key:         request.Msg.GetKey(),
		Team:        request.Msg.GetTeam(),
		Profile:     request.Msg.GetProfile(),
		RequestID:   request.Msg.GetRequestId(),
		Path:        request.Msg.GetPath(),
		ContentType: request.Msg.GetContentType(),
		Body:        request.Msg.GetBody(),
	}
	response := responseForDecision(h.handle(ctx, call))
	response.RequestId = call.RequestID
	return connect.NewResponse(response), nil
}

func (h *Handler) handle(ctx context.Context, call ForwardedCall) Decision {
	if !claim.IsIssued(call.Key) {
		return Invalid{Reason: claim.KeyMalformed}
	}
	switch decision := h.claims.Decide(ctx, call.Team, call.Key, call.Fingerprint()).(type) {
	case Run:
		defer decision.Ticket.Close()
		return h.runner.RunForwarded(ctx, call, decision.Ticket)
	case Forward:
		// The key was issued by another instance, and calls are forwarded only
		// once.
		return Unknown{Reason: claim.UnknownIssuerStopped}
	default:
		return decision
	}
}

func responseForDecision(decision Decision) *nodev1.ForwardResponse {
	switch decision := decision.(type) {
	case Replay:
		return &nodev1.ForwardResponse{
			Ran:         nodev1.Ran_RAN_COMPLETED,
			Status:      uint32(decision.Outcome.Status),
			Body:        decision.Outcome.Body,
			ContentType: decision.Outcome.ContentType,
			BodyOmitted: decision.Outcome.BodyOmitted,
		}
	case Refused:
		return &nodev1.ForwardResponse{
			Ran:          nodev1.Ran_RAN_NOT_RUN,
			Reason:       string(decision.Reason),
			KeyUnchecked: decision.KeyUnchecked,
			RetryAfterMs: decision.RetryAfter.Milliseconds(),
		}
	case Invalid:
		return &nodev1.ForwardResponse{
			Ran:    nodev1.Ran_RAN_NOT_RUN,
			Reason: string(decision.Reason),
		}
	case Mismatch:
		return &nodev1.ForwardResponse{
			Ran:      nodev1.Ran_RAN_NOT_RUN,
			Mismatch: true,
		}
	case Unknown:
		return &nodev1.ForwardResponse{
			Reason: string(decision.Reason),
		}
	default:
		return &nodev1.ForwardResponse{
			Reason: string(claim.UnknownForwardUnanswered),
		}
	}
}
