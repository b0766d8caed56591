package gateway

import (
	"fmt"
	"net"
	"net/http"

	"cactuswell/core/clientbudget"
	"cactuswell/io/clientconns"
)

const (
	// maxHeaderLines bounds the lines of a request's header. The parsed form of a line takes
	// many times the size of a short line.
	maxHeaderLines = 256
	// maxConcurrentReports bounds the dumps, and the metrics, that are written at the same
	// time. Each needs memory for the whole text.
	maxConcurrentReports = 4
)

// newClientConns creates what bounds the connections of callers and operators, and returns the
// limits on what the host holds for clients.
func (g *Gateway) newClientConns() clientbudget.Limits {
	descriptors := g.Settings.MaxFDs
	if descriptors == 0 {
		descriptors = clientconns.Descriptors()
	}
	limits := clientbudget.Divide(clientbudget.Resources{
		MemoryBytes: int64(g.Settings.MemoryMB) << 20,
		Descriptors: descriptors,
	})
	g.callerClients = clientconns.New(clientconns.Settings{
		MaxConns:       limits.Connections,
		HeaderBytes:    limits.HeaderBytes,
		MaxHeaderLines: maxHeaderLines,
		Timeouts:       g.callerTimeouts,
		ReportExcess:   g.recordCallerExcess,
		ReportClosed:   g.clientReporter("callers"),
		Timers:         g.timers,
	})
	g.operatorClients = clientconns.New(clientconns.Settings{
		MaxConns:       limits.OperatorConnections,
		MaxHeaderLines: maxHeaderLines,
		ReportClosed:   g.clientReporter("operators"),
		Timers:         g.timers,
	})
	return limits
}

// callerTimeouts returns the timeouts of the configuration in force.
func (g *Gateway) callerTimeouts() clientbudget.Timeouts {
	table := g.configuration.current()
	if table == nil {
		return clientbudget.Timeouts{}
	}
	return clientbudget.Timeouts{
		Header: table.Limits().HeaderTimeout,
		Idle:   table.Limits().IdleTimeout,
	}
}

// recordCallerExcess records a request whose header has too many lines.
func (g *Gateway) recordCallerExcess(remote net.Addr, err error) {
	g.meter.addToCounter("cactuswell_caller_excess_total", 1)
	g.trail.Failure("callerExcess").Text("caller", remote.String()).Err(err).Merge("")
}

// clientReporter returns a function that records connections which were closed.
func (g *Gateway) clientReporter(listener string) func(clientbudget.Cause, int64) {
	return func(cause clientbudget.Cause, connections int64) {
		g.meter.addToCounter(fmt.Sprintf("cactuswell_clients_closed_total{listener=%q,cause=%q}", listener, cause), connections)
		g.trail.Failure("clientsClosed").Text("listener", listener).Text("cause", string(cause)).
			Int("connections", connections).Merge(listener + string(cause))
	}
}

// trackCallerState is the ConnState hook of the callers' server.
func (g *Gateway) trackCallerState(conn net.Conn, state http.ConnState) {
	g.callerClients.TrackState(conn, state)
	g.callerConns.trackState(conn, state)
}

// limitConcurrency returns a handler that refuses requests while maxConcurrentReports are
// served.
func limitConcurrency(handler http.HandlerFunc) http.HandlerFunc {
	slots := make(chan struct{}, maxConcurrentReports)
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			handler(w, r)
		default:
			http.Error(w, "too many requests at once", http.StatusServiceUnavailable)
		}
	}
}
