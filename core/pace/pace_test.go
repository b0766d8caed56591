package pace_test

import (
	"testing"
	"time"

	"cactuswell/core/pace"
)

func TestQuick(t *testing.T) {
	for name, test := range map[string]struct {
		pauses []time.Duration
		want   time.Duration
		ok     bool
	}{
		"too few":                          {pauses: []time.Duration{5, 5, 5}},
		"even":                             {pauses: []time.Duration{5, 5, 5, 5}, want: 5, ok: true},
		"stretched by prompts":             {pauses: []time.Duration{5, 50, 50, 5, 50, 5, 50, 50}, want: 5, ok: true},
		"one that came with the one ahead": {pauses: []time.Duration{9, 1, 5, 5, 5, 5, 5, 5}, want: 5, ok: true},
	} {
		t.Run(name, func(t *testing.T) {
			var p pace.EventGaps
			for _, pause := range test.pauses {
				p.Record(pause)
			}
			if got, ok := p.LowerQuartile(); got != test.want || ok != test.ok {
				t.Errorf("pace is %v %v, want %v %v", got, ok, test.want, test.ok)
			}
		})
	}
}
