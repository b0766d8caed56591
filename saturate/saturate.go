// Package saturate converts numbers from outside the process to types that cannot hold
// all of them. A number beyond a type's range becomes the nearest one within it, on
// every processor: Go leaves the result of such a conversion to the implementation.
//
// # Usage
//
//	delay := saturate.Duration(milliseconds, time.Millisecond)
//	delay = min(max(delay, 0), maxDelay)
package saturate

import (
	"math"
	"time"
)

// firstBeyond is the least float64 that an int64 cannot hold.
const firstBeyond = float64(1 << 63)

// Duration returns a number of units as a duration. NaN becomes zero.
func Duration(number float64, unit time.Duration) time.Duration {
	nanoseconds := number * float64(unit)
	switch {
	case math.IsNaN(nanoseconds):
		return 0
	case nanoseconds >= firstBeyond:
		return math.MaxInt64
	case nanoseconds < -firstBeyond:
		return math.MinInt64
	}
	return time.Duration(nanoseconds)
}
