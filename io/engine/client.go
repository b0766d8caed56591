package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// Call is one attempt at a chat completion.
type Call struct {
	// AttemptID is the attempt's id; Base is the engine's base URL.
	AttemptID string
	BaseURL   string
	// Tier is the priority, 0 being the most urgent.
	Tier int
	// Body is the chat request with streaming on.
	Body []byte
	// NewConnection asks for a new connection.
	NewConnection bool
}

// Client speaks to engines. It is safe for concurrent use.
type Client struct {
	pooled *http.Client
	fresh  *http.Client
}

// New returns a client that keeps connections in pooled and makes a new one for
// each call through fresh, whose transport must not keep connections alive.
func New(pooled, fresh *http.Client) *Client {
	return &Client{
		pooled: pooled,
		fresh:  fresh,
	}
}

// Start sends the call and returns the stream of its answer. The errors are
// those of this package.
func (c *Client) Start(ctx context.Context, call Call) (*Stream, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, call.BaseURL+"/v1/chat/completions",
		bytes.NewReader(call.Body))
	if err != nil {
		return nil, trace.Wrap(&NotStartedError{Cause: err})
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderPriority, strconv.Itoa(call.Tier))
	client := c.pooled
	if call.NewConnection {
		client = c.fresh
	}
	response, err := Exchange(client, request, call.AttemptID)
	if err != nil {
		return nil, err
	}
	return newStream(response, call.AttemptID, 0), nil
}

// Resume returns the rest of an attempt's stream, from token from on, over a
// new connection. It fails with *UnknownAttemptError if the engine does not
// know the attempt.
func (c *Client) Resume(ctx context.Context, baseURL, attemptID string, from int) (*Stream, error) {
	address := fmt.Sprintf("%s/v1/attempts/%s/stream?from=%d", baseURL, attemptID, from)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, trace.Wrap(&IncompleteResponseError{Cause: err})
	}
	response, err := Exchange(c.fresh, request, attemptID)
	if err != nil {
		return nil, resumeError(err, attemptID)
	}
	return newStream(response, attemptID, from), nil
}

// resumeError restates a failed resume: the attempt itself was started before,
// so a failure to connect says nothing about it.
func resumeError(err error, attemptID string) error {
	switch cause := trace.Unwrap(err).(type) { //nolint:errorlint // Exchange returns these, wrapped once.
	case *StatusError:
		if cause.Status == http.StatusNotFound {
			return trace.Wrap(&UnknownAttemptError{AttemptID: attemptID})
		}
	case *NotStartedError:
		return trace.Wrap(&IncompleteResponseError{Cause: cause.Cause})
	}
	return err
}

// Cancel tells the engine that nobody waits for an attempt.
func (c *Client) Cancel(ctx context.Context, baseURL, attemptID string) (CancelResponse, error) {
	return CancelAttempt(ctx, c.pooled, baseURL, attemptID)
}

// FetchLoad reads the engine's load report.
func (c *Client) FetchLoad(ctx context.Context, baseURL string) (LoadReport, error) {
	return FetchLoad(ctx, c.pooled, baseURL)
}

// FetchCacheEvents reads the cache events after a sequence, waiting for the first
// one at most wait.
func (c *Client) FetchCacheEvents(
	ctx context.Context, baseURL string, after uint64, wait time.Duration,
) (CacheEventsResponse, error) {
	address := fmt.Sprintf("%s/v1/cacheEvents?after=%d&waitMs=%d", baseURL, after, wait.Milliseconds())
	var response CacheEventsResponse
	err := callJSON(ctx, c.pooled, http.MethodGet, address, nil, &response)
	return response, err
}

// FetchState reads what the engine holds, over a new connection.
func (c *Client) FetchState(ctx context.Context, baseURL string) (StateResponse, error) {
	var response StateResponse
	err := callJSON(ctx, c.fresh, http.MethodGet, baseURL+"/v1/state", nil, &response)
	return response, err
}

// SendOrder gives the engine an order, over a new connection. A *StatusError with
// status 409 says that the fencing number is old.
func (c *Client) SendOrder(ctx context.Context, baseURL string, order OrderRequest) (OrderResponse, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return OrderResponse{}, trace.Wrap(&NotStartedError{Cause: err})
	}
	var response OrderResponse
	err = callJSON(ctx, c.fresh, http.MethodPost, baseURL+"/v1/orders", bytes.NewReader(body), &response)
	return response, err
}
