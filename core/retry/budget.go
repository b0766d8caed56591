// Package retry limits retries with a budget that is a share of the first
// attempts, and delays them by exponential backoff with full jitter.
//
// # Usage
//
//	budget := retry.NewBudget(retry.DefaultShare)
//	budget.First()
//	if budget.Take() {
//		at, ok := backoff.Next(now, attempt, retryAfter, deadline, random)
//		...
//	}
//
// Nothing here reads a clock, and nothing is safe for concurrent use.
package retry

const (
	// DefaultShare is the default number of retries per first attempt.
	DefaultShare = 0.1
	// MaxSaved is the largest number of retries that can accumulate while there
	// are few failures.
	MaxSaved = 100
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

// First records a first attempt.
func (b *Budget) First() {
	b.firstAttempts++
	b.available = min(b.available+b.share, MaxSaved)
}

// Take reserves one retry and reports whether the budget allowed it.
func (b *Budget) Take() bool {
	if !b.Allows() {
		return false
	}
	b.available--
	b.reserved++
	return true
}

// GiveBack returns a reserved retry that was not made.
func (b *Budget) GiveBack() {
	b.available = min(b.available+1, MaxSaved)
	b.reserved--
}

// Allows reports whether Take would succeed.
func (b *Budget) Allows() bool {
	return b.available >= 1-roundingTolerance
}

// Saved returns the number of retries available now, including fractions.
func (b *Budget) Saved() float64 {
	return b.available
}

// Firsts returns the total number of first attempts.
func (b *Budget) Firsts() uint64 {
	return b.firstAttempts
}

// Taken returns the total number of retries reserved and not given back.
func (b *Budget) Taken() uint64 {
	return b.reserved
}
