package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/gravitational/trace"

	"cactuswell/io/httphead"
	"cactuswell/io/httpjson"
	"cactuswell/io/splice"
)

const (
	// maxErrorBytes bounds how much of an error response is read.
	maxErrorBytes = 64 * 1024
	// maxControlResponseBytes bounds the size of responses to control requests.
	maxControlResponseBytes = 4 << 20
)

// Exchange sends an attempt's request and checks the status of the response, and
// that it belongs to the attempt. The errors are *NotStartedError, *StatusError,
// *IncompleteResponseError and *AttemptMismatchError.
//
// A failure before there was a connection is a *NotStartedError. After that, the
// request may have reached the endpoint.
func Exchange(client *http.Client, request *http.Request, attemptID string) (*http.Response, error) {
	var connected atomic.Bool
	trc := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	request = request.WithContext(httptrace.WithClientTrace(httphead.WithTrace(request.Context()), trc))
	// http.Transport retries a POST by itself if it can rewind the body and the
	// request has an Idempotency-Key header. Without GetBody it cannot rewind it.
	request.GetBody = nil
	request.Header.Set(HeaderAttemptID, attemptID)
	response, err := client.Do(request)
	if err != nil {
		if !connected.Load() {
			return nil, trace.Wrap(&NotStartedError{Cause: err})
		}
		return nil, trace.Wrap(&IncompleteResponseError{Cause: err})
	}
	if err := checkResponseHeader(response, attemptID); err != nil {
		_ = response.Body.Close()
		return nil, trace.Wrap(err)
	}
	return response, nil
}

func checkResponseHeader(response *http.Response, attemptID string) error {
	if err := errors.Join(splice.Check(response), httphead.Check(response)); err != nil {
		return &IncompleteResponseError{Cause: err}
	}
	if ids := response.Header.Values(HeaderAttemptID); len(ids) != 1 || ids[0] != attemptID {
		return &AttemptMismatchError{
			Want: attemptID,
			Got:  strings.Join(ids, ", "),
		}
	}
	if response.StatusCode == http.StatusOK {
		return nil
	}
	var body ErrorResponse
	_ = json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&body)
	status := &StatusError{
		Status: response.StatusCode,
		Code:   body.Code,
	}
	if isRefusal(response) && !status.IsPermanent() {
		return &NotStartedError{
			RetryAfter: httpjson.RetryAfter(response.Header),
			Cause:      status,
		}
	}
	return status
}

// isRefusal reports whether a response to an attempt says that it was not run.
func isRefusal(response *http.Response) bool {
	marks := response.Header.Values(HeaderNotStarted)
	return response.StatusCode >= http.StatusBadRequest && len(marks) == 1 && marks[0] == "true"
}

// CancelAttempt cancels an attempt at the endpoint with the given base URL.
func CancelAttempt(ctx context.Context, client *http.Client, baseURL, attemptID string) (CancelResponse, error) {
	var response CancelResponse
	err := callJSON(ctx, client, http.MethodDelete, baseURL+"/v1/attempts/"+attemptID, nil, &response)
	return response, err
}

// FetchLoad fetches an endpoint's load report.
func FetchLoad(ctx context.Context, client *http.Client, baseURL string) (LoadReport, error) {
	var response LoadReport
	err := callJSON(ctx, client, http.MethodGet, baseURL+"/v1/load", nil, &response)
	return response, err
}

// callJSON sends a control request and decodes its JSON response. The errors are
// *StatusError and *IncompleteResponseError.
func callJSON(ctx context.Context, client *http.Client, method, address string, body io.Reader, into any) error {
	err := httpjson.Call(ctx, client, method, address, body, maxControlResponseBytes, into)
	var status *httpjson.StatusError
	if errors.As(err, &status) {
		var errorBody ErrorResponse
		_ = json.Unmarshal(status.Body, &errorBody)
		return trace.Wrap(&StatusError{
			Status: status.Status,
			Code:   errorBody.Code,
		})
	}
	if err != nil {
		return trace.Wrap(&IncompleteResponseError{Cause: err})
	}
	return nil
}
