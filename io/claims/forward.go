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

// maxForwardBytes bounds a forwarded call and its answer.
const maxForwardBytes = 32 << 20

// ForwardedCall is a call that only the issuer of its key may run.
type ForwardedCall struct {
	Key         string
	Team        string
	Profile     string
	RequestID   string
	Path        string
	ContentType string
	Body        []byte
}

// Fingerprint identifies the request.
func (c ForwardedCall) Fingerprint() claim.Fingerprint {
	return claim.NewFingerprint(c.Profile, c.Path, c.Body)
}

// Forwarder sends calls to the issuers of their keys. It is safe for concurrent
// use.
type Forwarder struct {
	http    connect.HTTPClient
	crossed atomic.Uint64
}

// NewForwarder returns a forwarder over the HTTP client, whose connections must
// have deadlines.
func NewForwarder(httpClient connect.HTTPClient) *Forwarder {
	return &Forwarder{
		http: httpClient,
	}
}

// MismatchedResponses returns how many answers belonged to another request. They were
// dropped.
func (f *Forwarder) MismatchedResponses() uint64 { return f.crossed.Load() }

// Forward sends the call to the issuer at the base URL. The answer is a Replay
// with the whole answer, or an Unknown, Refused, Mismatch or Invalid. A call
// whose answer was lost is Unknown; it may be forwarded again, as the issuer
// runs it once.
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
		return forwardFailed(err)
	}
	if response.Msg.GetRequestId() != call.RequestID {
		f.crossed.Add(1)
		return Unknown{Reason: claim.UnknownForwardUnanswered}
	}
	return fromResponse(response.Msg)
}

// forwardFailed tells a call that was never sent from one whose answer was lost.
func forwardFailed(err error) Decision {
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

func fromResponse(response *nodev1.ForwardResponse) Decision {
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

// Runner runs a call that was granted to this host and that another host
// forwarded. It starts and finishes the ticket as any caller's path does, and
// answers with a Replay that holds the whole answer, or an Unknown or Refused.
type Runner interface {
	RunForwarded(ctx context.Context, call ForwardedCall, ticket *Ticket) Decision
}

// Handler answers forwarded calls.
type Handler struct {
	claims *Claims
	runner Runner
}

// NewHandler returns the path and the handler to mount on the listener for
// other hosts.
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
	response := toResponse(h.run(ctx, call))
	response.RequestId = call.RequestID
	return connect.NewResponse(response), nil
}

func (h *Handler) run(ctx context.Context, call ForwardedCall) Decision {
	if !claim.IsIssued(call.Key) {
		return Invalid{Reason: claim.KeyMalformed}
	}
	switch decision := h.claims.Decide(ctx, call.Team, call.Key, call.Fingerprint()).(type) {
	case Run:
		defer decision.Ticket.Close()
		return h.runner.RunForwarded(ctx, call, decision.Ticket)
	case Forward:
		// The key names another life; calls are forwarded only once.
		return Unknown{Reason: claim.UnknownIssuerStopped}
	default:
		return decision
	}
}

func toResponse(decision Decision) *nodev1.ForwardResponse {
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
