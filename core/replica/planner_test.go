package replica_test

import (
	"testing"
	"time"

	"cactuswell/core/replica"
)

// TestStartAwaitsRoster checks that a host that starts together with 194 others does not
// read the store before it can have learned of them: the store appends their entries in
// the roster one after the other, at 4 ms each. The hosts gave up after 0.5 s, and each
// took itself for the only one and read the store: 780 calls at each start of the fleet.
func TestStartAwaitsRoster(t *testing.T) {
	const rosterTime = 195 * 4 * time.Millisecond
	startedAt := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := startedAt
	planner := replica.NewPlanner(now)
	alone := replica.View{Reader: replica.Reader{Count: 1}}
	for now.Sub(startedAt) < rosterTime {
		step, ok := planner.Next(now, alone).(replica.Wait)
		if !ok {
			t.Fatalf("%T after %s", planner.Next(now, alone), now.Sub(startedAt))
		}
		now = now.Add(step.For)
	}
	// Another host's copy is fetched even before the roster is read.
	withSource := replica.View{Sources: []replica.Source{{Address: "host-2"}}}
	if step, ok := planner.Next(now, withSource).(replica.Fetch); !ok || step.Address != "host-2" {
		t.Errorf("step %+v, want a fetch", planner.Next(now, withSource))
	}
}

// TestStartWithoutRosterReadsStore checks that a host whose roster cannot be read serves
// by itself in the end.
func TestStartWithoutRosterReadsStore(t *testing.T) {
	startedAt := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	planner := replica.NewPlanner(startedAt)
	planner.Next(startedAt, replica.View{Reader: replica.Reader{Count: 1}})
	step := planner.Next(startedAt.Add(2*time.Second), replica.View{Reader: replica.Reader{Count: 1}})
	if _, ok := step.(replica.Read); !ok {
		t.Errorf("step %T, want a read", step)
	}
}
