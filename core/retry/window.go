package retry

import "time"

// bucketCount is the number of buckets of a window; attempts expire one bucket at
// a time.
const bucketCount = 20

// WindowBudget is a host's share of a fleet's retry budget. In a sliding window it
// allows ratio retries per first attempt, plus the host's share of a fixed
// slack. The hosts need no coordination, as each counts against its own first
// attempts. A WindowBudget is not safe for concurrent use.
type WindowBudget struct {
	length        time.Duration
	ratio         float64
	slack         float64
	firstAttempts [bucketCount]int
	retries       [bucketCount]int
	current       int64
	startedAt     time.Time
}

// NewWindowBudget returns a budget over a sliding window of the given length. Slack
// is this host's share, in retries; see SetSlack.
func NewWindowBudget(length time.Duration, ratio, slack float64) *WindowBudget {
	return &WindowBudget{
		length: length,
		ratio:  ratio,
		slack:  slack,
	}
}

// SetSlack changes the host's share of the slack, in retries.
func (w *WindowBudget) SetSlack(slack float64) { w.slack = slack }

// SetBounds changes the length of the window and the ratio. A new length resets
// the counts.
func (w *WindowBudget) SetBounds(length time.Duration, ratio float64) {
	w.ratio = ratio
	if length == w.length {
		return
	}
	slack := w.slack
	*w = *NewWindowBudget(length, ratio, slack)
}

// RecordFirst records a first attempt.
func (w *WindowBudget) RecordFirst(now time.Time) {
	w.advance(now)
	w.firstAttempts[w.current%bucketCount]++
}

// Remaining returns how many more retries the window allows.
func (w *WindowBudget) Remaining(now time.Time) float64 {
	w.advance(now)
	firstAttempts, retries := 0, 0
	for i := range bucketCount {
		firstAttempts += w.firstAttempts[i]
		retries += w.retries[i]
	}
	return w.ratio*float64(firstAttempts) + w.slack - float64(retries)
}

// FirstAttempts returns the number of first attempts in the window.
func (w *WindowBudget) FirstAttempts(now time.Time) int {
	w.advance(now)
	total := 0
	for _, count := range w.firstAttempts {
		total += count
	}
	return total
}

// RecordRetry records a retry.
func (w *WindowBudget) RecordRetry(now time.Time) {
	w.advance(now)
	w.retries[w.current%bucketCount]++
}

func (w *WindowBudget) advance(now time.Time) {
	if w.startedAt.IsZero() {
		w.startedAt = now
	}
	bucket := int64(now.Sub(w.startedAt) / (w.length / bucketCount))
	if bucket-w.current >= bucketCount {
		clear(w.firstAttempts[:])
		clear(w.retries[:])
		w.current = bucket
		return
	}
	for w.current < bucket {
		w.current++
		w.firstAttempts[w.current%bucketCount] = 0
		w.retries[w.current%bucketCount] = 0
	}
}
