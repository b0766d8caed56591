package host

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"cactuswell/core/dispatch"
)

// stop shuts the host down gracefully.
func (h *Host) stop(kill context.Context, callers *http.Server) error {
	_ = h.logger.Log("level", "info", "event", "stopping", "balancerLag", h.settings.BalancerLag)
	h.phase.Store(phaseNotReady)
	h.sleep(kill, h.settings.BalancerLag)
	h.phase.Store(phaseDraining)
	for _, p := range h.allPools() {
		p.post(dispatch.DrainStarted{})
	}
	cut := h.awaitOpenCalls(kill)
	h.terminateOpenCalls(kill)
	h.shutDown(kill, callers)
	if cut > 0 {
		_ = h.logger.Log("level", "error", "event", "stoppedAtOnce", "requestsCut", cut)
		return trace.Wrap(&CutShortError{Requests: cut})
	}
	_ = h.logger.Log("level", "info", "event", "stopped")
	return nil
}

// awaitOpenCalls waits until no call is in flight, the stop timeout has passed or
// kill has ended. It returns the number of calls that are still in flight.
func (h *Host) awaitOpenCalls(kill context.Context) int64 {
	deadline := h.timers.Now().Add(h.settings.StopTimeout)
	for h.openCalls() > 0 && kill.Err() == nil && h.timers.Now().Before(deadline) {
		h.sleep(kill, openCallsPollInterval)
	}
	return h.openCalls()
}

// terminateOpenCalls ends the remaining calls with an explicit problem and
// completes their claims. It does nothing if kill has ended, which stops the host
// immediately.
func (h *Host) terminateOpenCalls(kill context.Context) {
	if h.openCalls() == 0 || kill.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(kill, closeTimeout)
	defer cancel()
	for _, p := range h.allPools() {
		p.inspect(ctx, func(*stateMachines) { p.terminateCalls(ctx) })
	}
}

// awaitAttempts waits for the goroutines of the attempts, all of which have ended
// or were stopped. They need at most cancelTimeout to cancel their attempts at the
// endpoints. It does not wait after kill has ended.
func (h *Host) awaitAttempts(kill context.Context) {
	if kill.Err() != nil {
		return
	}
	for _, p := range h.allPools() {
		p.attempts.Wait()
	}
}

// shutDown waits until the last answers are sent, writes the remaining claim
// records, and announces to the fleet that this host leaves.
func (h *Host) shutDown(kill context.Context, callers *http.Server) {
	if kill.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(kill, closeTimeout)
	defer cancel()
	_ = callers.Shutdown(ctx)
	if err := h.claims.Shutdown(ctx); err != nil {
		_ = h.logger.Log("level", "warn", "event", "claimsNotWritten", "error", err.Error())
	}
	announceCtx, cancelAnnounce := context.WithTimeout(kill, announceLeaveTimeout)
	defer cancelAnnounce()
	if err := h.node.Leave(announceCtx); err != nil {
		_ = h.logger.Log("level", "warn", "event", "leaveNotAnnounced", "error", err.Error())
	}
}

// sleep waits for the duration, or until kill ends.
func (h *Host) sleep(kill context.Context, duration time.Duration) {
	wait := h.timers.After(duration)
	defer wait.Stop()
	select {
	case <-kill.Done():
	case <-wait.C():
	}
}

// openCalls returns the number of calls without a final answer.
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
