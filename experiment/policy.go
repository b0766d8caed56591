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
	// NewDispatcher returns the dispatcher of one pool on one host.
	NewDispatcher func(member DispatcherParams) dispatch.Dispatcher
}

// DispatcherParams is what a dispatcher knows of its host.
type DispatcherParams struct {
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
			NewDispatcher: func(DispatcherParams) dispatch.Dispatcher {
				return newBaseline(baselineSettings{
					windows: true,
				})
			},
		},
		{
			Name: PolicyLeastOutstanding,
			NewDispatcher: func(DispatcherParams) dispatch.Dispatcher {
				return newBaseline(baselineSettings{
					leastOutstanding: true,
					tiersToEndpoint:  true,
				})
			},
		},
		{
			Name: PolicyStrictPriority,
			NewDispatcher: func(DispatcherParams) dispatch.Dispatcher {
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
