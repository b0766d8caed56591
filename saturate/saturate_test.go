package saturate_test

import (
	"math"
	"testing"
	"time"

	"cactuswell/saturate"
)

func TestDuration(t *testing.T) {
	for name, test := range map[string]struct {
		number float64
		unit   time.Duration
		want   time.Duration
	}{
		"zero":              {unit: time.Second},
		"negative zero":     {number: math.Copysign(0, -1), unit: time.Second},
		"fraction":          {number: 1.5, unit: time.Millisecond, want: 1500 * time.Microsecond},
		"negative":          {number: -2, unit: time.Second, want: -2 * time.Second},
		"largest below":     {number: math.Nextafter(1<<63, 0), unit: 1, want: 1<<63 - 1024},
		"first beyond":      {number: 1 << 63, unit: 1, want: math.MaxInt64},
		"least":             {number: -1 << 63, unit: 1, want: math.MinInt64},
		"below the least":   {number: math.Nextafter(-1<<63, math.Inf(-1)), unit: 1, want: math.MinInt64},
		"huge":              {number: 1e300, unit: time.Millisecond, want: math.MaxInt64},
		"huge negative":     {number: -1e300, unit: time.Millisecond, want: math.MinInt64},
		"overflows a float": {number: math.MaxFloat64, unit: time.Hour, want: math.MaxInt64},
		"infinite":          {number: math.Inf(1), unit: 1, want: math.MaxInt64},
		"negative infinite": {number: math.Inf(-1), unit: 1, want: math.MinInt64},
		"NaN":               {number: math.NaN(), unit: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			if got := saturate.Duration(test.number, test.unit); got != test.want {
				t.Errorf("%v of %s is %d, want %d", test.number, test.unit, got, test.want)
			}
		})
	}
}
