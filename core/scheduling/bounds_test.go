package scheduling_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cactuswell/core/scheduling"
)

// TestPromptBeyondMemoryWeighsLikeFullEngine guards against one prompt that no engine can hold and after which the partitions follow it for minutes.
func TestPromptBeyondMemoryWeighsLikeFullEngine(t *testing.T) {
	demandAfter := func(tokens int) []scheduling.Demand {
		h := newHarness(t, 4)
		h.startCallWithPrompt("brief", 0, tokens)
		return h.scheduler.TakeDemands()
	}
	// The engines of the tests hold 500,000 tokens.
	if diff := cmp.Diff(demandAfter(500_000), demandAfter(1<<24)); diff != "" {
		t.Error(diff)
	}
}

// TestPartsWithoutTokensAreEvicted guards against a host whose memory grows with each part of a prompt that names no tokens.
func TestPartsWithoutTokensAreEvicted(t *testing.T) {
	h := newHarness(t, 1)
	endpoint := scheduling.Key{
		ID:          "models-0",
		Incarnation: 1,
	}
	report := scheduling.PeerReported{Peer: "host-2"}
	for i := range 400_000 {
		report.Placements = append(report.Placements, scheduling.Placement{
			Endpoint:   endpoint.Hash(),
			PrefixHash: uint64(i),
		})
	}
	h.step(report)
	h.now = h.now.Add(time.Second)
	for _, service := range h.scheduler.Snapshot(h.now).Services {
		// Three fifths of an engine's memory count as cache.
		if service.Name == models && service.Endpoints[0].CachedTokens != 300_000 {
			t.Errorf("the cache holds %d tokens", service.Endpoints[0].CachedTokens)
		}
	}
}
