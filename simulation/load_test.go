package simulation_test

import (
	"fmt"
	"testing"
	"time"

	"cactuswell/core/route"
	"cactuswell/core/scheduling"
	"cactuswell/simulation"
)

// withBriefingBursts adds two bursts of briefings and, between them, one of drafts. In the
// tests of both deployments, briefings are Classes[0], summaries Classes[1] and drafts
// Classes[2].
func withBriefingBursts(config simulation.Config) simulation.Config {
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

// atLeast fails the test if a share is below a minimum.
func atLeast(t *testing.T, name string, got, minimum float64) {
	t.Helper()
	if got < minimum {
		t.Errorf("%s is %.3f, want at least %.3f", name, got, minimum)
	}
}

func deployments() map[string]simulation.Config {
	return map[string]simulation.Config{
		"kelisim":   simulation.Kelisim(),
		"lindqvist": simulation.Lindqvist(),
	}
}

// The targets for every load: the answers have at least 0.8 of the offered value, and
// the on-time share of each class is at most 0.15 below the mean of all classes.
const (
	minValueShare   = 0.8
	maxClassDeficit = 0.15
)

// checkTargets checks a result against the targets.
func checkTargets(t *testing.T, config simulation.Config, result simulation.Result) {
	t.Helper()
	atLeast(t, "worth", result.ValueShare(), minValueShare)
	mean := 0.0
	for _, class := range config.Classes {
		mean += result.Class(class.Name).OnTimeShare() / float64(len(config.Classes))
	}
	for _, class := range config.Classes {
		atLeast(t, class.Name+" on time", result.Class(class.Name).OnTimeShare(), mean-maxClassDeficit)
	}
}

// TestCalmDay guards against missed targets (value share, starved classes) at the usual
// load.
func TestCalmDay(t *testing.T) {
	for name, config := range deployments() {
		t.Run(name, func(t *testing.T) { checkTargets(t, config, simulation.Run(config)) })
	}
}

// TestHeavyDay guards against missed targets (value share, starved classes) during bursts
// of briefings and drafts.
func TestHeavyDay(t *testing.T) {
	for name, config := range deployments() {
		t.Run(name, func(t *testing.T) {
			config = withBriefingBursts(config)
			checkTargets(t, config, simulation.Run(config))
		})
	}
}

// TestNoSizeOrZoneStarves guards against starvation of large prompts or of a zone, during
// bursts and at three times the load. The largest prompts of a class are served at least
// half as often as the whole class, and each zone nearly as often as all zones.
func TestNoSizeOrZoneStarves(t *testing.T) {
	const (
		minSizeRatio   = 0.5
		maxZoneDeficit = 0.15
	)
	for name, config := range deployments() {
		for load, config := range map[string]simulation.Config{
			"heavy":    withBriefingBursts(config),
			"overload": withOverload(config),
		} {
			t.Run(name+"/"+load, func(t *testing.T) {
				result := simulation.Run(config)
				for _, class := range config.Classes {
					classResult := result.Class(class.Name)
					served := classResult.ServedShare()
					if class.Kind == route.Stream {
						atLeast(t, class.Name+", largest tenth of prompts served", classResult.ServedShareOfSizes(0.9, 1), minSizeRatio*served)
						atLeast(t, class.Name+", next largest fifth of prompts served", classResult.ServedShareOfSizes(0.7, 0.9), minSizeRatio*served)
					}
					for zone := range config.Zones {
						atLeast(t, fmt.Sprintf("%s, zone %d served", class.Name, zone), classResult.ServedShareOfZone(zone), served-maxZoneDeficit)
					}
				}
			})
		}
	}
}

// withOverload triples the load of all classes for about five seconds.
func withOverload(config simulation.Config) simulation.Config {
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

// partitionSeeds is the number of seeds with which partitions are compared: those of one seed may differ by chance.
const partitionSeeds = 4

// TestPartitionsKeepDraftsOnTime guards against prefills of long briefings that delay the
// events of drafts. Without partitions every engine runs both, and fewer drafts are on
// time.
func TestPartitionsKeepDraftsOnTime(t *testing.T) {
	for name, config := range deployments() {
		t.Run(name, func(t *testing.T) {
			draft := config.Classes[2].Name
			partitionedSum, unpartitionedSum := 0.0, 0.0
			for config.Seed = 1; config.Seed <= partitionSeeds; config.Seed++ {
				partitioned := simulation.Run(withBriefingBursts(config)).Class(draft).OnTimeShare()
				atLeast(t, "drafts on time", partitioned, 0.9)
				partitionedSum += partitioned
				unpartitionedSum += simulation.Run(withWeights(withBriefingBursts(config), func(weights *scheduling.Weights) {
					weights.MaxLatencyPartitionShare = 0
				})).Class(draft).OnTimeShare()
			}
			if partitionedSum <= unpartitionedSum {
				t.Errorf("drafts on time with partitions %.3f, without %.3f", partitionedSum/partitionSeeds, unpartitionedSum/partitionSeeds)
			}
		})
	}
}

// TestLoadReportsImproveService guards against load reports that have no effect. Hosts
// that know each other's load and placements recompute at most half as many tokens of
// shared prefixes, and their answers have more value.
func TestLoadReportsImproveService(t *testing.T) {
	for name, config := range deployments() {
		t.Run(name, func(t *testing.T) {
			reporting := simulation.Run(withBriefingBursts(config))
			config.ReportsDisabled = true
			unreported := simulation.Run(withBriefingBursts(config))
			if reporting.ValueShare() <= unreported.ValueShare() {
				t.Errorf("value share with load reports %.3f, without %.3f", reporting.ValueShare(), unreported.ValueShare())
			}
			if reporting.RecomputedTokens*2 > unreported.RecomputedTokens {
				t.Errorf("recomputed tokens with load reports %d, without %d", reporting.RecomputedTokens, unreported.RecomputedTokens)
			}
		})
	}
}

// TestToleratesDroppedReports guards against load reports that depend on earlier ones.
// Reports hold states, not differences, so that a tenth of them may be dropped.
func TestToleratesDroppedReports(t *testing.T) {
	config := withBriefingBursts(simulation.Kelisim())
	lossless := simulation.Run(config)
	config.ReportLossRate = 0.1
	lossy := simulation.Run(config)
	atLeast(t, "value share with dropped reports", lossy.ValueShare(), lossless.ValueShare()-0.03)
}

// TestSlowEnginesAreAvoided guards against calls that keep going to engines which have
// become five times slower.
func TestSlowEnginesAreAvoided(t *testing.T) {
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

// TestCrashLosesFewCalls guards against failed calls beyond those that the crashed
// engines were running, both if the engines refuse connections and if they leave them
// unanswered.
func TestCrashLosesFewCalls(t *testing.T) {
	for name, unresponsive := range map[string]bool{"refusing": false, "dark": true} {
		t.Run(name, func(t *testing.T) {
			config := simulation.Kelisim()
			config.Faults = []simulation.Fault{{
				Engines:      3,
				Start:        10 * time.Second,
				Duration:     4 * time.Second,
				Unresponsive: unresponsive,
			}}
			result := simulation.Run(config)
			for _, class := range config.Classes {
				atLeast(t, class.Name+" served", result.Class(class.Name).ServedShare(), 0.93)
			}
		})
	}
}

// TestHotPrefixSpreads guards against a queue at the engine that has a popular prompt
// prefix cached. A third of the briefings share one prefix.
func TestHotPrefixSpreads(t *testing.T) {
	config := simulation.Kelisim()
	config.Bursts = []simulation.Burst{{
		Class:          config.Classes[0].Name,
		Start:          5 * time.Second,
		Duration:       10 * time.Second,
		RateFactor:     1.5,
		HotPrefixShare: 0.35,
	}}
	result := simulation.Run(config)
	atLeast(t, "briefings on time", result.Class(config.Classes[0].Name).OnTimeShare(), 0.95)
}

// TestHostRestartDoesLittleHarm guards against lasting harm by a host that restarts and no
// longer knows which engine has which prefix cached.
func TestHostRestartDoesLittleHarm(t *testing.T) {
	config := simulation.Kelisim()
	before := simulation.Run(config)
	config.RestartAt = 10 * time.Second
	after := simulation.Run(config)
	atLeast(t, "value share with a restart", after.ValueShare(), before.ValueShare()-0.03)
}

// TestNoHerding guards against hosts that all choose the same engine because they got the
// same reports. The number of hosts is tripled at the same load per engine: the engines
// must be about equally busy, and many hosts serve nearly as well as few.
func TestNoHerding(t *testing.T) {
	few := simulation.Run(simulation.Kelisim())
	config := simulation.Scale(simulation.Kelisim(), 3)
	config.Duration = 15 * time.Second
	many := simulation.Run(config)
	if many.PeakToMeanBusyTime > 1.6 {
		t.Errorf("the busiest engine has %.2f times the mean busy time", many.PeakToMeanBusyTime)
	}
	atLeast(t, "value share with three times the hosts", many.ValueShare(), few.ValueShare()-0.03)
}

// TestSameSeedSameResult guards against randomness that does not come from the seed.
func TestSameSeedSameResult(t *testing.T) {
	config := withBriefingBursts(simulation.Kelisim())
	first, second := simulation.Run(config), simulation.Run(config)
	if first.Value != second.Value || first.PrefilledTokens != second.PrefilledTokens || first.RecomputedTokens != second.RecomputedTokens {
		t.Errorf("value %v and %v, prefilled tokens %d and %d", first.Value, second.Value, first.PrefilledTokens, second.PrefilledTokens)
	}
}

// TestRelaysServeNearlyAsWell guards against loss of service by reports through one relay
// per zone. A large fleet with relays serves nearly as well as with direct reports, and
// better than without reports.
func TestRelaysServeNearlyAsWell(t *testing.T) {
	config := simulation.Scale(simulation.Kelisim(), 3)
	config.Duration = 12 * time.Second
	config = withBriefingBursts(config)
	direct := simulation.Run(config)
	config.UseRelays = true
	relayed := simulation.Run(config)
	config.ReportsDisabled = true
	unreported := simulation.Run(config)
	atLeast(t, "value share with relays", relayed.ValueShare(), direct.ValueShare()-0.03)
	if relayed.ValueShare() <= unreported.ValueShare() || relayed.RecomputedTokens >= unreported.RecomputedTokens {
		t.Errorf("value share with relays %.3f, without reports %.3f; recomputed tokens %d, %d", relayed.ValueShare(), unreported.ValueShare(),
			relayed.RecomputedTokens, unreported.RecomputedTokens)
	}
}

// TestFetchingAvoidsRecomputation guards against fetches that do not replace prefill. At
// three times the load, engines that fetch shared prefixes from each other recompute at
// most a quarter as many tokens as without fetches, and the answers have no less value.
func TestFetchingAvoidsRecomputation(t *testing.T) {
	for name, config := range deployments() {
		t.Run(name, func(t *testing.T) {
			config = withOverload(config)
			withFetches := simulation.Run(config)
			config.FetchTimePerThousandTokens = 0
			withoutFetches := simulation.Run(config)
			atLeast(t, "value share with fetches", withFetches.ValueShare(), withoutFetches.ValueShare())
			if withFetches.FetchedTokens == 0 || 4*withFetches.RecomputedTokens > withoutFetches.RecomputedTokens {
				t.Errorf("recomputed tokens with fetches %d (%d fetched), without %d", withFetches.RecomputedTokens, withFetches.FetchedTokens, withoutFetches.RecomputedTokens)
			}
		})
	}
}

// TestOverloadServesMostSummaries guards against summaries that go unanswered while longer
// and less urgent briefings are served. At three times the load, at most a twelfth of the
// summaries may stay without a complete answer.
func TestOverloadServesMostSummaries(t *testing.T) {
	const seeds = 8
	for name, config := range deployments() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			config = withOverload(config)
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
