package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"cactuswell/core/dispatch"
)

// Code names a problem in a way that programs can rely on.
type Code string

// The codes of problems found before a request is taken.
const (
	CodeMalformed       Code = "malformedRequest"
	CodeTooLarge        Code = "requestTooLarge"
	CodeUnknownProfile  Code = "unknownProfile"
	CodeMissingProfile  Code = "missingProfile"
	CodeWrongKind       Code = "wrongKind"
	CodeBadHeader       Code = "badHeader"
	CodeNotFound        Code = "notFound"
	CodeNotReady        Code = "hostNotReady"
	CodeKeyReused       Code = "keyReusedWithOtherRequest"
	CodeKeyUnknown      Code = "keyOutcomeUnknown"
	CodeKeyInProgress   Code = "keyInProgress"
	CodeClaimRefused    Code = "claimNotPossible"
	CodeForwardFailed   Code = "forwardFailed"
	CodeSlowCaller      Code = "callerTooSlow"
	CodeRequestTooSlow  Code = "requestTooSlow"
	CodeEndpointRefused Code = "endpointRejectedRequest"
)

// Problem tells a caller why there is no whole answer, what to do, and whether
// the request was run.
type Problem struct {
	Status  int    `json:"-"`
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Action says what the caller can do.
	Action string `json:"action"`
	// Ran is "notRun", a promise, or "unknown".
	Ran       dispatch.Ran `json:"ran"`
	RequestID string       `json:"requestId,omitempty"`
	// RetryAfterMs is when to come back, in milliseconds, or zero.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// problemBody wraps a problem in the form that chat clients expect.
type problemBody struct {
	Error Problem `json:"error"`
}

const (
	actionRetry     = "retry after the given time; the request was not run"
	actionAsk       = "ask for the outcome before trying again; the request may have run"
	actionFix       = "correct the request; it was not run"
	actionRetryOnce = "retry with the same idempotency key"
)

// Refusal returns the problem that a refused request is answered with.
func Refusal(reason dispatch.RefuseReason, ran dispatch.Ran, retryAfter time.Duration) Problem {
	problem := Problem{
		Status:       http.StatusServiceUnavailable,
		Code:         Code(reason),
		Message:      refusalTexts[reason],
		Action:       actionRetry,
		Ran:          ran,
		RetryAfterMs: retryAfter.Milliseconds(),
	}
	if ran == dispatch.RanUnknown {
		problem.Status = http.StatusBadGateway
		problem.Action = actionAsk
	}
	switch reason {
	case dispatch.RefuseTeamOverItsPart:
		problem.Status = http.StatusTooManyRequests
	case dispatch.RefuseTimedOut:
		problem.Status = http.StatusGatewayTimeout
	case dispatch.RefuseEndpointError:
		problem.Status = http.StatusBadGateway
	}
	return problem
}

// SlowCaller returns the problem that ends the answer to a caller who does not
// read it.
func SlowCaller() Problem {
	return Problem{
		Status:  http.StatusGatewayTimeout,
		Code:    CodeSlowCaller,
		Message: "the answer was not read in time",
		Action:  actionAsk,
		Ran:     dispatch.RanUnknown,
	}
}

// fault returns the problem of a request that was not taken.
func fault(status int, code Code, message string) Problem {
	return Problem{
		Status:  status,
		Code:    code,
		Message: message,
		Action:  actionFix,
		Ran:     dispatch.NotRun,
	}
}

// write answers with the problem.
func (p Problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if p.RetryAfterMs > 0 {
		seconds := math.Ceil(float64(p.RetryAfterMs) / 1000)
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(problemBody{
		Error: p,
	})
}
