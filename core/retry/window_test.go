package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactuswell/core/retry"
)

// TestWindowHolds checks that in each span of the window's length, repeats stay
// within the ratio of the first attempts of that span and the one before it, and
// the slack.
func TestWindowHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 10 * time.Second
		const ratio, slack = 0.2, 3.0
		window := retry.NewWindowBudget(length, ratio, slack)
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		var firsts, repeats []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				window.RecordFirst(now)
				firsts = append(firsts, now)
				continue
			}
			if window.Remaining(now) >= 1 {
				window.RecordRetry(now)
				repeats = append(repeats, now)
			}
			made, allowed := 0, slack
			for _, at := range repeats {
				if now.Sub(at) < length-length/20 {
					made++
				}
			}
			for _, at := range firsts {
				if now.Sub(at) < 2*length {
					allowed += ratio
				}
			}
			if float64(made) > allowed+1e-9 {
				t.Fatalf("%d repeats in two windows that allow %v", made, allowed)
			}
		}
	})
}

func TestWindowForgets(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	window := retry.NewWindowBudget(10*time.Second, 0.5, 0)
	for range 4 {
		window.RecordFirst(now)
	}
	window.RecordRetry(now)
	if left := window.Remaining(now); left != 1 {
		t.Errorf("left is %v, want 1", left)
	}
	if left := window.Remaining(now.Add(11 * time.Second)); left != 0 {
		t.Errorf("left after the window is %v, want 0", left)
	}
}
