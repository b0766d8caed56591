// Package httpjson makes small control calls whose answers are JSON.
//
// # Usage
//
//	var limits LimitsResponse
//	err := httpjson.Get(ctx, client, base+"/v1/limits", maxAnswerBytes, &limits)
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
	Status int
	// Body is the start of the answer's body.
	Body []byte
}

// Error names the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("answer has status %d", e.Status)
}

// Get reads a document of at most limit bytes.
func Get(ctx context.Context, client *http.Client, address string, limit int64, into any) error {
	return Call(ctx, client, http.MethodGet, address, nil, limit, into)
}

// Call makes a call and reads its answer of at most limit bytes.
func Call(
	ctx context.Context, client *http.Client, method, address string, body io.Reader, limit int64, into any,
) error {
	request, err := http.NewRequestWithContext(ctx, method, address, body)
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return trace.Wrap(&StatusError{
			Status: response.StatusCode,
			Body:   text,
		})
	}
	return trace.Wrap(json.NewDecoder(io.LimitReader(response.Body, limit)).Decode(into))
}

// RetryAfter returns how long an answer asks its caller to stay away, or zero.
func RetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
