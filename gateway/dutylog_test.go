package gateway

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cactuswell/supervisor"
	"cactuswell/timer"
	"cactuswell/trail"
)

// TestFailedDutyIsLogged checks that the restart of a failed duty is logged with its
// error.
func TestFailedDutyIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		timers := timer.New()
		lines := trail.New(&out, "host-1", timers)
		tree := supervisor.New("gateway", dutyLog{trail: lines})
		tree.Add(supervisor.Duty{Name: "timer", Run: timers.Run})
		tree.Add(supervisor.Duty{Name: "trail", Run: lines.Run})
		tree.Add(supervisor.Duty{
			Name: "weak",
			Run: func(ctx context.Context) error {
				select {
				case <-ctx.Done():
					return nil
				case <-time.After(time.Second):
					return errors.New("injected error")
				}
			},
		})
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		if err := tree.Run(ctx); err != nil {
			t.Fatal(err)
		}
		if text := out.String(); !strings.Contains(text, `"event":"dutyRestarted"`) || !strings.Contains(text, "injected error") {
			t.Errorf("log lines are %s", text)
		}
	})
}
