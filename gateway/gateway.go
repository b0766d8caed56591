// Package gateway implements a host that serves the routes of a configuration
// kept in a store. The host follows the configuration and the endpoints in the
// store, accepts calls, schedules them, and executes the scheduling decisions.
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
// A host has no persistent state. It reads the configuration and the endpoints
// from the store at each start.
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
	"cactuswell/io/changes"
	"cactuswell/io/clientconns"
	"cactuswell/io/control"
	"cactuswell/io/keyedlog"
	"cactuswell/io/opaque"
	"cactuswell/io/peer"
	"cactuswell/io/tunnel"
	"cactuswell/io/upstream"
	"cactuswell/set"
	"cactuswell/settings"
	"cactuswell/supervisor"
	"cactuswell/timer"
	"cactuswell/trail"
)

const (
	// prefixMemoryShare is the share of a host's memory for what it remembers of the prompts that
	// engines have cached.
	prefixMemoryShare = 0.08
	// runtimeMemoryShare is the share of a host's memory that is set as the memory
	// limit of the Go runtime. Near the limit the runtime collects garbage
	// continuously.
	runtimeMemoryShare = 0.75
	// gcPercent is the heap growth, in percent, that triggers a garbage collection.
	gcPercent = 75
	// interZoneDelay is the typical one-way network delay between two zones of a
	// region.
	interZoneDelay = 700 * time.Microsecond
	// dutyExitTimeout bounds the wait for the duties at the end of Run, while they
	// write the last log lines. It is short compared with the time that remains
	// until the platform kills the process.
	dutyExitTimeout = 250 * time.Millisecond
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 64 << 10
	// callerWriteTimeout bounds the time from a request's header to the end of its
	// response. It is beyond the longest call, so it ends only responses that the caller
	// does not read.
	callerWriteTimeout = opaque.MaxCallTime + 10*time.Second
	// controlTimeout bounds a request of an operator or another host, and the response.
	// controlIdleTimeout is how long their connections may be idle.
	controlTimeout     = 5 * time.Second
	controlIdleTimeout = time.Minute
	// startCatchUp is how long after its start a host that knows of a newer configuration is not ready.
	startCatchUp = 6 * time.Second
	// maxControlHeaderBytes bounds the header of such a request.
	maxControlHeaderBytes = 16 << 10
)

// Topics names the topics of the store that a host follows.
type Topics struct {
	// Configuration is the topic of the configuration, whose record has the key
	// ConfigurationKey.
	Configuration    string
	ConfigurationKey string
	// Endpoints is the topic of the endpoints' entries, keyed by endpoint ID.
	Endpoints string
}

// Dependencies holds the settings and collaborators of a Gateway.
type Dependencies struct {
	Settings settings.Gateway
	Log      keyedlog.Log
	// Roster is the fleet's membership list.
	Roster Roster
	// Control is the platform's control API. It is nil if the settings name no address of it.
	Control control.Client
	Topics  Topics
	Decoder Decoder
	Dialect opaque.Dialect
	// Output receives the log lines.
	Output io.Writer
	// DialEndpoint opens a connection to the endpoint at an address. If it is nil, it is a
	// TCP connection.
	DialEndpoint func(ctx context.Context, address string) (net.Conn, error)
	// ListenPeers opens the socket for datagrams of other hosts at an address. If it is nil, it is
	// a UDP socket.
	ListenPeers func(address string) (net.PacketConn, error)
	// LoadSettings reads the current settings. A value on ReloadRequests requests a
	// reload; the settings are also reloaded periodically.
	LoadSettings   SettingsLoader
	ReloadRequests <-chan struct{}
}

// Gateway is a host that serves callers, operators and other hosts.
type Gateway struct {
	Dependencies
	trail         *trail.Trail
	timers        *timer.Service
	tree          *supervisor.Tree
	meter         *meter
	decisions     *decisionLoop
	pool          *upstream.Pool
	configuration *configurationFeed
	endpoints     *endpointFeed
	// followers hold the host's copies of the store's topics.
	followers map[string]*keyedlog.Follower
	// changes encodes the changes of the copies for other hosts.
	changes      *changes.Encoder
	callHandler  *opaque.Server
	callerServer *http.Server
	callerConns  *callerConns
	// callerClients and operatorClients bound the connections to the two listeners.
	callerClients   *clientconns.Conns
	operatorClients *clientconns.Conns
	operatorServer  *http.Server
	callerListener  net.Listener
	readyListener   net.Listener
	mesh            *peer.Mesh
	peerServer      *http.Server
	// tunnels connects other hosts to endpoints.
	tunnels *tunnel.Server
	// streams keeps the software versions of streams. It is nil if the host has no roster.
	streams      *streamRecords
	peerListener net.Listener
	// singleton performs the singleton duties while this host holds the lease. It is nil if the
	// fleet has none.
	singleton *singletonDuties
	// startedAt is the time of the host's start, and incarnation the same in Unix milliseconds.
	startedAt   time.Time
	incarnation int64
	// currentSettings holds the settings as of the last reload.
	currentSettings atomic.Pointer[settings.Gateway]
	// lastReloadError is the text of the last reload's error, so that an unchanged
	// error is logged once.
	lastReloadError string
	// autoscaler is the one that was created last, for dumps. It is nil if there is none.
	autoscaler atomic.Pointer[autoscaler]
	// stopping is closed when the shutdown starts.
	stopping chan struct{}
}

// New creates a host and opens its listeners. The error is a
// *settings.InvalidError or an error of a listener.
func New(dependencies Dependencies) (*Gateway, error) {
	if err := dependencies.Settings.Check(); err != nil {
		return nil, err
	}
	startedAt := time.Now()
	g := &Gateway{
		Dependencies: dependencies,
		timers:       timer.New(),
		meter:        newMeter(),
		changes:      changes.NewEncoder(),
		startedAt:    startedAt,
		incarnation:  startedAt.UnixMilli(),
		stopping:     make(chan struct{}),
	}
	g.trail = trail.New(dependencies.Output, dependencies.Settings.Name, g.timers)
	g.currentSettings.Store(&g.Settings)
	g.pool = g.newPool()
	g.tree = supervisor.New("gateway", dutyLog{trail: g.trail})
	g.limitMemory()
	var err error
	if g.callerListener, err = net.Listen("tcp", g.Settings.CallerListen); err != nil {
		return nil, trace.Wrap(err)
	}
	if g.readyListener, err = net.Listen("tcp", g.Settings.ReadyListen); err != nil {
		return nil, trace.Wrap(errors.Join(err, g.callerListener.Close()))
	}
	g.buildComponents()
	if g.Settings.PeerListen == "" {
		return g, nil
	}
	if err := g.buildMesh(); err != nil {
		return nil, trace.Wrap(errors.Join(err, g.callerListener.Close(), g.readyListener.Close()))
	}
	return g, nil
}

// limitMemory configures the garbage collector so that the process stays within
// the memory that the platform grants it.
func (g *Gateway) limitMemory() {
	debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(g.Settings.MemoryMB) * (1 << 20)))
	debug.SetGCPercent(gcPercent)
}

// buildComponents creates the components that serve callers and operators.
func (g *Gateway) buildComponents() {
	g.decisions = newDecisionLoop(scheduling.Settings{
		Zone:         g.Settings.Zone,
		ZoneDelay:    interZoneDelay,
		Engine:       batching.Default(),
		BudgetWindow: g.Settings.BudgetWindow,
		BudgetRatio:  g.Settings.BudgetRatio,
		BudgetSlack:  g.Settings.BudgetSlack,

		MaxCachedPrefixes: int(prefixMemoryShare * float64(g.Settings.MemoryMB) * (1 << 20) / scheduling.CachedPrefixBytes),
		VersionSettleTime: peer.MaxOutOfStep,
		Weights:           scheduling.DefaultWeights(),
	}, g.timers, g.trail)
	if g.Settings.PeerListen != "" {
		g.streams = newStreamRecords(g)
		g.decisions.versions = g.streams
	}
	g.configuration = &configurationFeed{
		key:       g.Topics.ConfigurationKey,
		decoder:   g.Decoder,
		trail:     g.trail,
		decisions: g.decisions,
		meter:     g.meter,
		loaded:    make(chan struct{}),
	}
	g.endpoints = &endpointFeed{
		decoder:          g.Decoder,
		trail:            g.trail,
		decisions:        g.decisions,
		meter:            g.meter,
		ownAddresses:     set.New(g.CallerAddress(), g.ReadyAddress()),
		streams:          g.streams,
		loggedUnreadable: make(map[string]bool),
		rewound:          make(chan struct{}, 1),
		loaded:           make(chan struct{}),
	}
	g.buildFollowers()
	g.buildSingletonDuties()
	limits := g.newClientConns()
	g.callHandler = opaque.New(opaque.Dependencies{
		RouteTable:     g.configuration.inForce,
		Scheduler:      g.decisions,
		Dialect:        g.Dialect,
		Pool:           g.pool,
		Versions:       g.streamVersions(),
		Trail:          g.trail,
		Meter:          g.meter,
		Executions:     g.executionRecorder(),
		BodyMemory:     limits.BodyBytes,
		ResponseMemory: limits.ResponseBytes,
		ResponseLimit:  int64(g.Settings.MaxResponseMB) << 20,

		CloseStalledWriters: g.callerClients.CloseStalledWriters,
	})
	g.callerConns = newCallerConns()
	g.callerServer = &http.Server{
		Handler:           g.callHandler,
		ConnState:         g.trackCallerState,
		ConnContext:       withCallerConn,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		WriteTimeout:      callerWriteTimeout,
		IdleTimeout:       g.Settings.IdleTimeout,
		ErrorLog:          newServerLog(g.trail),
	}
	g.operatorServer = g.newControlServer(clientconns.WithoutBodies(g.operatorHandler()))
	g.operatorServer.ConnState = g.operatorClients.TrackState
	g.operatorServer.ConnContext = clientconns.WithConn
	g.addGauges()
}

// buildMesh opens the sockets for other hosts and creates the server for them.
func (g *Gateway) buildMesh() error {
	var err error
	g.peerListener, err = listenTCPAndUDP(g.Settings.PeerListen, g.openMesh)
	if err != nil {
		return err
	}
	for _, address := range g.Settings.Peers {
		g.mesh.AddHost(address, "", 0)
	}
	g.decisions.sendReport = g.sendLoadReport
	g.tunnels = g.newTunnelServer()
	g.peerServer = g.newControlServer(g.servePeers(g.peerHandler()))
	return nil
}

// newControlServer returns a server for operators or other hosts.
func (g *Gateway) newControlServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:        handler,
		ReadTimeout:    controlTimeout,
		WriteTimeout:   controlTimeout,
		IdleTimeout:    controlIdleTimeout,
		MaxHeaderBytes: maxControlHeaderBytes,
		ErrorLog:       newServerLog(g.trail),
	}
}

// openMesh creates the mesh and opens its socket at address.
func (g *Gateway) openMesh(address string) error {
	var err error
	g.mesh, err = peer.New(peer.Dependencies{
		Host:        g.Settings.Name,
		Zone:        g.Settings.Zone,
		Incarnation: g.incarnation,
		Address:     address,
		LinkMbps:    g.Settings.LinkMbps,
		Listen:      g.ListenPeers,
		Listener: &peerEvents{
			decisions: g.decisions,
			pool:      g.pool,
			trail:     g.trail,
			zone:      g.Settings.Zone,
			followers: g.followers,

			configuration:      g.configuration,
			configurationTopic: g.Topics.Configuration,
		},
		HandleDuty: g.hearDuty(),
		Timers:     g.timers,
	})
	return err
}

// CallerAddress returns the address on which callers are served.
func (g *Gateway) CallerAddress() string { return g.callerListener.Addr().String() }

// ReadyAddress returns the address on which readiness and metrics are served.
func (g *Gateway) ReadyAddress() string { return g.readyListener.Addr().String() }

// PeerAddress returns the address on which other hosts are served.
func (g *Gateway) PeerAddress() string { return g.peerListener.Addr().String() }

// AwaitReady waits until the host has loaded its configuration and its endpoints.
// The only error is that of ctx.
func (g *Gateway) AwaitReady(ctx context.Context) error {
	for _, loaded := range []<-chan struct{}{g.configuration.loaded, g.endpoints.loaded} {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-loaded:
		}
	}
	return nil
}

// sendLoadReport reports this host's load to the other hosts.
func (g *Gateway) sendLoadReport(complete bool, report loadReport) {
	g.mesh.Send(peer.Message{
		ConfigurationVersion: g.configuration.version(),
		StoreUnavailable:     g.endpoints.unavailable.Load(),
		ShuttingDown:         g.isStopping(),
		Complete:             complete,
		Loads:                report.loads,
		Placements:           report.placements,
		Notices:              report.notices,
		Demands:              report.demands,
		Findings:             report.findings,
		Limits:               report.limits,
		CallDemands:          report.callDemands,
		Speeds:               report.speeds,
	})
}

func (g *Gateway) isStopping() bool {
	return isClosed(g.stopping)
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// operatorHandler returns the handler for readiness, metrics and dumps.
func (g *Gateway) operatorHandler() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc(g.Settings.ReadyPath, g.serveReady)
	routes.HandleFunc(DumpPath, limitConcurrency(g.serveDump))
	routes.HandleFunc("/metrics", limitConcurrency(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		g.meter.writeText(w)
	}))
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

// ready reports whether the host accepts new connections, and if not, why.
func (g *Gateway) ready() (bool, string) {
	switch {
	case g.isStopping():
		return false, "stopping"
	case g.configuration.current() == nil:
		return false, "no configuration yet"
	case !isClosed(g.endpoints.loaded):
		return false, "no endpoints yet"
	case g.isCatchingUp():
		return false, "configuration older than that of other hosts"
	}
	return true, ""
}

// isCatchingUp reports whether the host has just started and knows that others have a newer
// configuration: the store may have answered from an older copy of itself.
func (g *Gateway) isCatchingUp() bool {
	now := g.timers.Now()
	return now.Sub(g.startedAt) < startCatchUp && g.configuration.aheadFor(now) > 0
}

// Run serves until stop is done and then shuts down gracefully. When kill is done,
// it cuts the open calls and returns immediately.
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
	g.shutDown(kill)
	cancel()
	// A blocked reader of the log output must not keep the process alive.
	limited, release := context.WithTimeout(kill, dutyExitTimeout)
	defer release()
	select {
	case <-done:
	case <-limited.Done():
	}
	return nil
}

func (g *Gateway) runTree(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	// The tree runs until its context is done and returns no other error.
	_ = g.tree.Run(ctx)
}
