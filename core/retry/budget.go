// Package retry limits retries with a budget that is a share of the first
// attempts, and delays them by exponential backoff with full jitter.
//
// # Usage
//
//	budget := retry.NewBudget(retry.DefaultShare)
//	budget.RecordFirst()
//	if budget.Reserve() {
//		at, ok := backoff.NextAttempt(now, attempt, retryAfter, deadline, random)
//		...
//	}
//
// Nothing here reads a clock, and nothing is safe for concurrent use.
package retry

const (
	// DefaultShare is the default number of retries per first attempt.
	DefaultShare = 0.1
	// MaxAvailable is the largest number of retries that can accumulate while there
	// are few failures.
	MaxAvailable = 100
	// roundingTolerance exceeds the rounding error of adding 0.1 ten times, which
	// gives slightly less than 1.
	roundingTolerance = 1e-9
)

// Budget limits retries, hedges and restarts after a preemption (called retries
// here) to a share of the first attempts, so that a failing pool is not
// overloaded by a retry storm.
type Budget struct {
	share         float64
	available     float64
	firstAttempts uint64
	reserved      uint64
}

// NewBudget returns an empty budget that gains share retries with each first
// attempt. A share outside 0 to 1 is replaced by DefaultShare.
func NewBudget(share float64) *Budget {
	if !(share >= 0 && share <= 1) {
		share = DefaultShare
	}
	return &Budget{
		share: share,
	}
}

// RecordFirst records a first attempt.
func (b *Budget) RecordFirst() {
	b.firstAttempts++
	b.available = min(b.available+b.share, MaxAvailable)
}

// Reserve reserves one retry and reports whether the budget allowed it.
func (b *Budget) Reserve() bool {
	if !b.CanReserve() {
		return false
	}
	b.available--
	b.reserved++
	return true
}

// Release returns a reserved retry that was not made.
func (b *Budget) Release() {
	b.available = min(b.available+1, MaxAvailable)
	b.reserved--
}

// CanReserve reports whether Reserve would succeed.
func (b *Budget) CanReserve() bool {
	return b.available >= 1-roundingTolerance
}

// Available returns the number of retries available now, including fractions.
func (b *Budget) Available() float64 {
	return b.available
}

// FirstAttempts returns the total number of first attempts.
func (b *Budget) FirstAttempts() uint64 {
	return b.firstAttempts
}

// Reserved returns the total number of retries reserved and not released.
func (b *Budget) Reserved() uint64 {
	return b.reserved
}
