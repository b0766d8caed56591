// Package httpjson makes HTTP calls with small responses, which are read into
// memory and usually decoded as JSON.
//
// # Usage
//
//	var limits LimitsResponse
//	err := httpjson.Get(ctx, client, base+"/v1/limits", maxAnswerBytes, &limits)
//
//	body, err := httpjson.Fetch(ctx, client, http.MethodGet, base+"/v1/state", nil, maxAnswerBytes)
//
// A response with a status other than 200 is returned as a *StatusError, and one with an invalid head as a
// *httphead.Error: it says nothing of the call.
package httpjson

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"cactuswell/io/httphead"
	"cactuswell/io/progress"
)

// maxRetryAfter bounds the delay that a response may ask for.
const maxRetryAfter = time.Hour

// maxErrorBytes bounds how much of an error response is read.
const maxErrorBytes = 64 * 1024

// StatusError reports a response with a status other than 200.
type StatusError struct {
	// Path is the path of the request.
	Path   string
	Status int
	// Body is the beginning of the response body, up to 64 KiB.
	Body []byte
}

// Error returns a message with the path and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("answer to %s has status %d", e.Path, e.Status)
}

// TooLargeError reports a response body that is larger than allowed.
type TooLargeError struct {
	// Path is the path of the request.
	Path string
	// Limit is the maximum size in bytes.
	Limit int64
}

// Error returns a message with the path and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("answer to %s is larger than %d bytes", e.Path, e.Limit)
}

// Get decodes a JSON document of at most limit bytes into the given value.
func Get(ctx context.Context, client *http.Client, address string, limit int64, into any) error {
	return Call(ctx, client, http.MethodGet, address, nil, limit, into)
}

// Call makes a request and decodes its JSON response of at most limit bytes into
// the given value.
func Call(
	ctx context.Context, client *http.Client, method, address string, body io.Reader, limit int64, into any,
) error {
	responseBody, err := Fetch(ctx, client, method, address, body, limit)
	if err != nil {
		return err
	}
	return trace.Wrap(json.Unmarshal(responseBody, into))
}

// Fetch makes a request and returns the response body. The error is a *TooLargeError if
// the body has more than limit bytes.
func Fetch(
	ctx context.Context, client *http.Client, method, address string, body io.Reader, limit int64,
) ([]byte, error) {
	responseBody, _, err := FetchWithHeader(ctx, client, method, address, body, limit)
	return responseBody, err
}

// FetchWithHeader is like Fetch, and also returns the response header.
func FetchWithHeader(
	ctx context.Context, client *http.Client, method, address string, body io.Reader, limit int64,
) ([]byte, http.Header, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, body)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	return Do(client, request, limit)
}

// Do sends a request and returns the body and the header of the response. The error is that of
// FetchWithHeader. It marks the progress of the request's context (see package progress).
func Do(client *http.Client, request *http.Request, limit int64) ([]byte, http.Header, error) {
	ctx := request.Context()
	request = request.WithContext(httptrace.WithClientTrace(httphead.WithTrace(ctx), &httptrace.ClientTrace{
		GotConn:              func(httptrace.GotConnInfo) { progress.Mark(ctx) },
		GotFirstResponseByte: func() { progress.Mark(ctx) },
	}))
	response, err := client.Do(request)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := httphead.Check(response); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		errorBody, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return nil, response.Header, trace.Wrap(&StatusError{
			Path:   request.URL.Path,
			Status: response.StatusCode,
			Body:   errorBody,
		})
	}
	responseBody, err := io.ReadAll(io.LimitReader(&markedReader{
		ctx:    ctx,
		reader: response.Body,
	}, limit+1))
	if err == nil && int64(len(responseBody)) > limit {
		err = &TooLargeError{
			Path:  request.URL.Path,
			Limit: limit,
		}
	}
	return responseBody, response.Header, trace.Wrap(err)
}

// markedReader marks the progress of a context with each read that returns bytes.
type markedReader struct {
	ctx    context.Context
	reader io.Reader
}

// Read implements io.Reader.
func (r *markedReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		progress.Mark(r.ctx)
	}
	return n, err
}

// RetryAfter returns the delay in a Retry-After header, which must be in seconds, or
// zero. It returns maxRetryAfter for longer ones.
func RetryAfter(header http.Header) time.Duration {
	// Beyond the range of an integer, Atoi returns the nearest one.
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil && !errors.Is(err, strconv.ErrRange) || seconds < 0 {
		return 0
	}
	return time.Duration(min(seconds, int(maxRetryAfter/time.Second))) * time.Second
}
