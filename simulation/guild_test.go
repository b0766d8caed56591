package simulation_test

import (
	"testing"
	"time"

	"cactuswell/simulation"
)

// TestFullEngineDeclines checks that a simulated engine whose queue has an end declines what
// goes beyond it, and that declined calls go to engines with room. An engine without an end
// to its queue hides from a policy that it sends too much.
func TestFullEngineDeclines(t *testing.T) {
	config := simulation.PunutudAbi()
	config.Duration = 4 * time.Second
	config.Slots = 4
	config.Bursts = []simulation.Burst{{
		Class:      "dossierRead",
		Start:      time.Second,
		Duration:   2 * time.Second,
		RateFactor: 4,
	}}
	config.QueuePlaces = 0
	if result := simulation.Run(config); result.DeclinedArrivals != 0 {
		t.Errorf("%d arrivals declined by engines without an end to their queue", result.DeclinedArrivals)
	}
	// Hosts that do not hear of each other overfill the queues.
	config.ReportsDisabled = true
	config.QueuePlaces = 1
	result := simulation.Run(config)
	if result.DeclinedArrivals == 0 || result.DeclinedArrivals >= result.Arrivals {
		t.Errorf("%d of %d arrivals declined", result.DeclinedArrivals, result.Arrivals)
	}
}

// TestGuildIsServed checks that deployments with engines of other times and with few slots
// are served on a calm day, all classes and without declined arrivals.
func TestGuildIsServed(t *testing.T) {
	for name, config := range map[string]simulation.Config{
		"punutudAbi":      simulation.PunutudAbi(),
		"punutudAbiGrown": simulation.PunutudAbiGrown(),
	} {
		t.Run(name, func(t *testing.T) {
			config.Duration = 4 * time.Second
			result := simulation.Run(config)
			for _, class := range config.Classes {
				atLeast(t, class.Name+" served", result.Class(class.Name).ServedShare(), 0.98)
			}
			if result.DeclinedArrivals != 0 {
				t.Errorf("%d of %d arrivals declined", result.DeclinedArrivals, result.Arrivals)
			}
		})
	}
}
