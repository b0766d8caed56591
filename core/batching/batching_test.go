package batching_test

import (
	"testing"
	"time"

	"cactuswell/core/batching"
)

func TestPrefillCompute(t *testing.T) {
	model := batching.Default()
	for name, test := range map[string]struct {
		cached   int
		uncached int
		low      time.Duration
		high     time.Duration
	}{
		"briefing, nothing cached":                     {cached: 0, uncached: 17_020, low: 380 * time.Millisecond, high: 410 * time.Millisecond},
		"briefing, shared prefix cached":               {cached: 13_300, uncached: 3720, low: 90 * time.Millisecond, high: 100 * time.Millisecond},
		"short draft":                                  {cached: 0, uncached: 1460, low: 29 * time.Millisecond, high: 31 * time.Millisecond},
		"no uncached tokens":                           {cached: 1000, uncached: 0, low: 0, high: 0},
		"long prompt, where attention matters":         {cached: 0, uncached: 53_000, low: 1500 * time.Millisecond, high: 1700 * time.Millisecond},
		"long prompt after a cached one of equal size": {cached: 53_000, uncached: 53_000, low: 2400 * time.Millisecond, high: 2800 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			if got := model.PrefillCompute(test.cached, test.uncached); got < test.low || got > test.high {
				t.Errorf("prefill takes %v, want %v to %v", got, test.low, test.high)
			}
		})
	}
}

func TestPrefillTimeIncludesSteps(t *testing.T) {
	model := batching.Default()
	const tokens = 17_020
	steps := (tokens + model.ChunkTokens - 1) / model.ChunkTokens
	if got, want := model.PrefillTime(0, tokens), model.PrefillCompute(0, tokens)+time.Duration(steps)*model.Step; got != want {
		t.Errorf("prefill takes %v, want %v", got, want)
	}
}

func TestEventGapGrowsWithPrefill(t *testing.T) {
	model := batching.Default()
	unloaded := model.EventGap(8, 40_000, 0, 0)
	besidePrefill := model.EventGap(8, 40_000, 0, 17_020)
	if unloaded > 25*time.Millisecond {
		t.Errorf("event gap without prefill is %v", unloaded)
	}
	if besidePrefill < 120*time.Millisecond || besidePrefill > 250*time.Millisecond {
		t.Errorf("event gap beside a long prefill is %v", besidePrefill)
	}
}
