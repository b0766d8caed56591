// Package placement is the duty that keeps the lease of placement, observes the
// engines and sends them the orders that package core/placement plans.
//
// # Usage
//
//	p := placement.New(placement.Dependencies{...})
//	for _, duty := range p.Duties() {
//		tree.Add(duty)
//	}
//
// One lease covers all pools, since they share the weight store's rate. Without
// a wanted document the duties read nothing and append nothing.
//
// A drain and a taking in are changes of the configuration by the author
// core/configuration.AuthorPlacement, so that every host stops and starts to
// send work to the engine. An endpoint that any other author drained counts as
// handed over, and the configuration refuses a change of it by this author.
package placement

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	core "cactuswell/core/configuration"
	"cactuswell/core/endpoint"
	"cactuswell/core/lease"
	"cactuswell/core/placement"
	"cactuswell/core/record"
	"cactuswell/io/configuration"
	"cactuswell/io/engine"
	"cactuswell/io/logservice"
	"cactuswell/io/weightstore"
	"cactuswell/supervisor"
	"cactuswell/timer"
)

const (
	// leaseName names the one lease of the fleet.
	leaseName = "placement"
	// maxRecent bounds the orders that are remembered.
	maxRecent = 64
)

// Configuration is the part of the configuration that placement uses.
type Configuration interface {
	State() *core.State
	Change(ctx context.Context, id string, change core.Change) (core.Outcome, error)
	InForce(ctx context.Context, offset record.Offset) configuration.InForce
}

// Engines are the calls to engines. *engine.Client implements it.
type Engines interface {
	State(ctx context.Context, base string) (engine.StateResponse, error)
	Load(ctx context.Context, base string) (engine.LoadReport, error)
	Order(ctx context.Context, base string, order engine.OrderRequest) (engine.OrderResponse, error)
}

// Endpoint is one endpoint that the host knows.
type Endpoint struct {
	Descriptor endpoint.Descriptor
	BaseURL    string
	Leaving    bool
}

// Dependencies are what a Placement is made of.
type Dependencies struct {
	Host          string
	Incarnation   uint64
	Log           logservice.Log
	Configuration Configuration
	Engines       Engines
	// Endpoints returns the model engines that the host knows.
	Endpoints func() []Endpoint
	// Store is the weight store, or nil if there is none.
	Store    weightstore.Store
	Timers   *timer.Service
	Logger   log.Logger
	Settings Settings
}

// Placement is the duty of one host. It is safe for concurrent use.
type Placement struct {
	dependencies Dependencies
	start        time.Time

	mu sync.Mutex
	// machine and orders are nil until there is a wanted document.
	machine *lease.Machine
	orders  *placement.Orders
	recent  []OrderReport
	plans   []placement.Plan
	// heldBack is why the last planned order was not sent, or is empty.
	heldBack string
	// inForce holds the latest drain of an engine that is in force on every
	// host.
	inForce map[endpoint.Key]drainInForce
	// served is when an engine was last seen to serve.
	served map[endpoint.Key]time.Time

	// The rest belongs to the reconcile duty, which alone uses it.
	term    record.Offset
	loads   *placement.Loads
	demands map[string]*placement.Demand
}

// New returns a placement that has read nothing.
func New(dependencies Dependencies) *Placement {
	return &Placement{
		dependencies: dependencies,
		start:        dependencies.Timers.Now(),
		term:         -1,
		demands:      make(map[string]*placement.Demand),
		inForce:      make(map[endpoint.Key]drainInForce),
		served:       make(map[endpoint.Key]time.Time),
	}
}

// Duties returns the duties to supervise.
func (p *Placement) Duties() []supervisor.Duty {
	return []supervisor.Duty{
		{
			Name: "placement.lease",
			Run:  p.runLease,
		},
		{
			Name: "placement.reconcile",
			Run:  p.runReconcile,
		},
	}
}

// runLease keeps the lease. Hosts that do not have it look rarely, each at its
// own phase, so that a large fleet neither burdens the log nor claims at once.
func (p *Placement) runLease(ctx context.Context) error {
	standby := p.dependencies.Settings.Standby
	wait := time.Duration(xxhash.Sum64String(p.dependencies.Host) % uint64(standby))
	for p.pause(ctx, wait) {
		wait = standby
		if p.keepLease(ctx) {
			wait = p.dependencies.Settings.Interval
		}
	}
	return nil
}

// runReconcile plans and makes moves while this host has the lease.
func (p *Placement) runReconcile(ctx context.Context) error {
	for p.pause(ctx, p.dependencies.Settings.Interval) {
		p.reconcile(ctx)
	}
	return nil
}

// pause reports whether ctx goes on after the wait.
func (p *Placement) pause(ctx context.Context, wait time.Duration) bool {
	after := p.dependencies.Timers.After(wait)
	defer after.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-after.C():
		return true
	}
}

// instant returns the present on both clocks.
func (p *Placement) instant() lease.Instant {
	now := p.dependencies.Timers.Now()
	return lease.Instant{
		Monotonic: now.Sub(p.start),
		Wall:      now.Round(0),
	}
}

// wanted returns the wanted document. It is empty without one.
func (p *Placement) wanted() (placement.Wanted, error) {
	published := p.dependencies.Configuration.State().Placement()
	if published.Revision == 0 {
		return placement.Wanted{}, nil
	}
	return placement.Parse([]byte(published.Document))
}

func (p *Placement) logFailure(event string, err error) {
	_ = p.dependencies.Logger.Log("level", "error", "event", event, "error", err)
}
