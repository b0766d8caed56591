package simulation_test

import (
	"testing"
	"time"

	"cactuswell/simulation"
)

// TestCrashingPromptIsKeptFromEngines guards against calls that crash one engine after the
// other because their prompts hold a part that crashes each engine.
func TestCrashingPromptIsKeptFromEngines(t *testing.T) {
	const (
		start = 3 * time.Second
		// The fleet may need five crashes and this time to find the part.
		maxCrashes  = 5
		reaction    = 3 * time.Second
		maxArrivals = 3
	)
	for name, test := range map[string]struct {
		config simulation.Config
		share  float64
	}{
		"6Hosts":           {config: simulation.Kelisim(), share: 0.05},
		"6HostsOften":      {config: simulation.Kelisim(), share: 0.2},
		"relays":           {config: simulation.KelisimGrown(), share: 0.05},
		"195HostsOften":    {config: simulation.KelisimLarge(), share: 0.1},
		"sixEnginesLost":   {config: withLostEngines(simulation.Kelisim(), 6), share: 0.1},
		"droppedReports":   {config: withDroppedReports(simulation.KelisimGrown()), share: 0.1},
		"restartOfOneHost": {config: withRestart(simulation.Kelisim()), share: 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			config := test.config
			class := config.Classes[0].Name
			config.Duration = 20 * time.Second
			config.CrashingPrompts = []simulation.CrashingPrompt{{
				Class:    class,
				Share:    test.share,
				Start:    start,
				Duration: config.Duration - start,
			}}
			result := simulation.Run(config)
			if len(result.Crashes) < 2 {
				t.Fatalf("%d engines crashed, so the load does not test anything", len(result.Crashes))
			}
			if len(result.Crashes) >= maxCrashes {
				late := 0
				for _, arrival := range result.CrashingArrivals {
					if arrival > result.Crashes[maxCrashes-1]+reaction {
						late++
					}
				}
				if late > maxArrivals {
					t.Errorf("%d prompts that crash engines reached some later than %v after the fifth crash, want at most %d; %d crashes in all",
						late, reaction, maxArrivals, len(result.Crashes))
				}
			}
			sound := result.Class(class)
			atLeast(t, "served share of the sound calls of the class afterwards",
				sound.ServedShareBetween(start+10*time.Second, config.Duration), 0.95)
		})
	}
}

// TestCrashingRequestIsKeptFromEndpoints guards against a request that crashes one endpoint after
// the other, as it comes again to any host.
func TestCrashingRequestIsKeptFromEndpoints(t *testing.T) {
	const start = 3 * time.Second
	for name, test := range map[string]struct {
		config simulation.Config
		class  string
		share  float64
	}{
		"lookups":          {config: simulation.Kelisim(), class: "roomLookup", share: 0.3},
		"rareLookups":      {config: simulation.Kelisim(), class: "roomLookup", share: 0.05},
		"holds":            {config: simulation.Kelisim(), class: "roomHold", share: 0.2},
		"streams":          {config: simulation.Kelisim(), class: "caseBrief", share: 0.1},
		"resumableStreams": {config: simulation.Kelisim(), class: "hearingSummary", share: 0.2},
		"relays":           {config: simulation.KelisimGrown(), class: "roomLookup", share: 0.2},
		"195Hosts":         {config: simulation.KelisimLarge(), class: "roomLookup", share: 0.05},
		"195HostsStreams":  {config: simulation.KelisimLarge(), class: "caseBrief", share: 0.02},
		"droppedReports":   {config: withDroppedReports(simulation.KelisimGrown()), class: "roomLookup", share: 0.2},
		"restartOfOneHost": {config: withRestart(simulation.Kelisim()), class: "roomLookup", share: 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			config := test.config
			config.Duration = 20 * time.Second
			config.CrashingRequests = []simulation.CrashingRequest{{
				Class:    test.class,
				Share:    test.share,
				Start:    start,
				Duration: config.Duration - start,
			}}
			checkCrashingRequest(t, config)
		})
	}
}

// TestCrashingRequestIsFoundAtAnyMoment guards against a request that is found only if it is
// frequent, or only once other calls have shown which endpoints are sound.
func TestCrashingRequestIsFoundAtAnyMoment(t *testing.T) {
	type window struct {
		start, duration time.Duration
		share           float64
	}
	for name, windows := range map[string][]window{
		"firstCalls":     {{start: 0, duration: 12 * time.Second, share: 0.3}},
		"rareFirstCalls": {{start: 0, duration: 20 * time.Second, share: 0.03}},
		"rare":           {{start: 5 * time.Second, duration: 25 * time.Second, share: 0.03}},
		"mostCalls":      {{start: 9 * time.Second, duration: 4 * time.Second, share: 0.8}},
		"comesAgain": {
			{start: time.Second, duration: 6 * time.Second, share: 0.05},
			{start: 14 * time.Second, duration: 6 * time.Second, share: 0.4},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			config := simulation.Kelisim()
			for _, w := range windows {
				config.Duration = max(config.Duration, w.start+w.duration)
				config.CrashingRequests = append(config.CrashingRequests, simulation.CrashingRequest{
					Class:    "caseBrief",
					Share:    w.share,
					Start:    w.start,
					Duration: w.duration,
				})
			}
			config.Duration = max(config.Duration, windows[0].start+11*time.Second)
			checkCrashingRequest(t, config)
		})
	}
}

// checkCrashingRequest runs a fleet that gets a request which crashes endpoints, and checks that
// it stays away from them once it has crashed three.
func checkCrashingRequest(t *testing.T, config simulation.Config) {
	t.Helper()
	const (
		// The fleet may need three crashes and this time to find the request.
		maxCrashes  = 3
		reaction    = 3 * time.Second
		maxArrivals = 3
	)
	result := simulation.Run(config)
	if len(result.Crashes) < maxCrashes {
		t.Fatalf("%d endpoints crashed, so the load does not test anything", len(result.Crashes))
	}
	late := 0
	for _, arrival := range result.CrashingArrivals {
		if arrival > result.Crashes[maxCrashes-1]+reaction {
			late++
		}
	}
	if late > maxArrivals {
		t.Errorf("the request reached endpoints %d times later than %v after the third crash, want at most %d; %d crashes in all",
			late, reaction, maxArrivals, len(result.Crashes))
	}
	first := config.CrashingRequests[0]
	atLeast(t, "served share of the sound calls of the class afterwards",
		result.Class(first.Class).ServedShareBetween(first.Start+10*time.Second, config.Duration), 0.95)
}

// TestCrashesAloneQuarantineNothing guards against holding a prompt responsible for engines that
// crash by themselves: all at once, one after the other, and while no prompt has been answered.
func TestCrashesAloneQuarantineNothing(t *testing.T) {
	for name, config := range map[string]simulation.Config{
		"6Hosts": simulation.Kelisim(),
		"relays": simulation.KelisimGrown(),
		"cold":   withColdBurst(simulation.KelisimGrown()),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			config.Duration = 14 * time.Second
			for i := range config.Engines {
				config.Faults = append(config.Faults, simulation.Fault{
					FirstEngine: i,
					Engines:     1,
					Start:       time.Second + time.Duration(i)*350*time.Millisecond,
					Duration:    2 * time.Second,
				})
			}
			config.Faults = append(config.Faults, simulation.Fault{
				Engines:  config.Engines / 2,
				Start:    5 * time.Second,
				Duration: time.Second,
			})
			if got := simulation.Run(config).Quarantines; got > 0 {
				t.Errorf("%d quarantines, want none", got)
			}
		})
	}
}

// withLostEngines stops some engines at once, just after the first crashing prompts.
func withLostEngines(config simulation.Config, engines int) simulation.Config {
	config.Faults = []simulation.Fault{{
		Engines:  engines,
		Start:    4 * time.Second,
		Duration: 3 * time.Second,
	}}
	return config
}

func withDroppedReports(config simulation.Config) simulation.Config {
	config.ReportLossRate = 0.3
	return config
}

func withRestart(config simulation.Config) simulation.Config {
	config.RestartAt = 12 * time.Second
	return config
}
