package configuration_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	core "cactuswell/core/configuration"
	"cactuswell/core/endpoint"
	"cactuswell/core/follow"
	"cactuswell/core/record"
	"cactuswell/io/configuration"
	standin "cactuswell/standin/logservice"
)

// operator makes one change through one host.
type operator struct {
	config  *configuration.Configuration
	id      string
	change  core.Change
	timeout time.Duration
	outcome core.Outcome
	err     error
	done    chan struct{}
}

func (o *operator) run(ctx context.Context) {
	defer close(o.done)
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	o.outcome, o.err = o.config.PublishChange(ctx, o.id, o.change)
}

func (f *fleet) operate(number int, id string, change core.Change) *operator {
	o := &operator{
		config:  f.host(number),
		id:      id,
		change:  change,
		timeout: time.Minute,
		done:    make(chan struct{}),
	}
	go o.run(f.ctx)
	return o
}

// TestRacingOperators lets two operators change one profile through two hosts,
// a hundred times, with answers of the log lost and appends dropped.
func TestRacingOperators(t *testing.T) {
	store := newStore(5)
	runFleet(t, store, 3, func(t *testing.T, f *fleet) {
		f.await(10*time.Second, "started", func(m *member) bool {
			_, reason := m.config.Ready()
			return reason == string(follow.ReasonNoRecord)
		})
		revision := uint64(0)
		for round := range 100 {
			store.SetFaults(standin.Faults{
				LostAnswers:   []float64{1, 0.5}[round%2],
				FailedAppends: []float64{0, 0.3}[round%2],
			})
			first := f.operate(round%3, fmt.Sprintf("first-%d", round), briefing(revision, int64(1000+round)))
			second := f.operate((round+1)%3, fmt.Sprintf("second-%d", round), briefing(revision, int64(2000+round)))
			<-first.done
			<-second.done
			winner, loser := first, second
			if first.err != nil {
				winner, loser = second, first
			}
			checkRace(t, round, winner, loser)
			f.awaitInForce(appliedLimit, winner.outcome.Offset)
			revision = winner.outcome.Revision
			for _, m := range f.running() {
				if _, got, _ := m.config.Profile("briefing"); got != revision {
					t.Fatalf("round %d: %s has revision %d, want %d", round, m.name, got, revision)
				}
			}
		}
	})
}

func checkRace(t *testing.T, round int, winner, loser *operator) {
	t.Helper()
	if winner.err != nil {
		t.Fatalf("round %d: nobody won: %v, %v", round, winner.err, loser.err)
	}
	var conflict *core.ConflictError
	if !errors.As(loser.err, &conflict) {
		t.Fatalf("round %d: loser got %v, want a conflict", round, loser.err)
	}
	want := winner.change.(core.ProfileChange).Spec.TargetMs
	if conflict.Current.Spec.TargetMs != want || conflict.Current.Revision != winner.outcome.Revision {
		t.Fatalf("round %d: conflict names %+v", round, conflict.Current)
	}
}

// TestWholeFleetReplaced replaces all hosts, one by one and at once, while the
// log drops every record of the start.
func TestWholeFleetReplaced(t *testing.T) {
	const retention = 10 * time.Minute
	store := newStore(1)
	store.SetFaults(standin.Faults{RetentionMs: retention.Milliseconds()})
	runFleet(t, store, 0, func(t *testing.T, f *fleet) {
		f.settings.Retention = retention
		for i := range 6 {
			f.start(fmt.Sprintf("host-%d", i))
		}
		time.Sleep(5 * time.Second)
		outcome := f.mustChange(0, "a", 500)
		for round := range 8 {
			for i := range 6 {
				f.restart(i, 2*time.Second)
				time.Sleep(time.Minute)
			}
			f.checkInForce(outcome, fmt.Sprintf("one by one, round %d", round))
		}
		for round := range 4 {
			for i := range 6 {
				f.stop(fmt.Sprintf("host-%d", i))
			}
			time.Sleep(time.Minute)
			for i := range 6 {
				f.start(fmt.Sprintf("host-%d", i))
			}
			f.awaitReady(10 * time.Second)
			f.checkInForce(outcome, fmt.Sprintf("all at once, round %d", round))
			time.Sleep(retention * 3 / 4)
		}
		outcome = f.mustChange(0, "b", 700)
		f.awaitInForce(appliedLimit, outcome.Offset)
		f.checkInForce(outcome, "after a change")
	})
}

// checkInForce checks that all hosts are ready with the outcome's revision.
func (f *fleet) checkInForce(outcome core.Outcome, when string) {
	f.t.Helper()
	for _, m := range f.running() {
		_, revision, _ := m.config.Profile("briefing")
		if ready, reason := m.config.Ready(); !ready || revision != outcome.Revision {
			f.t.Fatalf("%s: %s has revision %d, ready %v: %s", when, m.name, revision, ready, reason)
		}
	}
}

// TestLogDown restarts every host while the log is down.
func TestLogDown(t *testing.T) {
	store := newStore(1)
	runFleet(t, store, 6, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		outcome := f.mustChange(0, "a", 500)
		store.SetFaults(standin.Faults{Down: true})
		for i := range 6 {
			f.restart(i, 2*time.Second)
			f.awaitReady(10 * time.Second)
			time.Sleep(90 * time.Second)
			f.checkInForce(outcome, "log down")
		}
		lost := f.operate(2, "b", briefing(outcome.Revision, 600))
		<-lost.done
		var unknown *configuration.UnknownOutcomeError
		if !errors.As(lost.err, &unknown) {
			t.Errorf("change with the log down: %v", lost.err)
		}
		store.SetFaults(standin.Faults{})
		time.Sleep(5 * time.Second)
		outcome = f.mustChange(4, "b", 600)
		f.awaitInForce(appliedLimit, outcome.Offset)
		f.checkInForce(outcome, "log up again")
	})
}

// TestStartsWithNeitherLogNorPeers checks that such a host is not ready.
func TestStartsWithNeitherLogNorPeers(t *testing.T) {
	store := newStore(1)
	store.SetFaults(standin.Faults{Down: true})
	runFleet(t, store, 2, func(t *testing.T, f *fleet) {
		time.Sleep(time.Minute)
		for _, m := range f.running() {
			if ready, _ := m.config.Ready(); ready {
				t.Errorf("%s is ready", m.name)
			}
		}
		ctx, cancel := context.WithTimeout(f.ctx, 10*time.Second)
		defer cancel()
		_, err := f.host(0).PublishChange(ctx, "a", briefing(0, 500))
		var notReady *configuration.NotReadyError
		if !errors.As(err, &notReady) {
			t.Errorf("change got %v", err)
		}
	})
}

// TestStalePeerNeverReverts joins hosts that lag by an hour with others.
func TestStalePeerNeverReverts(t *testing.T) {
	store := newStore(1)
	runFleet(t, store, 5, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		f.mustChange(0, "a", 500)
		time.Sleep(5 * time.Second)
		f.cut(4, true)
		outcome := f.mustChange(0, "b", 600)
		f.host(4).HandleAdvertisedHead("host-0", 1)
		time.Sleep(time.Hour)
		if ready, _ := f.host(4).Ready(); ready {
			t.Error("a host that was cut off for an hour is ready")
		}
		store.SetFaults(standin.Faults{Down: true})
		f.cut(4, false)
		for i := range 4 {
			f.restart(i, 0)
			time.Sleep(30 * time.Second)
		}
		f.awaitReady(10 * time.Second)
		f.checkInForce(outcome, "joined again")
	})
}

// TestTruncatedWithoutSnapshot checks that a tail that begins too late is not
// taken for a whole stream.
func TestTruncatedWithoutSnapshot(t *testing.T) {
	store := newStore(1)
	store.SetFaults(standin.Faults{RetentionMs: 60_000})
	runFleet(t, store, 1, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		f.mustChange(0, "a", 500)
		time.Sleep(2 * time.Minute)
		f.mustChange(0, "b", 600)
		f.restart(0, time.Second)
		time.Sleep(time.Minute)
		dump := f.host(0).Dump()
		if dump.Ready || dump.NextOffset != 0 || dump.Alarms[follow.AlarmTruncatedWithoutSnapshot] != 1 {
			t.Errorf("ready %v, applied %d, alarms %v", dump.Ready, dump.NextOffset, dump.Alarms)
		}
	})
}

// TestSilentConnections makes every open connection silent for good.
func TestSilentConnections(t *testing.T) {
	store := newStore(1)
	runFleet(t, store, 9, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		f.mustChange(0, "a", 500)
		for round := range 10 {
			time.Sleep(time.Duration(round) * 777 * time.Millisecond)
			f.silence()
			time.Sleep(time.Millisecond)
			outcome := f.mustChange(round%9, fmt.Sprintf("round-%d", round), int64(600+round))
			f.awaitInForce(appliedLimit, outcome.Offset)
		}
	})
}

// TestSilentPeerConnections does the same where most hosts hear of a change from
// peers only. With 30 hosts each one has silent connections to many peers, of
// which every one used to cost a timeout of its own.
func TestSilentPeerConnections(t *testing.T) {
	for _, size := range []struct {
		hosts, zones int
	}{
		{hosts: 15, zones: 1},
		{hosts: 30, zones: 3},
	} {
		t.Run(fmt.Sprintf("hosts=%d", size.hosts), func(t *testing.T) {
			runFleet(t, newStore(1), 0, func(t *testing.T, f *fleet) {
				f.zones = size.zones
				for i := range size.hosts {
					f.start(fmt.Sprintf("host-%d", i))
				}
				time.Sleep(5 * time.Second)
				f.mustChange(0, "first", 500)
				for round := range 20 {
					time.Sleep(3*time.Second + time.Duration(round)*37*time.Millisecond)
					f.silence()
					time.Sleep(time.Millisecond)
					outcome := f.mustChange(round%size.hosts, fmt.Sprintf("round-%d", round), int64(600+round))
					f.awaitInForce(appliedLimit, outcome.Offset)
				}
			})
		})
	}
}

// TestInForceWhileHostsRestart has two of nine hosts restarting at each change.
func TestInForceWhileHostsRestart(t *testing.T) {
	store := newStore(1)
	runFleet(t, store, 9, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		f.mustChange(0, "first", 500)
		for round := range 18 {
			first, second, publisher := round%9, (round+1+round/9)%9, (round+4)%9
			f.stop(fmt.Sprintf("host-%d", first))
			f.stop(fmt.Sprintf("host-%d", second))
			outcome := f.mustChange(publisher, fmt.Sprintf("round-%d", round), int64(600+round))
			f.start(fmt.Sprintf("host-%d", first))
			time.Sleep(time.Second)
			f.start(fmt.Sprintf("host-%d", second))
			f.awaitInForce(appliedLimit-time.Second, outcome.Offset)
			f.awaitReady(appliedLimit)
			got := f.host(publisher).QueryInForce(f.ctx, outcome.Offset)
			if len(got.Applied) != 9 || len(got.Lagging) != 0 {
				t.Fatalf("round %d: in force on %v, lagging %v", round, got.Applied, got.Lagging)
			}
		}
	})
}

func TestInForceNamesLaggingHosts(t *testing.T) {
	runFleet(t, newStore(1), 4, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		f.cut(2, true)
		outcome := f.mustChange(0, "a", 500)
		time.Sleep(2 * time.Second)
		got := f.host(0).QueryInForce(f.ctx, outcome.Offset)
		if !slices.Equal(got.Lagging, []string{"host-2"}) || len(got.Applied) != 3 {
			t.Errorf("in force on %v, lagging %v", got.Applied, got.Lagging)
		}
	})
}

// TestLogReset puts an empty log in the place of the one that was read.
func TestLogReset(t *testing.T) {
	runFleet(t, newStore(1), 4, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		outcome := f.mustChange(0, "a", 500)
		f.swapLog(newStore(2))
		time.Sleep(10 * time.Second)
		for i := range 4 {
			f.restart(i, time.Second)
			f.awaitReady(10 * time.Second)
			time.Sleep(20 * time.Second)
			f.checkInForce(outcome, "log reset")
		}
		alarms := uint64(0)
		for _, m := range f.running() {
			alarms += m.config.Dump().Alarms[follow.AlarmLogReset]
		}
		if alarms == 0 {
			t.Error("no host gave the alarm")
		}
	})
}

// TestLogReplaced puts a longer log with other records in the place of the one
// that was read.
func TestLogReplaced(t *testing.T) {
	store := newStore(1)
	runFleet(t, store, 2, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		outcome := f.mustChange(0, "a", 500)
		f.awaitInForce(appliedLimit, outcome.Offset)
		store.SetFaults(standin.Faults{Down: true})
		time.Sleep(10 * time.Second)
		other := newStore(2)
		for i := range 5 {
			data, err := core.Encode(fmt.Sprint(i), "", 0, briefing(uint64(i), 9))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := other.Append(f.ctx, record.StreamConfiguration, [][]byte{data}); err != nil {
				t.Fatal(err)
			}
		}
		f.swapLog(other)
		time.Sleep(10 * time.Second)
		f.checkInForce(outcome, "log replaced")
		fresh := f.start("host-2")
		time.Sleep(time.Minute)
		if ready, _ := fresh.config.Ready(); ready || fresh.config.Dump().Alarms[follow.AlarmDivergentPeer] == 0 {
			t.Errorf("a new host takes the other log for the right one: %+v", fresh.config.Dump())
		}
		f.stop("host-2")
		f.checkInForce(outcome, "log replaced and a new host met")
		for _, m := range f.running() {
			if m.config.Dump().Alarms[follow.AlarmLogReplaced] != 1 {
				t.Errorf("%s gave the alarms %v", m.name, m.config.Dump().Alarms)
			}
		}
	})
}

// TestNewerRecord puts a record of a newer format into the stream.
func TestNewerRecord(t *testing.T) {
	store := newStore(1)
	runFleet(t, store, 3, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		outcome := f.mustChange(0, "a", 500)
		data, err := json.Marshal(record.Envelope{
			Version: record.Version + 1,
			Kind:    record.KindProfileChange,
			ID:      "newer",
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Append(f.ctx, record.StreamConfiguration, [][]byte{data}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		f.checkInForce(outcome, "within the bound")
		time.Sleep(time.Minute)
		for _, m := range f.running() {
			dump := m.config.Dump()
			if dump.Ready || dump.NextOffset != outcome.Offset+1 || dump.Alarms[follow.AlarmNewerRecord] == 0 {
				t.Errorf("%s: %+v", m.name, dump)
			}
		}
	})
}

// TestDutiesRecoverFromPanics has the duties of two hosts panic again and again.
func TestDutiesRecoverFromPanics(t *testing.T) {
	runFleet(t, newStore(1), 6, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		for round := range 6 {
			f.members["host-1"].panics.Store(int32(1 + round))
			f.members["host-4"].panics.Store(int32(1 + round))
			f.silence()
			time.Sleep(time.Minute)
			if f.members["host-1"].panics.Load() >= 0 || f.members["host-4"].panics.Load() >= 0 {
				t.Error("no duty has panicked")
			}
			outcome := f.mustChange(1, fmt.Sprint(round), int64(500+round))
			f.awaitInForce(appliedLimit, outcome.Offset)
			f.awaitReady(appliedLimit)
		}
	})
}

func TestChangeIDs(t *testing.T) {
	runFleet(t, newStore(1), 2, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		first := f.mustChange(0, "a", 500)
		f.mustChange(0, "b", 600)
		f.awaitInForce(appliedLimit, first.Offset+1)
		again, err := f.host(1).PublishChange(f.ctx, "a", briefing(0, 500))
		if err != nil || again != first {
			t.Errorf("repeated call: %+v, %v", again, err)
		}
		_, err = f.host(1).PublishChange(f.ctx, "a", briefing(0, 999))
		var reused *configuration.IDReusedError
		if !errors.As(err, &reused) {
			t.Errorf("other change under the same id: %v", err)
		}
		drained := core.EndpointChange{
			Name:        "engine-3",
			Incarnation: 4,
			Drained:     true,
		}
		outcome, err := f.host(1).PublishChange(f.ctx, "c", drained)
		if err != nil {
			t.Fatal(err)
		}
		f.awaitInForce(appliedLimit, outcome.Offset)
		if !f.host(0).IsDrained(endpoint.Key{Name: "engine-3", Incarnation: 4}) {
			t.Error("endpoint is not drained at the other host")
		}
	})
}
