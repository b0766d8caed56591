package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"cactuswell/supervisor"
)

const (
	// sweepInterval is the time between two sweeps of idle endpoint connections.
	sweepInterval = 2 * time.Second
	// decisionsDutyName is the name of the duty that owns the state machines.
	decisionsDutyName = "decisions"
)

// addDuties adds the host's duties to the supervisor's tree.
func (g *Gateway) addDuties() {
	duties := map[string]func(context.Context) error{
		"timer":           g.timers.Run,
		"trail":           g.trail.Run,
		decisionsDutyName: g.decisions.run,
		"configuration":   g.followers[g.Topics.Configuration].Run,
		"endpoints":       g.followers[g.Topics.Endpoints].Run,
		"sweep":           g.sweepIdleConnections,
		"reload":          g.reloadSettings,
		"callers":         g.serveDuty(g.callerServer, g.callerConns.listen(g.callerClients.Listen(g.callerListener))),
		"operators":       g.serveDuty(g.operatorServer, g.operatorClients.Listen(g.readyListener)),
		"callerClients":   g.callerClients.Run,
		"operatorClients": g.operatorClients.Run,
	}
	if g.mesh != nil {
		duties["mesh"] = g.mesh.Run
		duties["peers"] = g.serveDuty(g.peerServer, g.peerListener)
		duties["relay"] = newRelay(g).run
		duties["roster"] = g.joinRoster
		duties["quarantines"] = g.keepQuarantines
		duties["streamRecords"] = g.streams.runWriter
		duties["baseVersions"] = g.streams.runBase
	}
	if g.singleton != nil {
		duties["lease"] = g.singleton.run
		if g.singleton.hasUsage && g.mesh != nil {
			duties["usage"] = g.singleton.runPush
		}
	}
	for name, run := range duties {
		duty := supervisor.Duty{
			Name: name,
			Run:  run,
		}
		if name == decisionsDutyName {
			duty.BeforeRestart = g.decisions.handleRestart
		}
		g.tree.Add(duty)
	}
}

// sweepIdleConnections periodically closes idle endpoint connections that have
// expired or whose address belongs to no known endpoint.
func (g *Gateway) sweepIdleConnections(ctx context.Context) error {
	tick := g.timers.Every(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C():
			known := make(map[string]bool)
			g.inspect(func() {
				for _, entry := range g.decisions.directory.Entries() {
					known[entry.Address] = true
				}
			})
			g.pool.Sweep(now, known)
			for address, count := range g.pool.TakeUnsolicited() {
				g.trail.Failure("unsolicitedBytes").Text("address", address).Int("connections", int64(count)).End()
			}
		}
	}
}

// inspect runs a function in the decision loop and waits until it has returned.
func (g *Gateway) inspect(read func()) {
	request := inspection{
		inspect: read,
		done:    make(chan struct{}),
	}
	g.decisions.post(request)
	<-request.done
}

// serveDuty returns a duty that serves a listener until the context is done.
func (g *Gateway) serveDuty(server *http.Server, listener net.Listener) func(context.Context) error {
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		// A shutdown closes the callers' listener before the server.
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return trace.Wrap(err)
		}
		<-ctx.Done()
		return nil
	}
}
