// Package gateway is a host that serves the routes of a configuration kept in a
// store: it follows the configuration and the endpoints, takes calls, has them
// decided, and carries the decisions out.
//
// # Usage
//
//	g, err := gateway.New(gateway.Dependencies{
//		Settings: settings,
//		Log:      store,
//		Topics:   topics,
//		Decoder:  decoder,
//		Dialect:  dialect,
//		Output:   os.Stdout,
//	})
//	err = g.Run(stop, kill)
//
// A host keeps nothing beyond its process: the configuration and the endpoints
// are read anew from the store at each start, and nothing else lasts.
package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"cactuswell/core/batching"
	"cactuswell/core/scheduling"
	"cactuswell/io/keyedlog"
	"cactuswell/io/opaque"
	"cactuswell/io/peer"
	"cactuswell/io/upstream"
	"cactuswell/settings"
	"cactuswell/supervisor"
	"cactuswell/timer"
	"cactuswell/trail"
)

const (
	// memoryShare is the part of a host's memory that the runtime may use before
	// it collects garbage without pause.
	memoryShare = 0.75
	// bodyShare is the part of a host's memory that bodies of calls may take.
	bodyShare = 0.15
	// gcPercent is the growth of the heap from one collection to the next.
	gcPercent = 75
	// zoneDelay is the usual one-way delay between two zones of a region.
	zoneDelay = 700 * time.Microsecond
	// endTimeout bounds the wait for the duties at the end, which write the last
	// lines: short against what is left until the platform kills the process.
	endTimeout = 250 * time.Millisecond
	// headerTime bounds the arrival of a caller's header.
	headerTime = 10 * time.Second
	// maxHeader bounds a caller's header, in bytes.
	maxHeader = 64 << 10
)

// Topics names the topics of the store.
type Topics struct {
	// Configuration is the topic that holds the configuration under
	// ConfigurationKey.
	Configuration    string
	ConfigurationKey string
	// Endpoints is the topic that holds the endpoints' entries by their ids.
	Endpoints string
}

// Dependencies is what a gateway is made from.
type Dependencies struct {
	Settings settings.Gateway
	Log      keyedlog.Log
	// Roster is where the hosts enter themselves.
	Roster  Roster
	Topics  Topics
	Decoder Decoder
	Dialect opaque.Dialect
	// Output takes the log lines.
	Output io.Writer
	// LoadSettings reads the settings anew; Reload says when it is worth a look.
	LoadSettings   SettingsLoader
	ReloadRequests <-chan struct{}
}

// Gateway is a running host.
type Gateway struct {
	Dependencies
	trail          *trail.Trail
	timers         *timer.Service
	tree           *supervisor.Tree
	meter          *meter
	decided        *decisions
	pool           *upstream.Pool
	configuration  *configurationFeed
	endpoints      *endpointFeed
	server         *opaque.Server
	callers        *http.Server
	callerConns    *callerConns
	operators      *http.Server
	callerListener net.Listener
	readyListener  net.Listener
	mesh           *peer.Mesh
	peers          *http.Server
	peerListener   net.Listener
	born           int64
	// current are the settings in force.
	current     atomic.Pointer[settings.Gateway]
	reloadFault string
	leaving     chan struct{}
}

// New opens the host's listeners. The error is a *settings.InvalidError or that
// of a listener.
func New(dependencies Dependencies) (*Gateway, error) {
	if err := dependencies.Settings.Check(); err != nil {
		return nil, err
	}
	g := &Gateway{
		Dependencies: dependencies,
		timers:       timer.New(),
		meter:        newMeter(),
		pool:         upstream.New(),
		born:         time.Now().UnixMilli(),
		leaving:      make(chan struct{}),
	}
	g.trail = trail.New(dependencies.Output, dependencies.Settings.Name, g.timers)
	g.current.Store(&g.Settings)
	g.tree = supervisor.New("gateway", dutyLog{trail: g.trail})
	g.limitMemory()
	var err error
	if g.callerListener, err = net.Listen("tcp", g.Settings.CallerListen); err != nil {
		return nil, trace.Wrap(err)
	}
	if g.readyListener, err = net.Listen("tcp", g.Settings.ReadyListen); err != nil {
		return nil, trace.Wrap(errors.Join(err, g.callerListener.Close()))
	}
	g.build()
	if g.Settings.PeerListen == "" {
		return g, nil
	}
	if err := g.buildMesh(); err != nil {
		return nil, trace.Wrap(errors.Join(err, g.callerListener.Close(), g.readyListener.Close()))
	}
	return g, nil
}

// limitMemory keeps the process under the memory that the platform gives it.
func (g *Gateway) limitMemory() {
	debug.SetMemoryLimit(int64(memoryShare * float64(g.Settings.MemoryMB) * (1 << 20)))
	debug.SetGCPercent(gcPercent)
}

func (g *Gateway) build() {
	g.decided = newDecisions(scheduling.Settings{
		Zone:         g.Settings.Zone,
		ZoneDelay:    zoneDelay,
		Engine:       batching.Default(),
		BudgetWindow: g.Settings.BudgetWindow,
		BudgetRatio:  g.Settings.BudgetRatio,
		BudgetSlack:  g.Settings.BudgetSlack,
		Weights:      scheduling.DefaultWeights(),
	}, g.timers, g.trail)
	g.configuration = &configurationFeed{
		key:     g.Topics.ConfigurationKey,
		decoder: g.Decoder,
		trail:   g.trail,
		decided: g.decided,
		known:   make(chan struct{}),
	}
	g.endpoints = &endpointFeed{
		decoder:    g.Decoder,
		trail:      g.trail,
		decided:    g.decided,
		unreadable: make(map[string]bool),
		known:      make(chan struct{}),
	}
	g.server = opaque.New(opaque.Dependencies{
		RouteTable: g.configuration.current,
		Scheduler:  g.decided,
		Dialect:    g.Dialect,
		Pool:       g.pool,
		Trail:      g.trail,
		Meter:      g.meter,
		BodyMemory: int64(bodyShare * float64(g.Settings.MemoryMB) * (1 << 20)),
	})
	g.callerConns = newCallerConns()
	g.callers = &http.Server{
		Handler:           g.server,
		ConnState:         g.callerConns.note,
		ReadHeaderTimeout: headerTime,
		MaxHeaderBytes:    maxHeader,
		IdleTimeout:       g.Settings.IdleTimeout,
		ErrorLog:          newServerLog(g.trail),
	}
	g.operators = &http.Server{
		Handler:           g.operatorHandler(),
		ReadHeaderTimeout: headerTime,
		ErrorLog:          newServerLog(g.trail),
	}
	g.addGauges()
}

// buildMesh opens the sockets for other hosts.
func (g *Gateway) buildMesh() error {
	var err error
	g.peerListener, err = listenPair(g.Settings.PeerListen, g.openMesh)
	if err != nil {
		return err
	}
	for _, address := range g.Settings.Peers {
		g.mesh.AddHost(address, "")
	}
	g.decided.share = g.share
	g.peers = &http.Server{
		Handler:           g.peerHandler(),
		ReadHeaderTimeout: headerTime,
		ErrorLog:          newServerLog(g.trail),
	}
	return nil
}

// openMesh opens the mesh's socket at an address.
func (g *Gateway) openMesh(address string) error {
	var err error
	g.mesh, err = peer.New(peer.Dependencies{
		Host:        g.Settings.Name,
		Zone:        g.Settings.Zone,
		Incarnation: g.born,
		Address:     address,
		Listener: &peerListener{
			decided: g.decided,
			trail:   g.trail,
			zone:    g.Settings.Zone,
		},
		Timers: g.timers,
	})
	return err
}

// CallerAddress returns the address on which callers are served.
func (g *Gateway) CallerAddress() string { return g.callerListener.Addr().String() }

// ReadyAddress returns the address on which readiness and metrics are served.
func (g *Gateway) ReadyAddress() string { return g.readyListener.Addr().String() }

// PeerAddress returns the address on which other hosts are served.
func (g *Gateway) PeerAddress() string { return g.peerListener.Addr().String() }

// AwaitReady waits until the host wants connections. It fails only with ctx's
// error.
func (g *Gateway) AwaitReady(ctx context.Context) error {
	for _, known := range []<-chan struct{}{g.configuration.known, g.endpoints.known} {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-known:
		}
	}
	return nil
}

// share tells the other hosts of this one's work.
func (g *Gateway) share(full bool, work []scheduling.PeerLoad, placed []scheduling.Placement) {
	g.mesh.Send(peer.Message{
		ConfigurationVersion: g.configuration.version(),
		StoreUnavailable:     g.endpoints.lost.Load(),
		ShuttingDown:         g.isLeaving(),
		Complete:             full,
		Load:                 work,
		Placements:           placed,
	})
}

func (g *Gateway) isLeaving() bool {
	return isClosed(g.leaving)
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// operatorHandler serves readiness, metrics and dumps.
func (g *Gateway) operatorHandler() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc(g.Settings.ReadyPath, g.serveReady)
	routes.HandleFunc(DumpPath, g.serveDump)
	routes.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		g.meter.write(w)
	})
	return routes
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready, reason := g.ready()
	if !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether the host wants new connections, and why not.
func (g *Gateway) ready() (bool, string) {
	switch {
	case g.isLeaving():
		return false, "stopping"
	case g.configuration.current() == nil:
		return false, "no configuration yet"
	case !isClosed(g.endpoints.known):
		return false, "no endpoints yet"
	}
	return true, ""
}

// Run serves until stop ends and then stops in good order. The end of kill stops
// it at once.
func (g *Gateway) Run(stop, kill context.Context) error {
	serving, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.addDuties()
	done := make(chan struct{})
	go g.runTree(serving, done)
	g.trail.Notice("started").Text("zone", g.Settings.Zone).Text("callers", g.Settings.CallerListen).
		Text("store", g.Settings.StoreAddress).Int("memoryMB", int64(g.Settings.MemoryMB)).
		Int("processors", int64(runtime.GOMAXPROCS(0))).Float("budgetRatio", g.Settings.BudgetRatio).
		Float("budgetSlack", g.Settings.BudgetSlack).Millis("budgetWindow", g.Settings.BudgetWindow).
		Millis("stopTimeout", g.Settings.StopTimeout).Millis("balancerLag", g.Settings.BalancerLag).End()
	<-stop.Done()
	g.stop(kill)
	cancel()
	// A reader of the lines that takes none must not keep the process.
	limited, release := context.WithTimeout(kill, endTimeout)
	defer release()
	select {
	case <-done:
	case <-limited.Done():
	}
	return nil
}

func (g *Gateway) runTree(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	// The tree ends with its context and returns no other error.
	_ = g.tree.Run(ctx)
}
