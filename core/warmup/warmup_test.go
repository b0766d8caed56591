package warmup_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cactuswell/core/warmup"
)

// TestRamp guards against an endpoint that is left idle although it answers well, that is sent more
// although it is slow or declines, and that stays bounded for ever.
func TestRamp(t *testing.T) {
	const slots = 16
	for name, test := range map[string]struct {
		answer func(r *warmup.Ramp, now time.Time)
		after  time.Duration
		isOver bool
		// window is the greatest allowed, if the ramp continues.
		window float64
	}{
		"healthy":    {answer: func(r *warmup.Ramp, now time.Time) { r.RecordAnswer(now, 1.2) }, after: warmup.FullShare, isOver: true},
		"unmeasured": {answer: func(*warmup.Ramp, time.Time) {}, after: time.Second + warmup.FullShare, isOver: true},
		"slow":       {answer: func(r *warmup.Ramp, now time.Time) { r.RecordAnswer(now, 5) }, after: 8 * time.Second, window: 2},
		"declining":  {answer: func(r *warmup.Ramp, now time.Time) { r.RecordDecline(now) }, after: 8 * time.Second, window: 2},
		"slow long":  {answer: func(r *warmup.Ramp, now time.Time) { r.RecordAnswer(now, 5) }, after: 11 * time.Second, isOver: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			ramp := warmup.New(now, slots)
			for end := now.Add(test.after); now.Before(end); now = now.Add(100 * time.Millisecond) {
				test.answer(ramp, now)
			}
			if ramp.IsOver(now) != test.isOver || !test.isOver && ramp.Window(now) > test.window {
				t.Errorf("over: %v, window %v", ramp.IsOver(now), ramp.Window(now))
			}
		})
	}
}

// TestHostsDoNotOverrunWindow guards against hosts that each send a call to an empty endpoint before
// they know of each other's, and against a window that stays unused: with any number of hosts, the
// calls of the first moments are about as many as the window.
func TestHostsDoNotOverrunWindow(t *testing.T) {
	const callsPerSecond = 600.0
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, hosts := range []int{6, 83, 195, 2400} {
		random := rand.New(rand.NewPCG(1, 2))
		ramp := warmup.New(now, 32)
		const rounds = 200
		sent := 0
		for range rounds {
			for range int(callsPerSecond * warmup.ReportDelay.Seconds()) {
				if random.Float64() < ramp.Odds(now, warmup.View{Hosts: hosts, CallsPerSecond: callsPerSecond / float64(hosts)}) {
					sent++
				}
			}
		}
		if mean := float64(sent) / rounds; mean < 3 || mean > 6 {
			t.Errorf("%d hosts send %.1f calls before they know of each other's, the window is 4", hosts, mean)
		}
	}
}
