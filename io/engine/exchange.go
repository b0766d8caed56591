package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/gravitational/trace"

	"cactuswell/io/httpjson"
)

const (
	// maxErrorBytes bounds what is read of an error answer.
	maxErrorBytes = 64 * 1024
	// maxAnswerBytes bounds the answers to control calls.
	maxAnswerBytes = 4 << 20
)

// Exchange sends an attempt's request and checks the head of its answer: the
// status, and that the answer belongs to the attempt. The errors are those of
// this package.
//
// A failure before a connection was had is a *NotStartedError; from then on the
// request may have reached the endpoint.
func Exchange(client *http.Client, request *http.Request, attemptID string) (*http.Response, error) {
	var connected atomic.Bool
	trc := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trc))
	// The transport repeats a POST on its own if it can rewind the body and the
	// request has an Idempotency-Key header. Without GetBody it cannot.
	request.GetBody = nil
	request.Header.Set(HeaderAttemptID, attemptID)
	response, err := client.Do(request)
	if err != nil {
		if !connected.Load() {
			return nil, trace.Wrap(&NotStartedError{Cause: err})
		}
		return nil, trace.Wrap(&IncompleteResponseError{Cause: err})
	}
	if err := checkHead(response, attemptID); err != nil {
		_ = response.Body.Close()
		return nil, trace.Wrap(err)
	}
	return response, nil
}

func checkHead(response *http.Response, attemptID string) error {
	if got := response.Header.Get(HeaderAttemptID); got != attemptID {
		return &AttemptMismatchError{
			Want: attemptID,
			Got:  got,
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
	if response.Header.Get(HeaderNotStarted) == "true" && !status.IsPermanent() {
		return &NotStartedError{
			RetryAfter: httpjson.RetryAfter(response.Header),
			Cause:      status,
		}
	}
	return status
}

// CancelAttempt tells the endpoint at address that nobody waits for an attempt.
func CancelAttempt(ctx context.Context, client *http.Client, baseURL, attemptID string) (CancelResponse, error) {
	var response CancelResponse
	err := callJSON(ctx, client, http.MethodDelete, baseURL+"/v1/attempts/"+attemptID, nil, &response)
	return response, err
}

// FetchLoad reads an endpoint's load report.
func FetchLoad(ctx context.Context, client *http.Client, baseURL string) (LoadReport, error) {
	var response LoadReport
	err := callJSON(ctx, client, http.MethodGet, baseURL+"/v1/load", nil, &response)
	return response, err
}

// callJSON makes a control call whose answer is JSON.
func callJSON(ctx context.Context, client *http.Client, method, address string, body io.Reader, into any) error {
	err := httpjson.Call(ctx, client, method, address, body, maxAnswerBytes, into)
	var status *httpjson.StatusError
	if errors.As(err, &status) {
		var failure ErrorResponse
		_ = json.Unmarshal(status.Body, &failure)
		return trace.Wrap(&StatusError{
			Status: status.Status,
			Code:   failure.Code,
		})
	}
	if err != nil {
		return trace.Wrap(&IncompleteResponseError{Cause: err})
	}
	return nil
}
