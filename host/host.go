// Package host assembles an entry host: the duties that serve callers, decide,
// speak to endpoints and the platform, and keep in touch with the other hosts,
// as one supervised tree.
//
// # Usage
//
//	h, err := host.New(host.Dependencies{
//		Settings: settings,
//		Logger:   logger,
//	})
//	err = h.Run(ctx)
//
// Run serves until its context ends and then stops in good order: the host is
// no longer ready but still accepts for the balancer's lag, then takes no new
// work, finishes every request in flight, and leaves.
package host

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"

	"cactuswell/core/dispatch"
	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
	"cactuswell/core/routing"
	"cactuswell/metrics"
	"cactuswell/settings"
	"cactuswell/supervisor"
	"cactuswell/timer"
)

// Dependencies is what a host is made from.
type Dependencies struct {
	Settings settings.Settings
	Logger   log.Logger
}

// Host is one entry host.
type Host struct {
	settings       settings.Settings
	logger         log.Logger
	incarnation    uint64
	timers         *timer.Service
	counters       *metrics.Counters
	tree           *supervisor.Tree
	clients        clients
	directory      *directory
	profiles       profiles
	requestIDs     atomic.Uint64
	externalIDs    atomic.Uint64
	callerListener net.Listener
	recent         *recentRequests
	phase          atomic.Int32

	mu    sync.Mutex
	pools map[string]*pool
}

// profiles is where the host finds the profiles in force.
type profiles interface {
	Profile(name string) (profile.Profile, uint64, bool)
	Ready() (bool, string)
}

// The phases of a host's life.
const (
	phaseServing int32 = iota
	// phaseLeaving is not ready but still accepts, for the balancer's lag.
	phaseLeaving
	// phaseDraining takes nothing new and finishes what it has.
	phaseDraining
)

// watched starts the duties that read a new endpoint's account of itself.
func (h *Host) watched(descriptor endpoint.Descriptor, removed <-chan struct{}) {
	w := &watch{
		descriptor: descriptor,
		removed:    removed,
		engine:     h.clients.watching,
		timers:     h.timers,
		interval:   h.settings.ReportInterval,
		heard:      h.directory.heard,
		post:       h.postToPool,
	}
	name := fmt.Sprintf("%s.%d", descriptor.Key.Name, descriptor.Key.Incarnation)
	h.tree.Add(supervisor.Duty{
		Name: "load." + name,
		Run:  w.runLoad,
	})
	h.tree.Add(supervisor.Duty{
		Name: "cache." + name,
		Run:  w.runCache,
	})
}

func (h *Host) postToPool(name string, event dispatch.Event) {
	h.pool(name).post(event)
}

// pool returns the pool of that name and starts its duty at the first call.
func (h *Host) pool(name string) *pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p, ok := h.pools[name]; ok {
		return p
	}
	p := newPool(poolDependencies{
		name:       name,
		hostID:     h.id(),
		dispatcher: func() dispatch.Dispatcher { return h.newDispatcher(name) },
		clients:    h.clients,
		timers:     h.timers,
		logger:     log.With(h.logger, "pool", name),
		counters:   h.counters,
		ids:        &h.requestIDs,
		rebuilt:    func(p *pool) { h.directory.resend(p.name) },
	})
	h.pools[name] = p
	h.tree.Add(supervisor.Duty{
		Name:      "pool." + name,
		Run:       p.run,
		Restarted: p.restarted,
	})
	return p
}

// newDispatcher returns the decisions for a pool. The seed comes from the
// host's name and life, so that hosts do not choose alike.
func (h *Host) newDispatcher(pool string) dispatch.Dispatcher {
	random := rand.New(rand.NewPCG(h.incarnation, hash(h.settings.Name+"/"+pool)))
	router := routing.New(routing.Settings{
		Host: h.settings.Name,
		Zone: h.settings.Zone,
	}, random)
	return dispatch.New(dispatch.Settings{}, router, random)
}

// id names this life of the host in the ids of attempts.
func (h *Host) id() string {
	return h.settings.Name + "-" + strconv.FormatUint(h.incarnation, 36)
}
