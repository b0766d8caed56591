package timer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cactuswell/timer"
)

func TestServiceWakesSubscribers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		service := timer.New()
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = service.Run(ctx)
		}()
		start := service.Now()
		once := service.After(3 * time.Second)
		every := service.Every(time.Second)
		stopped := service.After(2 * time.Second)
		stopped.Stop()
		for i := 1; i <= 2; i++ {
			if got := (<-every.C()).Sub(start); got != time.Duration(i)*time.Second {
				t.Errorf("periodic wake-up %d after %v", i, got)
			}
		}
		if got := (<-once.C()).Sub(start); got != 3*time.Second {
			t.Errorf("one-shot wake-up after %v, want 3s", got)
		}
		once.Reset(start.Add(5 * time.Second))
		if got := (<-once.C()).Sub(start); got != 5*time.Second {
			t.Errorf("wake-up after %v following Reset, want 5s", got)
		}
		select {
		case <-stopped.C():
			t.Error("a stopped subscription was woken")
		default:
		}
		cancel()
		<-done
	})
}
