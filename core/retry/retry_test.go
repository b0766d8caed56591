package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cactuswell/core/retry"
)

var testStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func TestBudgetLimitsShareOfFirstAttempts(t *testing.T) {
	budget := retry.NewBudget(retry.DefaultShare)
	if budget.Reserve() {
		t.Error("an empty budget allowed a retry")
	}
	reserved := 0
	for range 1000 {
		budget.RecordFirst()
		if budget.Reserve() {
			reserved++
		}
	}
	if reserved < 95 || reserved > 100 {
		t.Errorf("%d retries for 1000 first attempts; want 95 to 100", reserved)
	}
	if budget.FirstAttempts() != 1000 || budget.Reserved() != uint64(reserved) {
		t.Errorf("counted %d first attempts and %d retries", budget.FirstAttempts(), budget.Reserved())
	}
}

func TestTenFirstAttemptsAllowOneRetry(t *testing.T) {
	budget := retry.NewBudget(retry.DefaultShare)
	for range 10 {
		if budget.CanReserve() {
			t.Fatal("retry allowed before ten first attempts")
		}
		budget.RecordFirst()
	}
	if !budget.Reserve() || budget.Reserve() {
		t.Errorf("%v retries available after ten first attempts; want exactly one", budget.Available())
	}
}

func TestBudgetCapsAvailableAttempts(t *testing.T) {
	budget := retry.NewBudget(2)
	for range 1_000_000 {
		budget.RecordFirst()
	}
	if available := budget.Available(); available != retry.MaxAvailable {
		t.Errorf("%v retries available; want %d", available, retry.MaxAvailable)
	}
	budget.Reserve()
	budget.Release()
	if budget.Available() != retry.MaxAvailable || budget.Reserved() != 0 {
		t.Errorf("%v retries available, %d reserved after one was given back", budget.Available(), budget.Reserved())
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
		"no retry after":            {0, time.Second, true},
		"retry after":               {time.Second, time.Second, true},
		"retry after past deadline": {time.Second, time.Second - 1, false},
		"deadline already passed":   {0, -time.Second, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			at, ok := backoff.NextAttempt(testStart, 1, test.retryAfter, testStart.Add(test.deadline), random)
			if ok != test.ok {
				t.Errorf("ok is %v; want %v", ok, test.ok)
			}
			if ok && at.Before(testStart.Add(test.retryAfter)) {
				t.Errorf("due at %v, earlier than retryAfter allows", at)
			}
		})
	}
}
