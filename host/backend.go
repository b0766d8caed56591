package host

import (
	"context"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	core "cactuswell/core/configuration"
	"cactuswell/core/dispatch"
	"cactuswell/core/profile"
	"cactuswell/io/caller"
	"cactuswell/io/claims"
	"cactuswell/io/configuration"
)

// queueFullRetryAfter is the retry delay for a caller whose call was refused
// because the arrival ring was full.
const queueFullRetryAfter = time.Second

// Profile returns the active profile with the given name.
func (h *Host) Profile(name string) (profile.Profile, bool) {
	p, _, ok := h.configuration.Profile(name)
	return p, ok
}

// NewRequestID returns an id for a request that has none.
func (h *Host) NewRequestID() string {
	return h.instanceID() + "-r" + strconv.FormatUint(h.externalIDs.Add(1), 36)
}

// Ready reports whether the host should get new requests, and the reason if not.
func (h *Host) Ready() (bool, string) {
	if h.phase.Load() != phaseServing {
		return false, "the host is stopping"
	}
	return h.configuration.Ready()
}

// Accepting reports whether the host accepts requests, and the reason if not.
func (h *Host) Accepting() (bool, string) {
	if h.phase.Load() == phaseDraining {
		return false, "the host is stopping"
	}
	return true, ""
}

// Submit accepts a request and returns its answer.
func (h *Host) Submit(ctx context.Context, submission caller.Submission) *caller.Answer {
	h.counters.Add("requests", 1)
	if submission.Profile.Idempotent() {
		return h.submit(ctx, submission, nil)
	}
	return h.submitOnce(ctx, submission)
}

// submit passes a request to its pool.
func (h *Host) submit(ctx context.Context, submission caller.Submission, ticket *claims.Ticket) *caller.Answer {
	p := h.pool(submission.Profile.Pool(), submission.Profile.Kind())
	c := p.newCall(submission, ticket)
	h.recent.record(submission.RequestID, recentRequest{
		pool:    p.name,
		kind:    submission.Profile.Kind(),
		id:      c.id,
		profile: submission.Profile.Name(),
		team:    submission.Team,
	})
	h.cancelOnDisconnect(ctx, p, c)
	if !p.submit(c) {
		c.refuse(dispatch.RefuseQueueFull, dispatch.NotRun, queueFullRetryAfter)
	}
	return c.answer
}

// cancelOnDisconnect cancels the call when its caller disconnects. A call that
// must not run twice is not canceled, so that its outcome becomes known. The watch
// ends with the call, since the context of every request ends with its answer.
func (h *Host) cancelOnDisconnect(ctx context.Context, p *pool, c *call) {
	if c.isAtMostOnce() {
		return
	}
	c.stopCallerWatch = context.AfterFunc(ctx, func() {
		c.callerCanceled.Store(true)
		p.post(dispatch.RequestCanceled{
			Request: c.id,
		})
	})
}

// PublishChange publishes a configuration change through this host.
func (h *Host) PublishChange(ctx context.Context, change core.Change) error {
	_, err := h.configuration.PublishChange(ctx, configuration.NewID(), change)
	return trace.Wrap(err)
}

// AwaitReady waits until Ready reports true. It fails only with the error of ctx.
func (h *Host) AwaitReady(ctx context.Context) error {
	return h.await(ctx, func() bool {
		ready, _ := h.Ready()
		return ready
	})
}

// AwaitProfile waits until a profile with the given name is active on this host.
// It fails only with the error of ctx.
func (h *Host) AwaitProfile(ctx context.Context, name string) error {
	return h.await(ctx, func() bool {
		_, ok := h.Profile(name)
		return ok
	})
}

// await waits until condition returns true. It evaluates the condition after
// every change of the configuration.
func (h *Host) await(ctx context.Context, condition func() bool) error {
	for {
		changed := h.configuration.Changed()
		if condition() {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-changed:
		}
	}
}
