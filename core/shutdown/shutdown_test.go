package shutdown_test

import (
	"testing"
	"time"

	"cactuswell/core/shutdown"
)

// TestRefuses guards against calls that a host passes on although it may end before they do, and against calls that it
// refuses although they would have ended in time.
func TestRefuses(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	plan := shutdown.Plan{
		ListensUntil: start.Add(3 * time.Second),
		EndsAt:       start.Add(7600 * time.Millisecond),
	}
	for name, test := range map[string]struct {
		at, deadline, longest time.Duration
		mayRepeat             bool
		want                  bool
	}{
		"ends in time for certain":                    {at: 5 * time.Second, deadline: 7600 * time.Millisecond, longest: 4 * time.Second},
		"long one while the balancer sends":           {at: time.Second, deadline: 13 * time.Second, longest: 8 * time.Second, want: true},
		"short one while the balancer sends":          {at: time.Second, deadline: 13 * time.Second, longest: 2 * time.Second},
		"unknown one while the balancer sends":        {at: time.Second, deadline: 13 * time.Second},
		"short one that must not be repeated":         {at: 3 * time.Second, deadline: 9 * time.Second, longest: time.Second, want: true},
		"short one that may be repeated":              {at: 5 * time.Second, deadline: 9 * time.Second, longest: time.Second, mayRepeat: true},
		"one that may be repeated, shortly before":    {at: 7 * time.Second, deadline: 9 * time.Second, longest: time.Second, mayRepeat: true, want: true},
		"unknown one that must not be repeated":       {at: 4 * time.Second, deadline: 8 * time.Second, want: true},
		"one that arrives after the end of the grace": {at: 8 * time.Second, deadline: 9 * time.Second, mayRepeat: true, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			got := plan.Refuses(start.Add(test.at), shutdown.Call{
				Deadline:  start.Add(test.deadline),
				MayRepeat: test.mayRepeat,
				Longest:   test.longest,
			})
			if got != test.want {
				t.Errorf("refused: %v, want %v", got, test.want)
			}
		})
	}
}

// TestDurationsForget guards against a call that once took long and for which others are refused for good, and
// against routes that are remembered although no configuration has them any more.
func TestDurationsForget(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	d := shutdown.NewDurations()
	d.Record(now, "hold", 4*time.Second)
	d.Record(now, "hold", time.Second)
	for _, step := range []struct {
		after, want time.Duration
	}{
		{after: 0, want: 4 * time.Second},
		{after: time.Minute, want: 4 * time.Second},
		{after: 2 * time.Minute, want: 0},
	} {
		if got := d.Longest(now.Add(step.after), "hold"); got != step.want {
			t.Errorf("after %v the longest is %v, want %v", step.after, got, step.want)
		}
	}
}
