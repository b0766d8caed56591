package scheduling_test

import (
	"testing"
	"time"

	"cactuswell/core/directory"
	"cactuswell/core/route"
	"cactuswell/core/scheduling"
)

// TestFetch: a call about a subject whose engine is busy goes to another engine, which
// fetches the shared part, if that has been read and its holder is sound.
func TestFetch(t *testing.T) {
	first := scheduling.Key{ID: "models-0", Incarnation: 1}
	for _, c := range []struct {
		name  string
		rate  time.Duration
		after time.Duration
		// meanwhile happens between the first call about the subject and the second.
		meanwhile func(b *bench, id scheduling.CallID)
		fetched   bool
	}{
		{"held", 2 * time.Millisecond, 2 * time.Second, nil, true},
		{"notReadYet", 2 * time.Millisecond, 50 * time.Millisecond, nil, false},
		{"enginesCannot", 0, 2 * time.Second, nil, false},
		{"holderLeaves", 2 * time.Millisecond, 2 * time.Second, func(b *bench, _ scheduling.CallID) {
			leaving := entry(models, 0)
			leaving.Leaving = true
			b.step(scheduling.EndpointChanged{Change: directory.Leaving{Entry: leaving}})
		}, false},
		{"holderFails", 2 * time.Millisecond, 2 * time.Second, func(b *bench, id scheduling.CallID) {
			b.end(id, scheduling.Unreachable{})
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, 1)
			spec := b.table.Services()[models]
			engine := *spec.Engine
			engine.FetchTimePerThousandTokens = c.rate
			b.reconfigure(route.Service{
				Name:   models,
				Engine: &engine,
			})
			id, commands := b.call("brief")
			if got := b.sent(commands); got.Key != first || got.FetchAddress != "" {
				t.Fatalf("the first call is sent by %+v", got)
			}
			b.appear(models, 1)
			b.now = b.now.Add(c.after)
			if c.meanwhile != nil {
				c.meanwhile(b, id)
			}
			// Another host keeps the holder busy.
			b.step(scheduling.PeerReported{
				Peer:     "other",
				Complete: true,
				Loads:    []scheduling.PeerLoad{{Endpoint: first.Hash(), PrefillBacklog: 20 * time.Second, Running: 2}},
			})
			_, commands = b.call("brief")
			got := b.sent(commands)
			if got.Key == first {
				t.Fatalf("the second call is sent by %+v", got)
			}
			if fetched := got.FetchAddress == entry(models, 0).Address && got.Choice.FetchedTokens == 13_000; fetched != c.fetched {
				t.Errorf("the second call is sent by %+v", got)
			}
		})
	}
}

// reconfigure brings the tests' configuration with another service.
func (b *bench) reconfigure(service route.Service) {
	b.t.Helper()
	spec := testSpec()
	for i := range spec.Services {
		if spec.Services[i].Name == service.Name {
			spec.Services[i] = service
		}
	}
	spec.Version++
	table, err := route.New(spec)
	if err != nil {
		b.t.Fatal(err)
	}
	b.table = table
	b.step(scheduling.ConfigurationChanged{Table: table})
}
