package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactuswell/core/retry"
)

// TestWindowLimitsRetries checks that the retries within one window length do not
// exceed the slack plus the ratio times the first attempts of that window and the
// one before it.
func TestWindowLimitsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 10 * time.Second
		const ratio, slack = 0.2, 3.0
		window := retry.NewWindowBudget(length, ratio, slack)
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		var firstAttempts, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				window.RecordFirst(now)
				firstAttempts = append(firstAttempts, now)
				continue
			}
			if window.Remaining(now) >= 1 {
				window.RecordRetry(now)
				retries = append(retries, now)
			}
			recentRetries, allowed := 0, slack
			for _, at := range retries {
				if now.Sub(at) < length-length/20 {
					recentRetries++
				}
			}
			for _, at := range firstAttempts {
				if now.Sub(at) < 2*length {
					allowed += ratio
				}
			}
			if float64(recentRetries) > allowed+1e-9 {
				t.Fatalf("%d retries in a window that allows %v", recentRetries, allowed)
			}
		}
	})
}

func TestWindowExpiresOldAttempts(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	window := retry.NewWindowBudget(10*time.Second, 0.5, 0)
	for range 4 {
		window.RecordFirst(now)
	}
	window.RecordRetry(now)
	if remaining := window.Remaining(now); remaining != 1 {
		t.Errorf("remaining is %v, want 1", remaining)
	}
	if remaining := window.Remaining(now.Add(11 * time.Second)); remaining != 0 {
		t.Errorf("remaining after the window is %v, want 0", remaining)
	}
}
