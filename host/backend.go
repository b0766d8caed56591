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

// ringFullRetry is when a caller should come back after a full arrival ring.
const ringFullRetry = time.Second

// Profile returns the profile in force under a name.
func (h *Host) Profile(name string) (profile.Profile, bool) {
	p, _, ok := h.configuration.Profile(name)
	return p, ok
}

// NewRequestID returns an id for a request that came without one.
func (h *Host) NewRequestID() string {
	return h.id() + "-r" + strconv.FormatUint(h.externalIDs.Add(1), 36)
}

// Ready reports whether the host wants new work, and why not.
func (h *Host) Ready() (bool, string) {
	if h.phase.Load() != phaseServing {
		return false, "the host is stopping"
	}
	return h.configuration.Ready()
}

// Accepting reports whether the host can serve a request at all.
func (h *Host) Accepting() (bool, string) {
	if h.phase.Load() == phaseDraining {
		return false, "the host is stopping"
	}
	return true, ""
}

// Submit takes a request and returns its answer.
func (h *Host) Submit(ctx context.Context, submission caller.Submission) *caller.Answer {
	h.counters.Add("requests", 1)
	if submission.Profile.Idempotent() {
		return h.submit(ctx, submission, nil)
	}
	return h.submitOnce(ctx, submission)
}

// submit hands a request to its pool.
func (h *Host) submit(ctx context.Context, submission caller.Submission, ticket *claims.Ticket) *caller.Answer {
	p := h.pool(submission.Profile.Pool(), submission.Profile.Kind())
	c := p.newCall(submission, ticket)
	h.recent.remember(submission.RequestID, recentRequest{
		pool:    p.name,
		kind:    submission.Profile.Kind(),
		id:      c.id,
		profile: submission.Profile.Name(),
		team:    submission.Team,
	})
	h.cancelWithCaller(ctx, p, c)
	if !p.submit(c) {
		c.refuse(dispatch.RefuseQueueFull, dispatch.NotRun, ringFullRetry)
	}
	return c.answer
}

// cancelWithCaller gives the call up when its caller goes away. A call that must
// not run twice is seen through, so that its outcome is known. The call's end ends
// the watch, since the context of each request ends with its answer.
func (h *Host) cancelWithCaller(ctx context.Context, p *pool, c *call) {
	if c.once() {
		return
	}
	c.unwatch = context.AfterFunc(ctx, func() {
		c.gone.Store(true)
		p.post(dispatch.RequestCanceled{
			Request: c.id,
		})
	})
}

// PublishChange publishes a change of the configuration through this host.
func (h *Host) PublishChange(ctx context.Context, change core.Change) error {
	_, err := h.configuration.PublishChange(ctx, configuration.NewID(), change)
	return trace.Wrap(err)
}

// AwaitReady waits until the host wants new work. It fails only with ctx's
// error.
func (h *Host) AwaitReady(ctx context.Context) error {
	return h.await(ctx, func() bool {
		ready, _ := h.Ready()
		return ready
	})
}

// AwaitProfile waits until a profile of that name is in force on this host. It
// fails only with ctx's error.
func (h *Host) AwaitProfile(ctx context.Context, name string) error {
	return h.await(ctx, func() bool {
		_, ok := h.Profile(name)
		return ok
	})
}

// await waits until the configuration fulfils a condition.
func (h *Host) await(ctx context.Context, fulfilled func() bool) error {
	for {
		changed := h.configuration.Changed()
		if fulfilled() {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-changed:
		}
	}
}
