package engine

import (
	"fmt"
	"time"
)

// NotStartedError says that it is certain that nothing was run.
type NotStartedError struct {
	// RetryAfter is how long the endpoint asked us to stay away, or zero.
	RetryAfter time.Duration
	Cause      error
}

// Error describes the cause.
func (e *NotStartedError) Error() string {
	return fmt.Sprintf("attempt was not started: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Cause }

// IncompleteResponseError says that the connection was lost or the answer cut short.
type IncompleteResponseError struct {
	Cause error
}

// Error describes the cause.
func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("answer is incomplete: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// StatusError is an error answer of an endpoint.
type StatusError struct {
	Status int
	Code   string
}

// Error names the status and the endpoint's code.
func (e *StatusError) Error() string {
	return fmt.Sprintf("endpoint answered with status %d, code %q", e.Status, e.Code)
}

// IsPermanent reports whether a repetition would get the same answer.
func (e *StatusError) IsPermanent() bool {
	return e.Status >= 400 && e.Status < 500 && e.Status != 408 && e.Status != 409 && e.Status != 429
}

// AttemptMismatchError says that an answer belongs to another attempt.
type AttemptMismatchError struct {
	Want string
	Got  string
}

// Error names both attempts.
func (e *AttemptMismatchError) Error() string {
	return fmt.Sprintf("answer is for attempt %q, not %q", e.Got, e.Want)
}

// UnknownAttemptError says that the endpoint does not know an attempt that was
// to be resumed.
type UnknownAttemptError struct {
	AttemptID string
}

// Error names the attempt.
func (e *UnknownAttemptError) Error() string {
	return fmt.Sprintf("endpoint does not know attempt %q", e.AttemptID)
}

// SequenceError says that a token is missing from a stream or came twice.
type SequenceError struct {
	Want int
	Got  int
}

// Error names both indexes.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("token %d came in place of token %d", e.Got, e.Want)
}

// EarlyEndError says that a stream ended without its last chunk.
type EarlyEndError struct{}

// Error describes the fault.
func (*EarlyEndError) Error() string { return "stream ended without its last chunk" }

// MalformedChunkError says that a chunk could not be decoded.
type MalformedChunkError struct {
	Reason string
}

// Error describes the fault.
func (e *MalformedChunkError) Error() string { return "malformed chunk: " + e.Reason }
