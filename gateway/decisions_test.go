package gateway

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cactuswell/core/batching"
	"cactuswell/core/directory"
	"cactuswell/core/route"
	"cactuswell/core/scheduling"
	"cactuswell/supervisor"
	"cactuswell/timer"
	"cactuswell/trail"
)

// TestDecisionLoopRestartsAfterFailure checks that a panic in the decision loop fails
// only the open calls, each of which is answered, and that later calls are served.
func TestDecisionLoopRestartsAfterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		timers := timer.New()
		lines := trail.New(&out, "host-1", timers)
		d := newDecisionLoop(scheduling.Settings{
			Engine:       batching.Default(),
			BudgetWindow: time.Second,
			Weights:      scheduling.DefaultWeights(),
		}, timers, lines)
		tree := supervisor.New("gateway", dutyLog{trail: lines})
		tree.Add(supervisor.Duty{Name: "timer", Run: timers.Run})
		tree.Add(supervisor.Duty{Name: "trail", Run: lines.Run})
		tree.Add(supervisor.Duty{Name: decisionsDutyName, Run: d.run, BeforeRestart: d.handleRestart})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- tree.Run(ctx) }()

		table, err := route.New(route.Spec{
			Services: []route.Service{{Name: "booking"}},
			Routes:   []route.Route{{Name: "hold", PathPrefix: "/hold/", Kind: route.AtMostOnce, MaxAttempts: 1, TargetLatency: time.Second, Targets: []route.Target{{Service: "booking", Weight: 1}}}},
		})
		if err != nil {
			t.Fatal(err)
		}
		hold, _ := table.Lookup("", "/hold/")
		d.post(scheduling.ConfigurationChanged{Table: table})
		d.post(entryObserved{entry: directory.Entry{ID: "a", Service: "booking", Address: "10.0.0.1:80", Slots: 4}})
		submit := func(id scheduling.CallID) <-chan scheduling.Command {
			replies := make(chan scheduling.Command, 1)
			d.Submit(scheduling.Call{
				ID:       id,
				Route:    hold,
				Service:  "booking",
				Deadline: timers.Now().Add(time.Minute),
			}, replies)
			synctest.Wait()
			return replies
		}
		open := submit(1)
		if _, ok := (<-open).(scheduling.Send); !ok {
			t.Fatal("the first call was not sent")
		}
		d.post(inspection{
			inspect: func() { panic("injected panic") },
			done:    make(chan struct{}),
		})
		if refusal, ok := (<-open).(scheduling.Refuse); !ok || !refusal.MayHaveRun || refusal.Reason != ReasonDutyRestarted {
			t.Errorf("the open call received %+v", refusal)
		}
		time.Sleep(time.Second)
		if _, ok := (<-submit(2)).(scheduling.Send); !ok {
			t.Error("a call after the restart was not sent")
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
