package routing

import (
	"time"

	"cactuswell/core/profile"
)

const (
	// silenceGaps is how many mean token gaps a stream may stand still.
	silenceGaps = 20
	// errorRateToEject and errorSamplesToEject eject an endpoint that fails
	// often but not always.
	errorRateToEject    = 0.5
	errorSamplesToEject = 8
	// unreportedProbeFactor makes an endpoint without a report since its ejection
	// wait longer for its probe.
	unreportedProbeFactor = 4
	// quietToForget is the time without progress after which the slowness of a
	// suspect endpoint is forgotten, so that it gets another chance.
	quietToForget = 5 * time.Second
	// spareChoice is by how much one endpoint's window may be exceeded while the
	// sum of all windows is kept, so that there is a choice of endpoints.
	spareChoice = 1
	// recentProgress is the age up to which progress tells of the present.
	recentProgress = 3 * time.Second
	// suspectHysteresis is the part of SuspectSlowness below which a suspect
	// endpoint is healthy again.
	suspectHysteresis = 0.75
	// probeTokens times MinSamples tokens at a good rate pass a probe before its
	// answer is whole.
	probeTokens = 2
)

func (t *target) isOutside() bool {
	return !t.leaving && (t.health.state == StateEjected || t.health.state == StateProbing)
}

func (t *target) awaitsProbe() bool {
	return t.used && !t.leaving && t.health.state == StateProbing && t.health.probing == 0
}

func (t *target) isUsable() bool {
	return t.used && !t.leaving && t.health.state != StateEjected
}

// state returns the endpoint's state with leaving before all others.
func (t *target) state() State {
	if t.leaving {
		return StateLeaving
	}
	return t.health.state
}

// refresh puts a target into the sets of those with room, or takes it out.
func (r *Router) refresh(t *target) {
	for tier := range profile.Tier(profile.TierCount) {
		r.open[tier].set(t, r.hasRoom(t, tier))
	}
	r.open[openProbe].set(t, t.awaitsProbe())
	granted := 0.0
	if r.takesWork(t) {
		granted = t.window.limit
	}
	r.granted += granted - t.granted
	t.granted = granted
}

// hasShare says whether this host may send more work of a tier to all endpoints
// together. Top-tier work that went beyond a window is made up for by the next
// lower work, wherever it ends.
func (r *Router) hasShare(tier profile.Tier) bool {
	if tier == profile.TierUrgent {
		return true
	}
	return float64(r.ownRunning()) < r.granted
}

// ownRunning returns this host's attempts at all endpoints.
func (r *Router) ownRunning() int {
	running := 0
	for _, count := range r.running {
		running += count
	}
	return running
}

// hasRoom says whether the endpoint has room for a tier. Work of lower tiers does
// not count, since the endpoint puts it behind. Within this host's own share
// there is room always, beyond it only while the endpoint is not full. The top
// tier may use the headroom too.
func (r *Router) hasRoom(t *target, tier profile.Tier) bool {
	if !r.takesWork(t) {
		return false
	}
	if t.health.state == StateSuspect && t.load.own >= minWindow {
		return false
	}
	slots := t.slots(&r.settings)
	spare := r.headroom(slots)
	limit := t.window.slots() + spareChoice
	if ramp := t.health.ramp(r.tickedAt, r.settings.Health); ramp < 1 {
		limit = max(int(float64(limit)*ramp), minWindow)
	}
	if tier == profile.TierUrgent {
		limit += spare
		spare = 0
	}
	own := t.load.own
	if tier == profile.TierUrgent {
		own = t.load.ownAbove(tier)
	}
	if own >= limit {
		return false
	}
	return own < t.window.guaranteed() || t.load.estimate() < slots-spare || tier == profile.TierUrgent
}

func (r *Router) takesWork(t *target) bool {
	if !t.used || t.leaving {
		return false
	}
	if r.tickedAt.Before(t.health.pausedUntil) {
		return false
	}
	return t.health.state == StateHealthy || t.health.state == StateSuspect
}

// certainSlowness is the slowness for which an endpoint may be ejected.
func (r *Router) certainSlowness(t *target) float64 {
	if t.isService() {
		return t.health.answerSlowness(r.peers, r.settings.Health, serviceTolerance)
	}
	return t.health.gapSlowness(r.peers, r.settings.Health)
}

// slowness adds to certainSlowness what may have other causes: first-token times,
// and the rate for each sequence in the endpoint's old report.
func (r *Router) slowness(t *target) float64 {
	slowness := r.certainSlowness(t)
	if !t.isService() {
		slowness = max(slowness, t.health.answerSlowness(r.peers, r.settings.Health, firstTokenTolerance))
	}
	if reported := r.reportedSlowness(t); reported >= r.settings.Health.EjectSlowness {
		slowness = max(slowness, reported)
	}
	return slowness
}

// reportedSlowness compares the time between the tokens of a sequence, by the
// endpoints' reports.
func (r *Router) reportedSlowness(t *target) float64 {
	if r.peers.reportedGap <= 0 {
		return 1
	}
	return max(t.load.reportedGap()/r.peers.reportedGap, 1)
}

// judge moves the endpoint between healthy, suspect and ejected.
func (r *Router) judge(now time.Time, t *target) {
	h := &t.health
	settings := &r.settings.Health
	slowness := r.slowness(t)
	certain := r.certainSlowness(t)
	switch h.state {
	case StateHealthy:
		if slowness >= settings.SuspectSlowness || h.failures > 0 || t.load.overdue {
			h.state = StateSuspect
			r.refresh(t)
		}
	case StateSuspect:
		h.forgetAfter(now, quietToForget)
		slowness = r.slowness(t)
		if slowness < settings.SuspectSlowness*suspectHysteresis && h.failures == 0 && !t.load.overdue {
			h.state = StateHealthy
			r.refresh(t)
		}
	case StateProbing:
		switch {
		case certain >= settings.EjectSlowness:
			r.eject(now, t)
		case h.gap.samples >= probeTokens*settings.MinSamples && certain < settings.SuspectSlowness:
			r.recover(now, t)
		}
		return
	case StateEjected, StateLeaving:
		return
	}
	if certain >= settings.EjectSlowness {
		r.eject(now, t)
	}
}

func (r *Router) failed(now time.Time, t *target) {
	h := &t.health
	h.failed(now)
	switch {
	case h.state == StateProbing:
		r.eject(now, t)
	case h.state == StateEjected:
	case h.failures >= r.settings.Health.FailuresToEject:
		r.eject(now, t)
	case h.errors.samples >= errorSamplesToEject && h.errorRate() >= errorRateToEject:
		r.eject(now, t)
	default:
		r.judge(now, t)
	}
}

// eject takes an endpoint out unless too many are out already. One that stays
// because of that is suspect.
func (r *Router) eject(now time.Time, t *target) {
	if t.leaving {
		return
	}
	if !t.isOutside() {
		if float64(r.outside+1) > r.settings.Health.MaxEjectedShare*float64(r.usedCount) {
			t.health.state = StateSuspect
			r.refresh(t)
			return
		}
		r.outside++
	}
	r.ejections++
	length := r.settings.Health.FailureEjectionTime
	if t.health.failures == 0 {
		length = r.settings.Health.SlownessEjectionTime
	}
	t.health.eject(now, length, r.settings.Health.MaxEjectionTime)
	r.refresh(t)
}

// startProbe ends an ejection whose time has passed. An endpoint that has not
// reported since is taken to be down and waits longer; one that is seen to be
// slow still, by its running attempts or its report, waits on.
func (r *Router) startProbe(now time.Time, t *target) {
	h := &t.health
	if h.state != StateEjected || t.leaving || now.Before(h.probeAt) {
		return
	}
	if t.load.overdue && now.Sub(h.ejectedAt) < r.settings.Health.MaxEjectionTime {
		return
	}
	heard := !t.load.reported || t.load.report.At.After(h.ejectedAt)
	if !heard && now.Sub(h.ejectedAt) < unreportedProbeFactor*h.probeAt.Sub(h.ejectedAt) {
		return
	}
	watched := now.Sub(h.progressAt) < recentProgress
	if watched && r.certainSlowness(t) >= r.settings.Health.SuspectSlowness {
		return
	}
	if r.reportedSlowness(t) >= r.settings.Health.SuspectSlowness {
		return
	}
	h.probe()
}

// pickProbe gives a probing endpoint its next attempt. Top-tier work is used
// only when no lower work has come for some time.
func (r *Router) pickProbe(now time.Time, ask *Request) (Choice, bool) {
	if len(ask.Avoid) > 0 {
		return Choice{}, false
	}
	for _, t := range r.open[openProbe].targets {
		if ask.Tier == profile.TierUrgent && now.Sub(t.health.probeAt) < r.settings.Health.UrgentProbeDelay {
			continue
		}
		choice := r.predict(now, ask, t)
		choice.Candidates = 1
		choice.IsProbe = true
		return choice, true
	}
	return Choice{}, false
}

func (r *Router) probePassed(now time.Time, t *target) {
	h := &t.health
	h.probesPassed++
	if h.probesPassed < r.settings.Health.ProbesToReinstate {
		return
	}
	r.recover(now, t)
}

// recover takes an endpoint back with the least window, which then grows.
func (r *Router) recover(now time.Time, t *target) {
	if t.isOutside() {
		r.outside--
	}
	t.health.recover(now)
	t.window.limit = minWindow
	r.refresh(t)
}
