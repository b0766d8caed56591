// Package host assembles an entry host. It runs the duties that serve callers,
// dispatch their requests, connect to endpoints and to the platform, and
// communicate with the other hosts, as one supervisor tree.
//
// # Usage
//
//	h, err := host.New(host.Dependencies{
//		Settings: settings,
//		Logger:   logger,
//	})
//	err = h.Run(ctx, kill)
//
// Run serves until its context ends and then shuts down gracefully. The host
// first reports that it is not ready, but still accepts requests until the load
// balancer has noticed (settings.BalancerLag). It then refuses new requests,
// finishes those in flight, and announces to the fleet that it has left.
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
	"cactuswell/io/clientconns"
	"cactuswell/io/configuration"
	"cactuswell/io/node"
	"cactuswell/metrics"
	"cactuswell/settings"
	"cactuswell/supervisor"
	"cactuswell/timer"
)

// Dependencies are the settings and the logger of a host.
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
	// callerClients bounds the connections to the callers' listener.
	callerClients *clientconns.Conns
	// certificates and the two TLS configurations are nil without TLS.
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
	// superseded is closed when a newer process with this host's name is found.
	superseded     chan struct{}
	supersededOnce sync.Once

	callerListener   net.Listener
	peerListener     net.Listener
	operatorListener net.Listener

	mu    sync.Mutex
	pools map[string]*pool
}

// The phases of a host.
const (
	phaseServing int32 = iota
	// phaseNotReady: the host is not ready but still accepts requests, since the
	// load balancer notices with a delay.
	phaseNotReady
	// phaseDraining: the host refuses new requests and finishes those in flight.
	phaseDraining
)

// phaseNames are the names of the phases in dumps.
var phaseNames = map[int32]string{
	phaseServing:  "serving",
	phaseNotReady: "leaving",
	phaseDraining: "draining",
}

// watchEndpoint starts the duties that poll a new endpoint's load report and
// cache events.
func (h *Host) watchEndpoint(descriptor endpoint.Descriptor, removed <-chan struct{}) {
	w := &endpointWatcher{
		descriptor:   descriptor,
		removed:      removed,
		engine:       h.clients.watching,
		timers:       h.timers,
		plan:         h.directory.plan.Load,
		baseURL:      h.baseURL,
		handleReport: h.directory.handleReport,
		post:         h.postToPool,
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

// postToPool posts an event to a pool. The first event of a pool is an
// EndpointAdded, and the kind of that endpoint becomes the kind of the pool.
func (h *Host) postToPool(name string, event dispatch.Event) {
	kind := profile.KindModel
	if added, ok := event.(dispatch.EndpointAdded); ok {
		kind = added.Descriptor.Kind
	}
	h.pool(name, kind).post(event)
}

// pool returns the pool with the given name. The first call creates it with the
// given kind and starts its duty.
func (h *Host) pool(name string, kind profile.Kind) *pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p, ok := h.pools[name]; ok {
		return p
	}
	p := newPool(poolDependencies{
		name:             name,
		instanceID:       h.instanceID(),
		newStateMachines: func() stateMachines { return h.newStateMachines(name, kind) },
		clients:          h.clients,
		baseURL:          h.baseURL,
		timers:           h.timers,
		logger:           log.With(h.logger, "pool", name),
		counters:         h.counters,
		callIDs:          &h.requestIDs,
		restore:          h.restorePool,
	})
	h.pools[name] = p
	h.sendHostState(func(event dispatch.Event) { p.events.TryPush(event) })
	h.tree.Add(supervisor.Duty{
		Name:          "pool." + name,
		Run:           p.run,
		BeforeRestart: p.handleRestart,
	})
	return p
}

// restorePool sends the host's state and the endpoints to a pool that lost its
// state.
func (h *Host) restorePool(p *pool) {
	h.sendHostState(p.addRestoreEvent)
	h.directory.resendEndpoints(p.name, p.addRestoreEvent)
}

// sendHostState sends the number of hosts, and whether this host is draining, to
// a pool with new state machines.
func (h *Host) sendHostState(send func(dispatch.Event)) {
	send(dispatch.HostCountChanged{
		Hosts: h.node.LiveCount(),
	})
	if h.phase.Load() == phaseDraining {
		send(dispatch.DrainStarted{})
	}
}

// newStateMachines returns the state machines of a pool. The random generator is
// seeded with the host's name and incarnation, so that hosts make different
// choices.
func (h *Host) newStateMachines(name string, kind profile.Kind) stateMachines {
	random := rand.New(rand.NewPCG(h.incarnation, hashText(h.settings.Name+"/"+name)))
	router := routing.New(routing.DefaultSettings(h.settings.Name, h.settings.Zone), random)
	return stateMachines{
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

// instanceID identifies this incarnation of the host in the ids of attempts.
func (h *Host) instanceID() string {
	return h.settings.Name + "-" + strconv.FormatUint(h.incarnation, 36)
}
