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
	// New returns a dispatcher for one pool on one host.
	New func(params Member) dispatch.Dispatcher
}

// Member holds the parameters of a dispatcher: its host and its pool.
type Member struct {
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
			New: func(Member) dispatch.Dispatcher {
				return newBaselineDispatcher(baselineSettings{
					limitsConcurrency: true,
				})
			},
		},
		{
			Name: PolicyLeastOutstanding,
			New: func(Member) dispatch.Dispatcher {
				return newBaselineDispatcher(baselineSettings{
					prefersLeastOutstanding: true,
					sendsTier:               true,
				})
			},
		},
		{
			Name: PolicyStrictPriority,
			New: func(Member) dispatch.Dispatcher {
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
