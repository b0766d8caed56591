package keyedlog_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cactuswell/core/replica"
	"cactuswell/io/keyedlog"
	standin "cactuswell/standin/keyedlog"
	"cactuswell/timer"
)

const topic = "endpoints"

// listener keeps the values of a topic and records the other notifications.
type listener struct {
	values map[string]string
	events []string
}

func (l *listener) HandleListing(records []keyedlog.Record) {
	l.values = make(map[string]string)
	l.HandleRecords(records)
	l.events = append(l.events, "listed")
}

func (l *listener) HandleRecords(records []keyedlog.Record) {
	for _, record := range records {
		if record.Deleted {
			delete(l.values, record.Key)
			continue
		}
		l.values[record.Key] = string(record.Value)
	}
}

func (l *listener) HandleRewind(before, after replica.Position) {
	l.events = append(l.events, fmt.Sprintf("rewound %d-%d to %d-%d", before.Era, before.Offset, after.Era, after.Offset))
}

func (l *listener) HandleOutage(error)           { l.events = append(l.events, "lost") }
func (l *listener) HandleRecovery(time.Duration) { l.events = append(l.events, "back") }

// runFollower runs a follower while a scenario plays, in virtual time.
func runFollower(t *testing.T, scenario func(log *standin.Log, l *listener)) {
	t.Helper()
	runFollowerWithCaller(t, func(log *standin.Log, _ *standin.Client, l *listener) { scenario(log, l) })
}

// runFollowerWithCaller is like runFollower, but also passes the follower's client of
// the log to the scenario, in which faults can be injected.
func runFollowerWithCaller(t *testing.T, scenario func(log *standin.Log, caller *standin.Client, l *listener)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := standin.New()
		caller := log.NewClient()
		l := &listener{}
		timers := timer.New()
		follower := keyedlog.New(keyedlog.Dependencies{
			Log:             caller,
			Topic:           topic,
			Listener:        l,
			Timers:          timers,
			MinReadInterval: 500 * time.Millisecond,
			RecordCall:      func(time.Duration, error) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 2)
		go func() { done <- timers.Run(ctx) }()
		go func() { done <- follower.Run(ctx) }()
		scenario(log, caller, l)
		cancel()
		for range 2 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	})
}

func wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestFollowerAppliesChanges(t *testing.T) {
	runFollower(t, func(log *standin.Log, l *listener) {
		log.Append(topic, "a", []byte("1"))
		wait(time.Second)
		log.Append(topic, "a", []byte("2"))
		log.Append(topic, "b", []byte("1"))
		wait(time.Second)
		log.Append(topic, "a", nil)
		wait(time.Second)
		if diff := cmp.Diff(map[string]string{"b": "1"}, l.values); diff != "" {
			t.Error(diff)
		}
	})
}

func TestChangeArrivesWithinReadInterval(t *testing.T) {
	runFollower(t, func(log *standin.Log, l *listener) {
		wait(10 * time.Second)
		log.Append(topic, "a", []byte("1"))
		wait(510 * time.Millisecond)
		if l.values["a"] != "1" {
			t.Error("the change did not arrive within the read interval")
		}
	})
}

func TestIdleTopicNeedsFewCalls(t *testing.T) {
	runFollower(t, func(log *standin.Log, _ *listener) {
		wait(40 * time.Second)
		if reads, lists := log.CallCounts(); reads > 12 || lists != 1 {
			t.Errorf("%d reads and %d listings in 40 s, want at most 12 and 1", reads, lists)
		}
	})
}

func TestListingOfManyPages(t *testing.T) {
	runFollower(t, func(log *standin.Log, l *listener) {
		log.SetPageSize(7)
		for i := range 40 {
			log.Append(topic, fmt.Sprint(i), []byte("x"))
		}
		wait(time.Second)
		if len(l.values) != 40 {
			t.Errorf("the listener has %d keys, want 40", len(l.values))
		}
	})
}

func TestExpiredRecordsCauseRelisting(t *testing.T) {
	runFollower(t, func(log *standin.Log, l *listener) {
		log.Append(topic, "a", []byte("1"))
		wait(time.Second)
		log.SetDown(true)
		wait(time.Second)
		log.Append(topic, "b", []byte("1"))
		log.Append(topic, "a", nil)
		log.Truncate(topic)
		log.SetDown(false)
		wait(2 * time.Second)
		if diff := cmp.Diff(map[string]string{"b": "1"}, l.values); diff != "" {
			t.Error(diff)
		}
	})
}

func TestOutageIsReported(t *testing.T) {
	for name, outage := range map[string]func(log *standin.Log, on bool){
		"refusing": (*standin.Log).SetDown,
		"silent":   (*standin.Log).SetUnresponsive,
	} {
		t.Run(name, func(t *testing.T) {
			runFollower(t, func(log *standin.Log, l *listener) {
				wait(time.Second)
				outage(log, true)
				wait(8 * time.Second)
				outage(log, false)
				wait(2 * time.Second)
				if diff := cmp.Diff([]string{"listed", "lost", "back"}, l.events); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

func TestStartDuringAnOutage(t *testing.T) {
	runFollower(t, func(log *standin.Log, l *listener) {
		log.SetDown(true)
		log.Append(topic, "a", []byte("1"))
		wait(5 * time.Second)
		log.SetDown(false)
		wait(time.Second)
		if l.values["a"] != "1" {
			t.Error("the record did not arrive after the outage")
		}
	})
}

// TestFaultsForOneCaller injects faults that only one client of the log sees. It
// checks whether the follower reports an outage, and how soon a change that is made
// during the fault arrives.
func TestFaultsForOneCaller(t *testing.T) {
	for _, c := range []struct {
		name       string
		fault      standin.Fault
		wantOutage bool
		// arrivesWithin is the time from the start of the fault within which a
		// change arrives that is made a second after the start. The fault lasts for
		// ten seconds.
		arrivesWithin time.Duration
	}{
		// An attempt takes at most 0.9 s, and the next one starts at most 0.6 s later.
		{"refused", standin.Refusal{}, true, 10600 * time.Millisecond},
		{"mute", standin.Hang{}, true, 11500 * time.Millisecond},
		{"slow", standin.SlowAnswer{Delay: 300 * time.Millisecond}, false, 2 * time.Second},
		{"tooSlow", standin.SlowAnswer{Delay: 5 * time.Second}, true, 11500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFollowerWithCaller(t, func(log *standin.Log, caller *standin.Client, l *listener) {
				log.Append(topic, "a", []byte("1"))
				wait(time.Second)
				caller.SetFault(c.fault)
				startedAt := time.Now()
				wait(time.Second)
				log.Append(topic, "a", []byte("2"))
				wait(10*time.Second - time.Since(startedAt))
				if hasOutage := slices.Contains(l.events, "lost"); hasOutage != c.wantOutage {
					t.Errorf("unexpected outage events %v", l.events)
				}
				if !c.wantOutage && l.values["a"] != "2" {
					t.Error("the change did not arrive during the fault")
				}
				caller.SetFault(nil)
				wait(c.arrivesWithin - time.Since(startedAt))
				if l.values["a"] != "2" {
					t.Error("the change did not arrive after the fault")
				}
				if hasRecovery := slices.Contains(l.events, "back"); hasRecovery != c.wantOutage {
					t.Errorf("unexpected recovery events %v", l.events)
				}
			})
		})
	}
}

// TestEndlessListing guards against a log whose listing does not end: the follower
// collected its pages until the host's memory was used up.
func TestEndlessListing(t *testing.T) {
	for name, fault := range map[string]standin.EndlessListing{
		"the same page": {},
		"further pages": {Advances: true},
	} {
		t.Run(name, func(t *testing.T) {
			runFollowerWithCaller(t, func(log *standin.Log, caller *standin.Client, l *listener) {
				caller.SetFault(fault)
				log.Append(topic, "a", []byte("1"))
				wait(time.Second)
				if diff := cmp.Diff([]string{"lost"}, l.events); diff != "" {
					t.Error(diff)
				}
				caller.SetFault(nil)
				wait(10 * time.Second)
				if l.values["a"] != "1" {
					t.Errorf("values %v after the listing ends again", l.values)
				}
			})
		})
	}
}
