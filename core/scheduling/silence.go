package scheduling

import (
	"slices"
	"time"

	"cactuswell/core/route"
)

const (
	// firstAnswerShare is the share of the latency target after which, at the
	// earliest, an endpoint of a plain service counts as silent, so that another
	// one can still answer in time.
	firstAnswerShare = 0.6
	// silenceGaps is the number of target event gaps after which a stream counts as
	// silent, and minSilence is the minimum of that time.
	silenceGaps = 4
	minSilence  = time.Second
	// patienceGaps is the number of target event gaps for which callers wait at least within a stream.
	patienceGaps = 8
)

// silence is the silence of the attempt in flight.
type silence struct {
	number int
	// patienceUntil is when the caller leaves if nothing comes.
	patienceUntil time.Time
	// reserved is the endpoint that keeps a place for the call once the attempt is to be given up, or nil.
	reserved *endpoint
}

// setTimeouts sets how long an endpoint may be silent before this is reported, if the call may run elsewhere.
func (s *Scheduler) setTimeouts(c *call, command *Send) {
	r := c.spec.Route
	if !r.Retryable() || c.possibleRuns+1 >= r.MaxAttempts {
		return
	}
	if r.Kind == route.Stream {
		command.FirstEventTimeout = max(r.TargetLatency, 3*command.Choice.TimeToFirstEvent)
		command.EventGapTimeout = max(silenceGaps*r.TargetEventGap, minSilence)
		return
	}
	usualAnswer := time.Duration(3 * c.pool.answerTime * float64(time.Second))
	command.FirstEventTimeout = max(time.Duration(firstAnswerShare*float64(r.TargetLatency)), usualAnswer)
}

// handleAttemptSilent decides what becomes of an attempt whose endpoint is silent. The endpoint may be frozen or cut off, or have
// preempted the request, which then goes on. So the attempt is given up only for a place at another endpoint, which is kept for the call.
// While there is none it goes on. It serves full services whose endpoints preempt streams.
func (s *Scheduler) handleAttemptSilent(event AttemptSilent) {
	c := s.calls[event.Call]
	if c == nil || c.endpoint == nil || c.silence != nil {
		return
	}
	c.silence = &silence{
		number:        event.Silence,
		patienceUntil: s.patienceUntil(c, s.now.Add(-event.For)),
	}
	if !c.isSilenceRecorded && s.countUsableFor(c) > 1 && s.mayRunOnceMore(c) {
		c.isSilenceRecorded = true
		s.recordBreak(c.endpoint, ReasonSilent)
	}
	c.pool.silent = insertByUrgency(c.pool.silent, c)
	s.dispatchWaiting(c.pool)
}

// patienceUntil returns when the caller leaves if it has got nothing since a time.
func (s *Scheduler) patienceUntil(c *call, since time.Time) time.Time {
	r := c.spec.Route
	if r.Kind != route.Stream {
		return c.spec.Deadline
	}
	until := since.Add(max(patience(r), patienceGaps*r.TargetEventGap))
	if until.After(c.spec.Deadline) {
		return c.spec.Deadline
	}
	return until
}

// giveUpSilent gives up a silent attempt if another endpoint has room and is expected to answer before the caller leaves.
func (s *Scheduler) giveUpSilent(c *call) {
	if c.silence.reserved != nil || !s.mayRunOnceMore(c) {
		return
	}
	best := s.bestCandidate(c)
	if best.endpoint == nil || s.now.Add(timeToFirstEvent(c, best)).After(c.silence.patienceUntil) {
		return
	}
	if !c.hasPaidRetry {
		c.hasPaidRetry = true
		c.pool.budget.RecordRetry(s.now)
	}
	c.silence.reserved = best.endpoint
	best.endpoint.running++
	s.markDirty(best.endpoint)
	s.commands = append(s.commands, GiveUp{
		Call:    c.spec.ID,
		Silence: c.silence.number,
		PlaceAt: best.endpoint.key,
	})
}

// timeToFirstEvent returns when the first event is expected at a candidate. That of plain services is not known: what is
// predicted is the time of the whole answer.
func timeToFirstEvent(c *call, at candidate) time.Duration {
	if c.pool.engine == nil {
		return 0
	}
	return at.choice.TimeToFirstEvent
}

// mayRunOnceMore reports whether a call could be retried if the attempt in flight ended now.
func (s *Scheduler) mayRunOnceMore(c *call) bool {
	return c.possibleRuns+1 < c.spec.Route.MaxAttempts && s.retryDenialReason(c) == ""
}

func (s *Scheduler) handleAttemptProgressed(id CallID) {
	if c := s.calls[id]; c != nil && c.silence != nil {
		s.endSilence(c)
		s.dispatchWaiting(c.pool)
	}
}

// endSilence ends the silence of the attempt in flight, if it is silent, and frees the place that is kept for the call.
func (s *Scheduler) endSilence(c *call) {
	if c.silence == nil {
		return
	}
	if e := c.silence.reserved; e != nil {
		e.running--
		s.markDirty(e)
	}
	c.silence = nil
	c.pool.silent = slices.DeleteFunc(c.pool.silent, func(other *call) bool { return other == c })
}

// SilentCalls returns the number of calls whose attempt is silent and goes on.
func (s *Scheduler) SilentCalls() int {
	silent := 0
	for _, p := range s.poolsInOrder {
		silent += len(p.silent)
	}
	return silent
}
