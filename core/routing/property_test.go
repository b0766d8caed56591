package routing_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
	"cactuswell/core/routing"
)

// TestMain fixes the seed so that every run gives the same result; -rapid.seed
// overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	flag.Parse()
	os.Exit(m.Run())
}

// model holds a router and the state that its caller expects of it.
type model struct {
	router  *routing.Router
	now     time.Time
	running []routing.Attempt
	present map[endpoint.Key]bool
	leaving map[endpoint.Key]bool
}

// TestRandomEventsKeepInvariants sends random events and checks that no leaving or
// removed endpoint is chosen, that at most half of the endpoints are ejected, that
// the counts are consistent and that the comparisons per decision are bounded.
func TestRandomEventsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "endpoints")
		m := &model{
			router:  newRouter(count, nil),
			now:     start,
			present: make(map[endpoint.Key]bool),
			leaving: make(map[endpoint.Key]bool),
		}
		for i := range count {
			m.present[key(i)] = true
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			m.step(t, rapid.IntRange(0, 9).Draw(t, "event"), key(rapid.IntRange(0, count-1).Draw(t, "key")))
			m.check(t)
		}
	})
}

func (m *model) step(t *rapid.T, event int, key endpoint.Key) {
	switch event {
	case 0:
		m.router.MarkLeaving(m.now, key)
		m.leaving[key] = true
	case 1:
		m.router.RemoveEndpoint(m.now, key)
		m.present[key] = false
	case 2:
		m.router.AddEndpoint(m.now, endpoint.Descriptor{
			Key:  key,
			Kind: profile.KindModel,
		})
		m.present[key] = true
	case 3:
		m.router.ReportLoad(m.now, endpoint.Report{
			Key:     key,
			At:      m.now.Add(-time.Duration(rapid.IntRange(0, 10_000).Draw(t, "lag")) * time.Millisecond),
			Running: rapid.IntRange(0, 16).Draw(t, "running"),
			Queued:  rapid.IntRange(0, 16).Draw(t, "queued"),
			Slots:   16,
		})
	case 4:
		m.router.SetHostCount(m.now, rapid.IntRange(1, 20).Draw(t, "hosts"))
	case 5, 6:
		m.end(t)
	default:
		m.pick(t)
	}
	m.router.Tick(m.now)
}

func (m *model) pick(t *rapid.T) {
	request := standardRequest()
	request.Tier = profile.Tier(rapid.IntRange(0, profile.TierCount-1).Draw(t, "tier"))
	before := m.router.Comparisons()
	choice, ok := m.router.Pick(m.now, request)
	if compared := m.router.Comparisons() - before; compared > 8 {
		t.Fatalf("%d candidates compared in one decision, want at most 8", compared)
	}
	if !ok {
		return
	}
	if m.leaving[choice.Key] || !m.present[choice.Key] {
		t.Fatalf("chose %v: leaving %v, present %v", choice.Key, m.leaving[choice.Key], m.present[choice.Key])
	}
	attempt := attemptAt(m.now, choice, request)
	m.router.RecordSent(m.now, attempt)
	m.running = append(m.running, attempt)
}

func (m *model) end(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "which")
	attempt := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	outcome := routing.Outcome(rapid.IntRange(0, int(routing.OutcomeStalled)).Draw(t, "outcome"))
	m.router.RecordEnd(m.now, attempt, outcome, 10)
}

func (m *model) check(t *rapid.T) {
	active, ejected, running := 0, 0, 0
	snapshot := m.router.Snapshot(m.now)
	for _, e := range snapshot.Endpoints {
		running += e.Running
		if e.Running < 0 || e.Running > len(m.running) {
			t.Fatalf("%s has %d attempts running of %d", e.Name, e.Running, len(m.running))
		}
		if e.State == "leaving" {
			continue
		}
		active++
		if e.State == "ejected" || e.State == "probing" {
			ejected++
		}
	}
	if snapshot.Running != running || snapshot.EjectedOrProbing != ejected {
		t.Fatalf("the totals are %d running and %d ejected, the sums by endpoint %d and %d", snapshot.Running, snapshot.EjectedOrProbing, running, ejected)
	}
	if ejected > 0 && m.ejectedTooMany(active, ejected) {
		t.Fatalf("%d of %d endpoints ejected", ejected, active)
	}
}

// ejectedTooMany reports whether more than half of the endpoints are ejected. It
// adds the leaving and removed endpoints to the total, since others may have been
// ejected before these were marked or removed.
func (m *model) ejectedTooMany(active, ejected int) bool {
	unavailable := 0
	for key, present := range m.present {
		if !present || m.leaving[key] {
			unavailable++
		}
	}
	return 2*ejected > active+unavailable
}
