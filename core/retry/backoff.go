package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// DefaultBase is the upper bound of the first delay.
	DefaultBase = 20 * time.Millisecond
	// DefaultCap is the upper bound of every delay.
	DefaultCap = 2 * time.Second
)

// Backoff is an exponential delay with full jitter.
type Backoff struct {
	// Base is the upper bound of the delay before the first retry.
	Base time.Duration
	// Cap is the upper bound of every delay.
	Cap time.Duration
}

// WithDefaults returns the backoff with zero or negative fields filled in.
func (b Backoff) WithDefaults() Backoff {
	if b.Base <= 0 {
		b.Base = DefaultBase
	}
	if b.Cap <= 0 {
		b.Cap = DefaultCap
	}
	b.Cap = max(b.Cap, b.Base)
	return b
}

// Delay returns the delay before retry number retry, counted from 1: evenly
// distributed between zero and the bound, which doubles with each retry.
func (b Backoff) Delay(retry int, random *rand.Rand) time.Duration {
	bound := b.Base
	for i := 1; i < retry && bound < b.Cap; i++ {
		bound *= 2
	}
	bound = min(bound, b.Cap)
	return time.Duration(random.Int64N(int64(bound) + 1))
}

// NextAttempt returns when retry number retry is due. It is never sooner than
// retryAfter from now, and reports false if that would be past the deadline.
func (b Backoff) NextAttempt(now time.Time, retry int, retryAfter time.Duration, deadline time.Time, random *rand.Rand) (time.Time, bool) {
	at := now.Add(max(b.Delay(retry, random), retryAfter))
	return at, !at.After(deadline)
}
