package host

import (
	"context"
	"crypto/tls"
	"errors"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/gravitational/trace"

	"cactuswell/certificate"
	"cactuswell/core/claim"
	"cactuswell/core/clientbudget"
	"cactuswell/core/dispatch"
	"cactuswell/core/membership"
	"cactuswell/io/caller"
	"cactuswell/io/claims"
	"cactuswell/io/clientconns"
	"cactuswell/io/configuration"
	"cactuswell/io/hostlist"
	"cactuswell/io/httpbody"
	"cactuswell/io/logservice"
	"cactuswell/io/node"
	"cactuswell/io/operator"
	"cactuswell/metrics"
	"cactuswell/settings"
	"cactuswell/supervisor"
	"cactuswell/timer"
)

const (
	// headerTimeout bounds the time to receive a request's header.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 32 * 1024
	// maxHeaderLines bounds the lines of a request's header.
	maxHeaderLines = 256
	// maxCallerStreams bounds the requests at the same time on an HTTP/2 connection.
	maxCallerStreams = 100
	// callerIdleTimeout is how long an idle inbound connection is kept.
	callerIdleTimeout = 2 * time.Minute
	// openCallsPollInterval is the time between two checks for requests in flight
	// during shutdown.
	openCallsPollInterval = 20 * time.Millisecond
	// closeTimeout bounds the termination of open calls, and then the shutdown of
	// the callers' server and of the claims.
	closeTimeout = 5 * time.Second
	// announceLeaveTimeout bounds the announcement to the fleet that this host
	// leaves.
	announceLeaveTimeout = 5 * time.Second
)

// CutShortError means that the host stopped before the requests in flight were
// finished.
type CutShortError struct {
	Requests int64
}

// Error implements error.
func (e *CutShortError) Error() string {
	return "requests in flight were cut short at shutdown"
}

// New returns a host. It opens the listeners, so that ports chosen by the
// operating system are known, but serves only when Run is called. The error is a
// *settings.InvalidError, or comes from opening a listener or from reading the
// certificates.
func New(dependencies Dependencies) (*Host, error) {
	if err := dependencies.Settings.Check(); err != nil {
		return nil, trace.Wrap(err)
	}
	timers := timer.New()
	h := &Host{
		settings:    dependencies.Settings,
		logger:      log.With(dependencies.Logger, "host", dependencies.Settings.Name),
		incarnation: uint64(timers.Now().UnixMilli()),
		timers:      timers,
		counters:    metrics.New(),
		recent:      newRecentRequests(),
		pools:       make(map[string]*pool),
		superseded:  make(chan struct{}),
	}
	if err := h.loadCertificates(); err != nil {
		return nil, err
	}
	h.clients = newClients(h.certificates)
	h.callerClients = h.newCallerClients()
	if err := h.listen(); err != nil {
		return nil, err
	}
	h.tree = supervisor.New("host", h.logger)
	h.node = h.newNode()
	h.configuration = h.newConfiguration()
	if err := h.newClaims(); err != nil {
		h.closeListeners()
		return nil, err
	}
	h.directory = newDirectory(directoryDependencies{
		lister:   hostlist.New(h.settings.HostListURL, &http.Client{Transport: newTransport(false, h.certificates)}),
		host:     h.settings.Name,
		interval: h.settings.ListInterval,

		reportInterval: h.settings.ReportInterval,
		maxReads:       h.settings.ReportReads,

		timers:    timers,
		logger:    h.logger,
		counters:  h.counters,
		post:      h.postToPool,
		onAdded:   h.watchEndpoint,
		onLeaving: h.node.AnnounceEndpointLeaving,
	})
	h.publishCounters()
	h.node.OnEndpointLeaving(h.directory.markLeaving)
	h.node.OnMembersChanged(h.updateHostCount)
	h.node.OnMembersChanged(h.stopIfSuperseded)
	h.node.OnHeadAdvertised(h.handleAdvertisedHead)
	return h, nil
}

// loadCertificates reads the certificate files of the settings, if TLS is on.
func (h *Host) loadCertificates() error {
	if !h.settings.UsesTLS() {
		return nil
	}
	store, err := certificate.New(certificate.Files{
		Cert: h.settings.TLSCert,
		Key:  h.settings.TLSKey,
		CA:   h.settings.TLSCA,
	}, h.timers, h.logger)
	if err != nil {
		return err
	}
	h.certificates = store
	h.tlsPublic = store.PublicTLSConfig()
	h.tlsMutual = store.MutualTLSConfig()
	return nil
}

func (h *Host) listen() error {
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{
		{
			listener: &h.callerListener,
			address:  h.settings.CallerListen,
		},
		{
			listener: &h.peerListener,
			address:  h.settings.PeerListen,
		},
		{
			listener: &h.operatorListener,
			address:  h.settings.OperatorListen,
		},
	} {
		var err error
		if *l.listener, err = net.Listen("tcp", l.address); err != nil {
			h.closeListeners()
			return trace.Wrap(err)
		}
	}
	return nil
}

func (h *Host) closeListeners() {
	for _, listener := range []net.Listener{h.callerListener, h.peerListener, h.operatorListener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// newLog returns a client of the log service with a connection pool of its own.
func (h *Host) newLog() logservice.Log {
	return logservice.New(h.settings.LogURL, &http.Client{
		Transport: newTransport(false, h.certificates),
	})
}

func (h *Host) newNode() *node.Node {
	membershipSettings := membership.DefaultSettings()
	membershipSettings.Seeds = h.settings.Peers
	return node.New(node.Dependencies{
		Self: membership.Member{
			Name:        h.settings.Name,
			Incarnation: h.incarnation,
			Address:     h.PeerAddress(),
			Zone:        h.settings.Zone,
		},
		Settings: membershipSettings,
		Timers:   h.timers,
		Log:      h.newLog(),
		Logger:   h.logger,
		Seed:     h.incarnation ^ hashText(h.settings.Name),
		TLS:      h.tlsMutual,
	})
}

func (h *Host) newConfiguration() *configuration.Configuration {
	return configuration.New(configuration.Dependencies{
		Host:         h.settings.Name,
		Zone:         h.settings.Zone,
		Incarnation:  h.incarnation,
		NewLogClient: h.newLog,
		Dial:         configuration.Dialer(h.node.Transport().BaseURL, h.node.Transport().Client),
		Peers: livePeers{
			node: h.node,
		},
		Timers:             h.timers,
		Logger:             h.logger,
		Retention:          h.settings.LogRetention,
		MaxConfirmationAge: h.settings.StaleBound,
	})
}

func (h *Host) newClaims() error {
	var err error
	h.claims, err = claims.New(claims.Dependencies{
		Host:        h.settings.Name,
		Incarnation: h.incarnation,
		Entropy:     rand.Uint64,
		Log:         h.newLog(),
		Timers:      h.timers,
		Logger:      h.logger,
		Settings:    claim.DefaultSettings(),
	})
	h.forwarder = claims.NewForwarder(h.node.Transport().Client())
	return trace.Wrap(err)
}

// updateHostCount posts to the pools how many hosts share their endpoints.
func (h *Host) updateHostCount() {
	hosts := h.node.LiveCount()
	h.claims.SetHostCount(hosts)
	for _, p := range h.allPools() {
		p.events.TryPush(dispatch.HostCountChanged{
			Hosts: hosts,
		})
	}
}

// stopIfSuperseded starts a graceful shutdown if a newer process runs under this
// host's name.
func (h *Host) stopIfSuperseded() {
	if h.node.Superseded() {
		h.supersededOnce.Do(func() { close(h.superseded) })
	}
}

// Run serves until ctx ends or a newer process runs under the host's name, and
// then shuts down gracefully. The end of kill stops the host immediately. The
// error is a *CutShortError if requests were still in flight.
func (h *Host) Run(ctx, kill context.Context) error {
	treeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	callers := h.newServer(caller.New(h, caller.Limits{
		MaxBodyBytes: h.settings.BodyLimit,
		BodyTimeout:  h.settings.BodyTime,
	}).Handler(), h.tlsPublic)
	callers.ConnState = h.callerClients.TrackState
	callers.ConnContext = clientconns.WithConn
	callers.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxCallerStreams}
	h.addDuties(callers)
	done := make(chan struct{})
	go h.runTree(treeCtx, done)
	_ = h.logger.Log("level", "info", "event", "serving", "callers", h.CallerAddress(),
		"peers", h.PeerAddress(), "operators", h.OperatorAddress())
	select {
	case <-ctx.Done():
	case <-h.superseded:
	}
	err := h.stop(kill, callers)
	cancel()
	<-done
	h.awaitAttempts(kill)
	h.clients.close()
	h.node.Transport().Close()
	h.closeListeners()
	return err
}

func (h *Host) addDuties(callers *http.Server) {
	h.tree.Add(supervisor.Duty{
		Name: "timer",
		Run:  h.timers.Run,
	})
	if h.certificates != nil {
		h.tree.Add(supervisor.Duty{
			Name: "certificates",
			Run:  h.certificates.Run,
		})
	}
	for _, duty := range h.node.Duties() {
		h.tree.Add(duty)
	}
	for _, duty := range h.configuration.Duties() {
		h.tree.Add(duty)
	}
	for _, duty := range h.claims.Duties() {
		h.tree.Add(duty)
	}
	h.tree.Add(supervisor.Duty{
		Name: "directory",
		Run:  h.directory.run,
	})
	drains := &drainWatcher{
		configuration: h.configuration,
		directory:     h.directory,
		timers:        h.timers,
	}
	heads := &headPublisher{
		configuration: h.configuration,
		node:          h.node,
	}
	h.tree.Add(supervisor.Duty{
		Name: "drains",
		Run:  drains.run,
	})
	h.tree.Add(supervisor.Duty{
		Name: "heads",
		Run:  heads.run,
	})
	h.tree.Add(supervisor.Duty{
		Name: "callers",
		Run:  h.serve(callers, h.callerClients.Listen(h.callerListener)),
	})
	h.tree.Add(supervisor.Duty{
		Name: "callerClients",
		Run:  h.callerClients.Run,
	})
	peers := http.NewServeMux()
	peers.Handle(h.node.Handler())
	peers.Handle(claims.NewHandler(h.claims, h))
	peers.Handle(h.configuration.Handler())
	h.tree.Add(supervisor.Duty{
		Name: "peers",
		Run:  h.serve(h.node.Server(peers), h.node.Listener(h.peerListener)),
	})
	h.tree.Add(supervisor.Duty{
		Name: "operators",
		Run:  h.serve(h.newServer(httpbody.Handler(h.operatorHandler(), h.settings.BodyTime), h.tlsMutual), h.operatorListener),
	})
}

func (h *Host) runTree(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	_ = h.tree.Run(ctx)
}

func (h *Host) newServer(handler http.Handler, tlsConfig *tls.Config) *http.Server {
	return &http.Server{
		Handler:           handler,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       callerIdleTimeout,
	}
}

// newCallerClients returns what bounds the callers' connections.
func (h *Host) newCallerClients() *clientconns.Conns {
	descriptors := h.settings.MaxFDs
	if descriptors == 0 {
		descriptors = clientconns.Descriptors()
	}
	limits := clientbudget.Divide(clientbudget.Resources{
		MemoryBytes: int64(h.settings.MemoryMB) << 20,
		Descriptors: descriptors,
	})
	return clientconns.New(clientconns.Settings{
		MaxConns:       limits.Connections,
		HeaderBytes:    limits.HeaderBytes,
		MaxHeaderLines: maxHeaderLines,
		Encrypted:      h.tlsPublic != nil,
		ReportClosed: func(cause clientbudget.Cause, connections int64) {
			h.counters.Add("clientsClosed."+string(cause), connections)
			_ = h.logger.Log("level", "warn", "event", "clientsClosed", "cause", string(cause), "connections", connections)
		},
		Timers: h.timers,
	})
}

// serve returns a duty that serves a listener until its context ends. Messages of
// the HTTP server go to the host's log.
func (h *Host) serve(server *http.Server, listener net.Listener) func(context.Context) error {
	messages := log.With(h.logger, "level", "warn", "event", "serverMessage", "address", listener.Addr().String())
	server.ErrorLog = stdlog.New(log.NewStdlibAdapter(messages), "", 0)
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := serveListener(server, listener); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}
		<-ctx.Done()
		return nil
	}
}

func serveListener(server *http.Server, listener net.Listener) error {
	if server.TLSConfig == nil {
		return server.Serve(listener)
	}
	return server.ServeTLS(listener, "", "")
}

// operatorHandler returns the handler of the operators' listener.
func (h *Host) operatorHandler() http.Handler {
	routes := http.NewServeMux()
	routes.Handle(operator.New(operator.Dependencies{
		Configuration: h.configuration,
		Dump:          h.dumpJSON,
		Explain:       h.explainJSON,
		Endpoints:     h.operatorEndpoints,
	}).Handler())
	routes.Handle("/debug/vars", h.counters)
	return routes
}

// Name returns the host's name.
func (h *Host) Name() string { return h.settings.Name }

// Settings returns the host's settings.
func (h *Host) Settings() settings.Settings { return h.settings }

// CallerAddress returns the address on which callers are served.
func (h *Host) CallerAddress() string { return h.callerListener.Addr().String() }

// PeerAddress returns the address on which other hosts are served.
func (h *Host) PeerAddress() string { return h.peerListener.Addr().String() }

// OperatorAddress returns the address on which operators are served.
func (h *Host) OperatorAddress() string { return h.operatorListener.Addr().String() }
