package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cactuswell/core/lease"
	"cactuswell/core/usage"
	"cactuswell/io/control"
	"cactuswell/settings"
)

// TestHolderWithWrongClock guards against a new holder that drops windows, or the counts of other
// hosts, by its own clock, before it has derived the true time from the clocks of the others.
func TestHolderWithWrongClock(t *testing.T) {
	for name, clockError := range map[string]time.Duration{
		"ahead":  30 * time.Second,
		"behind": -30 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkHolderWithWrongClock(t, clockError) })
		})
	}
}

func checkHolderWithWrongClock(t *testing.T, clockError time.Duration) {
	d := newClockDuties()
	time.Sleep(time.Minute)
	trueTime := func() time.Duration { return d.instant().Wall - clockError }
	current := d.settings.WindowAt(trueTime())
	unreported := current - 2
	d.listed = dutyRecords{
		note:  unreported - 1,
		usage: usage.ByWindow{unreported: {"clerks": 4}},
	}
	d.beginTerm()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setClocks(trueTime)
	const others = 4
	d.mergeCounts(usage.Report{
		Source: usage.Source{Host: "host-1"},
		Counts: usage.ByWindow{current: {"clerks": 3}},
	})
	if due := d.closeWindows(others); len(due.late)+len(due.missed) > 0 {
		t.Errorf("windows %v and %v are dropped before the true time is known", due.late, due.missed)
	}
	d.holder.clocks["host-3"] = d.holder.clocks["host-1"]
	time.Sleep(medianInterval)
	d.closeWindows(others)
	if window, _, ok := d.holder.book.NextReport(trueTime()); !ok || window != unreported {
		t.Errorf("report of window %d, %t, want %d", window, ok, unreported)
	}
	if got := d.holder.tally.Total(current)["clerks"]; got != 3 {
		t.Errorf("%d requests in the current window, want 3", got)
	}
}

// TestFirstHolderWithWrongClock guards against a fleet whose first windows are not reported because
// the clock of its first holder is ahead, or that reports windows before its start.
func TestFirstHolderWithWrongClock(t *testing.T) {
	for name, clockError := range map[string]time.Duration{
		"ahead":  30 * time.Second,
		"behind": -30 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newClockDuties()
				trueTime := func() time.Duration { return d.instant().Wall - clockError }
				started := d.settings.WindowAt(trueTime())
				d.beginTerm()
				d.mu.Lock()
				defer d.mu.Unlock()
				d.setClocks(trueTime)
				d.mergeCounts(usage.Report{
					Source: usage.Source{Host: "host-1"},
					Counts: usage.ByWindow{started: {"clerks": 3}},
				})
				const others = 2
				d.closeWindows(others)
				time.Sleep(3 * time.Second)
				d.closeWindows(others)
				if window, _ := d.holder.book.Due(trueTime(), 0); window != started {
					t.Errorf("the first window is %d, want %d", window, started)
				}
				if got := d.holder.tally.Total(started)["clerks"]; got != 3 {
					t.Errorf("%d requests in the first window, want 3", got)
				}
			})
		})
	}
}

// TestRestartAfterStoreRestored guards against windows that are fixed again with other counts after
// the store has lost their records and all hosts, which knew that they were fixed, have restarted.
func TestRestartAfterStoreRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newClockDuties()
		time.Sleep(time.Second)
		current := d.settings.WindowAt(d.instant().Wall)
		d.listed = dutyRecords{
			era:      1,
			leaseEra: 0,
			note:     current - 4,
			usage:    usage.ByWindow{current - 3: {"clerks": 4}},
		}
		d.beginTerm()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.setClocks(func() time.Duration { return d.instant().Wall })
		const others = 2
		d.closeWindows(others)
		time.Sleep(d.settings.Window + 2*time.Second)
		var got []string
		for _, extra := range d.closeWindows(others).extras {
			got = append(got, extra.Key)
		}
		if want := []string{usageKeyPrefix + strconv.FormatInt(current, 10)}; !slices.Equal(got, want) {
			t.Errorf("fixed %v, want %v", got, want)
		}
	})
}

// newClockDuties returns the duties of a host that does not know the true time.
func newClockDuties() *singletonDuties {
	d := &singletonDuties{
		gateway:   &Gateway{Dependencies: Dependencies{Settings: settings.Gateway{Name: "host-0"}}},
		startedAt: time.Now(),
		settings: usage.Settings{
			Window: 5 * time.Second,
			Delay:  10 * time.Second,
		},
		machine: lease.New(lease.Settings{Host: "host-0"}),
	}
	d.counter = usage.NewCounter(d.settings)
	return d
}

// setClocks sets the clocks of two other hosts, which are right.
func (d *singletonDuties) setClocks(trueTime func() time.Duration) {
	now := d.instant()
	for _, host := range []string{"host-1", "host-2"} {
		d.holder.clocks[host] = hostClock{
			atZero:  trueTime() - now.Mono,
			heardAt: now.Mono,
		}
	}
}

// successfulControl accepts all calls.
type successfulControl struct{}

// ReportUsage implements control.Client.
func (successfulControl) ReportUsage(context.Context, control.Fence, int64, map[string]int64) error {
	return nil
}

// OrderEndpoints implements control.Client.
func (successfulControl) OrderEndpoints(context.Context, control.Fence, control.Order) error {
	return nil
}

// TestAcceptedOrderEndsFailures guards against a holder that gives up the lease for failed calls among
// which orders were accepted.
func TestAcceptedOrderEndsFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newClockDuties()
		d.gateway.meter = newMeter()
		d.callTimeout = time.Second
		d.acquire()
		fence, ok := d.fence()
		if !ok {
			t.Fatal("the host does not hold the lease")
		}
		d.control = &guardedControl{
			duties: d,
			client: successfulControl{},
		}
		d.controlFailures = maxControlFailures - 1
		if err := d.control.OrderEndpoints(t.Context(), fence, control.Order{}); err != nil {
			t.Fatal(err)
		}
		if d.controlFailures != 0 {
			t.Errorf("%d failures in a row after an accepted order", d.controlFailures)
		}
	})
}

// acquire lets the host claim the lease.
func (d *singletonDuties) acquire() {
	d.machine = lease.New(lease.Settings{
		Host: "host-0",
		Term: 3 * time.Second,
	})
	tick := lease.Tick{View: lease.View{IsComplete: true}}
	d.machine.Handle(d.instant(), tick)
	time.Sleep(2 * time.Second)
	d.machine.Handle(d.instant(), tick)
	d.machine.Handle(d.instant(), lease.ReadDone{})
	d.machine.Handle(d.instant(), lease.AppendDone{
		Outcome: lease.Executed,
		End:     1,
	})
}

// TestClocksAreBounded guards against memory that grows with the names in messages of other hosts.
func TestClocksAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newClockDuties()
		d.acquire()
		d.beginTerm()
		const names = 10000
		for i := range names {
			request := httptest.NewRequest(http.MethodPost, usagePath, strings.NewReader(fmt.Sprintf(`{"host":"h-%d","born":1}`, i)))
			d.serveUsage(httptest.NewRecorder(), request)
		}
		if got := len(d.holder.clocks); got >= names || got == 0 {
			t.Errorf("%d clocks are kept", got)
		}
	})
}
