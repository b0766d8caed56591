package host

import (
	"time"

	"cactuswell/core/routing"
	"cactuswell/set"
)

// watchPlan holds the endpoints that a host polls and the polling interval. It is
// immutable.
type watchPlan struct {
	watched  set.Set[string]
	interval time.Duration
}

// newWatchPlan returns a plan for the endpoints, given by pool. It contains the
// subset of each pool that the host uses. The interval is longer than the given
// one if that would cause more than maxReads reads per second.
func newWatchPlan(host string, pools map[string][]string, subset int, interval time.Duration, maxReads int) *watchPlan {
	plan := &watchPlan{
		watched: set.New[string](),
	}
	for _, names := range pools {
		for _, name := range routing.Subset(host, names, subset) {
			plan.watched.Add(name)
		}
	}
	shortest := time.Duration(plan.watched.Len()) * time.Second / time.Duration(max(1, maxReads))
	plan.interval = max(interval, shortest)
	return plan
}
