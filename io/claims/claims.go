// Package claims keeps calls that must not run twice from running twice, over
// the claim stream of the platform's log and the other hosts.
//
// # Usage
//
//	keyed, err := claims.New(claims.Dependencies{
//		Host:        "host-1",
//		Incarnation: incarnation,
//		Entropy:     rand.Uint64,
//		Log:         log,
//		Timers:      timers,
//		Logger:      logger,
//		Settings:    claim.DefaultSettings(),
//	})
//	for _, duty := range keyed.Duties() {
//		tree.Add(duty)
//	}
//
// The path of a non-idempotent call:
//
//	decision := keyed.Begin(ctx, team, key, claim.NewFingerprint(profile, path, body))
//	switch decision := decision.(type) {
//	case claims.Run:
//		defer decision.Ticket.Settle()
//		// Queue the call. Then, just before the first byte may leave:
//		if err := decision.Ticket.Started(); err != nil {
//			// Refuse as not run.
//		}
//		decision.Ticket.Finish(outcome)
//	case claims.Forward:
//		// Forward the call to decision.Issuer.Host and give on its answer.
//	case claims.Replay:
//		// Answer as the first time.
//	case claims.Unknown, claims.Refused, claims.Mismatch, claims.Invalid:
//		// Answer with what the decision says.
//	}
//
// All decisions are made by claim.Machine, which the decider duty owns. The
// writer duty appends and the follower duty reads; both do one call of the log
// at a time, with a deadline. If the decider duty is restarted, its keys belong
// to a life that has ended: a new life begins with another issuer.
package claims

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"cactuswell/core/claim"
	"cactuswell/io/logservice"
	"cactuswell/ring"
	"cactuswell/supervisor"
	"cactuswell/timer"
)

const (
	// defaultWait bounds the wait of a call whose context has no deadline.
	defaultWait = 10 * time.Second
	// maxWait bounds the wait of any call, also when no duty runs.
	maxWait = 5 * time.Minute
	// maxDecisionMargin is how long before the end of a call's context it is
	// decided at the latest; marginShare bounds it for short deadlines.
	maxDecisionMargin = 50 * time.Millisecond
	marginShare       = 10
)

// Dependencies are what Claims needs from outside.
type Dependencies struct {
	// Host is this host's name. It must not contain "~" or spaces.
	Host string
	// Incarnation numbers the life of this host's process.
	Incarnation uint64
	// Entropy gives random numbers that no two lives have in common.
	Entropy  func() uint64
	Log      logservice.Log
	Timers   *timer.Service
	Logger   log.Logger
	Settings claim.Settings
}

// HostNameError says that a host's name cannot stand in a key.
type HostNameError struct {
	Host string
}

// Error names the host.
func (e *HostNameError) Error() string { return "host name cannot stand in a key: " + e.Host }

// Claims decides on keyed calls. It is safe for concurrent use.
type Claims struct {
	deps     Dependencies
	requests *ring.Ring[request]
	closings *ring.Ring[claim.Event]
	results  *ring.Ring[result]
	reads    *ring.Ring[readRequest]
	appends  *ring.Ring[appendRequest]
	lastCall atomic.Uint64
	open     atomic.Int64
	life     atomic.Uint64
	dump     atomic.Pointer[Dump]
	stopped  chan struct{}
	stopOnce sync.Once
	decider  *decider
}

// request is a call or a demand that waits for an answer of the decider.
type request struct {
	event  claim.Event
	call   claim.CallID
	waiter *waiter
}

// New returns claims that decide nothing until their duties run.
func New(deps Dependencies) (*Claims, error) {
	if !claim.IsValidHost(deps.Host) {
		return nil, &HostNameError{Host: deps.Host}
	}
	c := &Claims{
		deps:     deps,
		requests: ring.New[request](deps.Settings.MaxCalls),
		// Each open call pushes at most a cancellation and a closing.
		closings: ring.New[claim.Event](4 * deps.Settings.MaxCalls),
		results:  ring.New[result](resultsCapacity),
		reads:    ring.New[readRequest](1),
		appends:  ring.New[appendRequest](1),
		stopped:  make(chan struct{}),
	}
	c.decider = newDecider(c)
	c.dump.Store(&Dump{})
	return c, nil
}

// Duties returns the goroutines to run.
func (c *Claims) Duties() []supervisor.Duty {
	return []supervisor.Duty{
		{
			Name:          "claimsDecider",
			Run:           c.decider.run,
			BeforeRestart: c.decider.restarted,
		},
		{
			Name:          "claimsWriter",
			Run:           (&writer{claims: c}).run,
			BeforeRestart: c.writerRestarted,
		},
		{
			Name:          "claimsFollower",
			Run:           (&follower{claims: c}).run,
			BeforeRestart: c.followerRestarted,
		},
	}
}

// Decide decides whether a call of a non-idempotent profile may run here. The
// key is empty for a call without one. Begin waits within the context's
// deadline and always returns a decision that is true when it is returned.
func (c *Claims) Decide(ctx context.Context, team, key string, fingerprint claim.Fingerprint) Decision {
	if c.open.Add(1) > int64(c.deps.Settings.MaxCalls) {
		c.open.Add(-1)
		return c.refused(claim.RefuseTooManyCalls)
	}
	call := claim.CallID(c.lastCall.Add(1))
	waiter := newWaiter()
	pushed := c.requests.TryPush(request{
		event: claim.DecisionRequested{
			Call:        call,
			Team:        team,
			Key:         key,
			Fingerprint: fingerprint,
			Deadline:    c.decisionDeadline(ctx),
		},
		call:   call,
		waiter: waiter,
	})
	if !pushed {
		c.open.Add(-1)
		return c.refused(claim.RefuseTooManyCalls)
	}
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	decision := c.await(ctx, call, waiter)
	if _, run := decision.(Run); !run {
		c.open.Add(-1)
	}
	return decision
}

// Issue returns a key for a later call of team. The error is a *RefusedError.
func (c *Claims) Issue(ctx context.Context, team string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultWait)
	defer cancel()
	call := claim.CallID(c.lastCall.Add(1))
	waiter := newWaiter()
	pushed := c.requests.TryPush(request{
		event: claim.IssueRequested{
			Call: call,
			Team: team,
		},
		call:   call,
		waiter: waiter,
	})
	if !pushed {
		return "", &RefusedError{Reason: claim.RefuseTooManyCalls}
	}
	select {
	case answer := <-waiter.answers:
		if answer.key != "" {
			return answer.key, nil
		}
		if refused, ok := answer.decision.(Refused); ok {
			return "", &RefusedError{Reason: refused.Reason}
		}
		return "", &RefusedError{Reason: claim.RefuseDutyRestarted}
	case <-ctx.Done():
		return "", &RefusedError{Reason: claim.RefuseCanceled}
	case <-c.stopped:
		return "", &RefusedError{Reason: claim.RefuseStopping}
	}
}

// Shutdown publishes which issued keys were used, after which no further call is
// granted here, and waits until every record is written. It is to be called
// when the calls in flight have ended. The error is a *LeaveError.
func (c *Claims) Shutdown(ctx context.Context) error {
	waiter := newWaiter()
	call := claim.CallID(c.lastCall.Add(1))
	pushed := c.requests.TryPush(request{
		event:  claim.ShutdownRequested{},
		call:   call,
		waiter: waiter,
	})
	if !pushed {
		return &ShutdownError{UnwrittenRecords: c.Dump().UnwrittenRecords}
	}
	select {
	case <-waiter.answers:
		return nil
	case <-ctx.Done():
	case <-c.stopped:
	}
	return &ShutdownError{UnwrittenRecords: c.Dump().UnwrittenRecords}
}

// SetHostCount tells how many hosts share the log's rate of appends.
func (c *Claims) SetHostCount(hosts int) {
	c.closings.TryPush(claim.HostCountChanged{Hosts: hosts})
}

func (c *Claims) decisionDeadline(ctx context.Context) time.Time {
	now := c.deps.Timers.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		return now.Add(defaultWait)
	}
	margin := min(maxDecisionMargin, deadline.Sub(now)/marginShare)
	return deadline.Add(-margin)
}

func (c *Claims) await(ctx context.Context, call claim.CallID, waiter *waiter) Decision {
	reason := claim.RefuseCanceled
	select {
	case answer := <-waiter.answers:
		return answer.decision
	case <-ctx.Done():
		c.closings.TryPush(claim.DecisionCanceled{Call: call})
	case <-c.stopped:
		reason = claim.RefuseStopping
	}
	if waiter.leave() {
		// The decider finds nobody waiting and abandons what it would grant.
		return c.refused(reason)
	}
	return (<-waiter.answers).decision
}

func (c *Claims) refused(reason claim.RefuseReason) Decision {
	return Refused{
		Reason:       reason,
		KeyUnchecked: true,
		RetryAfter:   c.deps.Settings.RetryAfter,
	}
}

func (c *Claims) stop() {
	c.stopOnce.Do(func() { close(c.stopped) })
}

// RefusedError says that no key was issued.
type RefusedError struct {
	Reason claim.RefuseReason
}

// Error names the reason.
func (e *RefusedError) Error() string { return "no key was issued: " + string(e.Reason) }

// ShutdownError says that a leaving host could not write all its records. Keys
// that it issued and did not use stay unusable, and outcomes that it did not
// write are unknown to the other hosts.
type ShutdownError struct {
	UnwrittenRecords int
}

// Error tells what follows.
func (e *ShutdownError) Error() string { return "left with unwritten claim records" }
