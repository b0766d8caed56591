package simulation

import (
	"time"

	"cactuswell/core/batching"
	"cactuswell/core/route"
)

// fetchTimePerThousandTokens is the transfer time of 1000 tokens of 160 KiB each over
// a link of 550 Gbit/s.
const fetchTimePerThousandTokens = 2383 * time.Microsecond

// Kelisim returns an example deployment, the mediation rooms, at its usual load: 6 hosts
// in 4 zones, 12 engines, one plain service with 4 servers.
func Kelisim() Config {
	model := batching.Default()
	return Config{
		Seed:                       1,
		Duration:                   30 * time.Second,
		Hosts:                      6,
		Zones:                      4,
		Engines:                    12,
		Slots:                      64,
		KVCacheTokens:              568_234,
		FetchTimePerThousandTokens: fetchTimePerThousandTokens,
		StepTimeFactors:            []float64{1, 1, 1.3},
		Model:                      model,
		Servers:                    4,
		ServerSlots:                6,
		Classes: []Class{
			{
				Name:             "caseBrief",
				Rate:             14.6,
				Kind:             route.Stream,
				TargetLatency:    2 * time.Second,
				MaxGap:           800 * time.Millisecond,
				Deadline:         12 * time.Second,
				Priority:         2,
				MaxAttempts:      1,
				Prefixes:         103,
				PrefixTokens:     13_300,
				MeanSuffixTokens: 3720,
				SuffixSigma:      1.1,
				MeanEvents:       40,
				Value:            1.6,
				LateValue:        0.48,
			},
			{
				Name:             "hearingSummary",
				Rate:             6.33,
				Kind:             route.Stream,
				TargetLatency:    600 * time.Millisecond,
				MaxGap:           300 * time.Millisecond,
				Deadline:         6 * time.Second,
				Priority:         1,
				MaxAttempts:      2,
				Resumable:        true,
				Prefixes:         29,
				PrefixTokens:     6300,
				MeanSuffixTokens: 2890,
				SuffixSigma:      1,
				MeanEvents:       17,
				Value:            2.5,
				LateValue:        0.76,
			},
			{
				Name:             "slotDraft",
				Rate:             19.2,
				Kind:             route.Stream,
				TargetLatency:    400 * time.Millisecond,
				MaxGap:           200 * time.Millisecond,
				Deadline:         15 * time.Second,
				MaxAttempts:      1,
				Prefixes:         91,
				PrefixTokens:     350,
				MeanSuffixTokens: 1110,
				SuffixSigma:      0.6,
				MeanEvents:       57,
				Value:            1.5,
				LateValue:        0.13,
			},
			plainServiceClass("roomHold", 10.1, route.AtMostOnce, 30*time.Millisecond, 150*time.Millisecond, 2500*time.Millisecond),
			plainServiceClass("roomLookup", 6.38, route.Safe, 30*time.Millisecond, 150*time.Millisecond, 2500*time.Millisecond),
		},
	}
}

func plainServiceClass(name string, rate float64, kind route.Kind, work, target, deadline time.Duration) Class {
	attempts := 1
	if kind == route.Safe {
		attempts = 2
	}
	return Class{
		Name:            name,
		Rate:            rate,
		Kind:            kind,
		TargetLatency:   target,
		Deadline:        deadline,
		Priority:        2,
		MaxAttempts:     attempts,
		MeanServiceTime: work,
		Value:           1,
		LateValue:       0.3,
	}
}

// Lindqvist returns an example deployment, the bridal firm, at its usual load: 9 hosts in
// 3 zones, 18 engines, one plain service with 3 servers.
func Lindqvist() Config {
	config := Kelisim()
	config.Hosts = 9
	config.Zones = 3
	config.Engines = 18
	config.KVCacheTokens = 418_045
	config.Model.TokensPerEvent = 4
	config.Servers = 3
	names := []string{"lookbook", "stylistReply", "quickAsk"}
	rates := []float64{19.9, 8.64, 26.3}
	prefixes := []int{141, 91, 279}
	events := []int{30, 13, 43}
	for i := range names {
		config.Classes[i].Name = names[i]
		config.Classes[i].Rate = rates[i]
		config.Classes[i].Prefixes = prefixes[i]
		config.Classes[i].MeanEvents = events[i]
	}
	config.Classes[3] = plainServiceClass("bookTrial", 13.8, route.AtMostOnce, 15*time.Millisecond, 100*time.Millisecond, 600*time.Millisecond)
	config.Classes[4] = plainServiceClass("checkCalendar", 6.4, route.Safe, 15*time.Millisecond, 100*time.Millisecond, 600*time.Millisecond)
	return config
}

// KelisimGrown returns the mediation rooms after their growth: 90 hosts, 60 engines, and
// 24 teams, a quarter of which go before the others.
func KelisimGrown() Config {
	config := Kelisim()
	config.Hosts = 90
	config.Engines = 60
	config.KVCacheTokens = 568_363
	config.Model.TokensPerEvent = 4
	config.UseRelays = true
	config.Teams = grownTeams()
	rates := []float64{126, 34.3, 105, 54.4, 21.8}
	prefixes := []int{518, 149, 455}
	events := []int{30, 13, 43}
	growClasses(&config, rates, prefixes, events)
	return config
}

// LindqvistGrown returns the bridal firm after its growth: 68 hosts, 140 engines with 32
// slots each, and 24 teams.
func LindqvistGrown() Config {
	config := Lindqvist()
	config.Hosts = 68
	config.Zones = 4
	config.Engines = 140
	config.Slots = 32
	config.KVCacheTokens = 401_295
	config.Model.TokensPerEvent = 5
	config.Servers = 4
	config.UseRelays = true
	config.Teams = grownTeams()
	rates := []float64{260, 70.6, 171, 101, 40.4}
	prefixes := []int{1063, 694, 1682}
	events := []int{24, 10, 34}
	growClasses(&config, rates, prefixes, events)
	config.Classes[0].MaxGap = time.Second
	config.Classes[1].MaxGap = 400 * time.Millisecond
	config.Classes[2].MaxGap = 250 * time.Millisecond
	return config
}

func growClasses(config *Config, rates []float64, prefixes, events []int) {
	for i := range config.Classes {
		config.Classes[i].Rate = rates[i]
	}
	for i := range prefixes {
		config.Classes[i].Prefixes = prefixes[i]
		config.Classes[i].MeanEvents = events[i]
	}
}

// grownTeams returns 24 teams of unequal size: the first has a seventh of the calls.
func grownTeams() []Team {
	const teams = 24
	result := make([]Team, teams)
	total := 0.0
	for i := range result {
		result[i].Share = 1 / float64(i+3)
		total += result[i].Share
		if i%4 != 1 {
			result[i].Priority = 1
		}
	}
	for i := range result {
		result[i].Share /= total
	}
	return result
}

// KelisimLarge returns the mediation rooms in six zones: 195 hosts in front of 117 engines
// with 24 places each, and drafts whose events may be at most 150 ms apart.
func KelisimLarge() Config {
	config := Kelisim()
	config.Hosts = 195
	config.Zones = 6
	config.Engines = 117
	config.Slots = 24
	config.KVCacheTokens = 526_035
	config.Servers = 6
	config.UseRelays = true
	classes := make([]Class, len(config.Classes))
	copy(classes, config.Classes)
	for i, change := range []struct {
		rate     float64
		maxGap   time.Duration
		prefixes int
	}{
		{174, 600 * time.Millisecond, 957},
		{58.4, 250 * time.Millisecond, 278},
		{125, 150 * time.Millisecond, 597},
	} {
		classes[i].Rate = change.rate
		classes[i].MaxGap = change.maxGap
		classes[i].Prefixes = change.prefixes
	}
	classes[3] = plainServiceClass("roomHold", 79.2, route.AtMostOnce, 15*time.Millisecond, 120*time.Millisecond, 1500*time.Millisecond)
	classes[4] = plainServiceClass("roomLookup", 31.8, route.Safe, 15*time.Millisecond, 120*time.Millisecond, 1500*time.Millisecond)
	config.Classes = classes
	return config
}

// Scale returns a copy of a deployment with the hosts, endpoints, arrival rates and
// shared prompt prefixes multiplied by a factor.
func Scale(config Config, factor int) Config {
	config.Hosts *= factor
	config.Engines *= factor
	config.Servers *= factor
	classes := make([]Class, len(config.Classes))
	copy(classes, config.Classes)
	for i := range classes {
		classes[i].Rate *= float64(factor)
		classes[i].Prefixes *= factor
	}
	config.Classes = classes
	return config
}
