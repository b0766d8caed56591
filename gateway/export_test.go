package gateway

import "net"

// WrapCallerListener wraps the callers' listener. It must be called before Run.
func (g *Gateway) WrapCallerListener(wrap func(net.Listener) net.Listener) {
	g.callerListener = wrap(g.callerListener)
}

// SuppressesLines reports whether the host omits the log lines of new calls.
func (g *Gateway) SuppressesLines() bool { return g.trail.IsUnderPressure() }
