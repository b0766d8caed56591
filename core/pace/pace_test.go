package pace_test

import (
	"testing"
	"time"

	"cactuswell/core/pace"
)

func TestLowerQuartile(t *testing.T) {
	for name, test := range map[string]struct {
		gaps []time.Duration
		want time.Duration
		ok   bool
	}{
		"too few":               {gaps: []time.Duration{5, 5, 5}},
		"even":                  {gaps: []time.Duration{5, 5, 5, 5}, want: 5, ok: true},
		"stretched by prefills": {gaps: []time.Duration{5, 50, 50, 5, 50, 5, 50, 50}, want: 5, ok: true},
		"event delivered together with the previous one": {gaps: []time.Duration{9, 1, 5, 5, 5, 5, 5, 5}, want: 5, ok: true},
	} {
		t.Run(name, func(t *testing.T) {
			var gaps pace.EventGaps
			for _, gap := range test.gaps {
				gaps.Record(gap)
			}
			if got, ok := gaps.LowerQuartile(); got != test.want || ok != test.ok {
				t.Errorf("lower quartile is %v %v, want %v %v", got, ok, test.want, test.ok)
			}
		})
	}
}
