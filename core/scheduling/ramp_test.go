package scheduling_test

import (
	"testing"
	"time"

	"cactuswell/core/scheduling"
	"cactuswell/core/warmup"
)

// TestNewEndpointIsNeitherFloodedNorIdle guards against an engine that all hosts fill at once because
// it is empty, one that stays bounded, and calls that wait although it has room.
func TestNewEndpointIsNeitherFloodedNorIdle(t *testing.T) {
	const engines = 4
	h := newHarness(t, engines)
	h.now = h.now.Add(10 * time.Second)
	h.addEndpoint(models, engines)
	fresh := entry(models, engines).ID
	atFresh := func(calls int) int {
		t.Helper()
		count := 0
		for range calls {
			_, commands := h.startCallWithPrompt("draft", 0, 100)
			for _, command := range commands {
				if send, ok := command.(scheduling.Send); ok && send.Key.ID == fresh {
					count++
				}
			}
		}
		return count
	}
	// The other engines have four slots each.
	if got := atFresh(engines * 4); got > 1 {
		t.Errorf("%d calls were sent to the new engine at once", got)
	}
	if got := atFresh(2); got == 0 || h.scheduler.QueuedCalls() > 0 {
		t.Errorf("%d calls were sent to the new engine and %d wait while the others are full", got, h.scheduler.QueuedCalls())
	}
	if h.scheduler.RampingEndpoints() != 1 {
		t.Errorf("%d endpoints count as new", h.scheduler.RampingEndpoints())
	}
	h.now = h.now.Add(time.Second + warmup.FullShare)
	atFresh(1)
	if h.scheduler.RampingEndpoints() != 0 {
		t.Error("the engine still counts as new")
	}
}
