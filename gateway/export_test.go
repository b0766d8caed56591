package gateway

import "net"

// WrapCallers puts a listener around the callers' one. It is called before Run.
func (g *Gateway) WrapCallers(wrap func(net.Listener) net.Listener) {
	g.callerListener = wrap(g.callerListener)
}
