package gateway

import "net"

// WrapCallerListener wraps the callers' listener. It must be called before Run.
func (g *Gateway) WrapCallerListener(wrap func(net.Listener) net.Listener) {
	g.callerListener = wrap(g.callerListener)
}

// IsLogOverloaded reports whether the host omits the log lines of new calls.
func (g *Gateway) IsLogOverloaded() bool { return g.trail.IsOverloaded() }
