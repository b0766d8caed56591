package batching_test

import (
	"testing"
	"time"

	"cactuswell/core/batching"
)

func TestPrefill(t *testing.T) {
	model := batching.Default()
	for name, test := range map[string]struct {
		cached   int
		uncached int
		low      time.Duration
		high     time.Duration
	}{
		"a briefing whose subject is read anew":     {cached: 0, uncached: 17_020, low: 380 * time.Millisecond, high: 410 * time.Millisecond},
		"a briefing whose subject is in memory":     {cached: 13_300, uncached: 3720, low: 90 * time.Millisecond, high: 100 * time.Millisecond},
		"a draft":                                   {cached: 0, uncached: 1460, low: 29 * time.Millisecond, high: 31 * time.Millisecond},
		"nothing to read":                           {cached: 1000, uncached: 0, low: 0, high: 0},
		"a long prompt, where attention is felt":    {cached: 0, uncached: 53_000, low: 1500 * time.Millisecond, high: 1700 * time.Millisecond},
		"the same behind a cached part of its size": {cached: 53_000, uncached: 53_000, low: 2400 * time.Millisecond, high: 2800 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			if got := model.PrefillCompute(test.cached, test.uncached); got < test.low || got > test.high {
				t.Errorf("reading takes %v, want %v to %v", got, test.low, test.high)
			}
		})
	}
}

func TestReadingCountsTheStepsOfItsChunks(t *testing.T) {
	model := batching.Default()
	const tokens = 17_020
	steps := (tokens + model.ChunkTokens - 1) / model.ChunkTokens
	if got, want := model.PrefillTime(0, tokens), model.PrefillCompute(0, tokens)+time.Duration(steps)*model.Step; got != want {
		t.Errorf("reading takes %v, want %v", got, want)
	}
}

func TestPauseGrowsWithWhatIsRead(t *testing.T) {
	model := batching.Default()
	alone := model.EventGap(8, 40_000, 0, 0)
	beside := model.EventGap(8, 40_000, 0, 17_020)
	if alone > 25*time.Millisecond {
		t.Errorf("pause of a stream alone is %v", alone)
	}
	if beside < 120*time.Millisecond || beside > 250*time.Millisecond {
		t.Errorf("pause beside a long prompt is %v", beside)
	}
}
