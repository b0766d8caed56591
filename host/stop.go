package host

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"cactuswell/core/dispatch"
)

// stop ends the host's work in good order.
func (h *Host) stop(kill context.Context, callers *http.Server) error {
	_ = h.logger.Log("level", "info", "event", "stopping", "balancerLag", h.settings.BalancerLag)
	h.phase.Store(phaseLeaving)
	h.pause(kill, h.settings.BalancerLag)
	h.phase.Store(phaseDraining)
	for _, p := range h.allPools() {
		p.post(dispatch.DrainStarted{})
	}
	cut := h.awaitOpenCalls(kill)
	h.cutShort(kill)
	h.leave(kill, callers)
	if cut > 0 {
		_ = h.logger.Log("level", "error", "event", "stoppedAtOnce", "requestsCut", cut)
		return trace.Wrap(&CutShortError{Requests: cut})
	}
	_ = h.logger.Log("level", "info", "event", "stopped")
	return nil
}

// awaitOpenCalls waits for the calls in flight and returns how many are left at
// the end of the wait.
func (h *Host) awaitOpenCalls(kill context.Context) int64 {
	limit := h.timers.Now().Add(h.settings.StopTimeout)
	for h.openCalls() > 0 && kill.Err() == nil && h.timers.Now().Before(limit) {
		h.pause(kill, openPoll)
	}
	return h.openCalls()
}

// cutShort ends the calls that are left with an explicit problem, and settles
// their claims. It does nothing if kill ended, which stops the host at once.
func (h *Host) cutShort(kill context.Context) {
	if h.openCalls() == 0 || kill.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(kill, closeTimeout)
	defer cancel()
	for _, p := range h.allPools() {
		p.look(ctx, func(*decisions) { p.cutShort(ctx) })
	}
}

// awaitAttempts waits for the attempts, all of which have ended or were told to.
// They take cancelTimeout at most to tell their endpoints. A kill isn't held up.
func (h *Host) awaitAttempts(kill context.Context) {
	if kill.Err() != nil {
		return
	}
	for _, p := range h.allPools() {
		p.attempts.Wait()
	}
}

// leave tells the fleet, and lets the callers' last answers go out.
func (h *Host) leave(kill context.Context, callers *http.Server) {
	if kill.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(kill, closeTimeout)
	defer cancel()
	_ = callers.Shutdown(ctx)
	if err := h.claims.Shutdown(ctx); err != nil {
		_ = h.logger.Log("level", "warn", "event", "claimsNotWritten", "error", err.Error())
	}
	leaving, cancelLeave := context.WithTimeout(kill, leaveTimeout)
	defer cancelLeave()
	if err := h.node.Leave(leaving); err != nil {
		_ = h.logger.Log("level", "warn", "event", "leaveNotAnnounced", "error", err.Error())
	}
}

// pause waits for duration or until kill ends.
func (h *Host) pause(kill context.Context, duration time.Duration) {
	wait := h.timers.After(duration)
	defer wait.Stop()
	select {
	case <-kill.Done():
	case <-wait.C():
	}
}

// openCalls returns how many calls have no final answer yet.
func (h *Host) openCalls() int64 {
	open := int64(0)
	for _, p := range h.allPools() {
		open += p.openCalls()
	}
	return open
}

func (h *Host) allPools() []*pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	pools := make([]*pool, 0, len(h.pools))
	for _, p := range h.pools {
		pools = append(pools, p)
	}
	return pools
}
