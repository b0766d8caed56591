package host

import (
	"fmt"
	"testing"
	"time"
)

func TestWatchPlanBoundsReads(t *testing.T) {
	for _, test := range []struct {
		name      string
		pools     int
		endpoints int
		watched   int
		interval  time.Duration
	}{
		{name: "current scale", pools: 2, endpoints: 12, watched: 24, interval: 500 * time.Millisecond},
		{name: "more endpoints than reads", pools: 4, endpoints: 64, watched: 256, interval: 4 * time.Second},
		{name: "expected scale in two years", pools: 20, endpoints: 340, watched: 1280, interval: 20 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			pools := make(map[string][]string)
			for pool := range test.pools {
				for endpoint := range test.endpoints {
					name := fmt.Sprintf("pool-%d", pool)
					pools[name] = append(pools[name], fmt.Sprintf("%s-%d", name, endpoint))
				}
			}
			plan := newWatchPlan("host-1", pools, 64, 500*time.Millisecond, 64)
			if plan.watched.Len() != test.watched || plan.interval != test.interval {
				t.Errorf("watched %d, interval %v; want %d, %v", plan.watched.Len(), plan.interval, test.watched, test.interval)
			}
		})
	}
}
