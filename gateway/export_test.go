package gateway

import "net"

// WrapCallers puts a listener around the callers' one. It is called before Run.
func (g *Gateway) WrapCallers(wrap func(net.Listener) net.Listener) {
	g.callerListener = wrap(g.callerListener)
}

// LeavesOutLines reports whether the lines on new calls are left out.
func (g *Gateway) LeavesOutLines() bool { return g.trail.IsUnderPressure() }
