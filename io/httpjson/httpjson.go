// Package httpjson makes small control calls whose answers are read whole, mostly as
// JSON.
//
// # Usage
//
//	var limits LimitsResponse
//	err := httpjson.Get(ctx, client, base+"/v1/limits", maxAnswerBytes, &limits)
//
//	answer, err := httpjson.Fetch(ctx, client, http.MethodGet, base+"/v1/state", nil, maxAnswerBytes)
//
// A status other than 200 is a *StatusError.
package httpjson

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// maxErrorBytes bounds what is read of an error answer.
const maxErrorBytes = 64 * 1024

// StatusError is an answer with a status other than 200.
type StatusError struct {
	// Path is that of the call.
	Path   string
	Status int
	// Body is the start of the answer's body.
	Body []byte
}

// Error names the call and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("answer to %s has status %d", e.Path, e.Status)
}

// Get reads a document of at most limit bytes.
func Get(ctx context.Context, client *http.Client, address string, limit int64, into any) error {
	return Call(ctx, client, http.MethodGet, address, nil, limit, into)
}

// Call makes a call and reads its answer of at most limit bytes.
func Call(
	ctx context.Context, client *http.Client, method, address string, body io.Reader, limit int64, into any,
) error {
	answer, err := Fetch(ctx, client, method, address, body, limit)
	if err != nil {
		return err
	}
	return trace.Wrap(json.Unmarshal(answer, into))
}

// Fetch makes a call and returns its answer of at most limit bytes.
func Fetch(
	ctx context.Context, client *http.Client, method, address string, body io.Reader, limit int64,
) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return nil, trace.Wrap(&StatusError{
			Path:   request.URL.Path,
			Status: response.StatusCode,
			Body:   text,
		})
	}
	answer, err := io.ReadAll(io.LimitReader(response.Body, limit))
	return answer, trace.Wrap(err)
}

// RetryAfter returns how long an answer asks its caller to stay away, or zero.
func RetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
