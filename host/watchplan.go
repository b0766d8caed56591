package host

import (
	"time"

	"cactuswell/core/routing"
	"cactuswell/set"
)

// watchPlan says which endpoints a host reads the load of, and how often. It is
// immutable.
type watchPlan struct {
	used     set.Set[string]
	interval time.Duration
}

// newWatchPlan plans the reads of the endpoints, given by pool: those that the
// host uses, each at the wanted interval unless that makes more reads a second
// than maxReads.
func newWatchPlan(host string, pools map[string][]string, subset int, interval time.Duration, maxReads int) *watchPlan {
	plan := &watchPlan{
		used: set.New[string](),
	}
	for _, names := range pools {
		for _, name := range routing.Subset(host, names, subset) {
			plan.used.Add(name)
		}
	}
	least := time.Duration(plan.used.Len()) * time.Second / time.Duration(max(1, maxReads))
	plan.interval = max(interval, least)
	return plan
}
