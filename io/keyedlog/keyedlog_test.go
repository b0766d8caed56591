package keyedlog_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cactuswell/io/keyedlog"
	standin "cactuswell/standin/keyedlog"
	"cactuswell/timer"
)

const topic = "endpoints"

// listener keeps the values that a topic holds, as told.
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

func (l *listener) HandleOutage(error)           { l.events = append(l.events, "lost") }
func (l *listener) HandleRecovery(time.Duration) { l.events = append(l.events, "back") }

// course runs a follower beside a course of events in virtual time.
func course(t *testing.T, act func(log *standin.Log, l *listener)) {
	t.Helper()
	disruptedCourse(t, func(log *standin.Log, _ *standin.Client, l *listener) { act(log, l) })
}

// disruptedCourse is course with the follower's own view of the log.
func disruptedCourse(t *testing.T, act func(log *standin.Log, view *standin.Client, l *listener)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := standin.New()
		view := log.NewClient()
		l := &listener{}
		timers := timer.New()
		follower := keyedlog.New(keyedlog.Dependencies{
			Log:             view,
			Topic:           topic,
			Listener:        l,
			Timers:          timers,
			PollWait:        4 * time.Second,
			MinReadInterval: 500 * time.Millisecond,
			RecordCall:      func(time.Duration, error) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 2)
		go func() { done <- timers.Run(ctx) }()
		go func() { done <- follower.Run(ctx) }()
		act(log, view, l)
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

func TestFollowsChanges(t *testing.T) {
	course(t, func(log *standin.Log, l *listener) {
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

func TestChangeIsSeenWithinThePace(t *testing.T) {
	course(t, func(log *standin.Log, l *listener) {
		wait(10 * time.Second)
		log.Append(topic, "a", []byte("1"))
		wait(510 * time.Millisecond)
		if l.values["a"] != "1" {
			t.Error("the change is not known after the pace")
		}
	})
}

func TestIdleTopicCostsFewCalls(t *testing.T) {
	course(t, func(log *standin.Log, _ *listener) {
		wait(40 * time.Second)
		if reads, lists := log.CallCounts(); reads > 12 || lists != 1 {
			t.Errorf("%d reads and %d listings in 40 s", reads, lists)
		}
	})
}

func TestListingOfManyPages(t *testing.T) {
	course(t, func(log *standin.Log, l *listener) {
		log.SetPageSize(7)
		for i := range 40 {
			log.Append(topic, fmt.Sprint(i), []byte("x"))
		}
		wait(time.Second)
		if len(l.values) != 40 {
			t.Errorf("%d keys are known, want 40", len(l.values))
		}
	})
}

func TestForgottenRecordsAreListedAnew(t *testing.T) {
	course(t, func(log *standin.Log, l *listener) {
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

func TestOutageIsTold(t *testing.T) {
	for name, outage := range map[string]func(log *standin.Log, on bool){
		"refusing": (*standin.Log).SetDown,
		"silent":   (*standin.Log).SetUnresponsive,
	} {
		t.Run(name, func(t *testing.T) {
			course(t, func(log *standin.Log, l *listener) {
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
	course(t, func(log *standin.Log, l *listener) {
		log.SetDown(true)
		log.Append(topic, "a", []byte("1"))
		wait(5 * time.Second)
		log.SetDown(false)
		wait(time.Second)
		if l.values["a"] != "1" {
			t.Error("nothing is known after the outage")
		}
	})
}

// TestFaultsOfOneCaller checks, for each fault of a log that serves others, whether
// the follower tells of it and how soon it knows a change that came meanwhile.
func TestFaultsOfOneCaller(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault standin.Fault
		lost  bool
		// known is when a change that came a second after the fault is known, from
		// the fault's beginning; the fault ends after ten seconds.
		known time.Duration
	}{
		// A try waits for 0.9 s at most, and the next one begins 0.6 s after it.
		{"refused", standin.Refusal{}, true, 10600 * time.Millisecond},
		{"mute", standin.Hang{}, true, 11500 * time.Millisecond},
		{"slow", standin.SlowAnswer{Delay: 300 * time.Millisecond}, false, 2 * time.Second},
		{"tooSlow", standin.SlowAnswer{Delay: 5 * time.Second}, true, 11500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			disruptedCourse(t, func(log *standin.Log, view *standin.Client, l *listener) {
				log.Append(topic, "a", []byte("1"))
				wait(time.Second)
				view.SetFault(c.fault)
				began := time.Now()
				wait(time.Second)
				log.Append(topic, "a", []byte("2"))
				wait(10*time.Second - time.Since(began))
				if told := slices.Contains(l.events, "lost"); told != c.lost {
					t.Errorf("events are %v", l.events)
				}
				if !c.lost && l.values["a"] != "2" {
					t.Error("the change is not known during the fault")
				}
				view.SetFault(nil)
				wait(c.known - time.Since(began))
				if l.values["a"] != "2" {
					t.Error("the change is not known after the fault")
				}
				if back := slices.Contains(l.events, "back"); back != c.lost {
					t.Errorf("events are %v", l.events)
				}
			})
		})
	}
}
