package logservice

import (
	"fmt"
	"time"

	"cactuswell/core/record"
)

// UnavailableError says that the log gave no usable answer.
type UnavailableError struct {
	Cause error
}

// Error describes the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("log service unavailable: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// RefusedError says that the log refused a call and did nothing.
type RefusedError struct {
	Status int
	// RetryAfter is how long the log asked us to wait, or zero.
	RetryAfter time.Duration
}

// Error names the status.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("log service refused the call with status %d", e.Status)
}

// StatusError is an unexpected HTTP status of the log.
type StatusError struct {
	Status int
}

// Error names the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("log service answered with status %d", e.Status)
}

// TruncatedError says that the log no longer keeps the offset asked for.
type TruncatedError struct {
	Oldest record.Offset
}

// Error names the oldest offset kept.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("log is truncated: oldest offset kept is %d", e.Oldest)
}
