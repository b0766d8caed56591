package placement_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactuswell/core/endpoint"
	"cactuswell/core/placement"
)

const gibibyte = int64(1) << 30

var start = time.Unix(1000, 0)

func model(least, most int) placement.Model {
	return placement.Model{
		Pool:        "drafting",
		Version:     "v2",
		LeastCopies: least,
		MostCopies:  most,
		Zones:       []string{"zone-0", "zone-1"},
	}
}

func engines(count int, version string) []placement.Engine {
	list := make([]placement.Engine, 0, count)
	for i := range count {
		list = append(list, placement.Engine{
			Key:       endpoint.Key{Name: fmt.Sprintf("engine-%02d", i), Incarnation: 1},
			Zone:      fmt.Sprintf("zone-%d", i%2),
			Reachable: true,
			Version:   version,
			Slots:     8,
		})
	}
	return list
}

func situation(m placement.Model, list []placement.Engine, target int) placement.Situation {
	return placement.Situation{
		Model:   m,
		Engines: list,
		Target:  target,
		Store:   placement.Store{Available: true, BytesPerSecond: gibibyte},
		Loads:   &placement.Loads{},
		Now:     start,
	}
}

// check compares a plan's move, as "action engine", and looks for a reason.
func check(t *testing.T, plan placement.Plan, want, reason string) {
	t.Helper()
	got := ""
	if plan.Move != nil {
		got = string(plan.Move.Action) + " " + plan.Move.Endpoint.Name
	}
	if got != want {
		t.Errorf("move %q, want %q; reasons %v", got, want, plan.Reasons)
	}
	if reason != "" && !strings.Contains(fmt.Sprint(plan.Reasons), reason) {
		t.Errorf("reasons %v do not say %q", plan.Reasons, reason)
	}
}

func TestParseNamesTheField(t *testing.T) {
	for document, field := range map[string]string{
		`{`:            "document",
		`{"models":1}`: "document",
		`{"models":[{"pool":"a","version":"v","leastCopies":1,"mostCopies":1,"x":1}]}`:              "document",
		`{"models":[{"version":"v","leastCopies":1,"mostCopies":1}]}`:                               "models[0].pool",
		`{"models":[{"pool":"a","leastCopies":1,"mostCopies":1}]}`:                                  "models[0].version",
		`{"models":[{"pool":"a","version":"v","mostCopies":1}]}`:                                    "models[0].leastCopies",
		`{"models":[{"pool":"a","version":"v","leastCopies":2,"mostCopies":1}]}`:                    "models[0].mostCopies",
		`{"models":[{"pool":"a","version":"v","leastCopies":1,"mostCopies":1,"headroomSlots":-1}]}`: "models[0].headroomSlots",
		`{"models":[{"pool":"a","version":"v","leastCopies":1,"mostCopies":1,"zones":["z","z"]}]}`:  "models[0].zones[1]",
		`{"models":[{"pool":"a","version":"v","leastCopies":1,"mostCopies":1,"adapters":[""]}]}`:    "models[0].adapters[0]",
		`{"models":[{"pool":"a","version":"v","leastCopies":1,"mostCopies":1},` +
			`{"pool":"a","version":"v","leastCopies":1,"mostCopies":1}]}`: "models[1].pool",
	} {
		_, err := placement.Parse([]byte(document))
		var fault *placement.FieldError
		if !errors.As(err, &fault) || fault.Field != field {
			t.Errorf("%s: got %v, want a fault of %s", document, err, field)
		}
	}
	if _, err := placement.Parse([]byte(`{"models":[{"pool":"a","version":"v","leastCopies":1,"mostCopies":2}]}`)); err != nil {
		t.Error(err)
	}
}

func TestRollingChangeTakesOneCopyAtATime(t *testing.T) {
	list := engines(3, "v1")
	s := situation(model(2, 3), list, 3)
	check(t, placement.Next(s), "drain engine-00", "")
	list[0].Drained = true
	list[0].Busy = 1
	check(t, placement.Next(s), "", "1 requests left")
	list[0].Busy = 0
	check(t, placement.Next(s), "", "not in force on every host")
	list[0].Settled = true
	check(t, placement.Next(s), "load engine-00", "")
	list[0].Loading = "v2"
	check(t, placement.Next(s), "", "loading version v2")
	list[0].Loading, list[0].Version = "", "v2"
	check(t, placement.Next(s), "takeIn engine-00", "")
	list[0].Drained = false
	check(t, placement.Next(s), "drain engine-02", "")
}

func TestNoDrainBelowTheLeastCopies(t *testing.T) {
	check(t, placement.Next(situation(model(3, 3), engines(3, "v1"), 3)), "", "3 is the least")
}

func TestSpareIsLoadedBeforeACopyIsDrainedAtTheLeast(t *testing.T) {
	list := engines(3, "v1")
	list[2].Drained, list[2].Settled = true, true
	check(t, placement.Next(situation(model(2, 3), list, 2)), "load engine-02", "")
	list[2].Version = "v2"
	check(t, placement.Next(situation(model(2, 3), list, 2)), "takeIn engine-02", "")
	list[2].Drained = false
	check(t, placement.Next(situation(model(2, 3), list, 2)), "drain engine-00", "")
}

func TestLastCopyOfASecondZoneStays(t *testing.T) {
	list := engines(4, "v1")
	list[1].Reachable, list[3].Reachable, list[2].Drained = false, false, true
	list[2].Busy = 1
	list = append(list, engines(5, "v1")[4])
	list[4].Zone = "zone-2"
	m := model(1, 5)
	m.Zones = []string{"zone-0", "zone-1", "zone-2"}
	s := situation(m, list, 1)
	s.Model.Version = "v1"
	check(t, placement.Next(s), "", "another zone has none")
}

func TestHeadroomOfTheTopTierIsKept(t *testing.T) {
	list := engines(3, "v1")
	for i := range list {
		list[i].TopTier, list[i].Busy = 4, 6
	}
	m := model(1, 3)
	m.HeadroomSlots = 5
	check(t, placement.Next(situation(m, list, 3)), "", "4 slots would be free")
	m.HeadroomSlots = 4
	check(t, placement.Next(situation(m, list, 3)), "drain engine-00", "")
}

func TestCrashedCopyIsReplacedBeforeGrowth(t *testing.T) {
	list := engines(4, "v2")
	list[0].Reachable = false
	list[3] = placement.Engine{Key: list[3].Key, Reachable: true, Drained: true, Settled: true, Slots: 8}
	s := situation(model(3, 4), list, 3)
	plan := placement.Next(s)
	check(t, plan, "load engine-03", "")
	if !plan.Move.Urgent {
		t.Error("not urgent")
	}
	// The load waits for its turn, and another pool's growth waits for it.
	s.Loads.Started(start, 10*gibibyte, gibibyte)
	check(t, placement.Next(s), "", "the weight store's rate is taken")
	ready := start.Add(10 * time.Second)
	if s.Loads.MayStart(ready, false) {
		t.Error("growth started before an urgent load")
	}
	if !s.Loads.MayStart(ready, true) {
		t.Error("an urgent load did not start")
	}
}

func TestOldVersionIsTakenInWhenCopiesAreMissing(t *testing.T) {
	list := engines(3, "v1")
	list[0].Drained = true
	list[1].Reachable = false
	check(t, placement.Next(situation(model(2, 3), list, 3)), "takeIn engine-00", "")
}

func TestSlowWeightStoreLeavesServingUntouched(t *testing.T) {
	s := situation(model(1, 3), engines(3, "v1"), 3)
	s.Store.Available = false
	check(t, placement.Next(s), "", "does not answer")
	s.Store.Available = true
	s.Loads.Started(start, 100*gibibyte, gibibyte)
	check(t, placement.Next(s), "", "rate is taken")
	s.Engines[0].Drained, s.Engines[0].Settled, s.Engines[0].Loading = true, true, "v2"
	s.Now = start.Add(time.Hour)
	check(t, placement.Next(s), "", "loading version v2")
}

func TestHandedOverEndpointIsRefilledElsewhere(t *testing.T) {
	list := engines(4, "v2")
	list[0].Leaving = true
	list[3].Drained, list[3].Settled, list[3].Version = true, true, ""
	s := situation(model(2, 3), list, 3)
	check(t, placement.Next(s), "load engine-03", "")
	list[3].Version = "v2"
	check(t, placement.Next(s), "takeIn engine-03", "")
	list[3].Drained = false
	check(t, placement.Next(s), "", "all is as wanted")
}

func TestFlappingDemandDoesNotFlapCopies(t *testing.T) {
	d := placement.NewDemand(placement.DefaultDemandSettings(), 4)
	m := model(2, 10)
	last, changes := 4, 0
	for second := 0; second < 24*3600; second += 5 {
		// Bursts of ten seconds each minute, and dips of ten minutes each
		// twenty, over a high evening of eight hours.
		busy := 20
		switch {
		case second >= 16*3600 && second/600%2 == 0:
			busy = 40
		case second%60 < 10:
			busy = 50
		}
		target := d.Observe(start.Add(time.Duration(second)*time.Second), busy, 8, m)
		if target != last {
			changes++
			last = target
		}
	}
	if changes != 1 || last != 8 {
		t.Errorf("%d changes, %d copies at the end", changes, last)
	}
	target := 0
	for second := range 3600 {
		target = d.Observe(start.Add(24*time.Hour+time.Duration(second)*time.Second), 0, 8, m)
	}
	if target != 2 {
		t.Errorf("%d copies after an idle hour", target)
	}
}

// TestNoMoveIsUnsafe draws random engines, takes the planned moves and lets
// engines crash, return, leave and change their work in between.
func TestNoMoveIsUnsafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := model(rapid.IntRange(1, 4).Draw(t, "least"), 6)
		m.HeadroomSlots = rapid.IntRange(0, 12).Draw(t, "headroom")
		m.Zones = append(m.Zones, "zone-2")
		list := engines(rapid.IntRange(2, 9).Draw(t, "engines"), "v1")
		for i := range list {
			list[i].Zone = fmt.Sprintf("zone-%d", i%3)
		}
		s := situation(m, list, 0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			s.Now = s.Now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
			disturb(t, list)
			s.Target = rapid.IntRange(1, 6).Draw(t, "target")
			s.Store.Available = rapid.IntRange(0, 4).Draw(t, "store") > 0
			plan := placement.Next(s)
			if plan.Move == nil {
				if len(plan.Reasons) == 0 {
					t.Fatal("nothing is done and no reason given")
				}
				continue
			}
			take(t, s, plan)
		}
	})
}

func disturb(t *rapid.T, list []placement.Engine) {
	e := &list[rapid.IntRange(0, len(list)-1).Draw(t, "engine")]
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		e.Reachable = !e.Reachable
	case 1:
		e.Leaving = !e.Leaving
	case 2, 3, 4:
		e.TopTier = rapid.IntRange(0, 4).Draw(t, "topTier")
		e.Busy = e.TopTier + rapid.IntRange(0, 4).Draw(t, "rest")
	case 5, 6:
		e.Busy, e.TopTier = 0, 0
	case 7, 8:
		if e.Loading != "" {
			e.Version, e.Loading = e.Loading, ""
		}
	case 9:
		e.Version = rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "version")
	}
	for i := range list {
		list[i].Settled = list[i].Drained
	}
}

// take checks a move against the rules on its own and takes it.
func take(t *rapid.T, s placement.Situation, plan placement.Plan) {
	live, free := 0, 0
	zones := make(map[string]int)
	var e *placement.Engine
	for i := range s.Engines {
		one := &s.Engines[i]
		if one.Key == plan.Move.Endpoint {
			e = one
		}
		if one.Live() {
			live++
			zones[one.Zone]++
			free += one.Slots - one.TopTier
		}
	}
	if e.Leaving || !e.Reachable {
		t.Fatalf("a move at an engine that is handed over or gone: %+v", *e)
	}
	switch plan.Move.Action {
	case placement.ActionDrain:
		if e.Live() {
			if live-1 < s.Model.LeastCopies {
				t.Fatalf("drain with %d live", live)
			}
			if free-e.Slots < s.Model.HeadroomSlots {
				t.Fatalf("drain leaves %d slots free", free-e.Slots)
			}
			if zones[e.Zone] == 1 && len(zones) < len(s.Model.Zones) {
				t.Fatalf("drain takes the last copy of a second zone: %v", zones)
			}
		}
		e.Drained, e.Settled = true, false
	case placement.ActionLoad:
		if !e.Drained || !e.Settled || e.Busy > 0 || e.TopTier > 0 {
			t.Fatalf("load of an engine with work or in service: %+v", *e)
		}
		if !s.Store.Available || s.Now.Before(s.Loads.ReadyAt()) {
			t.Fatal("load beyond the store's rate")
		}
		s.Loads.Started(s.Now, 2*gibibyte, gibibyte)
		e.Loading = s.Model.Version
	case placement.ActionTakeIn:
		if !e.Holds(s.Model) && live >= s.Model.LeastCopies {
			t.Fatalf("an engine that does not hold what is wanted was taken in: %+v", *e)
		}
		e.Drained = false
	}
}
