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
	Attempt   string
	Base      string
	Operation string
	Tier      int
	// Key is the idempotency key, or empty.
	Key  string
	Body []byte
	// Fresh asks for a new connection.
	Fresh bool
}

// Answer is a service's whole answer.
type Answer struct {
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
func (c *Client) Call(ctx context.Context, call Call) (Answer, error) {
	address := call.Base + "/v1/calls/" + url.PathEscape(call.Operation)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, trace.Wrap(&engine.NotStartedError{Cause: err})
	}
	request.Header.Set("Content-Type", "application/json")
	if call.Key != "" {
		request.Header.Set(HeaderKey, call.Key)
	}
	client := c.pooled
	if call.Fresh {
		client = c.fresh
	}
	response, err := engine.Exchange(client, request, call.Attempt)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	return readWhole(response)
}

func readWhole(response *http.Response) (Answer, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, trace.Wrap(&engine.BrokenError{Cause: err})
	}
	if response.ContentLength < 0 || int64(len(body)) != response.ContentLength {
		return Answer{}, trace.Wrap(&engine.BrokenError{Cause: &LengthError{
			Announced: response.ContentLength,
			Got:       len(body),
		}})
	}
	return Answer{
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

// Cancel tells the service that nobody waits for an attempt.
func (c *Client) Cancel(ctx context.Context, base, attempt string) (engine.CancelResponse, error) {
	return engine.CancelAttempt(ctx, c.pooled, base, attempt)
}

// Load reads the service's load report.
func (c *Client) Load(ctx context.Context, base string) (engine.LoadReport, error) {
	return engine.FetchLoad(ctx, c.pooled, base)
}
