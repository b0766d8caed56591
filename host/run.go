package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/gravitational/trace"

	"cactuswell/core/endpoint"
	"cactuswell/io/caller"
	"cactuswell/io/hostlist"
	"cactuswell/metrics"
	"cactuswell/supervisor"
	"cactuswell/timer"
)

const (
	// headerTimeout bounds the arrival of a request's head.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds a request's head.
	maxHeaderBytes = 32 * 1024
	// callerIdleTimeout is how long an idle caller's connection is kept.
	callerIdleTimeout = 2 * time.Minute
	// openPoll is the time between two looks at the requests in flight.
	openPoll = 20 * time.Millisecond
	// closeTimeout bounds the closing of listeners whose requests are done.
	closeTimeout = 5 * time.Second
)

// CutShortError says that a stop ended before the requests in flight did.
type CutShortError struct {
	Requests int64
}

// Error names the number of requests.
func (e *CutShortError) Error() string {
	return "requests were cut short at the stop"
}

// New returns a host. It listens at once, so that addresses chosen by the
// operating system are known, and serves when Run is called.
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
		clients:     newClients(),
		recent:      newRecentRequests(),
		pools:       make(map[string]*pool),
	}
	h.tree = supervisor.New("host", h.logger)
	h.directory = newDirectory(directoryDependencies{
		lister:   hostlist.New(h.settings.HostListURL, &http.Client{Transport: newTransport(false)}),
		interval: h.settings.ListInterval,
		timers:   timers,
		logger:   h.logger,
		counters: h.counters,
		post:     h.postToPool,
		added:    h.watched,
		leaving:  func(endpoint.Key) {},
	})
	return h, h.listen()
}

func (h *Host) listen() error {
	var err error
	if h.callerListener, err = net.Listen("tcp", h.settings.CallerListen); err != nil {
		return trace.Wrap(err)
	}
	return nil
}

// CallerAddress returns the address on which callers are served.
func (h *Host) CallerAddress() string { return h.callerListener.Addr().String() }

// Run serves until ctx ends and then stops in good order. A second end, of
// kill, stops it at once; the error is then a *CutShortError.
func (h *Host) Run(ctx, kill context.Context) error {
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	callers := h.newServer(caller.New(h, caller.Limits{
		BodyBytes: h.settings.BodyLimit,
		BodyTime:  h.settings.BodyTime,
	}).Handler())
	h.tree.Add(supervisor.Duty{Name: "timer", Run: h.timers.Run})
	h.tree.Add(supervisor.Duty{Name: "directory", Run: h.directory.run})
	h.tree.Add(supervisor.Duty{Name: "callers", Run: serve(callers, h.callerListener)})
	done := make(chan struct{})
	go h.runTree(serving, done)
	_ = h.logger.Log("level", "info", "event", "serving", "callers", h.CallerAddress())
	<-ctx.Done()
	err := h.stop(kill, callers)
	cancel()
	<-done
	h.clients.close()
	return err
}

func (h *Host) runTree(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	_ = h.tree.Run(ctx)
}

func (h *Host) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       callerIdleTimeout,
	}
}

// serve returns a duty that serves a listener until ctx ends.
func serve(server *http.Server, listener net.Listener) func(context.Context) error {
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}
		<-ctx.Done()
		return nil
	}
}

// stop ends the host's work in good order.
func (h *Host) stop(kill context.Context, callers *http.Server) error {
	_ = h.logger.Log("level", "info", "event", "stopping", "balancerLag", h.settings.BalancerLag)
	h.phase.Store(phaseLeaving)
	h.pause(kill, h.settings.BalancerLag)
	h.phase.Store(phaseDraining)
	limit := h.timers.Now().Add(h.settings.StopTimeout)
	for h.openCalls() > 0 && kill.Err() == nil && h.timers.Now().Before(limit) {
		h.pause(kill, openPoll)
	}
	cut := h.openCalls()
	h.shutdown(kill, callers)
	if cut > 0 {
		_ = h.logger.Log("level", "error", "event", "stoppedAtOnce", "requestsCut", cut)
		return trace.Wrap(&CutShortError{Requests: cut})
	}
	_ = h.logger.Log("level", "info", "event", "stopped")
	return nil
}

func (h *Host) shutdown(kill context.Context, callers *http.Server) {
	if kill.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(kill, closeTimeout)
	defer cancel()
	_ = callers.Shutdown(ctx)
}

// pause waits for duration or until kill ends.
func (h *Host) pause(kill context.Context, duration time.Duration) {
	wait := h.timers.After(duration)
	defer wait.Stop()
	select {
	case <-kill.Done():
	case <-wait.C():
	}
}

// openCalls returns how many calls have no final answer yet.
func (h *Host) openCalls() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	open := int64(0)
	for _, p := range h.pools {
		open += p.openCalls()
	}
	return open
}
