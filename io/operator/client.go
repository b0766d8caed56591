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
	// attemptTimeout bounds one call of a change that may be repeated.
	attemptTimeout = 15 * time.Second
	// repeatDelay separates the calls of one change.
	repeatDelay = 500 * time.Millisecond
	// pollDelay separates the questions whether a change is in force.
	pollDelay = 200 * time.Millisecond
)

// Client is the command line's client of a host.
type Client struct {
	service operatorv1connect.OperatorServiceClient
}

// AcceptedChange is an accepted change.
type AcceptedChange struct {
	Revision uint64
	Offset   record.Offset
}

// NewClient returns a client of the host at the base URL.
func NewClient(base string, httpClient *http.Client) *Client {
	return &Client{
		service: operatorv1connect.NewOperatorServiceClient(httpClient, base),
	}
}

// Service returns the generated client, for the calls that need no help.
func (c *Client) Service() operatorv1connect.OperatorServiceClient { return c.service }

// SetProfile replaces the text of a profile. The base is the revision that the
// text was made from, or zero for a new name. The error is a *ConflictError if
// the base is no longer current.
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
	response, err := repeat(ctx, func(ctx context.Context) (*connect.Response[operatorv1.ChangeProfileResponse], error) {
		return c.service.ChangeProfile(ctx, connect.NewRequest(request))
	})
	if err != nil {
		return AcceptedChange{}, trace.Wrap(fromConnect(request.GetName(), err))
	}
	return AcceptedChange{
		Revision: response.Msg.GetProfile().GetRevision(),
		Offset:   record.Offset(response.Msg.GetOffset()),
	}, nil
}

// ChangeEndpoint drains an endpoint's incarnation or resumes it, and returns the
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
	response, err := repeat(ctx, func(ctx context.Context) (*connect.Response[operatorv1.ChangeEndpointResponse], error) {
		return c.service.ChangeEndpoint(ctx, connect.NewRequest(request))
	})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return record.Offset(response.Msg.GetOffset()), nil
}

// AwaitInForce returns once every live host has applied the offset. When ctx
// ends first the error is a *LaggingError that names the others.
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
		if !pause(ctx, pollDelay) {
			return trace.Wrap(&LaggingError{
				Hosts: lagging,
				Cause: ctx.Err(),
			})
		}
	}
}

// repeat makes a call again while it is unknown whether it took effect, which
// the change id in it makes harmless.
func repeat[A any](ctx context.Context, call func(context.Context) (A, error)) (A, error) {
	for {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		answer, err := call(attempt)
		cancel()
		switch connect.CodeOf(err) {
		case connect.CodeUnknown, connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled:
			if err == nil || !pause(ctx, repeatDelay) {
				return answer, err
			}
		default:
			return answer, err
		}
	}
}

// pause waits and reports whether ctx is still live.
func pause(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
