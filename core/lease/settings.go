package lease

import "time"

// Settings are the times of a lease. Every host of a fleet uses the same.
type Settings struct {
	// Duration is how long a lease lasts from before its record was sent.
	Duration time.Duration
	// RenewEvery is the time between two renewals, and between two attempts
	// at an append that had no answer.
	RenewEvery time.Duration
	// LongestOrder is the longest time from the last look at the lease to an
	// order's effect.
	LongestOrder time.Duration
	// Margin covers the drift of two clocks over a lease.
	Margin time.Duration
}

// DefaultSettings returns the settings of the product.
func DefaultSettings() Settings {
	return Settings{
		Duration:     10 * time.Second,
		RenewEvery:   3 * time.Second,
		LongestOrder: 5 * time.Second,
		Margin:       time.Second,
	}
}
