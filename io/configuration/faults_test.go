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

// pendingChange is one change that is published through one host.
type pendingChange struct {
	config  *configuration.Configuration
	id      string
	change  core.Change
	timeout time.Duration
	outcome core.Outcome
	err     error
	done    chan struct{}
}

func (o *pendingChange) publish(ctx context.Context) {
	defer close(o.done)
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	o.outcome, o.err = o.config.PublishChange(ctx, o.id, o.change)
}

func (f *fleet) startChange(number int, id string, change core.Change) *pendingChange {
	o := &pendingChange{
		config:  f.host(number),
		id:      id,
		change:  change,
		timeout: time.Minute,
		done:    make(chan struct{}),
	}
	go o.publish(f.ctx)
	return o
}

// TestConcurrentChangesHaveOneWinner publishes two concurrent changes of one
// profile through two hosts, a hundred times, while log responses are lost and
// appends fail. Exactly one may be accepted, although both may be appended more
// than once.
func TestConcurrentChangesHaveOneWinner(t *testing.T) {
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
			first := f.startChange(round%3, fmt.Sprintf("first-%d", round), briefing(revision, int64(1000+round)))
			second := f.startChange((round+1)%3, fmt.Sprintf("second-%d", round), briefing(revision, int64(2000+round)))
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

func checkRace(t *testing.T, round int, winner, loser *pendingChange) {
	t.Helper()
	if winner.err != nil {
		t.Fatalf("round %d: no change was accepted: %v, %v", round, winner.err, loser.err)
	}
	var conflict *core.ConflictError
	if !errors.As(loser.err, &conflict) {
		t.Fatalf("round %d: rejected change got %v, want a conflict", round, loser.err)
	}
	want := winner.change.(core.ProfileChange).Spec.TargetMs
	if conflict.Current.Spec.TargetMs != want || conflict.Current.Revision != winner.outcome.Revision {
		t.Fatalf("round %d: conflict holds %+v", round, conflict.Current)
	}
}

// TestFleetReplacementAfterTruncation restarts all hosts, one by one and all at
// once, while the log truncates all early records. The configuration would be
// lost if no snapshot was written in time.
func TestFleetReplacementAfterTruncation(t *testing.T) {
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

// checkInForce checks that all hosts are ready and have the outcome's revision.
func (f *fleet) checkInForce(outcome core.Outcome, when string) {
	f.t.Helper()
	for _, m := range f.running() {
		_, revision, _ := m.config.Profile("briefing")
		if ready, reason := m.config.Ready(); !ready || revision != outcome.Revision {
			f.t.Fatalf("%s: %s has revision %d, ready %v: %s", when, m.name, revision, ready, reason)
		}
	}
}

// TestRestartsWhileLogIsDown restarts every host while the log is down. The
// hosts must take over the state from their peers. A change with the log down
// has an unknown outcome and succeeds when it is retried afterwards.
func TestRestartsWhileLogIsDown(t *testing.T) {
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
		pending := f.startChange(2, "b", briefing(outcome.Revision, 600))
		<-pending.done
		var unknown *configuration.UnknownOutcomeError
		if !errors.As(pending.err, &unknown) {
			t.Errorf("change with the log down: %v", pending.err)
		}
		store.SetFaults(standin.Faults{})
		time.Sleep(5 * time.Second)
		outcome = f.mustChange(4, "b", 600)
		f.awaitInForce(appliedLimit, outcome.Offset)
		f.checkInForce(outcome, "log available again")
	})
}

// TestNotReadyWithoutLogAndPeers checks that hosts that start while the log is
// down and no peer has a state are not ready and publish nothing.
func TestNotReadyWithoutLogAndPeers(t *testing.T) {
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

// TestStalePeerDoesNotRevertChanges reconnects a host that was cut off for an
// hour while the others restart. They must not adopt its older state.
func TestStalePeerDoesNotRevertChanges(t *testing.T) {
	store := newStore(1)
	runFleet(t, store, 5, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		f.mustChange(0, "a", 500)
		time.Sleep(5 * time.Second)
		f.setCutOff(4, true)
		outcome := f.mustChange(0, "b", 600)
		f.host(4).HandleAdvertisedHead("host-0", 1)
		time.Sleep(time.Hour)
		if ready, _ := f.host(4).Ready(); ready {
			t.Error("a host that was cut off for an hour is ready")
		}
		store.SetFaults(standin.Faults{Down: true})
		f.setCutOff(4, false)
		for i := range 4 {
			f.restart(i, 0)
			time.Sleep(30 * time.Second)
		}
		f.awaitReady(10 * time.Second)
		f.checkInForce(outcome, "reconnected")
	})
}

// TestTruncatedWithoutSnapshot checks that a host does not apply a stream whose
// first records were truncated and are in no snapshot, and raises the alarm.
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

// TestSilentConnections makes all open connections permanently silent before
// each change. Calls must time out and be retried over new connections.
func TestSilentConnections(t *testing.T) {
	store := newStore(1)
	runFleet(t, store, 9, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		f.mustChange(0, "a", 500)
		for round := range 10 {
			time.Sleep(time.Duration(round) * 777 * time.Millisecond)
			f.silenceConnections()
			time.Sleep(time.Millisecond)
			outcome := f.mustChange(round%9, fmt.Sprintf("round-%d", round), int64(600+round))
			f.awaitInForce(appliedLimit, outcome.Offset)
		}
	})
}

// TestSilentPeerConnections does the same in zones where most hosts get changes
// from peers only. With 30 hosts each one has silent connections to many peers;
// each of them used to cost a separate timeout.
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
					f.silenceConnections()
					time.Sleep(time.Millisecond)
					outcome := f.mustChange(round%size.hosts, fmt.Sprintf("round-%d", round), int64(600+round))
					f.awaitInForce(appliedLimit, outcome.Offset)
				}
			})
		})
	}
}

// TestInForceWhileHostsRestart restarts two of nine hosts at each change. Pushes
// to them are lost, and they must still apply the change within the limit.
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
		f.setCutOff(2, true)
		outcome := f.mustChange(0, "a", 500)
		time.Sleep(2 * time.Second)
		got := f.host(0).QueryInForce(f.ctx, outcome.Offset)
		if !slices.Equal(got.Lagging, []string{"host-2"}) || len(got.Applied) != 3 {
			t.Errorf("in force on %v, lagging %v", got.Applied, got.Lagging)
		}
	})
}

// TestLogReset replaces the log by an empty one. Hosts must keep their state,
// also across restarts, and raise the alarm.
func TestLogReset(t *testing.T) {
	runFleet(t, newStore(1), 4, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		outcome := f.mustChange(0, "a", 500)
		f.replaceLog(newStore(2))
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
			t.Error("no host raised the alarm")
		}
	})
}

// TestLogReplaced replaces the log by a longer one with other records. Running
// hosts must not apply them, and a new host that reads them must not become
// ready among peers that disagree.
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
		f.replaceLog(other)
		time.Sleep(10 * time.Second)
		f.checkInForce(outcome, "log replaced")
		newHost := f.start("host-2")
		time.Sleep(time.Minute)
		if ready, _ := newHost.config.Ready(); ready || newHost.config.Dump().Alarms[follow.AlarmDivergentPeer] == 0 {
			t.Errorf("a new host accepted the replaced log: %+v", newHost.config.Dump())
		}
		f.stop("host-2")
		f.checkInForce(outcome, "log replaced and a new host started")
		for _, m := range f.running() {
			if m.config.Dump().Alarms[follow.AlarmLogReplaced] != 1 {
				t.Errorf("%s raised the alarms %v", m.name, m.config.Dump().Alarms)
			}
		}
	})
}

// TestNewerRecord appends a record of a newer format version. Hosts must not
// apply or skip it, and become not ready after the lag limit.
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
		f.checkInForce(outcome, "within the limit")
		time.Sleep(time.Minute)
		for _, m := range f.running() {
			dump := m.config.Dump()
			if dump.Ready || dump.NextOffset != outcome.Offset+1 || dump.Alarms[follow.AlarmNewerRecord] == 0 {
				t.Errorf("%s: %+v", m.name, dump)
			}
		}
	})
}

// TestDutiesRecoverFromPanics makes the duties of two hosts panic repeatedly.
// The supervisor must restart them and the hosts must apply later changes.
func TestDutiesRecoverFromPanics(t *testing.T) {
	runFleet(t, newStore(1), 6, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		for round := range 6 {
			f.members["host-1"].pendingPanics.Store(int32(1 + round))
			f.members["host-4"].pendingPanics.Store(int32(1 + round))
			f.silenceConnections()
			time.Sleep(time.Minute)
			if f.members["host-1"].pendingPanics.Load() >= 0 || f.members["host-4"].pendingPanics.Load() >= 0 {
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
			t.Errorf("second call with the same id: %+v, %v", again, err)
		}
		_, err = f.host(1).PublishChange(f.ctx, "a", briefing(0, 999))
		var reused *configuration.IDReusedError
		if !errors.As(err, &reused) {
			t.Errorf("another change with the same id: %v", err)
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
