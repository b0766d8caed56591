// Package retry decides whether and when another attempt may be made: within a
// budget that is a share of the first attempts, and after an exponential delay
// with full jitter.
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
// Nothing here reads a clock or is safe for concurrent use.
package retry

const (
	// DefaultShare is the number of further attempts for each first attempt.
	DefaultShare = 0.1
	// MaxAvailable bounds the further attempts that a calm time saves up for a bad
	// one.
	MaxAvailable = 100
	// rounding is more than ten additions of a tenth fall short of one.
	rounding = 1e-9
)

// Budget bounds further attempts (retries, hedges and repetitions after a
// preemption) to a share of the first attempts, so that a sick pool meets no
// storm of retries.
type Budget struct {
	share  float64
	saved  float64
	firsts uint64
	taken  uint64
}

// NewBudget returns an empty budget of share further attempts for each first
// one. A share that is not between 0 and 1 is taken as DefaultShare.
func NewBudget(share float64) *Budget {
	if !(share >= 0 && share <= 1) {
		share = DefaultShare
	}
	return &Budget{
		share: share,
	}
}

// RecordFirst counts a first attempt.
func (b *Budget) RecordFirst() {
	b.firsts++
	b.saved = min(b.saved+b.share, MaxAvailable)
}

// Reserve reserves one further attempt and reports whether the budget allows it.
func (b *Budget) Reserve() bool {
	if !b.CanReserve() {
		return false
	}
	b.saved--
	b.taken++
	return true
}

// Release returns a reserved attempt that was not made.
func (b *Budget) Release() {
	b.saved = min(b.saved+1, MaxAvailable)
	b.taken--
}

// CanReserve reports whether Take would succeed.
func (b *Budget) CanReserve() bool {
	return b.saved >= 1-rounding
}

// Available returns how many further attempts are allowed now, with fractions.
func (b *Budget) Available() float64 {
	return b.saved
}

// FirstAttempts returns the number of first attempts.
func (b *Budget) FirstAttempts() uint64 {
	return b.firsts
}

// Reserved returns the number of further attempts reserved and not given back.
func (b *Budget) Reserved() uint64 {
	return b.taken
}
