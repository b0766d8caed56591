package scheduling_test

import (
	"testing"
	"time"

	"cactuswell/core/directory"
	"cactuswell/core/route"
	"cactuswell/core/scheduling"
)

// TestFetch checks that a call whose shared prefix is cached by a busy engine goes to
// another engine, which fetches the prefix if its prefill has finished and the engine
// that caches it is healthy and takes new work.
func TestFetch(t *testing.T) {
	holder := scheduling.Key{ID: "models-0", Incarnation: 1}
	for _, c := range []struct {
		name  string
		rate  time.Duration
		after time.Duration
		// meanwhile runs between the first call with the prefix and the second.
		meanwhile func(h *harness, id scheduling.CallID)
		fetched   bool
	}{
		{"held", 2 * time.Millisecond, 2 * time.Second, nil, true},
		{"notReadYet", 2 * time.Millisecond, 50 * time.Millisecond, nil, false},
		{"enginesCannot", 0, 2 * time.Second, nil, false},
		{"holderLeaves", 2 * time.Millisecond, 2 * time.Second, func(h *harness, _ scheduling.CallID) {
			leaving := entry(models, 0)
			leaving.Leaving = true
			h.step(scheduling.EndpointChanged{Change: directory.Leaving{Entry: leaving}})
		}, false},
		{"holderFails", 2 * time.Millisecond, 2 * time.Second, func(h *harness, id scheduling.CallID) {
			h.endAttempt(id, scheduling.Unreachable{})
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1)
			spec := h.table.Services()[models]
			engine := *spec.Engine
			engine.FetchTimePerThousandTokens = c.rate
			h.reconfigure(route.Service{
				Name:   models,
				Engine: &engine,
			})
			id, commands := h.startCall("brief")
			if got := h.requireSend(commands); got.Key != holder || got.FetchAddress != "" {
				t.Fatalf("first call was sent by %+v", got)
			}
			h.addEndpoint(models, 1)
			h.now = h.now.Add(c.after)
			if c.meanwhile != nil {
				c.meanwhile(h, id)
			}
			// Load of another host makes the engine that caches the prefix busy.
			h.step(scheduling.PeerReported{
				Peer:     "other",
				Complete: true,
				Loads:    []scheduling.PeerLoad{{Endpoint: holder.Hash(), PendingPrefill: 20 * time.Second, Running: 2}},
			})
			_, commands = h.startCall("brief")
			got := h.requireSend(commands)
			if got.Key == holder {
				t.Fatalf("second call was sent to the busy engine by %+v", got)
			}
			if fetched := got.FetchAddress == entry(models, 0).Address && got.Choice.FetchedTokens == 13_000; fetched != c.fetched {
				t.Errorf("second call has the wrong fetch: %+v", got)
			}
		})
	}
}

// reconfigure applies the test configuration with one service replaced.
func (h *harness) reconfigure(service route.Service) {
	h.t.Helper()
	spec := testSpec()
	for i := range spec.Services {
		if spec.Services[i].Name == service.Name {
			spec.Services[i] = service
		}
	}
	spec.Version++
	table, err := route.New(spec)
	if err != nil {
		h.t.Fatal(err)
	}
	h.table = table
	h.step(scheduling.ConfigurationChanged{Table: table})
}
