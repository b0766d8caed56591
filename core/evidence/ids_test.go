package evidence_test

import (
	"fmt"
	"testing"
	"time"

	"cactuswell/core/evidence"
)

// TestIDsRemembersSharedIDs guards against a refusal that is believed although another call has the same ID.
func TestIDsRemembersSharedIDs(t *testing.T) {
	start := time.Unix(1000, 0)
	ids := evidence.NewIDs()
	ids.Add(start, "x", "a", 1)
	ids.Add(start, "x", "a", 1)
	ids.Add(start, "x", "b", 2)
	ids.Add(start, "y", "a", 3)
	for _, id := range []string{"x", "y", "z"} {
		if ids.IsShared(id, "a") || ids.IsShared(id, "b") {
			t.Errorf("%s counts as shared", id)
		}
	}
	ids.Add(start.Add(50*time.Second), "x", "a", 4)
	if !ids.IsShared("x", "a") || ids.IsShared("x", "b") {
		t.Error("the ID of calls 1 and 4 does not count as shared at address a alone")
	}
	ids.Add(start.Add(70*time.Second), "y", "a", 5)
	if !ids.IsShared("x", "a") || !ids.IsShared("y", "a") {
		t.Error("IDs of the last minute are forgotten")
	}
	ids.Add(start.Add(140*time.Second), "z", "a", 6)
	ids.Add(start.Add(210*time.Second), "z", "a", 7)
	if ids.IsShared("x", "a") || !ids.IsShared("z", "a") {
		t.Error("IDs are not forgotten in their order")
	}
}

// TestIDsAreBounded guards against a memory that grows with the calls of a burst.
func TestIDsAreBounded(t *testing.T) {
	start := time.Unix(1000, 0)
	ids := evidence.NewIDs()
	const calls = 200_000
	shared := 0
	for call := range uint64(calls) {
		ids.Add(start, fmt.Sprint(call), "a", call+1)
	}
	for call := range uint64(calls) {
		ids.Add(start, fmt.Sprint(call), "a", calls+call+1)
		if ids.IsShared(fmt.Sprint(call), "a") {
			shared++
		}
	}
	if shared > 0 {
		t.Errorf("%d of %d IDs of an earlier burst are remembered", shared, calls)
	}
}
