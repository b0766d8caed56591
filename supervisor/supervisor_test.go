package supervisor_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"cactuswell/supervisor"
)

type failure struct{}

func (*failure) Error() string { return "failure" }

type flakyDuty struct {
	runs     int
	panics   bool
	failures int
}

func (d *flakyDuty) run(ctx context.Context) error {
	d.runs++
	if d.runs <= d.failures {
		if d.panics {
			panic("broken")
		}
		return &failure{}
	}
	<-ctx.Done()
	return nil
}

func TestTreeRestartsFailedDuties(t *testing.T) {
	for _, test := range []struct {
		name   string
		panics bool
	}{
		{name: "returned error", panics: false},
		{name: "panic", panics: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				duty := &flakyDuty{panics: test.panics, failures: 3}
				lost := 0
				tree := supervisor.New("test", log.NewNopLogger())
				tree.Add(supervisor.Duty{
					Name:          "flaky",
					Run:           duty.run,
					BeforeRestart: func() { lost++ },
				})
				done := make(chan struct{})
				go func() {
					defer close(done)
					_ = tree.Run(ctx)
				}()
				time.Sleep(time.Minute)
				synctest.Wait()
				if duty.runs != 4 || lost != 3 || tree.Restarts()["flaky"] != 3 {
					t.Errorf("runs = %d, lost = %d, restarts = %v; want 4, 3, 3", duty.runs, lost, tree.Restarts())
				}
				cancel()
				<-done
			})
		})
	}
}

func TestTreeStartsDutiesAddedWhileItRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		tree := supervisor.New("test", log.NewNopLogger())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = tree.Run(ctx)
		}()
		synctest.Wait()
		duty := &flakyDuty{}
		tree.Add(supervisor.Duty{Name: "late", Run: duty.run})
		synctest.Wait()
		if duty.runs != 1 {
			t.Errorf("runs = %d, want 1", duty.runs)
		}
		cancel()
		<-done
	})
}
