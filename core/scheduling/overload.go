package scheduling

import (
	"time"

	"cactuswell/core/route"
)

const (
	// patienceTargets is the number of latency targets for which callers are assumed to
	// wait for the first event of a stream, and minPatience the least time.
	patienceTargets = 4
	minPatience     = 2 * time.Second
	// delayLimitStep is the share by which each priority level lowers the delay limit of
	// calls that more urgent ones may follow, and minDelayLimitShare the least share.
	delayLimitStep     = 0.1
	minDelayLimitShare = 0.4
	// shortQueueShare is the share of the delay limit up to which an engine's queue is
	// short enough for any prompt, even for one that alone takes longer than the limit.
	shortQueueShare = 0.25
)

// patience returns how long callers of a route are assumed to wait for the first event.
func patience(r *route.Route) time.Duration {
	return max(patienceTargets*r.TargetLatency, minPatience)
}

// delayLimit returns the longest predicted time to the first event with which a call is
// sent to an engine. Calls of the most urgent routes may take as long as their callers
// wait. An engine prefills prompts in order of arrival, so that a more urgent call waits
// for all prompts sent before it. Other calls are therefore limited by the patience of
// the callers of more urgent routes, the more the less urgent they are.
//
// It serves bursts of long prompts that exceed the engines' prefill throughput.
func (p *pool) delayLimit(c *call) time.Duration {
	limit := patience(c.spec.Route)
	precedesUrgent := false
	for _, r := range p.streamRoutes {
		if r.Priority < c.spec.Route.Priority {
			precedesUrgent = true
			limit = min(limit, patience(r))
		}
	}
	if !precedesUrgent {
		return limit
	}
	return time.Duration(float64(limit) * max(1-delayLimitStep*float64(c.spec.Priority), minDelayLimitShare))
}

// isOverloaded reports whether even the best endpoint for a call exceeds the call's delay
// limit, because of the prompts that are queued there.
func (s *Scheduler) isOverloaded(c *call, choice Choice) bool {
	if c.pool.engine == nil || c.spec.Route.Kind != route.Stream {
		return false
	}
	limit := c.pool.delayLimit(c)
	return choice.TimeToFirstEvent > limit && choice.PrefillBacklog > time.Duration(shortQueueShare*float64(limit))
}

// refuseOverloaded refuses a call immediately, so that its caller can come back when the
// engines have caught up.
func (s *Scheduler) refuseOverloaded(c *call, choice Choice) {
	s.removeCall(c)
	refusal := s.newRefusal(c, ReasonOverloaded)
	refusal.TimeToFirstEvent = choice.TimeToFirstEvent
	refusal.DelayLimit = c.pool.delayLimit(c)
	s.commands = append(s.commands, refusal)
}
