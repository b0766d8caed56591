package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cactuswell/core/retry"
)

var testStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func TestBudgetIsAShareOfFirstAttempts(t *testing.T) {
	budget := retry.NewBudget(retry.DefaultShare)
	if budget.Reserve() {
		t.Error("an empty budget allowed an attempt")
	}
	taken := 0
	for range 1000 {
		budget.RecordFirst()
		if budget.Reserve() {
			taken++
		}
	}
	if taken < 95 || taken > 100 {
		t.Errorf("%d further attempts for 1000 first ones; want at most 100", taken)
	}
	if budget.FirstAttempts() != 1000 || budget.Reserved() != uint64(taken) {
		t.Errorf("counted %d and %d", budget.FirstAttempts(), budget.Reserved())
	}
}

func TestTenFirstAttemptsAllowOneMore(t *testing.T) {
	budget := retry.NewBudget(retry.DefaultShare)
	for range 10 {
		if budget.CanReserve() {
			t.Fatal("allowed before ten first attempts")
		}
		budget.RecordFirst()
	}
	if !budget.Reserve() || budget.Reserve() {
		t.Errorf("saved %v after ten first attempts; want exactly one more attempt", budget.Available())
	}
}

func TestBudgetSavesABoundedNumber(t *testing.T) {
	budget := retry.NewBudget(2)
	for range 1_000_000 {
		budget.RecordFirst()
	}
	if saved := budget.Available(); saved != retry.MaxAvailable {
		t.Errorf("saved %v; want %d", saved, retry.MaxAvailable)
	}
	budget.Reserve()
	budget.Release()
	if budget.Available() != retry.MaxAvailable || budget.Reserved() != 0 {
		t.Errorf("saved %v, taken %d after giving back", budget.Available(), budget.Reserved())
	}
}

func TestBackoffDelays(t *testing.T) {
	backoff := retry.Backoff{Base: 10 * time.Millisecond, Cap: 100 * time.Millisecond}
	bounds := []time.Duration{10, 20, 40, 80, 100, 100}
	random := rand.New(rand.NewPCG(1, 2))
	for i, bound := range bounds {
		bound *= time.Millisecond
		longest := time.Duration(0)
		for range 1000 {
			longest = max(longest, backoff.Delay(i+1, random))
		}
		if longest > bound || longest < bound*9/10 {
			t.Errorf("longest delay before retry %d is %v; want nearly %v", i+1, longest, bound)
		}
	}
}

func TestNextAttemptHonoursRetryAfterAndDeadline(t *testing.T) {
	backoff := retry.Backoff{}.WithDefaults()
	cases := map[string]struct {
		retryAfter time.Duration
		deadline   time.Duration
		ok         bool
	}{
		"no retry after":               {0, time.Second, true},
		"retry after":                  {time.Second, time.Second, true},
		"retry after past deadline":    {time.Second, time.Second - 1, false},
		"deadline already passed long": {0, -time.Second, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			at, ok := backoff.NextAttempt(testStart, 1, test.retryAfter, testStart.Add(test.deadline), random)
			if ok != test.ok {
				t.Errorf("ok is %v; want %v", ok, test.ok)
			}
			if ok && at.Before(testStart.Add(test.retryAfter)) {
				t.Errorf("due at %v, before the endpoint wants it", at)
			}
		})
	}
}
