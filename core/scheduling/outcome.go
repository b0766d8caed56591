package scheduling

import (
	"slices"
	"time"

	"cactuswell/core/route"
)

const (
	// firstShare is the part of the latency target after which a silent endpoint
	// of a plain service is given up, so that another can still be in time.
	firstShare = 0.6
	// silentGaps is the number of allowed pauses after which a stream counts as
	// silent, and minSilence the least such time.
	silentGaps = 4
	minSilence = time.Second
	// maxUnreachable bounds the endpoints tried in vain for one call.
	maxUnreachable = 6
	// declinedFor is how long an endpoint that declined a call is passed over if
	// it does not say.
	declinedFor = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time told to refused callers.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// setLimits bounds the silence of an endpoint where a call can go on elsewhere.
func (s *Scheduler) setLimits(c *call, command *Send) {
	r := c.spec.Route
	if !r.Retryable() || c.ran+1 >= r.MaxAttempts || c.pool.budget.Remaining(s.now) < 1 || s.usable(c.pool) < 2 {
		return
	}
	if r.Kind == route.Stream {
		command.FirstEventTimeout = max(r.TargetLatency, 3*command.Choice.TimeToFirstEvent)
		command.EventGapTimeout = max(silentGaps*r.TargetEventGap, minSilence)
		return
	}
	usual := time.Duration(3 * c.pool.answer * float64(time.Second))
	command.FirstEventTimeout = max(time.Duration(firstShare*float64(r.TargetLatency)), usual)
}

func (s *Scheduler) began(event AnswerStarted) {
	c := s.calls[event.Call]
	if c == nil || c.target == nil {
		return
	}
	c.target.takeLoad(s.now, event.Load)
	if c.began {
		return
	}
	c.began = true
	c.target.removePending(c)
	s.touch(c.target)
	if c.target.health.trial {
		s.recover(c.target)
	}
	s.pump(c.pool)
}

// detach takes a call's attempt from its endpoint.
func (s *Scheduler) detach(c *call) *target {
	t := c.target
	if t == nil {
		return nil
	}
	t.running--
	if c.tight {
		t.tight--
	}
	t.removePending(c)
	s.touch(t)
	c.target = nil
	return t
}

func (s *Scheduler) forget(c *call) {
	delete(s.calls, c.spec.ID)
}

// leave handles a caller that went away.
func (s *Scheduler) leave(id CallID) {
	c := s.calls[id]
	if c == nil {
		return
	}
	if c.queued {
		p := c.pool
		p.waiting = slices.DeleteFunc(p.waiting, func(waiting *call) bool { return waiting == c })
	}
	if t := s.detach(c); t != nil {
		t.health.trial = false
	}
	s.forget(c)
	s.pump(c.pool)
}

func (s *Scheduler) ended(event AttemptEnded) {
	c := s.calls[event.Call]
	if c == nil || c.target == nil {
		return
	}
	t := s.detach(c)
	t.takeLoad(s.now, event.Load)
	switch outcome := event.Outcome.(type) {
	case Completed:
		s.completed(c, t, event)
	case Unreachable:
		s.judge(t, ReasonUnreachable)
		s.tryElsewhere(c, t, ReasonUnreachable)
	case Expired:
		t.health.trial = false
		s.refuse(c, ReasonTimedOut)
	case Declined:
		t.health.trial = false
		t.fullTill = s.now.Add(max(outcome.RetryAfter, declinedFor))
		s.tryElsewhere(c, t, ReasonDeclined)
	case Misdirected:
		s.judge(t, ReasonMisdirected)
		s.tryElsewhere(c, t, ReasonMisdirected)
	case Failed:
		c.ran++
		t.health.fail()
		s.tryAgain(c, t, ReasonErrors, true)
	case Broken:
		c.ran++
		reason := ReasonConnectionBroken
		if outcome.Malformed {
			reason = ReasonMalformedAnswer
		}
		s.countBreak(t, reason)
		s.tryAgain(c, t, reason, false)
	case Silent:
		c.ran++
		s.countBreak(t, ReasonSilent)
		s.tryAgain(c, t, ReasonSilent, false)
	case TimedOut:
		c.ran++
		if c.began {
			t.health.trial = false
		} else {
			s.countBreak(t, ReasonSilent)
		}
		s.refuse(c, ReasonTimedOut)
	case Abandoned:
		t.health.trial = false
		s.forget(c)
	}
	s.pump(c.pool)
}

func (s *Scheduler) completed(c *call, t *target, event AttemptEnded) {
	s.recover(t)
	s.forget(c)
	if c.pool.engine == nil {
		took := s.now.Sub(c.sentAt).Seconds()
		t.observe(took / max(c.pool.answer, 0.001))
		c.pool.answer += 0.02 * (took - c.pool.answer)
		return
	}
	if event.EventGap == 0 {
		return
	}
	expected := time.Duration(s.stride(c.pool)) * s.settings.Engine.StepTime(t.busy(s.now), 0)
	t.observe(float64(event.EventGap) / float64(expected))
}

// recover takes an endpoint that answers back into use.
func (s *Scheduler) recover(t *target) {
	if !t.health.succeed() {
		return
	}
	s.commands = append(s.commands, EndpointHealthChanged{
		Key:     t.key,
		Service: t.entry.Service,
		Reason:  ReasonRecovered,
	})
}

// countBreak notes a lost connection, a spoiled answer or a silence.
func (s *Scheduler) countBreak(t *target, reason Reason) {
	t.health.breaks++
	if t.health.trial || t.health.breaks >= breaksToEject {
		s.judge(t, reason)
	}
}

// judge takes an endpoint out of use. Only so many of a service's endpoints may
// be out of use for other reasons than that they are not where their entries
// say.
func (s *Scheduler) judge(t *target, reason Reason) {
	p := s.pool(t.entry.Service)
	if reason != ReasonUnreachable && reason != ReasonMisdirected {
		out := 0
		for _, other := range p.targets {
			if other != t && other.health.ejectFor > 0 {
				out++
			}
		}
		if float64(out+1) > maxEjectedShare*float64(len(p.targets)) {
			t.health.trial = false
			return
		}
	}
	s.commands = append(s.commands, EndpointHealthChanged{
		Key:        t.key,
		Service:    p.name,
		Ejected:    true,
		Failures:   t.health.breaks,
		Reason:     reason,
		EjectedFor: t.health.eject(s.now),
	})
}

// tryElsewhere sends a call again that was not run.
func (s *Scheduler) tryElsewhere(c *call, t *target, reason Reason) {
	c.avoid = append(c.avoid, t.key)
	c.cause = reason
	if !s.now.Before(c.spec.Deadline) {
		s.refuse(c, ReasonTimedOut)
		return
	}
	if len(c.avoid) > maxUnreachable || reason != ReasonUnreachable && c.pool.budget.Remaining(s.now) < 1 {
		s.refuse(c, reason)
		return
	}
	if reason == ReasonUnreachable {
		// Nothing reached an endpoint, so that nothing is repeated.
		c.sends--
	}
	s.placeOrHold(c)
}

// tryAgain sends a call again that may have run, if that is allowed. Answered
// says that the endpoint gave an answer which the caller can have instead.
func (s *Scheduler) tryAgain(c *call, t *target, cause Reason, answered bool) {
	c.avoid = append(c.avoid, t.key)
	c.cause = cause
	reason := s.lastAttempt(c)
	if reason == "" {
		if next, choice := s.pick(c); next != nil {
			s.send(c, next, choice)
			return
		}
		reason = s.fullReason(c.pool)
	}
	if answered {
		s.forget(c)
		s.commands = append(s.commands, DeliverFailure{
			Call: c.spec.ID,
		})
		return
	}
	s.refuse(c, reason)
}

// lastAttempt returns why a call that may have run is not sent again, or nothing.
func (s *Scheduler) lastAttempt(c *call) Reason {
	switch {
	case !c.spec.Route.Retryable():
		return ReasonOutcomeUnknown
	case c.ran >= c.spec.Route.MaxAttempts:
		return ReasonAttemptsExhausted
	case c.pool.budget.Remaining(s.now) < 1:
		return ReasonRetryBudgetExhausted
	case !s.now.Before(c.spec.Deadline):
		return ReasonTimedOut
	}
	return ""
}

// refuse ends a call without an answer.
func (s *Scheduler) refuse(c *call, reason Reason) {
	s.forget(c)
	s.commands = append(s.commands, Refuse{
		Call:            c.spec.ID,
		Reason:          reason,
		Cause:           c.cause,
		MayHaveRun:      c.ran > 0,
		RetryAfter:      s.retryAfter(c),
		KnownEndpoints:  len(c.pool.targets),
		UsableEndpoints: s.usable(c.pool),
		QueuedCalls:     len(c.pool.waiting),
	})
}

// retryAfter returns when room is to be expected for a refused call: when the
// endpoint with the least work has read what was sent to it.
func (s *Scheduler) retryAfter(c *call) time.Duration {
	least := time.Duration(-1)
	for _, t := range c.pool.targets {
		if t.leaving {
			continue
		}
		wait := t.reading(s.now)
		if t.health.out(s.now) {
			wait = max(wait, t.health.ejectedTill.Sub(s.now))
		}
		if least < 0 || wait < least {
			least = wait
		}
	}
	return min(max(least, minRetryAfter), maxRetryAfter)
}
