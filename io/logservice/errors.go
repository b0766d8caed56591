package logservice

import (
	"fmt"
	"time"

	"cactuswell/core/record"
)

// UnavailableError means that there was no usable response from the log service.
type UnavailableError struct {
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("log service unavailable: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// RefusedError means that the log service refused a request without any effect.
type RefusedError struct {
	Status int
	// RetryAfter is the delay before a retry that the log service requested, or
	// zero.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("log service refused the call with status %d", e.Status)
}

// StatusError is an unexpected HTTP status of the log service.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("log service answered with status %d", e.Status)
}

// TruncatedError means that the log no longer has the requested offset.
type TruncatedError struct {
	Oldest record.Offset
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("log is truncated: oldest offset kept is %d", e.Oldest)
}
