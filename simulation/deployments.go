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

// guildModel returns the times of the guild's engines, a mixture-of-experts model that
// starts later and steps faster than the one of Default.
func guildModel(tokensPerEvent int) batching.Model {
	return batching.Model{
		Step:                4840 * time.Microsecond,
		StepPerRequest:      72500 * time.Nanosecond,
		StepPerThousand:     2190 * time.Nanosecond,
		PrefillPerThousand:  13369 * time.Microsecond,
		AttentionPerMillion: 232 * time.Microsecond,
		FirstStepDelay:      70 * time.Millisecond,
		ChunkTokens:         2048,
		TokensPerEvent:      tokensPerEvent,
	}
}

// PunutudAbi returns the caning guild's assistant at its usual load: 6 hosts in 4 zones, 12
// engines with many slots, one plain service with 4 servers.
func PunutudAbi() Config {
	config := Kelisim()
	config.Slots = 128
	config.QueuePlaces = 384
	config.KVCacheTokens = 390_466
	config.FetchTimePerThousandTokens = guildFetchTimePerThousandTokens
	config.StepTimeFactors = nil
	config.Model = guildModel(4)
	config.Classes = []Class{
		{
			Name:             "dossierRead",
			Rate:             35.8,
			Kind:             route.Stream,
			TargetLatency:    1200 * time.Millisecond,
			MaxGap:           800 * time.Millisecond,
			Deadline:         6 * time.Second,
			Priority:         2,
			MaxAttempts:      2,
			Resumable:        true,
			Prefixes:         380,
			PrefixTokens:     6300,
			MeanSuffixTokens: 2890,
			SuffixSigma:      1,
			MeanEvents:       13,
			Value:            1.5,
			LateValue:        0.46,
		},
		{
			Name:             "letterDigest",
			Rate:             40.8,
			Kind:             route.Stream,
			TargetLatency:    800 * time.Millisecond,
			MaxGap:           300 * time.Millisecond,
			Deadline:         4 * time.Second,
			Priority:         1,
			MaxAttempts:      1,
			Prefixes:         433,
			PrefixTokens:     568,
			MeanSuffixTokens: 1800,
			SuffixSigma:      1.3,
			MeanEvents:       6,
			Value:            1.2,
			LateValue:        0.35,
		},
		{
			Name:             "weaveGuide",
			Rate:             21,
			Kind:             route.Stream,
			TargetLatency:    time.Second,
			MaxGap:           200 * time.Millisecond,
			Deadline:         15 * time.Second,
			MaxAttempts:      2,
			Resumable:        true,
			Prefixes:         148,
			PrefixTokens:     172,
			MeanSuffixTokens: 543,
			SuffixSigma:      0.89,
			MeanEvents:       70,
			Value:            5.2,
			LateValue:        0.48,
		},
		plainServiceClass("slotBook", 24.4, route.AtMostOnce, 60*time.Millisecond, 300*time.Millisecond, 4*time.Second),
		plainServiceClass("cardLookup", 9.76, route.Safe, 60*time.Millisecond, 300*time.Millisecond, 4*time.Second),
	}
	return config
}

// guildFetchTimePerThousandTokens is the transfer time of 1000 tokens of 35,136 B each over
// a link of 370 Gbit/s.
const guildFetchTimePerThousandTokens = 760 * time.Microsecond

// PunutudAbiGrown returns the caning guild's assistant after its growth: 59 hosts, 112
// engines with 12 slots and a queue of 36 places each.
func PunutudAbiGrown() Config {
	config := PunutudAbi()
	config.Hosts = 59
	config.Engines = 112
	config.Slots = 12
	config.QueuePlaces = 36
	config.KVCacheTokens = 319_565
	config.Model = guildModel(6)
	config.Servers = 7
	config.UseRelays = true
	config.Teams = grownTeams()
	rates := []float64{482, 325, 59.2, 172, 68.5}
	prefixes := []int{2965, 3203, 388}
	events := []int{9, 4, 47}
	growClasses(&config, rates, prefixes, events)
	for i, change := range []struct {
		target, deadline time.Duration
		value, lateValue float64
	}{
		{1200 * time.Millisecond, 5 * time.Second, 2.1, 0.66},
		{800 * time.Millisecond, 3 * time.Second, 1.7, 0.49},
		{800 * time.Millisecond, 15 * time.Second, 7.4, 0.66},
	} {
		config.Classes[i].TargetLatency = change.target
		config.Classes[i].Deadline = change.deadline
		config.Classes[i].Value = change.value
		config.Classes[i].LateValue = change.lateValue
	}
	return config
}

// Uneven returns a deployment of uneven engines under hard load: 84 hosts, 140 engines with 16
// slots, a queue of 33 and lasting differences of speed, whose pace also changes every moment.
// Hosts assume the default times of engines.
func Uneven() Config {
	config := KelisimGrown()
	hostModel := batching.Default()
	config.HostModel = &hostModel
	config.Hosts = 84
	config.Engines = 140
	config.Slots = 16
	config.QueuePlaces = 33
	config.KVCacheTokens = 730_160
	config.StepTimeFactors = []float64{0.55, 1.2, 1.2, 1.2}
	config.PaceSpread = 0.25
	config.Model.Step = 3400 * time.Microsecond
	config.Model.PrefillPerThousand = 8930 * time.Microsecond
	config.Model.AttentionPerMillion = 163 * time.Microsecond
	config.Model.TokensPerEvent = 5
	classes := make([]Class, len(config.Classes))
	copy(classes, config.Classes)
	for i, change := range []struct {
		rate             float64
		target, gap      time.Duration
		shared, own      int
		prefixes, events int
		value, lateValue float64
	}{
		{290, 1500 * time.Millisecond, 800 * time.Millisecond, 13_300, 3700, 1200, 30, 1.4, 0.14},
		{176, 400 * time.Millisecond, 300 * time.Millisecond, 6300, 2900, 700, 13, 2, 0.2},
		{142, 250 * time.Millisecond, 200 * time.Millisecond, 350, 1110, 500, 43, 3.1, 0.093},
	} {
		classes[i].Rate = change.rate
		classes[i].TargetLatency = change.target
		classes[i].MaxGap = change.gap
		classes[i].PrefixTokens = change.shared
		classes[i].MeanSuffixTokens = change.own
		classes[i].Prefixes = change.prefixes
		classes[i].MeanEvents = change.events
		classes[i].Value = change.value
		classes[i].LateValue = change.lateValue
	}
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
