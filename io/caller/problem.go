package caller

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"cactuswell/core/dispatch"
)

// Code identifies a kind of problem. Programs may rely on it.
type Code string

// The codes of problems other than refusals. The code of a refusal is its
// dispatch.RefuseReason.
const (
	CodeMalformed         Code = "malformedRequest"
	CodeTooLarge          Code = "requestTooLarge"
	CodeUnknownProfile    Code = "unknownProfile"
	CodeMissingProfile    Code = "missingProfile"
	CodeWrongKind         Code = "wrongKind"
	CodeBadHeader         Code = "badHeader"
	CodeNotFound          Code = "notFound"
	CodeNotReady          Code = "hostNotReady"
	CodeKeyReused         Code = "keyReusedWithOtherRequest"
	CodeKeyInvalid        Code = "keyInvalid"
	CodeKeyOutcomeUnknown Code = "keyOutcomeUnknown"
	CodeAnswerNotKept     Code = "answerNotKept"
	CodeClaimRefused      Code = "claimNotPossible"
	CodeSlowCaller        Code = "callerTooSlow"
	CodeRequestTooSlow    Code = "requestTooSlow"
)

// Problem is the error response to a caller. It states why there is no complete
// answer, what the caller can do, and whether the request was run.
type Problem struct {
	Status  int    `json:"-"`
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Action states what the caller can do.
	Action string `json:"action"`
	// Ran is "notRun", which guarantees that no endpoint has run the request, or
	// "unknown".
	Ran       dispatch.Execution `json:"ran"`
	RequestID string             `json:"requestId,omitempty"`
	// Reason details the code for some codes.
	Reason string `json:"reason,omitempty"`
	// KeyUnchecked is set if the idempotency key could not be looked up: this
	// request was not run, but an earlier one with the same key may have been.
	KeyUnchecked bool `json:"keyUnchecked,omitempty"`
	// RetryAfterMs is the delay before a retry in milliseconds, or zero.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// problemBody is the JSON object around a problem. Chat clients expect this form.
type problemBody struct {
	Error Problem `json:"error"`
}

const (
	actionRetry        = "retry after the given time; the request was not run"
	actionCheckOutcome = "ask for the outcome before trying again; the request may have run"
	actionCorrect      = "correct the request; it was not run"
	actionRetryWithKey = "retry with the same idempotency key"
)

// Refusal returns the problem for a refused request. It promises that the request was not run only
// if ran is dispatch.NotRun.
func Refusal(reason dispatch.RefuseReason, ran dispatch.Execution, retryAfter time.Duration) Problem {
	problem := Problem{
		Status:       http.StatusBadGateway,
		Code:         Code(reason),
		Message:      refusalTexts[reason],
		Action:       actionCheckOutcome,
		Ran:          dispatch.MayHaveRun,
		RetryAfterMs: retryAfter.Milliseconds(),
	}
	if ran == dispatch.NotRun {
		problem.Status = http.StatusServiceUnavailable
		problem.Action = actionRetry
		problem.Ran = dispatch.NotRun
	}
	switch {
	case reason == dispatch.RefuseTeamQueueFull && ran == dispatch.NotRun:
		problem.Status = http.StatusTooManyRequests
	case reason == dispatch.RefuseTimedOut:
		problem.Status = http.StatusGatewayTimeout
	case reason == dispatch.RefuseEndpointError:
		problem.Status = http.StatusBadGateway
	}
	return problem
}

// SlowCaller returns the problem that ends the answer to a caller that reads it too
// slowly.
func SlowCaller() Problem {
	return Problem{
		Status:  http.StatusGatewayTimeout,
		Code:    CodeSlowCaller,
		Message: "the answer was not read in time",
		Action:  actionCheckOutcome,
		Ran:     dispatch.MayHaveRun,
	}
}

// ClaimRefused returns the problem for a call whose key could not be claimed.
func ClaimRefused(reason string, unchecked bool, retryAfter time.Duration) Problem {
	return Problem{
		Status:       http.StatusServiceUnavailable,
		Code:         CodeClaimRefused,
		Message:      "the call could not be claimed, so it was not sent",
		Action:       actionRetryWithKey,
		Ran:          dispatch.NotRun,
		Reason:       reason,
		KeyUnchecked: unchecked,
		RetryAfterMs: retryAfter.Milliseconds(),
	}
}

// KeyReused returns the problem for a key that was first used for another request.
func KeyReused() Problem {
	return rejection(http.StatusUnprocessableEntity, CodeKeyReused, "the idempotency key was first used for another request")
}

// KeyInvalid returns the problem for a key that cannot be used.
func KeyInvalid(reason string) Problem {
	problem := rejection(http.StatusBadRequest, CodeKeyInvalid, "the idempotency key cannot be used")
	problem.Reason = reason
	return problem
}

// KeyOutcomeUnknown returns the problem for a call whose key was granted before and
// whose outcome is not known on this host. It is never run again.
func KeyOutcomeUnknown(reason string) Problem {
	return Problem{
		Status:  http.StatusConflict,
		Code:    CodeKeyOutcomeUnknown,
		Message: "a call with this key was begun and its outcome is not known here; it is not run again",
		Action:  actionCheckOutcome,
		Ran:     dispatch.MayHaveRun,
		Reason:  reason,
	}
}

// AnswerNotKept returns the problem for a call that was run before and whose answer
// is not kept.
func AnswerNotKept() Problem {
	return Problem{
		Status:  http.StatusConflict,
		Code:    CodeAnswerNotKept,
		Message: "the call with this key was run to its end; its answer is not kept",
		Action:  actionCheckOutcome,
		Ran:     dispatch.MayHaveRun,
	}
}

// rejection returns the problem for a request that was not accepted. Its action is
// to correct the request.
func rejection(status int, code Code, message string) Problem {
	return Problem{
		Status:  status,
		Code:    code,
		Message: message,
		Action:  actionCorrect,
		Ran:     dispatch.NotRun,
	}
}

// write responds with the problem.
func (p Problem) write(w http.ResponseWriter) {
	if p.RetryAfterMs > 0 {
		seconds := math.Ceil(float64(p.RetryAfterMs) / 1000)
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	writeJSON(w, p.Status, problemBody{
		Error: p,
	})
}

// abortResponse ends the handler of a call whose caller has left. The connection is closed: a caller that
// has closed only its sending side would take the end of the handler for an empty answer.
func abortResponse() { panic(http.ErrAbortHandler) }
