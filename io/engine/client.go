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
	// AttemptID is the id of the attempt, and BaseURL is the engine's base URL.
	AttemptID string
	BaseURL   string
	// Tier is the priority. 0 is the most urgent.
	Tier int
	// Body is the JSON body of the chat request, with streaming on.
	Body []byte
	// NewConnection requests a new connection.
	NewConnection bool
}

// Client is an HTTP client of engines. It is safe for concurrent use.
type Client struct {
	keepAlive *http.Client
	singleUse *http.Client
}

// New returns a client. keepAlive reuses connections. singleUse dials a new one for
// each request: its transport must have keep-alives disabled and dial with
// splice.CheckFirst, or a torn refusal may pass for one of the attempt.
func New(keepAlive, singleUse *http.Client) *Client {
	return &Client{
		keepAlive: keepAlive,
		singleUse: singleUse,
	}
}

// Start sends the call and returns the stream of its answer. The errors are those of
// Exchange.
func (c *Client) Start(ctx context.Context, call Call) (*Stream, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, call.BaseURL+"/v1/chat/completions",
		bytes.NewReader(call.Body))
	if err != nil {
		return nil, trace.Wrap(&NotStartedError{Cause: err})
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderPriority, strconv.Itoa(call.Tier))
	client := c.keepAlive
	if call.NewConnection {
		client = c.singleUse
	}
	response, err := Exchange(client, request, call.AttemptID)
	if err != nil {
		return nil, err
	}
	return newStream(response, call.AttemptID, 0), nil
}

// Resume returns the rest of an attempt's stream, starting with the token at index
// from, over a new connection. It fails with *UnknownAttemptError if the engine does
// not know the attempt.
func (c *Client) Resume(ctx context.Context, baseURL, attemptID string, from int) (*Stream, error) {
	address := fmt.Sprintf("%s/v1/attempts/%s/stream?from=%d", baseURL, attemptID, from)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, trace.Wrap(&IncompleteResponseError{Cause: err})
	}
	response, err := Exchange(c.singleUse, request, attemptID)
	if err != nil {
		return nil, resumeError(err, attemptID)
	}
	return newStream(response, attemptID, from), nil
}

// resumeError converts an error of Exchange for a resume. The attempt was started
// before, so a failure to connect does not prove that nothing was run.
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

// Cancel cancels an attempt at the engine.
func (c *Client) Cancel(ctx context.Context, baseURL, attemptID string) (CancelResponse, error) {
	return CancelAttempt(ctx, c.keepAlive, baseURL, attemptID)
}

// FetchLoad fetches the engine's load report.
func (c *Client) FetchLoad(ctx context.Context, baseURL string) (LoadReport, error) {
	return FetchLoad(ctx, c.keepAlive, baseURL)
}

// FetchCacheEvents fetches the cache events after a sequence number. If there are
// none, the engine waits for the first one, up to the given time, before it responds.
func (c *Client) FetchCacheEvents(
	ctx context.Context, baseURL string, after uint64, wait time.Duration,
) (CacheEventsResponse, error) {
	address := fmt.Sprintf("%s/v1/cacheEvents?after=%d&waitMs=%d", baseURL, after, wait.Milliseconds())
	var response CacheEventsResponse
	err := callJSON(ctx, c.keepAlive, http.MethodGet, address, nil, &response)
	return response, err
}

// FetchState fetches the engine's state over a new connection.
func (c *Client) FetchState(ctx context.Context, baseURL string) (StateResponse, error) {
	var response StateResponse
	err := callJSON(ctx, c.singleUse, http.MethodGet, baseURL+"/v1/state", nil, &response)
	return response, err
}

// SendOrder sends an order to the engine over a new connection. A *StatusError with
// status 409 means that the engine has accepted a higher fencing number before.
func (c *Client) SendOrder(ctx context.Context, baseURL string, order OrderRequest) (OrderResponse, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return OrderResponse{}, trace.Wrap(&NotStartedError{Cause: err})
	}
	var response OrderResponse
	err = callJSON(ctx, c.singleUse, http.MethodPost, baseURL+"/v1/orders", bytes.NewReader(body), &response)
	return response, err
}
