package scheduling

import (
	"slices"
	"time"

	"cactuswell/core/route"
	"cactuswell/core/speed"
)

const (
	// maxFailedEndpoints bounds the failed attempts of a call: once so many have failed
	// and the last one did not run, the call is refused.
	maxFailedEndpoints = 6
	// defaultDeclineBackoff is how long an endpoint that declined a call is avoided
	// if it sent no retry delay.
	defaultDeclineBackoff = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay sent to refused
	// callers.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

func (s *Scheduler) handleAnswerStarted(event AnswerStarted) {
	c := s.calls[event.Call]
	if c == nil || c.endpoint == nil {
		return
	}
	s.recordReportedLoad(c.endpoint, event.Load)
	if c.started {
		return
	}
	s.recordLimit(c.endpoint, event.Limit)
	c.started = true
	c.startedAt = s.now
	s.observeFirstEvent(c)
	bindVersion(c, c.endpoint)
	c.endpoint.removePending(s.now, c)
	s.markDirty(c.endpoint)
	if c.endpoint.health.probing {
		s.reinstate(c.endpoint)
	}
	s.dispatchWaiting(c.pool)
}

// detachAttempt removes a call's attempt from its endpoint and returns the
// endpoint.
func (s *Scheduler) detachAttempt(c *call) *endpoint {
	e := c.endpoint
	if e == nil {
		return nil
	}
	s.endSilence(c)
	e.running--
	e.promptTokens -= c.spec.PromptTokens
	if c.latencySensitive {
		e.latencySensitive--
	}
	e.removePending(s.now, c)
	s.markDirty(e)
	c.endpoint = nil
	return e
}

func (s *Scheduler) removeCall(c *call) {
	delete(s.calls, c.spec.ID)
}

// handleCallCanceled removes a call whose caller has disconnected.
func (s *Scheduler) handleCallCanceled(id CallID) {
	c := s.calls[id]
	if c == nil {
		return
	}
	if c.queued {
		p := c.pool
		p.queue = slices.DeleteFunc(p.queue, func(waiting *call) bool { return waiting == c })
	}
	if e := s.detachAttempt(c); e != nil {
		e.health.probing = false
	}
	s.removeCall(c)
	s.dispatchWaiting(c.pool)
}

func (s *Scheduler) handleAttemptEnded(event AttemptEnded) {
	c := s.calls[event.Call]
	if c == nil || c.endpoint == nil {
		return
	}
	e := s.detachAttempt(c)
	if !c.started || event.Load.Pace == 0 {
		// A load with a pace that came with the header of a stream is old by now.
		s.recordReportedLoad(e, event.Load)
	}
	if event.HasAnswer && !c.started {
		s.recordLimit(e, event.Limit)
	}
	s.recordQuiet(e, event.QuietFor)
	s.recordCrash(c, e, event)
	switch outcome := event.Outcome.(type) {
	case Completed:
		s.recordCompletion(c, e, event, outcome.Unframed)
		if event.Excess {
			e.health.recordExcess()
		}
	case Unreachable:
		s.ejectEndpoint(e, ReasonUnreachable)
		s.retryNotRun(c, e, ReasonUnreachable)
	case Expired:
		e.health.probing = false
		s.refuse(c, ReasonTimedOut)
	case Declined, Unproven, Misdirected:
		s.handleRefusedAttempt(c, e, event)
	case Failed:
		c.possibleRuns++
		e.health.recordFailedAnswer()
		s.recordFailure(c, outcome)
		s.retryMayHaveRun(c, e, ReasonErrors, true)
	case Broken:
		c.possibleRuns++
		reason := ReasonConnectionBroken
		if outcome.Malformed {
			reason = ReasonMalformedAnswer
		}
		s.recordBreak(e, reason)
		c.recordPart(outcome.PartlyDelivered)
		s.retryMayHaveRun(c, e, reason, false)
	case Unrecorded:
		c.possibleRuns++
		e.health.probing = false
		s.refuse(c, ReasonVersionNotRecorded)
	case Unmatched:
		c.possibleRuns++
		e.health.probing = false
		s.retryMayHaveRun(c, e, ReasonUnmatchedRun, false)
	case Silent:
		c.possibleRuns++
		if !c.isSilenceRecorded {
			s.recordBreak(e, ReasonSilent)
		}
		c.recordPart(outcome.PartlyDelivered)
		s.retryMayHaveRun(c, e, ReasonSilent, false)
	case TimedOut:
		c.possibleRuns++
		if c.started {
			e.health.probing = false
		} else {
			s.recordBreak(e, ReasonSilent)
		}
		s.refuse(c, ReasonTimedOut)
	case Abandoned:
		e.health.probing = false
		s.removeCall(c)
	}
	s.dispatchWaiting(c.pool)
}

// handleRefusedAttempt handles an attempt of which the endpoint says that it did not run the call.
func (s *Scheduler) handleRefusedAttempt(c *call, e *endpoint, event AttemptEnded) {
	switch outcome := event.Outcome.(type) {
	case Declined:
		e.health.probing = false
		if event.Excess {
			e.health.recordExcess()
		}
		s.recordDecline(e)
		e.fullUntil = s.now.Add(max(outcome.RetryAfter, defaultDeclineBackoff))
		s.retryNotRun(c, e, ReasonDeclined)
	case Unproven:
		c.possibleRuns++
		e.health.probing = false
		s.recordDecline(e)
		e.fullUntil = s.now.Add(defaultDeclineBackoff)
		s.retryMayHaveRun(c, e, ReasonUnprovenRefusal, false)
	case Misdirected:
		s.ejectEndpoint(e, ReasonMisdirected)
		s.retryNotRun(c, e, ReasonMisdirected)
	}
}

func (s *Scheduler) recordCompletion(c *call, e *endpoint, event AttemptEnded, isUnframed bool) {
	s.reinstate(e)
	s.removeCall(c)
	c.pool.recordRunTime(s.now.Sub(c.sentAt))
	// An unframed answer that ends after one event may have been broken off.
	if !isUnframed {
		s.recordSound(c, c.parts)
	}
	if c.pool.engine == nil {
		answerTime := s.now.Sub(c.sentAt).Seconds()
		s.observeSpeed(c.pool, e, speed.Plain, s.now.Sub(c.sentAt)-s.roundTrip(e),
			time.Duration(float64(initialAnswerTime)*(1+c.utilization*c.utilization)))
		e.observeSlowness(answerTime / max(c.pool.answerTime, 0.001))
		c.pool.answerTime += 0.02 * (answerTime - c.pool.answerTime)
		return
	}
	if event.EventGap == 0 {
		return
	}
	expected := time.Duration(s.tokensPerEvent(c.pool)) * s.settings.Engine.StepTime(e.inFlight(s.now), 0)
	e.observeSlowness(float64(event.EventGap) / float64(expected))
	s.observeSpeed(c.pool, e, speed.EventGap, event.EventGap, expected)
}

// reinstate records a successful answer of an endpoint and ends its ejection, if
// there is one.
func (s *Scheduler) reinstate(e *endpoint) {
	if !e.health.recordSuccess() {
		return
	}
	s.commands = append(s.commands, EndpointHealthChanged{
		Key:     e.key,
		Service: e.entry.Service,
		Reason:  ReasonRecovered,
	})
	s.beginRamp(e, ReasonRecovered)
}

// recordBreak records a broken connection, a malformed answer or a silent attempt.
func (s *Scheduler) recordBreak(e *endpoint, reason Reason) {
	e.health.consecutiveBreaks++
	if e.health.probing || e.health.consecutiveBreaks >= breaksToEject {
		s.ejectEndpoint(e, reason)
	}
}

// ejectEndpoint ejects an endpoint. The share of a service's endpoints that may be
// ejected is limited, except for endpoints that cannot be found at their address.
func (s *Scheduler) ejectEndpoint(e *endpoint, reason Reason) {
	p := s.ensurePool(e.entry.Service)
	if reason != ReasonUnreachable && reason != ReasonMisdirected {
		ejected := 0
		for _, other := range p.endpoints {
			if other != e && other.health.ejectionTime > 0 {
				ejected++
			}
		}
		if float64(ejected+1) > maxEjectedShare*float64(len(p.endpoints)) {
			e.health.probing = false
			return
		}
	}
	s.commands = append(s.commands, EndpointHealthChanged{
		Key:        e.key,
		Service:    p.name,
		Ejected:    true,
		Failures:   e.health.consecutiveBreaks,
		Reason:     reason,
		EjectedFor: e.health.eject(s.now),
	})
}

// retryNotRun retries a call whose last attempt did not run, or refuses it.
func (s *Scheduler) retryNotRun(c *call, e *endpoint, reason Reason) {
	c.avoid = append(c.avoid, e.key)
	c.lastFailure = reason
	if !s.now.Before(c.spec.Deadline) {
		s.refuse(c, ReasonTimedOut)
		return
	}
	if !c.isPartlyDelivered && (len(c.avoid) >= maxFailedEndpoints || reason != ReasonUnreachable && c.pool.budget.Remaining(s.now) < 1) {
		s.refuse(c, reason)
		return
	}
	if reason == ReasonUnreachable {
		// An attempt that reached no endpoint is not counted, so that the next one
		// does not count as a retry because of it.
		c.sends--
		c.sentTo = c.sentTo[:len(c.sentTo)-1]
	}
	if c.isPartlyDelivered {
		// The queue is dispatched once the event has been handled.
		s.enqueue(c)
		return
	}
	s.placeOrQueue(c)
}

// retryMayHaveRun retries a call that may have run, if that is allowed. If answered
// is set, the endpoint sent an error response, which the caller receives if the call
// is not retried.
func (s *Scheduler) retryMayHaveRun(c *call, e *endpoint, cause Reason, answered bool) {
	c.avoid = append(c.avoid, e.key)
	c.lastFailure = cause
	reason := s.retryDenialReason(c)
	if reason == "" {
		c.waitsForOther = !answered && s.hasOtherEndpoint(c)
		if next, choice := s.pickEndpoint(c); next != nil {
			s.send(c, next, choice)
			return
		}
		if !answered && s.queueRetry(c) {
			return
		}
		reason = s.noRoomReason(c)
	} else if !answered && c.outwaits(reason) && s.queueRetry(c) {
		return
	}
	if answered {
		s.removeCall(c)
		s.commands = append(s.commands, DeliverFailure{
			Call: c.spec.ID,
		})
		return
	}
	s.refuse(c, reason)
}

// hasOtherEndpoint reports whether there is an endpoint in service that has not failed the
// call. The runs of a call are few, so none is spent on an endpoint that has just failed it.
func (s *Scheduler) hasOtherEndpoint(c *call) bool {
	return slices.ContainsFunc(c.pool.endpoints, func(e *endpoint) bool {
		return !e.leaving && c.isCompatible(e) && !e.health.isEjected(s.now) && !slices.Contains(c.avoid, e.key)
	})
}

// outwaits reports whether a call waits until a reason not to retry it has gone: a stream that has begun waits for the
// retry budget.
func (c *call) outwaits(reason Reason) bool {
	return c.isPartlyDelivered && reason == ReasonRetryBudgetExhausted
}

// queueRetry queues a call that may have run until an endpoint has room, for as long as a
// new call, or until its deadline if its stream has begun. It reports false if the call cannot wait. Refusing it at once would leave its
// caller with an unknown outcome.
//
// It serves bursts that fill all endpoints while one of them fails.
func (s *Scheduler) queueRetry(c *call) bool {
	if s.countUsableFor(c) == 0 || s.staysClosed(c) {
		return false
	}
	c.otherUntil = s.now.Add(c.spec.Route.TargetLatency)
	if !c.isPartlyDelivered {
		c.queueUntil = c.otherUntil
	}
	if c.queueUntil.After(c.spec.Deadline) {
		c.queueUntil = c.spec.Deadline
	}
	if !s.now.Before(c.queueUntil) {
		return false
	}
	s.enqueue(c)
	return true
}

// queuedRetryDenialReason returns why a call that has left the queue is not retried, or an
// empty reason. The retry budget may have been spent while the call was queued.
func (s *Scheduler) queuedRetryDenialReason(c *call) Reason {
	if c.possibleRuns == 0 {
		return ""
	}
	return s.retryDenialReason(c)
}

// retryDenialReason returns why a call that may have run is not retried, or an
// empty reason.
func (s *Scheduler) retryDenialReason(c *call) Reason {
	_, isQuarantined := s.isHeld(c)
	switch {
	case isQuarantined:
		return ReasonQuarantined
	case !c.spec.Route.Retryable():
		return ReasonOutcomeUnknown
	case c.isPartlyDelivered && c.spec.Route.Kind != route.Stream:
		return ReasonAnswerBegun
	case c.possibleRuns >= c.spec.Route.MaxAttempts:
		return ReasonAttemptsExhausted
	case c.pool.budget.Remaining(s.now) < 1 && !c.hasPaidRetry:
		return ReasonRetryBudgetExhausted
	case !s.now.Before(c.spec.Deadline):
		return ReasonTimedOut
	}
	return ""
}

// refuse ends a call without a complete answer.
func (s *Scheduler) refuse(c *call, reason Reason) {
	s.removeCall(c)
	s.commands = append(s.commands, s.newRefusal(c, reason))
}

func (s *Scheduler) newRefusal(c *call, reason Reason) Refuse {
	if reason.isLackOfCapacity() {
		c.pool.unmet.recordUnmet(s.now, c)
	}
	return Refuse{
		Call:            c.spec.ID,
		Reason:          reason,
		Cause:           c.lastFailure,
		MayHaveRun:      c.possibleRuns > 0,
		RetryAfter:      s.retryAfter(c),
		KnownEndpoints:  len(c.pool.endpoints),
		UsableEndpoints: s.countUsable(c.pool),
		QueuedCalls:     len(c.pool.queue),
	}
}

// retryAfter returns the delay after which capacity is expected for a refused call:
// until the first endpoint has finished the prefills sent to it, its ejection has ended and
// its limit allows a request. The delay is at least minRetryAfter and at most maxRetryAfter, unless all
// endpoints have asked not to be sent calls for longer. A quarantined call may come back when
// the quarantine ends.
func (s *Scheduler) retryAfter(c *call) time.Duration {
	if left, held := s.isHeld(c); held {
		return left
	}
	shortest := time.Duration(-1)
	for _, e := range c.pool.endpoints {
		if e.leaving {
			continue
		}
		wait := max(e.prefillBacklog(s.now), s.creditWait(e))
		if e.health.isEjected(s.now) {
			wait = max(wait, e.health.ejectedUntil.Sub(s.now))
		}
		if shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return max(min(max(shortest, minRetryAfter), maxRetryAfter), s.quietLeft(c.pool))
}
