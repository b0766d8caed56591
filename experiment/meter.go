package experiment

import (
	"time"

	"cactuswell/core/dispatch"
	"cactuswell/core/profile"
	"cactuswell/core/routing"
)

// meter gathers what a run's figures are made of.
type meter struct {
	simulation   *simulation
	requests     []*request
	generated    int
	promptTokens int
	cachedTokens int
	resumes      int
	largestQueue int
	breaches     Breaches
	refusals     map[dispatch.RefuseReason]int
	leavingSince map[*engine]time.Time
	routers      []*routing.Router
	// faultStarts counts the attempts started between a straggler's reaction
	// time and the end of its slowness, by engine.
	faultStarts map[*engine]int
	modelStarts int
	firstOpen   int
}

// Breaches counts what must never happen.
type Breaches struct {
	// UrgentShed counts top-tier requests refused while lower work of their pool
	// waited on the host, or ran on an engine beyond the guaranteed shares of its
	// classes. Calls of plain services can't be interrupted to make room.
	UrgentShed int `json:"urgentShed"`
	// DuplicateRuns counts second runs of non-idempotent requests.
	DuplicateRuns int `json:"duplicateRuns"`
	// TokenErrors counts answers with tokens missing or given twice.
	TokenErrors int `json:"tokens"`
	// AttemptsToLeaving counts attempts sent to a leaving endpoint after the
	// bound.
	AttemptsToLeaving int `json:"leavingGivenWork"`
	// NotRunButRan counts requests told not run that had run.
	NotRunButRan int `json:"notRunButRan"`
	// Unanswered counts requests that never ended.
	Unanswered int `json:"unanswered"`
}

// Total returns the number of breaches of every kind.
func (b Breaches) Total() int {
	return b.UrgentShed + b.DuplicateRuns + b.TokenErrors + b.AttemptsToLeaving + b.NotRunButRan + b.Unanswered
}

func newMeter(s *simulation) meter {
	return meter{
		simulation:   s,
		refusals:     make(map[dispatch.RefuseReason]int),
		leavingSince: make(map[*engine]time.Time),
		faultStarts:  make(map[*engine]int),
	}
}

// started counts an attempt sent to an engine.
func (m *meter) started(e *engine, now time.Time) {
	if since, leaving := m.leavingSince[e]; leaving && now.Sub(since) > leaveBound {
		m.breaches.AttemptsToLeaving++
	}
	after := m.simulation.since()
	if !e.isService() && after >= faultAt+reactionTime && after < faultEnd {
		m.faultStarts[e]++
		m.modelStarts++
	}
}

// allEnded reports whether every request so far has ended.
func (m *meter) allEnded() bool {
	for m.firstOpen < len(m.requests) && m.requests[m.firstOpen].ended() {
		m.firstOpen++
	}
	return m.firstOpen == len(m.requests)
}

// figures sums up the run.
func (s *simulation) figures() RunMetrics {
	m := &s.meter
	f := RunMetrics{
		Deployment:   s.deployment.Name,
		Scenario:     s.scenario.Name,
		Policy:       s.policy.Name,
		LargestQueue: m.largestQueue,
		Resumes:      m.resumes,
		Refusals:     m.refusals,
		Breaches:     m.breaches,
	}
	s.sumRequests(&f)
	f.CachedShare = share(m.cachedTokens, m.promptTokens)
	f.WorstCompletionShare = 1
	for i := range s.deployment.Classes {
		class := s.classFigures(&s.deployment.Classes[i])
		f.Classes = append(f.Classes, class)
		f.WorstCompletionShare = min(f.WorstCompletionShare, class.CompletionShare)
	}
	for _, router := range m.routers {
		f.Ejections += int(router.Ejections())
	}
	f.StragglerShare = s.stragglerShare()
	return f
}

// sumRequests fills in the figures that are sums over all requests.
func (s *simulation) sumRequests(f *RunMetrics) {
	attempts, first, useful := 0, 0, 0
	overload := s.scenario.overload(&s.deployment)
	value := 0.0
	for _, r := range s.meter.requests {
		attempts += r.attempts
		first += min(r.attempts, 1)
		if r.completed && (!overload || r.endedAt.Sub(s.startedAt) < faultEnd) {
			value += s.profiles[r.arrival.class].Value()
		}
		if r.completed {
			if r.arrival.class.Spec.Kind == profile.KindModel {
				useful += r.arrival.outputTokens
			}
		}
		if !r.ended() {
			f.Breaches.Unanswered++
		}
		if !r.arrival.class.Spec.Idempotent {
			f.Breaches.DuplicateRuns += max(r.runs-1, 0)
		}
	}
	f.GoodputPerSecond = value / s.goodputTime().Seconds()
	f.WasteShare = 1 - share(useful, s.meter.generated)
	f.ExtraPerFirst = share(attempts-first, first)
}

// goodputTime returns the time over which goodput is a rate. Under overload it
// ends with the burst: answers given later, from queues that are then served by idle
// endpoints, say nothing of the rate under load.
func (s *simulation) goodputTime() time.Duration {
	if s.scenario.overload(&s.deployment) {
		return faultEnd
	}
	return horizon
}

// share returns part of whole, or one when there is no whole.
func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// stragglerShare returns the attempts that the most used straggler got, as a
// part of an even share.
func (s *simulation) stragglerShare() float64 {
	most := 0.0
	for _, e := range s.stragglers() {
		even := float64(s.meter.modelStarts) / float64(s.deployment.Engines.Count)
		most = max(most, float64(s.meter.faultStarts[e])/even)
	}
	return most
}

func (s *simulation) classFigures(class *Class) ClassMetrics {
	spec := s.profiles[class].Spec()
	f := ClassMetrics{
		Class: spec.Class,
		Tier:  int(spec.Tier),
	}
	attained, others, othersAttained := 0, 0, 0
	cohort, cohortDone, offeredInFault := 0, 0, 0
	for _, r := range s.meter.requests {
		if r.arrival.class != class {
			continue
		}
		f.Offered++
		ok := s.attained(r)
		if r.completed {
			f.Completed++
		}
		if r.refused {
			f.Refused++
		}
		if ok {
			attained++
		}
		if r.arrival.team != 0 {
			others++
			if ok {
				othersAttained++
			}
		}
		if r.arrival.after >= faultAt && r.arrival.after < faultEnd {
			offeredInFault++
		}
		if r.arrival.after >= faultAt && r.arrival.after < cohortEnd {
			cohort++
			if r.completed && r.endedAt.Sub(s.startedAt) < faultEnd {
				cohortDone++
			}
		}
	}
	f.Attainment = share(attained, f.Offered)
	f.OthersAttainment = share(othersAttained, others)
	f.Demand = float64(offeredInFault) / (faultEnd - faultAt).Seconds() / s.alive(class) / s.deployment.capacity(class)
	f.CompletionShare = s.completionShare(class, cohortDone, cohort)
	return f
}

// attained reports whether the caller had the whole answer, and its measured
// moment within the target.
func (s *simulation) attained(r *request) bool {
	if !r.completed {
		return false
	}
	took := r.tookAll
	if s.profiles[r.arrival.class].Measure() == profile.MeasureFirstToken {
		took = r.firstToken
	}
	return took <= s.profiles[r.arrival.class].Target()
}

// completionShare looks at the requests that arrived in the first part of the
// burst, and returns how many of them were completed before it ended as a part of
// what the class is sure of: its demand, or its guaranteed share if that is less.
// It is at most one.
func (s *simulation) completionShare(class *Class, completed, offered int) float64 {
	guaranteed := s.profiles[class].MinShare() * s.alive(class) * s.deployment.capacity(class) * (cohortEnd - faultAt).Seconds()
	sure := min(guaranteed, float64(offered))
	if sure <= 0 {
		return 1
	}
	return min(float64(completed)/sure, 1)
}

// alive returns the part of the class's endpoints that are alive, and not slow,
// during the fault.
func (s *simulation) alive(class *Class) float64 {
	alike := s.enginesOf(class.Spec.Kind)
	alive := 0
	for _, e := range alike {
		_, leaving := s.meter.leavingSince[e]
		if !e.crashed && !e.unreachable && !leaving {
			alive++
		}
	}
	if class.Spec.Kind == profile.KindModel {
		alive -= s.scenario.StragglerCount
	}
	return float64(alive) / float64(len(alike))
}
