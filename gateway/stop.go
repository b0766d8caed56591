package gateway

import (
	"context"
	"log"
	"strings"
	"time"

	"cactuswell/core/shutdown"
	"cactuswell/trail"
)

const (
	// stopPollInterval is the time between two checks whether calls are still open
	// during a shutdown.
	stopPollInterval = 50 * time.Millisecond
	// abortGrace is the time that calls have to answer their callers after they were broken
	// off, and abortPollInterval that between two checks whether they have.
	abortGrace        = 250 * time.Millisecond
	abortPollInterval = 5 * time.Millisecond
)

// shutDown stops the host gracefully. The host reports immediately that it is not
// ready, but accepts new connections until the balancer has noticed. Then it
// finishes its open calls, within the stop timeout.
func (g *Gateway) shutDown(kill context.Context) {
	startedAt := g.timers.Now()
	current := g.currentSettings.Load()
	close(g.stopping)
	plan := shutdown.Plan{
		ListensUntil: startedAt.Add(current.BalancerLag),
		EndsAt:       startedAt.Add(current.StopTimeout),
	}
	g.callHandler.BeginShutdown(plan)
	g.trail.Notice("stopping").Int("openCalls", g.callHandler.OpenCalls()).End()
	g.waitUntil(kill, plan.ListensUntil)
	// The server's own Shutdown and SetKeepAlivesEnabled would close connections
	// from which a request was read that has not been started.
	g.callHandler.RefuseWaitingCalls()
	err := g.callerListener.Close()
	for g.callerConns.closeIdle(g.timers.Now())+g.openTunnels() > 0 && g.timers.Now().Before(plan.EndsAt) && kill.Err() == nil {
		g.waitUntil(kill, g.timers.Now().Add(stopPollInterval))
	}
	openCalls := g.callHandler.OpenCalls()
	if openCalls > 0 {
		g.callHandler.AbortCalls()
		answeredBy := g.timers.Now().Add(abortGrace)
		for g.callerConns.closeIdle(g.timers.Now()) > 0 && g.timers.Now().Before(answeredBy) && kill.Err() == nil {
			g.waitUntil(kill, g.timers.Now().Add(abortPollInterval))
		}
	}
	tunnels := g.openTunnels()
	if tunnels > 0 {
		g.tunnels.Abort()
	}
	g.trail.Notice("stopped").Int("callsCut", openCalls).Int("tunnelsCut", int64(tunnels)).Millis("after", g.timers.Now().Sub(startedAt)).Err(err).End()
}

// openTunnels returns the number of tunnels that other hosts use.
func (g *Gateway) openTunnels() int {
	if g.tunnels == nil {
		return 0
	}
	return int(g.tunnels.OpenTunnels())
}

// waitUntil waits until the given time or until kill is done.
func (g *Gateway) waitUntil(kill context.Context, until time.Time) {
	wake := g.timers.At(until)
	defer wake.Stop()
	select {
	case <-kill.Done():
	case <-wake.C():
	}
}

// serverLog writes the messages of an HTTP server to the trail.
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
