package progress_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"cactuswell/io/progress"
	"cactuswell/timer"
)

// TestSlowCallGoesOn guards against calls that are given up while their answer arrives, and against
// ones that are not although nothing does.
func TestSlowCallGoesOn(t *testing.T) {
	limits := progress.Limits{
		Silence: 600 * time.Millisecond,
		Total:   3 * time.Second,
	}
	for name, c := range map[string]struct {
		marks int
		want  error
		after time.Duration
	}{
		"silent":  {0, &progress.StalledError{Silence: limits.Silence}, 600 * time.Millisecond},
		"stalled": {4, &progress.StalledError{Silence: limits.Silence}, 2600 * time.Millisecond},
		"endless": {100, &progress.TotalError{Total: limits.Total}, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				timers := timer.New()
				running, end := context.WithCancel(t.Context())
				go func() { _ = timers.Run(running) }()
				startedAt := time.Now()
				ctx, stop := progress.WithLimits(t.Context(), timers, limits)
				for range c.marks {
					select {
					case <-ctx.Done():
					case <-time.After(500 * time.Millisecond):
						progress.Mark(ctx)
					}
				}
				<-ctx.Done()
				if got := context.Cause(ctx); got.Error() != c.want.Error() {
					t.Errorf("ended by %v, want %v", got, c.want)
				}
				if got := time.Since(startedAt); got != c.after {
					t.Errorf("ended after %s, want %s", got, c.after)
				}
				if got := progress.Cause(ctx, errors.New("read failed")); got.Error() != c.want.Error() {
					t.Errorf("the cause is %v, want %v", got, c.want)
				}
				stop()
				end()
				synctest.Wait()
			})
		})
	}
}
