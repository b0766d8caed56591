package placement_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	core "cactuswell/core/configuration"
	moves "cactuswell/core/placement"
	"cactuswell/io/configuration"
	"cactuswell/io/placement"
	"cactuswell/standin/logservice"
)

// within runs a test over a fleet in virtual time.
func within(t *testing.T, count int, version string, run func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		f := newFleet(ctx, t, count, version)
		run(t, f)
		for _, e := range f.engines {
			if e.unsafely > 0 {
				t.Errorf("%s was reloaded with work on it", e.key.Name)
			}
		}
		stop()
		synctest.Wait()
	})
}

func show(t *testing.T, p *placement.Placement) placement.Report {
	t.Helper()
	data, err := p.Show(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var report placement.Report
	if err := json.Unmarshal(data, &report); err != nil {
		t.Fatal(err)
	}
	return report
}

func TestNothingWithoutADocument(t *testing.T) {
	within(t, 3, "v1", func(t *testing.T, f *fleet) {
		f.host("first")
		time.Sleep(time.Hour)
		if appends, reads := f.log.Counts(); appends+reads != 0 || f.counts().changes != 0 {
			t.Errorf("%d appends, %d reads, %d changes", appends, reads, f.counts().changes)
		}
	})
}

func TestRollingVersionChange(t *testing.T) {
	within(t, 12, "v1", func(t *testing.T, f *fleet) {
		f.host("first")
		f.host("second")
		f.publish("v2", 11, 12)
		begun := f.until(func() bool { return f.counts().orders > 0 })
		took := f.until(func() bool { return f.live("v2") == 12 })
		floor := time.Duration(12*f.bytes/f.rate) * time.Second
		t.Logf("first load after %v; then %v for 12 engines, floor %v, never fewer than %d live",
			begun, took, floor, f.counts().fewestLive)
		if f.counts().fewestLive < 11 {
			t.Errorf("%d copies live", f.counts().fewestLive)
		}
		if f.counts().orders != 12 {
			t.Errorf("%d loads", f.counts().orders)
		}
	})
}

func TestCrashedEngineIsReplaced(t *testing.T) {
	within(t, 4, "v1", func(t *testing.T, f *fleet) {
		f.engines[3].version = ""
		f.host("first")
		f.publish("v1", 3, 3)
		time.Sleep(2 * time.Minute)
		f.setDown(0, true)
		took := f.until(func() bool { return f.live("v1") == 3 })
		t.Logf("copies restored after %v; one load takes %v", took, time.Duration(f.bytes/f.rate)*time.Second)
	})
}

func TestSilentEngineIsNotReplacedAtOnce(t *testing.T) {
	within(t, 4, "v1", func(t *testing.T, f *fleet) {
		f.engines[3].version = ""
		f.host("first")
		f.publish("v1", 3, 3)
		time.Sleep(2 * time.Minute)
		for range 10 {
			f.setDown(0, true)
			time.Sleep(2 * time.Second)
			f.setDown(0, false)
			time.Sleep(2 * time.Second)
		}
		if orders := f.counts().orders; orders != 0 {
			t.Errorf("%d loads for an engine that came back", orders)
		}
	})
}

func TestHandedOverEndpointIsRefilled(t *testing.T) {
	within(t, 4, "v1", func(t *testing.T, f *fleet) {
		f.engines[3].version = ""
		f.host("first")
		f.publish("v1", 2, 3)
		time.Sleep(time.Minute)
		_, err := f.Change(f.ctx, configuration.NewID(), core.EndpointChange{
			Name:        f.engines[0].key.Name,
			Incarnation: 1,
			Drained:     true,
			Author:      "operator",
		})
		if err != nil {
			t.Fatal(err)
		}
		f.until(func() bool { return f.live("v1") == 3 })
		time.Sleep(10 * time.Minute)
		if !f.State().Drained(f.engines[0].key) {
			t.Error("the handed-over endpoint was taken in again")
		}
	})
}

// plan returns the plan of the only pool.
func plan(t *testing.T, p *placement.Placement) moves.Plan {
	t.Helper()
	data, err := p.Plan(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var plans []moves.Plan
	if err := json.Unmarshal(data, &plans); err != nil {
		t.Fatal(err)
	}
	return plans[0]
}

// TestSecondDrainIsNotInForceByTheFirst covers a host that looks at an engine
// under one drain and next under another one.
func TestSecondDrainIsNotInForceByTheFirst(t *testing.T) {
	within(t, 4, "v1", func(t *testing.T, f *fleet) {
		p, stop := f.host("first")
		stop()
		f.publish("v2", 3, 4)
		f.change(true)
		time.Sleep(5 * time.Second)
		plan(t, p)
		time.Sleep(5 * time.Second)
		if first := plan(t, p); first.Move == nil || first.Move.Action != moves.ActionLoad {
			t.Fatalf("the drain in force allows no load: %+v", first)
		}
		f.change(false)
		f.setLagging(true)
		f.change(true)
		time.Sleep(10 * time.Second)
		if second := plan(t, p); second.Move != nil && second.Move.Action == moves.ActionLoad {
			t.Errorf("a load is planned under a drain that a host lacks: %+v", second)
		}
		f.setLagging(false)
		plan(t, p)
		time.Sleep(5 * time.Second)
		if last := plan(t, p); last.Move == nil || last.Move.Action != moves.ActionLoad {
			t.Errorf("the second drain in force allows no load: %+v", last)
		}
	})
}

func TestLogOutageStopsOrders(t *testing.T) {
	within(t, 6, "v1", func(t *testing.T, f *fleet) {
		p, _ := f.host("first")
		f.publish("v2", 5, 6)
		f.until(func() bool { return f.counts().orders == 2 })
		f.log.SetFaults(logservice.Faults{Down: true})
		time.Sleep(15 * time.Second)
		orders, changes := f.counts().orders, f.counts().changes
		if show(t, p).Held {
			t.Error("the lease outlived the log")
		}
		time.Sleep(10 * time.Minute)
		if f.counts().orders != orders || f.counts().changes != changes {
			t.Errorf("%d orders and %d changes without the log", f.counts().orders-orders, f.counts().changes-changes)
		}
		if live := f.live(""); live < 5 {
			t.Errorf("%d copies live", live)
		}
		f.log.SetFaults(logservice.Faults{})
		f.until(func() bool { return f.live("v2") == 6 })
	})
}

func TestNextHolderGoesOn(t *testing.T) {
	within(t, 6, "v1", func(t *testing.T, f *fleet) {
		_, stop := f.host("first")
		f.publish("v2", 5, 6)
		f.until(func() bool { return f.counts().orders == 2 })
		stop()
		second, _ := f.host("second")
		f.until(func() bool { return f.live("v2") == 6 })
		if report := show(t, second); report.Holder != "second" || !report.Held || len(report.Orders) == 0 {
			t.Errorf("%+v", report)
		}
		if f.counts().orders != 6 {
			t.Errorf("%d loads for 6 engines", f.counts().orders)
		}
	})
}

func TestRefusingWeightStoreLeavesServingUntouched(t *testing.T) {
	within(t, 4, "v1", func(t *testing.T, f *fleet) {
		f.storeDown = true
		f.host("first")
		f.publish("v2", 1, 4)
		time.Sleep(10 * time.Minute)
		if f.counts().fewestLive != 4 || f.counts().orders != 0 {
			t.Errorf("%d live, %d orders", f.counts().fewestLive, f.counts().orders)
		}
	})
}

func TestLoadThatNeverEndsCostsOneCopy(t *testing.T) {
	within(t, 4, "v1", func(t *testing.T, f *fleet) {
		f.stoppedLoads = true
		f.host("first")
		f.publish("v2", 1, 4)
		time.Sleep(10 * time.Minute)
		if f.counts().fewestLive != 3 || f.counts().orders != 1 {
			t.Errorf("%d live, %d orders", f.counts().fewestLive, f.counts().orders)
		}
	})
}
