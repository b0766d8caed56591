package experiment

import (
	"math/rand/v2"
	"time"

	"cactuswell/core/dispatch"
	"cactuswell/core/profile"
	"cactuswell/core/routing"
)

// Policy creates the dispatchers of a run.
type Policy struct {
	Name string
	// NewDispatcher returns a dispatcher for one pool on one host.
	NewDispatcher func(params DispatcherParams) dispatch.Dispatcher
}

// DispatcherParams holds the parameters of a dispatcher: its host and its pool.
type DispatcherParams struct {
	Host      string
	Zone      string
	ZoneDelay time.Duration
	Random    *rand.Rand
	Pool      string
	Kind      profile.Kind
	// routers collects the product's routers, whose counts are read after the run.
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

// Baselines returns the policies with which the product is compared.
func Baselines() []Policy {
	return []Policy{
		{
			Name: PolicyRoundRobin,
			NewDispatcher: func(DispatcherParams) dispatch.Dispatcher {
				return newBaselineDispatcher(baselineSettings{
					limitsConcurrency: true,
				})
			},
		},
		{
			Name: PolicyLeastOutstanding,
			NewDispatcher: func(DispatcherParams) dispatch.Dispatcher {
				return newBaselineDispatcher(baselineSettings{
					prefersLeastOutstanding: true,
					sendsTier:               true,
				})
			},
		},
		{
			Name: PolicyStrictPriority,
			NewDispatcher: func(DispatcherParams) dispatch.Dispatcher {
				return newBaselineDispatcher(baselineSettings{
					limitsConcurrency:       true,
					prefersLeastOutstanding: true,
					sendsTier:               true,
					ordersQueueByTier:       true,
				})
			},
		},
	}
}
