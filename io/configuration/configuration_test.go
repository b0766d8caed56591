package configuration_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	core "cactuswell/core/configuration"
	"cactuswell/core/profile"
	"cactuswell/io/configuration"
	"cactuswell/io/logservice"
	standin "cactuswell/standin/logservice"
	"cactuswell/supervisor"
	"cactuswell/timer"
)

func briefing(base uint64, targetMs int64) core.ProfileChange {
	return core.ProfileChange{
		Name:         "briefing",
		BaseRevision: base,
		Spec: &profile.Spec{
			Name:     "briefing",
			Class:    "briefing",
			Kind:     profile.KindModel,
			Pool:     "drafting",
			TargetMs: targetMs,
		},
		Author: "aigerim",
	}
}

func start(ctx context.Context, store *standin.Store, name string) *configuration.Configuration {
	timers := timer.New()
	config := configuration.New(configuration.Dependencies{
		Host:   name,
		Zone:   "alm-a",
		Log:    func() logservice.Log { return store },
		Timers: timers,
		Logger: log.NewNopLogger(),
	})
	tree := supervisor.New(name, log.NewNopLogger())
	tree.Add(supervisor.Duty{Name: "timer", Run: timers.Run})
	for _, duty := range config.Duties() {
		tree.Add(duty)
	}
	go func() { _ = tree.Run(ctx) }()
	return config
}

func TestChangeIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := standin.New(time.Now, 1)
		first := start(ctx, store, "host-1")
		second := start(ctx, store, "host-2")
		time.Sleep(time.Second)
		store.SetFaults(standin.Faults{LostAnswers: 1})
		outcome, err := first.Change(ctx, "a", briefing(0, 500))
		if err != nil || outcome.Revision != 1 {
			t.Fatalf("got %+v, %v", outcome, err)
		}
		time.Sleep(time.Second)
		got, revision, ok := second.Profile("briefing")
		if !ok || revision != 1 || got.Target() != 500*time.Millisecond {
			t.Errorf("second host has %v at revision %d", got, revision)
		}
		_, err = second.Change(ctx, "b", briefing(0, 900))
		var conflict *core.ConflictError
		if !errors.As(err, &conflict) {
			t.Errorf("got %v, want a conflict", err)
		}
		cancel()
		synctest.Wait()
	})
}
