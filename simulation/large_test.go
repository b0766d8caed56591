package simulation_test

import (
	"testing"
	"time"

	"cactuswell/simulation"
)

// TestSummariesLeaveDraftsAlone guards against long prompts in the latency partition. On
// the large deployment summaries may have short event gaps as well; while they counted as
// latency-sensitive for that, their prefills delayed the events of the drafts on the same
// engines, and a quarter of the drafts was late.
func TestSummariesLeaveDraftsAlone(t *testing.T) {
	for name, hosts := range map[string]int{
		"6Hosts":   6,
		"195Hosts": 195,
	} {
		t.Run(name, func(t *testing.T) {
			config := simulation.KelisimLarge()
			config.Hosts = hosts
			config.Duration = 12 * time.Second
			result := simulation.Run(config)
			atLeast(t, "drafts on time", result.Class("slotDraft").OnTimeShare(), 0.85)
			atLeast(t, "summaries on time", result.Class("hearingSummary").OnTimeShare(), 0.9)
			atLeast(t, "briefings on time", result.Class("caseBrief").OnTimeShare(), 0.95)
		})
	}
}
