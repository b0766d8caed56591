package simulation

import (
	"time"

	"cactuswell/core/batching"
	"cactuswell/core/route"
)

// fetchPerThousand is the time for a thousand tokens of 160 KiB over links of 550
// Gbit/s.
const fetchPerThousand = 2383 * time.Microsecond

// Kelisim returns the mediation rooms' deployment at its usual load.
func Kelisim() Config {
	model := batching.Default()
	return Config{
		Seed:                 1,
		Duration:             30 * time.Second,
		Hosts:                6,
		Zones:                4,
		Engines:              12,
		Slots:                64,
		MemoryTokens:         568_234,
		FetchTimePerThousand: fetchPerThousand,
		StepTimeFactors:      []float64{1, 1, 1.3},
		Model:                model,
		Servers:              4,
		ServerSlots:          6,
		Classes: []Class{
			{
				Name:             "caseBrief",
				Rate:             14.6,
				Kind:             route.Stream,
				LatencyTarget:    2 * time.Second,
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
				LatencyTarget:    600 * time.Millisecond,
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
				LatencyTarget:    400 * time.Millisecond,
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
			plainClass("roomHold", 10.1, route.AtMostOnce, 30*time.Millisecond, 150*time.Millisecond, 2500*time.Millisecond),
			plainClass("roomLookup", 6.38, route.Safe, 30*time.Millisecond, 150*time.Millisecond, 2500*time.Millisecond),
		},
	}
}

func plainClass(name string, rate float64, kind route.Kind, work, target, deadline time.Duration) Class {
	attempts := 1
	if kind == route.Safe {
		attempts = 2
	}
	return Class{
		Name:            name,
		Rate:            rate,
		Kind:            kind,
		LatencyTarget:   target,
		Deadline:        deadline,
		Priority:        2,
		MaxAttempts:     attempts,
		MeanServiceTime: work,
		Value:           1,
		LateValue:       0.3,
	}
}

// Lindqvist returns the bridal firm's deployment at its usual load.
func Lindqvist() Config {
	config := Kelisim()
	config.Hosts = 9
	config.Zones = 3
	config.Engines = 18
	config.MemoryTokens = 418_045
	config.Model.TokensPerEvent = 4
	config.Servers = 3
	rename := []string{"lookbook", "stylistReply", "quickAsk"}
	rates := []float64{19.9, 8.64, 26.3}
	subjects := []int{141, 91, 279}
	events := []int{30, 13, 43}
	for i := range rename {
		config.Classes[i].Name = rename[i]
		config.Classes[i].Rate = rates[i]
		config.Classes[i].Prefixes = subjects[i]
		config.Classes[i].MeanEvents = events[i]
	}
	config.Classes[3] = plainClass("bookTrial", 13.8, route.AtMostOnce, 15*time.Millisecond, 100*time.Millisecond, 600*time.Millisecond)
	config.Classes[4] = plainClass("checkCalendar", 6.4, route.Safe, 15*time.Millisecond, 100*time.Millisecond, 600*time.Millisecond)
	return config
}

// Scale returns a deployment with that many times the hosts, endpoints, rates
// and subjects.
func Scale(config Config, times int) Config {
	config.Hosts *= times
	config.Engines *= times
	config.Servers *= times
	classes := make([]Class, len(config.Classes))
	copy(classes, config.Classes)
	for i := range classes {
		classes[i].Rate *= float64(times)
		classes[i].Prefixes *= times
	}
	config.Classes = classes
	return config
}
