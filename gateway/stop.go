package gateway

import (
	"context"
	"log"
	"strings"
	"time"

	"cactuswell/trail"
)

// stopLook is the time between two looks for the end of the last call, and that
// which calls that are cut have to tell their callers.
const stopLook = 50 * time.Millisecond

// stop ends the host in good order. It is no longer ready at once, but takes new
// connections until the balancer has noticed; then it finishes what it has, as
// long as the stop timeout allows.
func (g *Gateway) stop(kill context.Context) {
	began := g.timers.Now()
	inForce := g.current.Load()
	close(g.leaving)
	g.server.DisableKeepAlives()
	g.trail.Notice("stopping").Int("openCalls", g.server.OpenCalls()).End()
	g.pause(kill, began.Add(inForce.BalancerLag))
	// The server's own Shutdown and SetKeepAlivesEnabled would close connections
	// that have brought a request which is not begun.
	till := began.Add(inForce.StopTimeout)
	g.server.SetShutdownDeadline(till)
	err := g.callerListener.Close()
	for g.callerConns.closeIdle(g.timers.Now()) > 0 && g.timers.Now().Before(till) && kill.Err() == nil {
		g.pause(kill, g.timers.Now().Add(stopLook))
	}
	left := g.server.OpenCalls()
	if left > 0 {
		g.server.AbortCalls()
		g.pause(kill, g.timers.Now().Add(stopLook))
	}
	g.trail.Notice("stopped").Int("callsCut", left).Millis("after", g.timers.Now().Sub(began)).Err(err).End()
}

// pause waits until the given time, or for the end of kill.
func (g *Gateway) pause(kill context.Context, till time.Time) {
	wake := g.timers.At(till)
	defer wake.Stop()
	select {
	case <-kill.Done():
	case <-wake.C():
	}
}

// serverLog puts the messages of the HTTP server into the trail.
type serverLog struct {
	trail *trail.Trail
}

// Write implements io.Writer.
func (l serverLog) Write(message []byte) (int, error) {
	l.trail.Notice("serverMessage").Text("message", strings.TrimSpace(string(message))).End()
	return len(message), nil
}

func newServerLog(lines *trail.Trail) *log.Logger {
	return log.New(serverLog{trail: lines}, "", 0)
}
