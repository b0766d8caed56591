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

// Problem tells a caller why there is no whole answer, what to do, and whether
// the request was run.
type Problem struct {
	Status  int    `json:"-"`
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Action says what the caller can do.
	Action string `json:"action"`
	// Ran is "notRun", a promise, or "unknown".
	Ran       dispatch.Execution `json:"ran"`
	RequestID string             `json:"requestId,omitempty"`
	// Reason says more about the code, where there is more.
	Reason string `json:"reason,omitempty"`
	// KeyUnchecked says that the idempotency key could not be looked up: this
	// request was not run, but an earlier one with the key may have been.
	KeyUnchecked bool `json:"keyUnchecked,omitempty"`
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
func Refusal(reason dispatch.RefuseReason, ran dispatch.Execution, retryAfter time.Duration) Problem {
	problem := Problem{
		Status:       http.StatusServiceUnavailable,
		Code:         Code(reason),
		Message:      refusalTexts[reason],
		Action:       actionRetry,
		Ran:          ran,
		RetryAfterMs: retryAfter.Milliseconds(),
	}
	if ran == dispatch.MayHaveRun {
		problem.Status = http.StatusBadGateway
		problem.Action = actionAsk
	}
	switch reason {
	case dispatch.RefuseTeamQueueFull:
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
		Ran:     dispatch.MayHaveRun,
	}
}

// ClaimRefused returns the problem of a call whose key could not be claimed.
func ClaimRefused(reason string, unchecked bool, retryAfter time.Duration) Problem {
	return Problem{
		Status:       http.StatusServiceUnavailable,
		Code:         CodeClaimRefused,
		Message:      "the call could not be claimed, so it was not sent",
		Action:       actionRetryOnce,
		Ran:          dispatch.NotRun,
		Reason:       reason,
		KeyUnchecked: unchecked,
		RetryAfterMs: retryAfter.Milliseconds(),
	}
}

// KeyReused returns the problem of a key that stands for another request.
func KeyReused() Problem {
	return fault(http.StatusUnprocessableEntity, CodeKeyReused, "the idempotency key was first used for another request")
}

// KeyInvalid returns the problem of a key that cannot be used.
func KeyInvalid(reason string) Problem {
	problem := fault(http.StatusBadRequest, CodeKeyInvalid, "the idempotency key cannot be used")
	problem.Reason = reason
	return problem
}

// KeyOutcomeUnknown returns the problem of a call that was granted before and whose
// outcome is not known here. It is never run again.
func KeyOutcomeUnknown(reason string) Problem {
	return Problem{
		Status:  http.StatusConflict,
		Code:    CodeKeyOutcomeUnknown,
		Message: "a call with this key was begun and its outcome is not known here; it is not run again",
		Action:  actionAsk,
		Ran:     dispatch.MayHaveRun,
		Reason:  reason,
	}
}

// AnswerNotKept returns the problem of a call that was run before and whose
// answer is not kept.
func AnswerNotKept() Problem {
	return Problem{
		Status:  http.StatusConflict,
		Code:    CodeAnswerNotKept,
		Message: "the call with this key was run to its end; its answer is not kept",
		Action:  actionAsk,
		Ran:     dispatch.MayHaveRun,
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
