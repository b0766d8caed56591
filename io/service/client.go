package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"

	"cactuswell/io/engine"
)

// maxAnswerBytes bounds a service's answer.
const maxAnswerBytes = 4 << 20

// Call is one attempt at a service call.
type Call struct {
	AttemptID string
	BaseURL   string
	Operation string
	Tier      int
	// IdempotencyKey is the idempotency key, or empty.
	IdempotencyKey string
	Body           []byte
	// NewConnection asks for a new connection.
	NewConnection bool
}

// Response is a service's whole answer.
type Response struct {
	ContentType string
	Body        []byte
}

// LengthError says that an answer's length is not known or not the announced
// one, so that it cannot be known to be whole.
type LengthError struct {
	Announced int64
	Got       int
}

// Error describes the fault.
func (*LengthError) Error() string { return "answer is not known to be whole" }

// Client speaks to plain services. It is safe for concurrent use.
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

// Call runs the call and returns the whole answer. The errors are those of
// package engine.
func (c *Client) Call(ctx context.Context, call Call) (Response, error) {
	address := call.BaseURL + "/v1/calls/" + url.PathEscape(call.Operation)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(call.Body))
	if err != nil {
		return Response{}, trace.Wrap(&engine.NotStartedError{Cause: err})
	}
	request.Header.Set("Content-Type", "application/json")
	if call.IdempotencyKey != "" {
		request.Header.Set(HeaderIdempotencyKey, call.IdempotencyKey)
	}
	client := c.pooled
	if call.NewConnection {
		client = c.fresh
	}
	response, err := engine.Exchange(client, request, call.AttemptID)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = response.Body.Close() }()
	return readWhole(response)
}

func readWhole(response *http.Response) (Response, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return Response{}, trace.Wrap(&engine.IncompleteResponseError{Cause: err})
	}
	if response.ContentLength < 0 || int64(len(body)) != response.ContentLength {
		return Response{}, trace.Wrap(&engine.IncompleteResponseError{Cause: &LengthError{
			Announced: response.ContentLength,
			Got:       len(body),
		}})
	}
	return Response{
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

// Cancel tells the service that nobody waits for an attempt.
func (c *Client) Cancel(ctx context.Context, base, attempt string) (engine.CancelResponse, error) {
	return engine.CancelAttempt(ctx, c.pooled, base, attempt)
}

// FetchLoad reads the service's load report.
func (c *Client) FetchLoad(ctx context.Context, base string) (engine.LoadReport, error) {
	return engine.FetchLoad(ctx, c.pooled, base)
}
