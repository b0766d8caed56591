package scheduling_test

import (
	"testing"

	"cactuswell/core/scheduling"
)

// TestPlacementsAreReportedAgain guards against placements that one lost report loses.
func TestPlacementsAreReportedAgain(t *testing.T) {
	var queue scheduling.PlacementQueue
	first := scheduling.Placement{Endpoint: 1, PrefixHash: 10, Tokens: 100}
	second := scheduling.Placement{Endpoint: 2, PrefixHash: 20, Tokens: 200}
	queue.Add(first, 2)
	queue.Add(first, 2)
	counts := make(map[scheduling.Placement]int)
	for report := range 10 {
		if report == 1 {
			queue.Add(second, 2)
			queue.Add(scheduling.Placement{Endpoint: 3}, 2)
		}
		for _, placement := range queue.Take() {
			counts[placement]++
		}
	}
	if len(counts) != 2 || counts[first] != 3 || counts[second] != 3 {
		t.Errorf("reports by placement: %v, want 3 for each of the two that the limit allows", counts)
	}
}
