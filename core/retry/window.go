package retry

import "time"

// windowBuckets is the number of parts of a window; the oldest part leaves at
// once.
const windowBuckets = 20

// WindowBudget is a host's share of a fleet's retry budget: in any span of its length
// it allows as many repeats as Ratio times the first attempts made in it, and
// the host's share of a fixed slack. It needs no agreement between hosts, as
// each spends against its own first attempts. It is not safe for concurrent use.
type WindowBudget struct {
	length  time.Duration
	ratio   float64
	slack   float64
	firsts  [windowBuckets]int
	repeats [windowBuckets]int
	bucket  int64
	began   time.Time
}

// NewWindowBudget returns a budget over windows of the given length. Slack is this
// host's share, in attempts; see SetSlack.
func NewWindowBudget(length time.Duration, ratio, slack float64) *WindowBudget {
	return &WindowBudget{
		length: length,
		ratio:  ratio,
		slack:  slack,
	}
}

// SetSlack changes the host's share of the slack, in attempts.
func (w *WindowBudget) SetSlack(slack float64) { w.slack = slack }

// SetBounds changes the length of the windows and the ratio. What was counted in
// windows of another length is counted anew from now on.
func (w *WindowBudget) SetBounds(length time.Duration, ratio float64) {
	w.ratio = ratio
	if length == w.length {
		return
	}
	slack := w.slack
	*w = *NewWindowBudget(length, ratio, slack)
}

// RecordFirst counts a first attempt.
func (w *WindowBudget) RecordFirst(now time.Time) {
	w.advance(now)
	w.firsts[w.bucket%windowBuckets]++
}

// Remaining returns how many repeats the window still allows.
func (w *WindowBudget) Remaining(now time.Time) float64 {
	w.advance(now)
	firsts, repeats := 0, 0
	for i := range windowBuckets {
		firsts += w.firsts[i]
		repeats += w.repeats[i]
	}
	return w.ratio*float64(firsts) + w.slack - float64(repeats)
}

// RecordRetry counts a repeat.
func (w *WindowBudget) RecordRetry(now time.Time) {
	w.advance(now)
	w.repeats[w.bucket%windowBuckets]++
}

func (w *WindowBudget) advance(now time.Time) {
	if w.began.IsZero() {
		w.began = now
	}
	bucket := int64(now.Sub(w.began) / (w.length / windowBuckets))
	if bucket-w.bucket >= windowBuckets {
		clear(w.firsts[:])
		clear(w.repeats[:])
		w.bucket = bucket
		return
	}
	for w.bucket < bucket {
		w.bucket++
		w.firsts[w.bucket%windowBuckets] = 0
		w.repeats[w.bucket%windowBuckets] = 0
	}
}
