package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"cactuswell/io/keyedlog"
	"cactuswell/supervisor"
)

const (
	// configurationWait is the length of a long poll for the configuration. A
	// connection that fell silent shows within it and the store's answer time.
	configurationWait = 4 * time.Second
	// endpointWait and endpointPace are those for the endpoints' entries. A
	// leaving endpoint must get no calls two seconds after it said so.
	endpointWait = 4 * time.Second
	endpointPace = 700 * time.Millisecond
	// sweepEvery is the time between two looks for idle connections to close.
	sweepEvery = 2 * time.Second
	// decisionsDuty is the duty that owns the state machines.
	decisionsDuty = "decisions"
)

// addDuties says what runs beside each other.
func (g *Gateway) addDuties() {
	calls := func(took time.Duration, err error) {
		g.meter.observe("cactuswell_store_call_seconds{", took)
		g.meter.add("cactuswell_store_calls_total", 1)
		if err != nil {
			g.meter.add("cactuswell_store_failures_total", 1)
		}
	}
	configuration := keyedlog.New(keyedlog.Dependencies{
		Log:        g.Log,
		Topic:      g.Topics.Configuration,
		Listener:   g.configuration,
		Timers:     g.timers,
		PollWait:   configurationWait,
		RecordCall: calls,
	})
	endpoints := keyedlog.New(keyedlog.Dependencies{
		Log:             g.Log,
		Topic:           g.Topics.Endpoints,
		Listener:        g.endpoints,
		Timers:          g.timers,
		PollWait:        endpointWait,
		MinReadInterval: endpointPace,
		RecordCall:      calls,
	})
	duties := map[string]func(context.Context) error{
		"timer":         g.timers.Run,
		"trail":         g.trail.Run,
		decisionsDuty:   g.decided.run,
		"configuration": configuration.Run,
		"endpoints":     endpoints.Run,
		"sweep":         g.sweep,
		"reload":        g.reload,
		"callers":       g.serve(g.callers, g.callerConns.listen(g.callerListener)),
		"operators":     g.serve(g.operators, g.readyListener),
	}
	if g.mesh != nil {
		duties["mesh"] = g.mesh.Run
		duties["peers"] = g.serve(g.peers, g.peerListener)
		duties["relay"] = newRelay(g).run
		duties["roster"] = g.enroll
	}
	for name, run := range duties {
		duty := supervisor.Duty{
			Name: name,
			Run:  run,
		}
		if name == decisionsDuty {
			duty.BeforeRestart = g.decided.restarted
		}
		g.tree.Add(duty)
	}
}

// sweep closes the idle connections that nobody will use.
func (g *Gateway) sweep(ctx context.Context) error {
	tick := g.timers.Every(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C():
			keep := make(map[string]bool)
			g.look(func() {
				for _, entry := range g.decided.directory.Entries() {
					keep[entry.Address] = true
				}
			})
			g.pool.Sweep(now, keep)
		}
	}
}

// look runs a function in the duty that decides, and waits for its end.
func (g *Gateway) look(look func()) {
	request := inspection{
		look: look,
		done: make(chan struct{}),
	}
	g.decided.post(request)
	<-request.done
}

// serve returns a duty that serves a listener until its server is closed.
func (g *Gateway) serve(server *http.Server, listener net.Listener) func(context.Context) error {
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		// A stop closes the callers' listener before the server.
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return trace.Wrap(err)
		}
		<-ctx.Done()
		return nil
	}
}
