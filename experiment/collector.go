package experiment

import (
	"time"

	"cactuswell/core/dispatch"
	"cactuswell/core/profile"
	"cactuswell/core/routing"
)

// collector collects the counts from which the metrics of a run are computed.
type collector struct {
	simulation      *simulation
	requests        []*request
	generatedTokens int
	promptTokens    int
	cachedTokens    int
	resumes         int
	largestQueue    int
	breaches        Breaches
	refusals        map[dispatch.RefuseReason]int
	leavingSince    map[*simulatedEndpoint]time.Time
	routers         []*routing.Router
	// startsDuringFault counts the attempts sent to each model engine from
	// stragglerReactionTime after the start of the fault until its end, and
	// modelStartsDuringFault is their sum.
	startsDuringFault      map[*simulatedEndpoint]int
	modelStartsDuringFault int
	firstOpenIndex         int
}

// Breaches counts the violations of invariants in a run.
type Breaches struct {
	// UrgentShed counts top-tier requests that were refused while requests of lower
	// tiers of the same pool were queued on the host, or ran on engines beyond the
	// guaranteed shares of their classes. Calls to plain services cannot be
	// interrupted to make room.
	UrgentShed int `json:"urgentShed"`
	// DuplicateRuns counts repeated runs of non-idempotent requests.
	DuplicateRuns int `json:"duplicateRuns"`
	// TokenErrors counts errors in delivered answers: missing or duplicate tokens, or an
	// attempt that the host does not know.
	TokenErrors int `json:"tokens"`
	// AttemptsToLeaving counts attempts sent to a leaving endpoint after the grace
	// period.
	AttemptsToLeaving int `json:"leavingGivenWork"`
	// NotRunButRan counts requests that were refused as not run although an endpoint
	// had run them.
	NotRunButRan int `json:"notRunButRan"`
	// Unanswered counts requests that were still open at the end of the run.
	Unanswered int `json:"unanswered"`
}

// Total returns the sum of the breaches of all kinds.
func (b Breaches) Total() int {
	return b.UrgentShed + b.DuplicateRuns + b.TokenErrors + b.AttemptsToLeaving + b.NotRunButRan + b.Unanswered
}

func newCollector(s *simulation) collector {
	return collector{
		simulation:        s,
		refusals:          make(map[dispatch.RefuseReason]int),
		leavingSince:      make(map[*simulatedEndpoint]time.Time),
		startsDuringFault: make(map[*simulatedEndpoint]int),
	}
}

// recordStart counts an attempt sent to an endpoint.
func (c *collector) recordStart(e *simulatedEndpoint, now time.Time) {
	if since, leaving := c.leavingSince[e]; leaving && now.Sub(since) > leaveGracePeriod {
		c.breaches.AttemptsToLeaving++
	}
	elapsed := c.simulation.elapsed()
	if !e.isService() && elapsed >= faultStart+stragglerReactionTime && elapsed < faultEnd {
		c.startsDuringFault[e]++
		c.modelStartsDuringFault++
	}
}

// allDone reports whether all requests so far are done.
func (c *collector) allDone() bool {
	for c.firstOpenIndex < len(c.requests) && c.requests[c.firstOpenIndex].isDone() {
		c.firstOpenIndex++
	}
	return c.firstOpenIndex == len(c.requests)
}

// metrics computes the metrics of the run.
func (s *simulation) metrics() RunMetrics {
	c := &s.collector
	f := RunMetrics{
		Deployment:   s.deployment.Name,
		Scenario:     s.scenario.Name,
		Policy:       s.policy.Name,
		LargestQueue: c.largestQueue,
		Resumes:      c.resumes,
		Refusals:     c.refusals,
		Breaches:     c.breaches,
	}
	s.addRequestTotals(&f)
	f.CachedShare = share(c.cachedTokens, c.promptTokens)
	f.WorstCompletionShare = 1
	for i := range s.deployment.Classes {
		class := s.classMetrics(&s.deployment.Classes[i])
		f.Classes = append(f.Classes, class)
		f.WorstCompletionShare = min(f.WorstCompletionShare, class.CompletionShare)
	}
	for _, router := range c.routers {
		f.Ejections += int(router.Ejections())
	}
	f.StragglerShare = s.stragglerShare()
	return f
}

// addRequestTotals sets the metrics that are sums over all requests.
func (s *simulation) addRequestTotals(f *RunMetrics) {
	attempts, firstAttempts, usefulTokens := 0, 0, 0
	isOverloaded := s.scenario.isOverloaded(&s.deployment)
	totalValue := 0.0
	for _, r := range s.collector.requests {
		attempts += r.attempts
		firstAttempts += min(r.attempts, 1)
		if r.completed && (!isOverloaded || r.doneAt.Sub(s.startedAt) < faultEnd) {
			totalValue += s.profiles[r.arrival.class].Value()
		}
		if r.completed {
			if r.arrival.class.Spec.Kind == profile.KindModel {
				usefulTokens += r.arrival.outputTokens
			}
		}
		if !r.isDone() {
			f.Breaches.Unanswered++
		}
		if !r.arrival.class.Spec.Idempotent {
			f.Breaches.DuplicateRuns += max(r.startedRuns-1, 0)
		}
	}
	f.GoodputPerSecond = totalValue / s.goodputPeriod().Seconds()
	f.WasteShare = 1 - share(usefulTokens, s.collector.generatedTokens)
	f.ExtraPerFirst = share(attempts-firstAttempts, firstAttempts)
}

// goodputPeriod returns the time over which goodput is averaged. Under overload it
// ends with the burst: later answers come from queues that idle endpoints work off, so
// they do not reflect the rate under load.
func (s *simulation) goodputPeriod() time.Duration {
	if s.scenario.isOverloaded(&s.deployment) {
		return faultEnd
	}
	return arrivalPeriod
}

// share returns part as a fraction of whole, or one if whole is zero.
func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// stragglerShare returns the number of attempts sent to the most used straggler as a
// fraction of an even share.
func (s *simulation) stragglerShare() float64 {
	largest := 0.0
	for _, e := range s.stragglers() {
		evenShare := float64(s.collector.modelStartsDuringFault) / float64(s.deployment.Engines.Count)
		largest = max(largest, float64(s.collector.startsDuringFault[e])/evenShare)
	}
	return largest
}

func (s *simulation) classMetrics(class *Class) ClassMetrics {
	spec := s.profiles[class].Spec()
	f := ClassMetrics{
		Class: spec.Class,
		Tier:  int(spec.Tier),
	}
	attainedCount, othersOffered, othersAttained := 0, 0, 0
	cohortSize, cohortCompleted, offeredInFault := 0, 0, 0
	for _, r := range s.collector.requests {
		if r.arrival.class != class {
			continue
		}
		f.Offered++
		metTarget := s.meetsTarget(r)
		if r.completed {
			f.Completed++
		}
		if r.refused {
			f.Refused++
		}
		if metTarget {
			attainedCount++
		}
		if r.arrival.team != 0 {
			othersOffered++
			if metTarget {
				othersAttained++
			}
		}
		if r.arrival.sinceStart >= faultStart && r.arrival.sinceStart < faultEnd {
			offeredInFault++
		}
		if r.arrival.sinceStart >= faultStart && r.arrival.sinceStart < cohortEnd {
			cohortSize++
			if r.completed && r.doneAt.Sub(s.startedAt) < faultEnd {
				cohortCompleted++
			}
		}
	}
	f.Attainment = share(attainedCount, f.Offered)
	f.OthersAttainment = share(othersAttained, othersOffered)
	f.Demand = float64(offeredInFault) / (faultEnd - faultStart).Seconds() / s.aliveShare(class) / s.deployment.poolCapacity(class)
	f.CompletionShare = s.completionShare(class, cohortCompleted, cohortSize)
	return f
}

// meetsTarget reports whether the caller received the complete answer and the measured
// latency is within the profile's target.
func (s *simulation) meetsTarget(r *request) bool {
	if !r.completed {
		return false
	}
	latency := r.totalTime
	if s.profiles[r.arrival.class].Measure() == profile.MeasureFirstToken {
		latency = r.timeToFirstToken
	}
	return latency <= s.profiles[r.arrival.class].Target()
}

// completionShare considers the requests that arrived in the first part of the burst.
// It returns the number of those completed before the end of the burst as a fraction
// of what the class is entitled to: its demand, or its guaranteed share if that is
// less. It is at most one.
func (s *simulation) completionShare(class *Class, completed, offered int) float64 {
	guaranteed := s.profiles[class].MinShare() * s.aliveShare(class) * s.deployment.poolCapacity(class) * (cohortEnd - faultStart).Seconds()
	entitled := min(guaranteed, float64(offered))
	if entitled <= 0 {
		return 1
	}
	return min(float64(completed)/entitled, 1)
}

// aliveShare returns the share of the class's endpoints that take work during the
// fault: they are alive, not leaving and not stragglers.
func (s *simulation) aliveShare(class *Class) float64 {
	sameKind := s.endpointsOfKind(class.Spec.Kind)
	alive := 0
	for _, e := range sameKind {
		_, leaving := s.collector.leavingSince[e]
		if !e.crashed && !e.unreachable && !leaving {
			alive++
		}
	}
	if class.Spec.Kind == profile.KindModel {
		alive -= s.scenario.StragglerCount
	}
	return float64(alive) / float64(len(sameKind))
}
