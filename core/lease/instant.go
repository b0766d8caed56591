package lease

import "time"

// Instant is one moment on both clocks of a host. The monotonic clock may stand
// still while a machine is suspended, and the wall clock may be set.
type Instant struct {
	// Monotonic is the time since some fixed moment.
	Monotonic time.Duration
	Wall      time.Time
}

// AtMost returns the longer of the times that the two clocks measured since
// earlier.
func (i Instant) AtMost(earlier Instant) time.Duration {
	return max(i.Monotonic-earlier.Monotonic, i.Wall.Sub(earlier.Wall))
}

// AtLeast returns the shorter of the times that the two clocks measured since
// earlier.
func (i Instant) AtLeast(earlier Instant) time.Duration {
	return min(i.Monotonic-earlier.Monotonic, i.Wall.Sub(earlier.Wall))
}
