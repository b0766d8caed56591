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
//	err = h.Run(ctx, kill)
//
// Run serves until its context ends and then stops in good order: the host is
// no longer ready but still accepts for the balancer's lag, then takes no new
// work, finishes every request in flight, and leaves.
package host

import (
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"

	"cactuswell/certificate"
	"cactuswell/core/dispatch"
	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
	"cactuswell/core/routing"
	"cactuswell/io/claims"
	"cactuswell/io/configuration"
	"cactuswell/io/node"
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
	settings    settings.Settings
	logger      log.Logger
	incarnation uint64
	timers      *timer.Service
	counters    *metrics.Counters
	tree        *supervisor.Tree
	clients     clients
	// certificates is nil, and so are the TLS configurations, without TLS.
	certificates  *certificate.Store
	tlsPublic     *tls.Config
	tlsMutual     *tls.Config
	node          *node.Node
	configuration *configuration.Configuration
	claims        *claims.Claims
	forwarder     *claims.Forwarder
	directory     *directory
	recent        *recentRequests
	requestIDs    atomic.Uint64
	externalIDs   atomic.Uint64
	phase         atomic.Int32
	// superseded is closed when a newer process runs under this host's name.
	superseded chan struct{}
	supersede  sync.Once

	callerListener   net.Listener
	peerListener     net.Listener
	operatorListener net.Listener

	mu    sync.Mutex
	pools map[string]*pool
}

// The phases of a host's life.
const (
	phaseServing int32 = iota
	// phaseLeaving is not ready but still accepts, for the balancer's lag.
	phaseLeaving
	// phaseDraining takes nothing new and finishes what it has.
	phaseDraining
)

// phaseNames are the phases as they stand in dumps.
var phaseNames = map[int32]string{
	phaseServing:  "serving",
	phaseLeaving:  "leaving",
	phaseDraining: "draining",
}

// watched starts the duties that read a new endpoint's account of itself.
func (h *Host) watched(descriptor endpoint.Descriptor, removed <-chan struct{}) {
	w := &watch{
		descriptor: descriptor,
		removed:    removed,
		engine:     h.clients.watching,
		timers:     h.timers,
		plan:       h.directory.plan.Load,
		baseURL:    h.baseURL,
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

// postToPool hands an event to a pool. The first event of each pool adds an
// endpoint, whose kind is the pool's.
func (h *Host) postToPool(name string, event dispatch.Event) {
	kind := profile.KindModel
	if added, ok := event.(dispatch.EndpointAdded); ok {
		kind = added.Descriptor.Kind
	}
	h.pool(name, kind).post(event)
}

// pool returns the pool of that name. At the first call it makes one of the
// given kind and starts its duty.
func (h *Host) pool(name string, kind profile.Kind) *pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p, ok := h.pools[name]; ok {
		return p
	}
	p := newPool(poolDependencies{
		name:      name,
		hostID:    h.id(),
		decisions: func() decisions { return h.newDecisions(name, kind) },
		clients:   h.clients,
		baseURL:   h.baseURL,
		timers:    h.timers,
		logger:    log.With(h.logger, "pool", name),
		counters:  h.counters,
		ids:       &h.requestIDs,
		rebuilt:   h.rebuilt,
	})
	h.pools[name] = p
	h.inform(func(event dispatch.Event) { p.events.TryPush(event) })
	h.tree.Add(supervisor.Duty{
		Name:          "pool." + name,
		Run:           p.run,
		BeforeRestart: p.restarted,
	})
	return p
}

// rebuilt tells a pool that lost its state what the others were told before.
func (h *Host) rebuilt(p *pool) {
	h.inform(p.relearn)
	h.directory.resend(p.name, p.relearn)
}

// inform tells a pool whose decisions are new of the host's own state.
func (h *Host) inform(tell func(dispatch.Event)) {
	tell(dispatch.HostsCounted{
		Hosts: h.node.LiveCount(),
	})
	if h.phase.Load() == phaseDraining {
		tell(dispatch.DrainStarted{})
	}
}

// newDecisions returns the state machines for a pool. The seed comes from the
// host's name and life, so that hosts do not choose alike.
func (h *Host) newDecisions(name string, kind profile.Kind) decisions {
	random := rand.New(rand.NewPCG(h.incarnation, hash(h.settings.Name+"/"+name)))
	router := routing.New(routing.DefaultSettings(h.settings.Name, h.settings.Zone), random)
	return decisions{
		router: router,
		pool: dispatch.New(dispatch.Settings{
			Pool: name,
			Kind: kind,
			Zone: h.settings.Zone,
		}, router, random),
	}
}

// baseURL returns the base URL of an endpoint's address.
func (h *Host) baseURL(address string) string {
	if h.settings.EndpointTLS {
		return "https://" + address
	}
	return "http://" + address
}

// id names this life of the host in the ids of attempts.
func (h *Host) id() string {
	return h.settings.Name + "-" + strconv.FormatUint(h.incarnation, 36)
}
