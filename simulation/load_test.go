package simulation_test

import (
	"fmt"
	"testing"
	"time"

	"cactuswell/core/route"
	"cactuswell/core/scheduling"
	"cactuswell/simulation"
)

// briefingBursts is the load of a heavy day: briefings come in bursts, and drafts
// in one between them.
func briefingBursts(config simulation.Config) simulation.Config {
	brief, draft := config.Classes[0].Name, config.Classes[2].Name
	config.Bursts = []simulation.Burst{
		{Class: brief, Start: 500 * time.Millisecond, Duration: 9 * time.Second, RateFactor: 2.3},
		{Class: draft, Start: 11 * time.Second, Duration: 5 * time.Second, RateFactor: 2},
		{Class: brief, Start: 17 * time.Second, Duration: 5 * time.Second, RateFactor: 2.2},
	}
	return config
}

func withWeights(config simulation.Config, change func(*scheduling.Weights)) simulation.Config {
	config.AdjustSettings = func(settings *scheduling.Settings) { change(&settings.Weights) }
	return config
}

// atLeast checks a share against a floor.
func atLeast(t *testing.T, what string, got, floor float64) {
	t.Helper()
	if got < floor {
		t.Errorf("%s is %.3f, at least %.3f is wanted", what, got, floor)
	}
}

func deployments() map[string]simulation.Config {
	return map[string]simulation.Config{
		"kelisim":   simulation.Kelisim(),
		"lindqvist": simulation.Lindqvist(),
	}
}

// The targets on every load: what callers get is worth at least 0.8 of all, and
// no class is served in time more than 0.15 less often than the mean.
const (
	worthTarget = 0.8
	classWithin = 0.15
)

// checkTargets checks them.
func checkTargets(t *testing.T, config simulation.Config, result simulation.Result) {
	t.Helper()
	atLeast(t, "worth", result.ValueShare(), worthTarget)
	mean := 0.0
	for _, class := range config.Classes {
		mean += result.Class(class.Name).OnTimeShare() / float64(len(config.Classes))
	}
	for _, class := range config.Classes {
		atLeast(t, class.Name+" in time", result.Class(class.Name).OnTimeShare(), mean-classWithin)
	}
}

// TestCalmDay: on a calm day all classes are served alike.
func TestCalmDay(t *testing.T) {
	for name, config := range deployments() {
		t.Run(name, func(t *testing.T) { checkTargets(t, config, simulation.Run(config)) })
	}
}

// TestHeavyDay: the same holds while bursts come.
func TestHeavyDay(t *testing.T) {
	for name, config := range deployments() {
		t.Run(name, func(t *testing.T) {
			config = briefingBursts(config)
			checkTargets(t, config, simulation.Run(config))
		})
	}
}

// TestNoSizeOrZoneStarves: on heavy days, and with three times the load, the largest
// prompts of a class are served at least half as often as all of it, and no zone
// much less often than the others.
func TestNoSizeOrZoneStarves(t *testing.T) {
	const (
		sizePart   = 0.5
		zoneWithin = 0.15
	)
	for name, config := range deployments() {
		for load, config := range map[string]simulation.Config{
			"heavy":    briefingBursts(config),
			"overload": overload(config),
		} {
			t.Run(name+"/"+load, func(t *testing.T) {
				result := simulation.Run(config)
				for _, class := range config.Classes {
					got := result.Class(class.Name)
					served := got.ServedShare()
					if class.Kind == route.Stream {
						atLeast(t, class.Name+", largest tenth served", got.ServedShareOfSizes(0.9, 1), sizePart*served)
						atLeast(t, class.Name+", fifth below it served", got.ServedShareOfSizes(0.7, 0.9), sizePart*served)
					}
					for zone := range config.Zones {
						atLeast(t, fmt.Sprintf("%s, zone %d served", class.Name, zone), got.ServedShareOfZone(zone), served-zoneWithin)
					}
				}
			})
		}
	}
}

// overload is three times the load of all classes for five seconds.
func overload(config simulation.Config) simulation.Config {
	config.Duration = 15 * time.Second
	config.Bursts = nil
	for _, class := range config.Classes {
		config.Bursts = append(config.Bursts, simulation.Burst{
			Class:      class.Name,
			Start:      3700 * time.Millisecond,
			Duration:   5100 * time.Millisecond,
			RateFactor: 3,
		})
	}
	return config
}

// TestLanesKeepDraftsInTime: short drafts keep their pauses beside bursts of long
// briefings, which they don't when all engines do everything.
func TestLanesKeepDraftsInTime(t *testing.T) {
	for name, config := range deployments() {
		t.Run(name, func(t *testing.T) {
			draft := config.Classes[2].Name
			with := simulation.Run(briefingBursts(config)).Class(draft).OnTimeShare()
			without := simulation.Run(withWeights(briefingBursts(config), func(weights *scheduling.Weights) {
				weights.MaxLatencyPartitionShare = 0
			})).Class(draft).OnTimeShare()
			atLeast(t, "drafts in time", with, 0.9)
			if with <= without {
				t.Errorf("drafts in time with lanes %.3f, without %.3f", with, without)
			}
		})
	}
}

// TestHostsThatTellEachOtherServeMore: hosts that know of each other's work read
// less twice and serve more in time.
func TestHostsThatTellEachOtherServeMore(t *testing.T) {
	for name, config := range deployments() {
		t.Run(name, func(t *testing.T) {
			telling := simulation.Run(briefingBursts(config))
			config.ReportsDisabled = true
			silent := simulation.Run(briefingBursts(config))
			if telling.ValueShare() <= silent.ValueShare() {
				t.Errorf("worth with messages %.3f, without %.3f", telling.ValueShare(), silent.ValueShare())
			}
			if telling.RecomputedTokens*2 > silent.RecomputedTokens {
				t.Errorf("read again with messages %d, without %d", telling.RecomputedTokens, silent.RecomputedTokens)
			}
		})
	}
}

// TestLostMessagesDoLittleHarm: messages hold states, so that a tenth of them may
// be lost.
func TestLostMessagesDoLittleHarm(t *testing.T) {
	config := briefingBursts(simulation.Kelisim())
	whole := simulation.Run(config)
	config.ReportLossRate = 0.1
	lossy := simulation.Run(config)
	atLeast(t, "worth with losses", lossy.ValueShare(), whole.ValueShare()-0.03)
}

// TestSlowEnginesAreLeft: engines that turn five times slower lose their work to
// the others.
func TestSlowEnginesAreLeft(t *testing.T) {
	for name, config := range deployments() {
		t.Run(name, func(t *testing.T) {
			config.Faults = []simulation.Fault{{
				Engines:  2,
				Start:    8 * time.Second,
				Duration: 10 * time.Second,
				Slowdown: 5,
			}}
			checkTargets(t, config, simulation.Run(config))
		})
	}
}

// TestCrashedEnginesCostWhatTheyRan: of the calls after a crash, dark or not, few
// are lost beside those that the engines were running.
func TestCrashedEnginesCostWhatTheyRan(t *testing.T) {
	for name, dark := range map[string]bool{"refusing": false, "dark": true} {
		t.Run(name, func(t *testing.T) {
			config := simulation.Kelisim()
			config.Faults = []simulation.Fault{{
				Engines:      3,
				Start:        10 * time.Second,
				Duration:     4 * time.Second,
				Unresponsive: dark,
			}}
			result := simulation.Run(config)
			for _, class := range config.Classes {
				atLeast(t, class.Name+" served", result.Class(class.Name).ServedShare(), 0.93)
			}
		})
	}
}

// TestHotSubjectSpreads: a third of the briefings about one subject don't wait
// for one engine.
func TestHotSubjectSpreads(t *testing.T) {
	config := simulation.Kelisim()
	config.Bursts = []simulation.Burst{{
		Class:          config.Classes[0].Name,
		Start:          5 * time.Second,
		Duration:       10 * time.Second,
		RateFactor:     1.5,
		HotPrefixShare: 0.35,
	}}
	result := simulation.Run(config)
	atLeast(t, "briefings in time", result.Class(config.Classes[0].Name).OnTimeShare(), 0.95)
}

// TestRestartedHostFindsHomes: a host that lost all that it knew does no lasting
// harm to what is read twice.
func TestRestartedHostFindsHomes(t *testing.T) {
	config := simulation.Kelisim()
	before := simulation.Run(config)
	config.RestartAt = 10 * time.Second
	after := simulation.Run(config)
	atLeast(t, "worth with a restart", after.ValueShare(), before.ValueShare()-0.03)
}

// TestNoHerd: hosts that read the same reports don't all pick the same engine,
// and more hosts for the same load for each engine serve about as much.
func TestNoHerd(t *testing.T) {
	few := simulation.Run(simulation.Kelisim())
	config := simulation.Scale(simulation.Kelisim(), 3)
	config.Duration = 15 * time.Second
	many := simulation.Run(config)
	if many.PeakToMeanBusyTime > 1.6 {
		t.Errorf("the busiest engine has %.2f times the mean work", many.PeakToMeanBusyTime)
	}
	atLeast(t, "worth with three times the hosts", many.ValueShare(), few.ValueShare()-0.03)
}

// TestSameSeedSameResult: a run can be played again.
func TestSameSeedSameResult(t *testing.T) {
	config := briefingBursts(simulation.Kelisim())
	first, second := simulation.Run(config), simulation.Run(config)
	if first.Value != second.Value || first.PrefilledTokens != second.PrefilledTokens || first.RecomputedTokens != second.RecomputedTokens {
		t.Errorf("worth %v and %v, read %d and %d", first.Value, second.Value, first.PrefilledTokens, second.PrefilledTokens)
	}
}

// TestRelaysServeNearlyAsWell: hosts of a large fleet that hear of each other
// through one relay a zone serve nearly as well as if each told each other, and
// far better than if they told nothing.
func TestRelaysServeNearlyAsWell(t *testing.T) {
	config := simulation.Scale(simulation.Kelisim(), 3)
	config.Duration = 12 * time.Second
	config = briefingBursts(config)
	direct := simulation.Run(config)
	config.UseRelays = true
	relayed := simulation.Run(config)
	config.ReportsDisabled = true
	silent := simulation.Run(config)
	atLeast(t, "worth with relays", relayed.ValueShare(), direct.ValueShare()-0.03)
	if relayed.ValueShare() <= silent.ValueShare() || relayed.RecomputedTokens >= silent.RecomputedTokens {
		t.Errorf("worth with relays %.3f, silent %.3f; read again %d, %d", relayed.ValueShare(), silent.ValueShare(),
			relayed.RecomputedTokens, silent.RecomputedTokens)
	}
}

// TestFetchingSparesReading: with three times the load, engines that fetch shared parts
// from each other read a quarter of the parts again that they read without, and serve
// more.
func TestFetchingSparesReading(t *testing.T) {
	for name, config := range deployments() {
		t.Run(name, func(t *testing.T) {
			config = overload(config)
			fetching := simulation.Run(config)
			config.FetchTimePerThousand = 0
			reading := simulation.Run(config)
			atLeast(t, "worth with fetches", fetching.ValueShare(), reading.ValueShare())
			if fetching.FetchedTokens == 0 || 4*fetching.RecomputedTokens > reading.RecomputedTokens {
				t.Errorf("read again with fetches %d of %d fetched, without %d", fetching.RecomputedTokens, fetching.FetchedTokens, reading.RecomputedTokens)
			}
		})
	}
}

// TestOverloadLosesFewSummaries: with three times the load, less than a twelfth of the
// summaries get nothing while longer and less urgent briefings are served.
func TestOverloadLosesFewSummaries(t *testing.T) {
	const seeds = 8
	for name, config := range deployments() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			config = overload(config)
			offered, served := 0, 0
			for seed := range uint64(seeds) {
				config.Seed = seed + 1
				summary := simulation.Run(config).Class(config.Classes[1].Name)
				offered += summary.Offered
				served += summary.OnTime + summary.Late
			}
			atLeast(t, "summaries served", float64(served)/float64(offered), 1-1.0/12)
		})
	}
}
