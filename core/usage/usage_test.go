package usage_test

import (
	"maps"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cactuswell/core/usage"
)

var settings = usage.Settings{
	Window: 5 * time.Second,
	Delay:  10 * time.Second,
}

// TestMergeInAnyOrder guards against counts that depend on the order, the repetition or the loss of
// messages, as when the holder changes.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []usage.Report
		want := usage.Counts{}
		for host := range 3 {
			count := int64(0)
			for range rapid.IntRange(1, 4).Draw(t, "messages") {
				count += rapid.Int64Range(1, 5).Draw(t, "requests")
				reports = append(reports, usage.Report{
					Source: usage.Source{
						Host:        string(rune('a' + host)),
						Incarnation: 1,
					},
					Counts: usage.ByWindow{7: {"clerks": count}},
				})
			}
			want["clerks"] += count
		}
		tally := usage.NewTally()
		order := rapid.Permutation(append(reports, reports...)).Draw(t, "order")
		for _, report := range order {
			tally.Merge(report, 0, 10)
		}
		if diff := cmp.Diff(want, tally.Total(7)); diff != "" {
			t.Fatal(diff)
		}
	})
}

// TestRestartedHostIsAnotherSource guards against counts of a host before its restart that are
// replaced by those after it.
func TestRestartedHostIsAnotherSource(t *testing.T) {
	tally := usage.NewTally()
	for born := range int64(2) {
		tally.Merge(usage.Report{
			Source: usage.Source{
				Host:        "host-1",
				Incarnation: born,
			},
			Counts: usage.ByWindow{7: {"clerks": 5}},
		}, 0, 10)
	}
	if got := tally.Total(7)["clerks"]; got != 10 {
		t.Errorf("total %d", got)
	}
	isLive := func(s usage.Source) bool { return s.Incarnation == 1 }
	if ended := tally.Ended(isLive, 10); len(ended) != 1 || ended[0].Incarnation != 0 {
		t.Errorf("ended %+v", ended)
	}
	tally.Forget(7)
	if got := tally.Total(7); len(got) > 0 {
		t.Errorf("total %v after it was dropped", got)
	}
}

// TestCounterAssignsRequestsToTrueWindows guards against requests that are counted in the windows of a
// host's wrong clock, before and after it learns of the true time.
func TestCounterAssignsRequestsToTrueWindows(t *testing.T) {
	counter := usage.NewCounter(settings)
	counter.Record(time.Second, "clerks")
	if changes, _ := counter.Changes(0); len(changes) > 0 {
		t.Errorf("counts %v before the time is known", changes)
	}
	// The true time at 2 s is 1 s after the beginning of window 20.
	counter.Sync(2*time.Second, 101*time.Second)
	counter.Record(2*time.Second, "clerks")
	counter.Sync(3*time.Second, 105*time.Second)
	counter.Record(3*time.Second, "agents")
	changes, version := counter.Changes(0)
	if diff := cmp.Diff(usage.ByWindow{20: {"clerks": 2}, 21: {"agents": 1}}, changes); diff != "" {
		t.Error(diff)
	}
	counter.Record(3*time.Second, "agents")
	changes, _ = counter.Changes(version)
	if diff := cmp.Diff(usage.ByWindow{21: {"agents": 2}}, changes); diff != "" {
		t.Error(diff)
	}
	counter.Forget(21)
	if changes, _ = counter.Changes(0); len(changes) > 0 {
		t.Errorf("counts %v after they were dropped", changes)
	}
}

// TestMedianOffset guards against a true time that a few wrong clocks move.
func TestMedianOffset(t *testing.T) {
	tests := map[string]struct {
		offsets []time.Duration
		want    time.Duration
	}{
		"none":      {},
		"odd":       {offsets: []time.Duration{3, -4000, 2, 5000, 2}, want: 2},
		"even":      {offsets: []time.Duration{0, 2, 5000, -5000}, want: 1},
		"one alone": {offsets: []time.Duration{7}, want: 7},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := usage.MedianOffset(test.offsets); got != test.want {
				t.Errorf("median %d, want %d", got, test.want)
			}
		})
	}
}

// TestBook guards against a report of counts that are not in the store yet, one of a window that an
// earlier holder has fixed with other counts, and one that is overdue.
func TestBook(t *testing.T) {
	book := usage.NewBook(settings, 20)
	book.Restore(21, usage.Counts{"clerks": 4})
	now := settings.End(20) + 2*time.Second
	window, ok := book.Due(now, 1500*time.Millisecond)
	if window != 20 || !ok {
		t.Fatalf("window %d is due: %t", window, ok)
	}
	book.Fix(usage.Counts{"clerks": 3})
	if window, counts, ok := book.NextReport(now); !ok || window != 21 || counts["clerks"] != 4 {
		t.Errorf("report of window %d with %v, %t", window, counts, ok)
	}
	book.Store(20)
	if window, _, ok := book.NextReport(now); !ok || window != 20 {
		t.Errorf("report of window %d, %t", window, ok)
	}
	if window, _ := book.Due(now, 0); window != 22 {
		t.Errorf("window %d is next", window)
	}
	book.Finish(21)
	book.Retry(20, now)
	if _, _, ok := book.NextReport(now); ok || book.Through() != 19 {
		t.Errorf("report at once after a failure, through %d", book.Through())
	}
	if late := book.Late(settings.End(20) + settings.Delay + 1); !cmp.Equal(late, []int64{20}) || book.Through() != 21 {
		t.Errorf("late %v, through %d", late, book.Through())
	}
	if expired := book.Expire(22); !cmp.Equal(expired, []int64{20, 21}) {
		t.Errorf("expired %v", expired)
	}
}

// TestHolderLoad guards against a load on the holder, or a delay of the reports, that grows with the
// number of hosts.
func TestHolderLoad(t *testing.T) {
	got := make(map[int][2]time.Duration)
	for _, hosts := range []int{6, 83, 195, 2400} {
		got[hosts] = [2]time.Duration{settings.PushPeriod(hosts), settings.CloseDelay(hosts)}
		if perSecond := float64(hosts) / settings.PushPeriod(hosts).Seconds(); perSecond > 345 {
			t.Errorf("%d hosts: %.0f messages a second", hosts, perSecond)
		}
	}
	want := map[int][2]time.Duration{
		6:    {250 * time.Millisecond, 1500 * time.Millisecond},
		83:   {553333333, 1553333333},
		195:  {1300 * time.Millisecond, 2300 * time.Millisecond},
		2400: {7 * time.Second, 8 * time.Second},
	}
	if diff := cmp.Diff(maps.Collect(maps.All(want)), got); diff != "" {
		t.Error(diff)
	}
}

// TestControlCalls guards against more than one call to the control API for a window, in a fleet of any
// size.
func TestControlCalls(t *testing.T) {
	const windows = 12
	for _, hosts := range []int{6, 83, 195, 2400} {
		book, calls := usage.NewBook(settings, 100), 0
		for now := settings.End(99); now < settings.End(99+windows)+settings.Delay; now += 100 * time.Millisecond {
			if window, ok := book.Due(now, settings.CloseDelay(hosts)); ok && window < 100+windows {
				book.Fix(nil)
				book.Store(window)
			}
			if window, _, ok := book.NextReport(now); ok {
				calls++
				book.Finish(window)
			}
			if late := book.Late(now); len(late) > 0 {
				t.Errorf("%d hosts: windows %v are late", hosts, late)
			}
			book.Expire(settings.Oldest(now))
		}
		t.Logf("%d hosts: %d calls for %d windows", hosts, calls, windows)
		if calls != windows {
			t.Errorf("%d hosts: %d calls", hosts, calls)
		}
	}
}

// TestCounterIsBounded guards against memory, and a message to the next holder, that grow for as long
// as there is none.
func TestCounterIsBounded(t *testing.T) {
	counter := usage.NewCounter(settings)
	counter.Sync(0, settings.End(20))
	const windows = 1000
	for i := range windows {
		counter.Record(time.Duration(i)*settings.Window, "clerks")
	}
	changes, _ := counter.Changes(0)
	last := settings.End(20) + (windows-1)*settings.Window
	for window := range changes {
		if window < settings.Oldest(last) {
			t.Fatalf("%d windows are kept, among them %d, the oldest of use is %d", len(changes), window, settings.Oldest(last))
		}
	}
	if changes[settings.Oldest(last)] == nil {
		t.Errorf("window %d is missing", settings.Oldest(last))
	}
}
