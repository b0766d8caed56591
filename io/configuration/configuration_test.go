package configuration_test

import (
	"errors"
	"testing"
	"time"

	core "cactuswell/core/configuration"
	standin "cactuswell/standin/logservice"
)

// appliedLimit is the stated bound from acceptance to in force at today's sizes.
const appliedLimit = 6 * time.Second

func TestChangeIsReadBackAndReachesAllHosts(t *testing.T) {
	store := newStore(1)
	runFleet(t, store, 9, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		store.SetFaults(standin.Faults{LostAnswers: 1})
		outcome := f.mustChange(0, "a", 500)
		t.Log(f.awaitInForce(appliedLimit, outcome.Offset))
		f.awaitReady(time.Second)
		got, revision, ok := f.host(8).Profile("briefing")
		if !ok || revision != outcome.Revision || got.Target() != 500*time.Millisecond {
			t.Errorf("host 8 has %v at revision %d", got, revision)
		}
		_, err := f.host(3).PublishChange(f.ctx, "b", briefing(0, 900))
		var conflict *core.ConflictError
		if !errors.As(err, &conflict) || conflict.Current.Spec.TargetMs != 500 {
			t.Errorf("got %v, want a conflict with the winner's text", err)
		}
	})
}
