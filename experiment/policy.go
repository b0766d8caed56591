package experiment

import (
	"math/rand/v2"
	"time"

	"cactuswell/core/dispatch"
	"cactuswell/core/profile"
	"cactuswell/core/routing"
)

// Policy makes the dispatchers that a run measures.
type Policy struct {
	Name string
	// New returns the dispatcher of one pool on one host.
	New func(member Member) dispatch.Dispatcher
}

// Member is what a dispatcher knows of its host.
type Member struct {
	Host      string
	Zone      string
	ZoneDelay time.Duration
	Random    *rand.Rand
	Pool      string
	Kind      profile.Kind
	// routers takes the product's routers, for their counts.
	routers *[]*routing.Router
}

// The names of the policies.
const (
	PolicyProduct          = "product"
	PolicyRoundRobin       = "roundRobin"
	PolicyLeastOutstanding = "leastOutstanding"
	PolicyStrictPriority   = "strictPriority"
)

// Policies returns the product and the baselines.
func Policies() []Policy {
	return append([]Policy{Product()}, Baselines()...)
}

// Baselines returns the policies that the product is measured against.
func Baselines() []Policy {
	return []Policy{
		{
			Name: PolicyRoundRobin,
			New: func(Member) dispatch.Dispatcher {
				return newBaseline(baselineSettings{
					windows: true,
				})
			},
		},
		{
			Name: PolicyLeastOutstanding,
			New: func(Member) dispatch.Dispatcher {
				return newBaseline(baselineSettings{
					leastOutstanding: true,
					tiersToEndpoint:  true,
				})
			},
		},
		{
			Name: PolicyStrictPriority,
			New: func(Member) dispatch.Dispatcher {
				return newBaseline(baselineSettings{
					windows:          true,
					leastOutstanding: true,
					tiersToEndpoint:  true,
					tiersInQueue:     true,
				})
			},
		},
	}
}
