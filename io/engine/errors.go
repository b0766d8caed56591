package engine

import (
	"fmt"
	"time"
)

// NotStartedError means that the attempt was certainly not run.
type NotStartedError struct {
	// RetryAfter is the delay before a retry that the endpoint requested, or zero.
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *NotStartedError) Error() string {
	return fmt.Sprintf("attempt was not started: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Cause }

// IncompleteResponseError means that the connection broke, or that the response is
// incomplete or malformed. The attempt may have been run.
type IncompleteResponseError struct {
	Cause error
}

// Error implements error.
func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("response is incomplete: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// StatusError is an error response of an endpoint.
type StatusError struct {
	Status int
	Code   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("endpoint responded with status %d, code %q", e.Status, e.Code)
}

// IsPermanent reports whether a retry would get the same response.
func (e *StatusError) IsPermanent() bool {
	return e.Status >= 400 && e.Status < 500 && e.Status != 408 && e.Status != 409 && e.Status != 429
}

// AttemptMismatchError means that a response belongs to another attempt.
type AttemptMismatchError struct {
	Want string
	Got  string
}

// Error implements error.
func (e *AttemptMismatchError) Error() string {
	return fmt.Sprintf("response is for attempt %q, not %q", e.Got, e.Want)
}

// UnknownAttemptError means that the endpoint does not know the attempt to resume.
type UnknownAttemptError struct {
	AttemptID string
}

// Error implements error.
func (e *UnknownAttemptError) Error() string {
	return fmt.Sprintf("endpoint does not know attempt %q", e.AttemptID)
}

// SequenceError means that a token of a stream is missing or repeated.
type SequenceError struct {
	Want int
	Got  int
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("received token %d, want token %d", e.Got, e.Want)
}

// EarlyEndError means that a stream ended without its last chunk.
type EarlyEndError struct{}

// Error implements error.
func (*EarlyEndError) Error() string { return "stream ended without its last chunk" }

// MalformedChunkError means that a chunk could not be decoded.
type MalformedChunkError struct {
	Reason string
}

// Error implements error.
func (e *MalformedChunkError) Error() string { return "malformed chunk: " + e.Reason }
