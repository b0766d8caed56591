// Package control defines the platform's control API as the gateway uses it: usage reports and
// orders for endpoints, which one host of the fleet makes at a time.
//
// # Usage
//
//	fence := control.Fence{
//		Holder: "host-1",
//		Token:  12,
//	}
//	err := client.ReportUsage(ctx, fence, 353445120, counts)
//	var fenced *control.ConflictError
//	if errors.As(err, &fenced) {
//		// A holder with a higher token has called, or the platform has no such endpoints.
//	}
//
// A call without a response may still be executed seconds later, after newer calls.
package control

import (
	"context"
	"fmt"
)

// Fence states on whose behalf a call is made.
type Fence struct {
	// Holder is the name of the host that makes the call.
	Holder string
	// Token rises with each change of the holder.
	Token int64
}

// Order is an order for a number of endpoints of a service in a zone.
type Order struct {
	Service string
	Zone    string
	// Spot is set for endpoints at the lower price that may be reclaimed. Both kinds are
	// ordered separately.
	Spot    bool
	Desired int
}

// Client makes calls to the control API. The errors are a *ConflictError, a *RateError, or that
// of the connection or of another response.
type Client interface {
	// ReportUsage reports the calls of each team that began to run in a window.
	ReportUsage(ctx context.Context, fence Fence, window int64, counts map[string]int64) error
	// OrderEndpoints orders a number of endpoints.
	OrderEndpoints(ctx context.Context, fence Fence, order Order) error
}

// ConflictError reports a call that was not executed. The API does not distinguish between a
// token that is too low and endpoints that are not available.
type ConflictError struct {
	Token int64
}

// Error names the token.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the control API rejected a call with fencing token %d", e.Token)
}

// RateError reports a call that was rejected because the fleet made too many.
type RateError struct{}

// Error implements error.
func (*RateError) Error() string { return "too many calls to the control API" }
