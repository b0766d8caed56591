package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"cactuswell/core/profile"
	"cactuswell/core/record"
	"cactuswell/io/configuration"
	"cactuswell/io/operator/operatorv1"
	"cactuswell/io/operator/operatorv1/operatorv1connect"
)

const (
	// attemptTimeout is the timeout of one attempt of a change.
	attemptTimeout = 15 * time.Second
	// retryDelay is the delay between two attempts of a change.
	retryDelay = 500 * time.Millisecond
	// pollInterval is the delay between two queries of whether a change is in force.
	pollInterval = 200 * time.Millisecond
)

// Client is a client of a host's OperatorService, for the command line.
type Client struct {
	service operatorv1connect.OperatorServiceClient
}

// maxResponseBytes bounds a response of a host, of which a dump is the largest.
const maxResponseBytes = 64 << 20

// AcceptedChange holds the revision and the offset of an accepted change.
type AcceptedChange struct {
	Revision uint64
	Offset   record.Offset
}

// NewClient returns a client for the host at the base URL.
func NewClient(base string, httpClient *http.Client) *Client {
	return &Client{
		service: operatorv1connect.NewOperatorServiceClient(httpClient, base, connect.WithReadMaxBytes(maxResponseBytes)),
	}
}

// Service returns the generated client, for calls that Client does not wrap.
func (c *Client) Service() operatorv1connect.OperatorServiceClient { return c.service }

// SetProfile creates or replaces a profile. The base is the revision that the change
// was made from, or zero for a new name. The error is a *ConflictError if the base
// is no longer current.
func (c *Client) SetProfile(ctx context.Context, spec profile.Spec, base uint64, author string) (AcceptedChange, error) {
	text, err := json.Marshal(spec)
	if err != nil {
		return AcceptedChange{}, trace.Wrap(&SpecError{Cause: err})
	}
	return c.changeProfile(ctx, &operatorv1.ChangeProfileRequest{
		ChangeId:     configuration.NewID(),
		Name:         spec.Name,
		BaseRevision: base,
		Spec:         string(text),
		Author:       author,
	})
}

// DeleteProfile deletes a profile. The error is a *ConflictError if the base is
// no longer current.
func (c *Client) DeleteProfile(ctx context.Context, name string, base uint64, author string) (AcceptedChange, error) {
	return c.changeProfile(ctx, &operatorv1.ChangeProfileRequest{
		ChangeId:     configuration.NewID(),
		Name:         name,
		BaseRevision: base,
		Delete:       true,
		Author:       author,
	})
}

func (c *Client) changeProfile(ctx context.Context, request *operatorv1.ChangeProfileRequest) (AcceptedChange, error) {
	response, err := retry(ctx, func(ctx context.Context) (*connect.Response[operatorv1.ChangeProfileResponse], error) {
		return c.service.ChangeProfile(ctx, connect.NewRequest(request))
	})
	if err != nil {
		return AcceptedChange{}, trace.Wrap(fromConnectError(request.GetName(), err))
	}
	return AcceptedChange{
		Revision: response.Msg.GetProfile().GetRevision(),
		Offset:   record.Offset(response.Msg.GetOffset()),
	}, nil
}

// ChangeEndpoint drains or resumes one incarnation of an endpoint and returns the
// offset of the change.
func (c *Client) ChangeEndpoint(
	ctx context.Context, name string, incarnation uint64, drained bool, author string,
) (record.Offset, error) {
	request := &operatorv1.ChangeEndpointRequest{
		ChangeId:    configuration.NewID(),
		Name:        name,
		Incarnation: incarnation,
		Drained:     drained,
		Author:      author,
	}
	response, err := retry(ctx, func(ctx context.Context) (*connect.Response[operatorv1.ChangeEndpointResponse], error) {
		return c.service.ChangeEndpoint(ctx, connect.NewRequest(request))
	})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return record.Offset(response.Msg.GetOffset()), nil
}

// AwaitInForce waits until every live host has applied the offset. If ctx is done
// first, the error is a *LaggingError with the hosts that have not.
func (c *Client) AwaitInForce(ctx context.Context, offset record.Offset) error {
	var lagging []string
	for {
		response, err := c.service.InForce(ctx, connect.NewRequest(&operatorv1.InForceRequest{
			Offset: int64(offset),
		}))
		if err == nil {
			lagging = response.Msg.GetLagging()
			if len(lagging) == 0 {
				return nil
			}
		}
		if !sleep(ctx, pollInterval) {
			return trace.Wrap(&LaggingError{
				Hosts: lagging,
				Cause: ctx.Err(),
			})
		}
	}
}

// retry repeats a call while it is unknown whether it took effect. The change ID in
// the request makes the call idempotent.
func retry[A any](ctx context.Context, call func(context.Context) (A, error)) (A, error) {
	for {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		response, err := call(attemptCtx)
		cancel()
		switch connect.CodeOf(err) {
		case connect.CodeUnknown, connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled:
			if err == nil || !sleep(ctx, retryDelay) {
				return response, err
			}
		default:
			return response, err
		}
	}
}

// sleep waits and reports whether ctx is not done.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
