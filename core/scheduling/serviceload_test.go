package scheduling_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cactuswell/core/directory"
	"cactuswell/core/scheduling"
)

// TestServiceLoads guards against a number of endpoints that is decided by one host's load alone,
// or that counts endpoints that do not serve, and against a reclaimed spot endpoint that gets calls
// which it cannot finish.
func TestServiceLoads(t *testing.T) {
	h := newHarness(t, 0)
	spot, cold := entry(models, 1), entry(models, 2)
	spot.Spot = true
	cold.ColdFor = 2 * time.Second
	h.addEndpoint(models, 0)
	h.step(scheduling.EndpointChanged{Change: directory.Appeared{Entry: spot}})
	h.step(scheduling.EndpointChanged{Change: directory.Appeared{Entry: cold}})
	load := h.loadOf(models, h.now)
	want := []scheduling.EndpointState{
		{Zone: "z0", Slots: 4, Serving: true},
		{Zone: "z0", Slots: 4, Serving: true, Spot: true},
		{Zone: "z0", Slots: 4},
	}
	if diff := cmp.Diff(want, load.Endpoints); diff != "" {
		t.Error(diff)
	}
	spot.Leaving, spot.LeavesIn = true, 2*time.Second
	h.step(scheduling.EndpointChanged{Change: directory.Leaving{Entry: spot}})
	h.now = h.now.Add(2 * time.Second)
	h.step(scheduling.PeerReported{
		Peer:  "other",
		Loads: []scheduling.PeerLoad{{Endpoint: scheduling.Key{ID: "models-2", Incarnation: 1}.Hash(), Running: 4}},
		Demands: []scheduling.Demand{{
			Service:          h.scheduler.TakeDemands()[0].Service,
			LatencySensitive: 100 * time.Millisecond,
			Other:            2 * time.Second,
		}},
	})
	sent := 0
	for range 20 {
		_, commands := h.startCallWithPrompt("draft", 350, 1110)
		for _, command := range commands {
			if send, ok := command.(scheduling.Send); ok {
				sent++
				if send.Key.ID == spot.ID {
					t.Fatal("a call was sent to a reclaimed endpoint")
				}
			}
		}
	}
	load = h.loadOf(models, h.now)
	want = []scheduling.EndpointState{
		{Zone: "z0", Slots: 4, Serving: true},
		{Zone: "z0", Slots: 4, Spot: true, Leaving: true},
		{Zone: "z0", Slots: 4, Serving: true},
	}
	if diff := cmp.Diff(want, load.Endpoints); diff != "" {
		t.Error(diff)
	}
	if sent != 4 || load.InFlight != 8 {
		t.Errorf("%d calls sent, %d in flight, want 4 and 8", sent, load.InFlight)
	}
	if load.LatencyPrefill <= 100*time.Millisecond || load.OtherPrefill != 2*time.Second {
		t.Errorf("prefill demand %s and %s", load.LatencyPrefill, load.OtherPrefill)
	}
	if load.UnmetShare < 0.6 || load.UnmetShare > 0.7 {
		t.Errorf("unmet share %g of 16 calls of 20", load.UnmetShare)
	}
	if later := h.loadOf(models, h.now.Add(time.Minute)); later.UnmetShare > 0.01 {
		t.Errorf("unmet share %g a minute later", later.UnmetShare)
	}
}

// loadOf returns the load of a service at a time.
func (h *harness) loadOf(service string, now time.Time) scheduling.ServiceLoad {
	h.t.Helper()
	loads := h.scheduler.ServiceLoads(now, func(name string) bool { return name == service })
	if len(loads) != 1 || loads[0].Service != service {
		h.t.Fatalf("loads %+v", loads)
	}
	return loads[0]
}
