package service

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"cactuswell/core/wholeness"
	"cactuswell/io/engine"
	"cactuswell/io/splice"
)

// maxResponseBytes bounds the size of a service's response.
const maxResponseBytes = 4 << 20

// followingTimeout bounds the wait for bytes after a body that is no JSON.
const followingTimeout = 20 * time.Millisecond

// Call is one attempt at a service call.
type Call struct {
	AttemptID string
	BaseURL   string
	Operation string
	Tier      int
	// IdempotencyKey is the idempotency key, or empty.
	IdempotencyKey string
	Body           []byte
	// NewConnection requests a new connection.
	NewConnection bool
}

// Response is the complete response of a service.
type Response struct {
	ContentType string
	Body        []byte
}

// LengthError means that a response has no Content-Length, one over the limit, or has
// another length, so that it may be incomplete.
type LengthError struct {
	Announced int64
	Got       int
}

// Error implements error.
func (*LengthError) Error() string {
	return "response may be incomplete: it has no Content-Length, a too large one, or another length"
}

// MalformedBodyError means that the body of a response is no JSON, so that it may be that of
// several responses.
type MalformedBodyError struct{}

// Error implements error.
func (*MalformedBodyError) Error() string { return "the body of the response is no JSON" }

// Client is an HTTP client of plain services. It is safe for concurrent use.
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

// Call sends the call and returns the complete response. The errors are those of
// engine.Exchange.
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
	client := c.keepAlive
	if call.NewConnection {
		client = c.singleUse
	}
	var conn *splice.WatchedConn
	request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, _ = info.Conn.(*splice.WatchedConn); conn != nil {
				conn.Begin()
			}
		},
	}))
	response, err := engine.Exchange(client, request, call.AttemptID)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = response.Body.Close() }()
	return readBody(response, conn, call.AttemptID)
}

func readBody(response *http.Response, conn *splice.WatchedConn, attemptID string) (Response, error) {
	// A body without a length may be incomplete however it ends.
	if response.ContentLength < 0 || response.ContentLength > maxResponseBytes {
		return Response{}, trace.Wrap(&engine.IncompleteResponseError{Cause: &LengthError{Announced: response.ContentLength}})
	}
	body, following, err := readWhole(response, conn, attemptID)
	if err != nil {
		return Response{}, trace.Wrap(&engine.IncompleteResponseError{Cause: err})
	}
	if int64(len(body)) != response.ContentLength {
		return Response{}, trace.Wrap(&engine.IncompleteResponseError{Cause: &LengthError{
			Announced: response.ContentLength,
			Got:       len(body),
		}})
	}
	contentType := response.Header.Get("Content-Type")
	if err := checkBody(body, following, contentType, attemptID); err != nil {
		return Response{}, trace.Wrap(&engine.IncompleteResponseError{Cause: err})
	}
	return Response{
		ContentType: contentType,
		Body:        body,
	}, nil
}

// readWhole returns the body of a response with a length and, unless the body is JSON, the bytes that follow
// it. The connection may be nil.
func readWhole(response *http.Response, conn *splice.WatchedConn, attemptID string) (body, following []byte, err error) {
	if conn == nil || response.ContentLength == 0 || isJSON(response.Header.Get("Content-Type")) {
		body, err = io.ReadAll(response.Body)
		return body, nil, err
	}
	// With the last byte the connection is read by the transport again.
	body, err = io.ReadAll(io.LimitReader(response.Body, response.ContentLength-1))
	if err != nil {
		return nil, nil, err
	}
	wait := time.Duration(0)
	watched := newBody(attemptID)
	watched.Observe(body)
	if watched.NeedsFollowing() {
		wait = followingTimeout
	}
	following = conn.Following(response.ContentLength, wait)
	last, err := io.ReadAll(response.Body)
	return append(body, last...), following, err
}

// newBody returns the decision on the body of an attempt's response.
func newBody(attemptID string) *wholeness.Body {
	return wholeness.NewBody(wholeness.Settings{
		Framing:        wholeness.ByLength,
		RequestID:      attemptID,
		RequestIDField: engine.HeaderAttemptID,
	})
}

// checkBody returns an error if a body holds a part of the next response on the connection, from which the parser takes
// what a torn body lacks. A header within or after JSON makes it invalid, as strings hold no line breaks. In other bodies
// a response to another attempt is found by the bytes that follow. The error is a *MalformedBodyError or a
// *wholeness.SplicedError.
func checkBody(body, following []byte, contentType, attemptID string) error {
	if isJSON(contentType) {
		if !json.Valid(body) {
			return &MalformedBodyError{}
		}
		return nil
	}
	watched := newBody(attemptID)
	watched.Observe(body)
	_, err := watched.End(following)
	return err
}

// isJSON reports whether a body of a type is passed on as JSON, as one without a type is.
func isJSON(contentType string) bool {
	mediaType, _, err := mime.ParseMediaType(contentType)
	return contentType == "" || err == nil && (mediaType == "application/json" || strings.HasSuffix(mediaType, "+json"))
}

// Cancel cancels an attempt at the service.
func (c *Client) Cancel(ctx context.Context, baseURL, attemptID string) (engine.CancelResponse, error) {
	return engine.CancelAttempt(ctx, c.keepAlive, baseURL, attemptID)
}

// FetchLoad fetches the service's load report.
func (c *Client) FetchLoad(ctx context.Context, baseURL string) (engine.LoadReport, error) {
	return engine.FetchLoad(ctx, c.keepAlive, baseURL)
}
