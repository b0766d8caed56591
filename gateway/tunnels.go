package gateway

import (
	"net/http"

	"cactuswell/core/detour"
	"cactuswell/io/tunnel"
	"cactuswell/io/upstream"
)

// newPool returns the pool of connections to endpoints. A host without other hosts connects
// directly only.
func (g *Gateway) newPool() *upstream.Pool {
	dependencies := upstream.Dependencies{
		Dial:       g.DialEndpoint,
		ReportPath: g.logPathChange,
	}
	if g.Settings.PeerListen != "" {
		dependencies.Tunnels = tunnel.NewClient(meshHosts{gateway: g})
	}
	return upstream.New(dependencies)
}

// meshHosts are the hosts of the mesh. The mesh is opened after the pool.
type meshHosts struct {
	gateway *Gateway
}

// PickHost implements tunnel.Hosts.
func (h meshHosts) PickHost(isExcluded func(string) bool) string {
	if h.gateway.mesh == nil {
		return ""
	}
	return h.gateway.mesh.PickHost(isExcluded)
}

// logPathChange logs that the path to a service was lost or is restored.
func (g *Gateway) logPathChange(change detour.Change) {
	switch change := change.(type) {
	case detour.Lost:
		g.meter.addToCounter("cactuswell_paths_lost_total", 1)
		g.trail.Failure("pathLost").Text("service", change.Service).Int("endpoints", int64(change.Endpoints)).End()
	case detour.Restored:
		g.trail.Notice("pathRestored").Text("service", change.Service).Millis("after", change.After).End()
	}
}

// newTunnelServer returns the server that connects other hosts to endpoints.
func (g *Gateway) newTunnelServer() *tunnel.Server {
	return tunnel.NewServer(tunnel.ServerDependencies{
		Find:         g.findTunnelEndpoint,
		Dial:         g.pool.DialDirectly,
		IsPathProven: g.pool.IsPathProven,
	})
}

// findTunnelEndpoint returns the endpoint at an address, or why this host opens no tunnel to
// it.
func (g *Gateway) findTunnelEndpoint(address string) (detour.Endpoint, tunnel.Reason) {
	to := detour.Endpoint{
		Service: g.serviceAt(address),
		Address: address,
	}
	switch {
	case g.isStopping():
		return to, tunnel.Stopping
	case to.Service == "":
		return to, tunnel.UnknownEndpoint
	case g.pool.IsPathLost(to.Service):
		return to, tunnel.PathLost
	}
	return to, ""
}

// serviceAt returns the service of the endpoint at an address, or an empty name if this host
// knows none there.
func (g *Gateway) serviceAt(address string) string {
	service := ""
	g.inspect(func() {
		for _, entry := range g.decisions.directory.Entries() {
			if entry.Address == address {
				service = entry.Service
			}
		}
	})
	return service
}

// servePeers passes requests for tunnels to the tunnel server, and the others to routes.
func (g *Gateway) servePeers(routes http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodConnect {
			g.tunnels.ServeHTTP(w, r)
			return
		}
		routes.ServeHTTP(w, r)
	})
}
