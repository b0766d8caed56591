// Package claims ensures that calls that must run at most once do so. It uses
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
// A non-idempotent call is handled as follows:
//
//	decision := keyed.Decide(ctx, team, key, claim.NewFingerprint(profile, path, body))
//	switch decision := decision.(type) {
//	case claims.Run:
//		defer decision.Ticket.Close()
//		// Queue the call. Then, just before its first byte may be sent:
//		if err := decision.Ticket.MarkStarted(); err != nil {
//			// Refuse as not run.
//		}
//		decision.Ticket.Finish(outcome)
//	case claims.Forward:
//		// Forward the call to decision.Issuer.Host and return its answer.
//	case claims.Replay:
//		// Return the recorded answer.
//	case claims.Unknown, claims.Refused, claims.Mismatch, claims.Invalid:
//		// Return an error according to the decision.
//	}
//
// All decisions are made by a claim.Machine, which the decider duty owns. The
// writer duty appends to the log and the follower duty reads it; each makes one
// call of the log at a time, with a timeout. When the decider duty is
// restarted, it creates a new machine with another issuer, and the keys issued
// before belong to an instance that no longer exists.
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
	// defaultTimeout is the timeout of a call whose context has no deadline.
	defaultTimeout = 10 * time.Second
	// maxDecisionWait is the maximum time that any call waits, even when no
	// duty runs.
	maxDecisionWait = 5 * time.Minute
	// maxDecisionMargin is the maximum time between the latest decision on a
	// call and the deadline of its context.
	maxDecisionMargin = 50 * time.Millisecond
	// marginDivisor limits this margin to 1/marginDivisor of the remaining
	// time, for short deadlines.
	marginDivisor = 10
)

// Dependencies are the collaborators and settings of Claims.
type Dependencies struct {
	// Host is this host's name. It must not contain "~" or spaces.
	Host string
	// Incarnation is the incarnation of this host's process.
	Incarnation uint64
	// Entropy returns random numbers. It must not return the same numbers in
	// two incarnations.
	Entropy  func() uint64
	Log      logservice.Log
	Timers   *timer.Service
	Logger   log.Logger
	Settings claim.Settings
}

// HostNameError reports that a host's name cannot be part of a key.
type HostNameError struct {
	Host string
}

// Error returns a message with the host's name.
func (e *HostNameError) Error() string { return "host name cannot stand in a key: " + e.Host }

// Claims decides whether calls that must run at most once may run on this host.
// It is safe for concurrent use.
type Claims struct {
	deps           Dependencies
	requests       *ring.Ring[request]
	events         *ring.Ring[claim.Event]
	logResults     *ring.Ring[logResult]
	readRequests   *ring.Ring[readRequest]
	appendRequests *ring.Ring[appendRequest]
	lastCallID     atomic.Uint64
	openCalls      atomic.Int64
	instance       atomic.Uint64
	dump           atomic.Pointer[Dump]
	stopped        chan struct{}
	stopOnce       sync.Once
	decider        *decider
}

// request is an event whose sender waits for a response from the decider.
type request struct {
	event  claim.Event
	call   claim.CallID
	waiter *waiter
}

// New returns a Claims, whose duties must be run for it to decide. The error is
// a *HostNameError.
func New(deps Dependencies) (*Claims, error) {
	if !claim.IsValidHost(deps.Host) {
		return nil, &HostNameError{Host: deps.Host}
	}
	c := &Claims{
		deps:     deps,
		requests: ring.New[request](deps.Settings.MaxCalls),
		// Each open call sends at most a cancellation and a final event.
		events:         ring.New[claim.Event](4 * deps.Settings.MaxCalls),
		logResults:     ring.New[logResult](logResultsCapacity),
		readRequests:   ring.New[readRequest](1),
		appendRequests: ring.New[appendRequest](1),
		stopped:        make(chan struct{}),
	}
	c.decider = newDecider(c)
	c.dump.Store(&Dump{})
	return c, nil
}

// Duties returns the duties to run under a supervisor.
func (c *Claims) Duties() []supervisor.Duty {
	return []supervisor.Duty{
		{
			Name:          "claimsDecider",
			Run:           c.decider.run,
			BeforeRestart: c.decider.handleRestart,
		},
		{
			Name:          "claimsWriter",
			Run:           (&writer{claims: c}).run,
			BeforeRestart: c.handleWriterRestart,
		},
		{
			Name:          "claimsFollower",
			Run:           (&follower{claims: c}).run,
			BeforeRestart: c.handleFollowerRestart,
		},
	}
}

// Decide decides whether a call of a non-idempotent profile may run on this
// host. The key is empty for a call without one. The method waits until the
// context's deadline at most and always returns a valid decision.
func (c *Claims) Decide(ctx context.Context, team, key string, fingerprint claim.Fingerprint) Decision {
	if c.openCalls.Add(1) > int64(c.deps.Settings.MaxCalls) {
		c.openCalls.Add(-1)
		return c.refusal(claim.RefuseTooManyCalls)
	}
	call := claim.CallID(c.lastCallID.Add(1))
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
		c.openCalls.Add(-1)
		return c.refusal(claim.RefuseTooManyCalls)
	}
	ctx, cancel := context.WithTimeout(ctx, maxDecisionWait)
	defer cancel()
	decision := c.awaitDecision(ctx, call, waiter)
	if _, run := decision.(Run); !run {
		c.openCalls.Add(-1)
	}
	return decision
}

// Issue returns a key for a later call of team. The error is a *RefusedError.
func (c *Claims) Issue(ctx context.Context, team string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	call := claim.CallID(c.lastCallID.Add(1))
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
	case received := <-waiter.responses:
		if received.key != "" {
			return received.key, nil
		}
		if refused, ok := received.decision.(Refused); ok {
			return "", &RefusedError{Reason: refused.Reason}
		}
		return "", &RefusedError{Reason: claim.RefuseDutyRestarted}
	case <-ctx.Done():
		return "", &RefusedError{Reason: claim.RefuseCanceled}
	case <-c.stopped:
		return "", &RefusedError{Reason: claim.RefuseStopping}
	}
}

// Shutdown stops granting calls, publishes which issued keys were used and
// waits until every record is written. It must be called after the calls in
// flight have ended. The error is a *ShutdownError.
func (c *Claims) Shutdown(ctx context.Context) error {
	waiter := newWaiter()
	call := claim.CallID(c.lastCallID.Add(1))
	pushed := c.requests.TryPush(request{
		event:  claim.ShutdownRequested{},
		call:   call,
		waiter: waiter,
	})
	if !pushed {
		return &ShutdownError{UnwrittenRecords: c.Dump().UnwrittenRecords}
	}
	select {
	case <-waiter.responses:
		return nil
	case <-ctx.Done():
	case <-c.stopped:
	}
	return &ShutdownError{UnwrittenRecords: c.Dump().UnwrittenRecords}
}

// SetHostCount sets the number of hosts that share the log's append rate.
func (c *Claims) SetHostCount(hosts int) {
	c.events.TryPush(claim.HostCountChanged{Hosts: hosts})
}

func (c *Claims) decisionDeadline(ctx context.Context) time.Time {
	now := c.deps.Timers.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		return now.Add(defaultTimeout)
	}
	margin := min(maxDecisionMargin, deadline.Sub(now)/marginDivisor)
	return deadline.Add(-margin)
}

func (c *Claims) awaitDecision(ctx context.Context, call claim.CallID, waiter *waiter) Decision {
	reason := claim.RefuseCanceled
	select {
	case received := <-waiter.responses:
		return received.decision
	case <-ctx.Done():
		c.events.TryPush(claim.DecisionCanceled{Call: call})
	case <-c.stopped:
		reason = claim.RefuseStopping
	}
	if waiter.cancel() {
		// If the decider grants the call later, it finds the waiter canceled
		// and abandons the grant.
		return c.refusal(reason)
	}
	return (<-waiter.responses).decision
}

func (c *Claims) refusal(reason claim.RefuseReason) Decision {
	return Refused{
		Reason:       reason,
		KeyUnchecked: true,
		RetryAfter:   c.deps.Settings.RetryAfter,
	}
}

func (c *Claims) signalStopped() {
	c.stopOnce.Do(func() { close(c.stopped) })
}

// RefusedError reports that no key was issued.
type RefusedError struct {
	Reason claim.RefuseReason
}

// Error returns a message with the reason.
func (e *RefusedError) Error() string { return "no key was issued: " + string(e.Reason) }

// ShutdownError reports that a host that shuts down could not write all its
// records. Keys that it issued and that were not used stay unusable, and
// outcomes that it did not write are unknown to the other hosts.
type ShutdownError struct {
	UnwrittenRecords int
}

// Error returns a fixed message.
func (e *ShutdownError) Error() string { return "left with unwritten claim records" }
