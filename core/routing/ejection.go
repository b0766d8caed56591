package routing

import (
	"time"

	"cactuswell/core/profile"
)

const (
	// stallGaps is how many mean event gaps a stream may go without progress.
	stallGaps = 20
	// errorRateToEject is the error rate from which an endpoint is ejected, for
	// endpoints that fail often but not always. errorSamplesToEject is the minimum
	// number of samples.
	errorRateToEject    = 0.5
	errorSamplesToEject = 8
	// unreportedProbeFactor multiplies the ejection time of an endpoint that has not
	// reported since its ejection.
	unreportedProbeFactor = 4
	// slownessExpiry is the time without progress after which the slowness of a
	// suspect endpoint is reset, so that it can become healthy again.
	slownessExpiry = 5 * time.Second
	// limitOvershoot is by how many attempts one endpoint's limit may be exceeded
	// while the sum of all limits is respected, so that a decision has several
	// endpoints to choose from.
	limitOvershoot = 1
	// maxProgressAge is the age up to which the last progress counts as current.
	maxProgressAge = 3 * time.Second
	// suspectHysteresis times SuspectSlowness is the slowness below which a suspect
	// endpoint becomes healthy again.
	suspectHysteresis = 0.75
	// probeTokenFactor times MinSamples is the number of token gaps without
	// slowness after which a probe succeeds before its answer is complete.
	probeTokenFactor = 2
)

func (e *endpointState) isEjectedOrProbing() bool {
	return !e.leaving && (e.health.state == StateEjected || e.health.state == StateProbing)
}

func (e *endpointState) needsProbe() bool {
	return e.inSubset && !e.leaving && e.health.state == StateProbing && e.health.runningProbes == 0
}

func (e *endpointState) isUsable() bool {
	return e.inSubset && !e.leaving && e.health.state != StateEjected
}

// state returns the endpoint's state, in which leaving takes precedence.
func (e *endpointState) state() State {
	if e.leaving {
		return StateLeaving
	}
	return e.health.state
}

// updateAvailability updates an endpoint's membership in the available sets and
// its part of totalLimit.
func (r *Router) updateAvailability(e *endpointState) {
	for tier := range profile.Tier(profile.TierCount) {
		r.available[tier].set(e, r.hasRoom(e, tier))
	}
	r.available[probeSet].set(e, e.needsProbe())
	limit := 0.0
	if r.acceptsWork(e) {
		limit = e.limit.value
	}
	r.totalLimit += limit - e.countedLimit
	e.countedLimit = limit
}

// isBelowTotalLimit reports whether this host's attempts at all endpoints are
// below the sum of the limits. Top-tier attempts are always allowed; where they
// exceed a limit, lower-tier attempts wait until the total is below the sum again.
func (r *Router) isBelowTotalLimit(tier profile.Tier) bool {
	if tier == profile.TierUrgent {
		return true
	}
	return float64(r.totalRunning()) < r.totalLimit
}

// totalRunning returns the number of this host's attempts at all endpoints.
func (r *Router) totalRunning() int {
	running := 0
	for _, count := range r.runningByTier {
		running += count
	}
	return running
}

// hasRoom reports whether the endpoint has room for a tier. Within the guaranteed
// slots of this host there always is, beyond them only while the endpoint is not
// full. The top tier may also use the headroom; for it only top-tier attempts
// count, since the endpoint queues those of lower tiers behind them.
func (r *Router) hasRoom(e *endpointState, tier profile.Tier) bool {
	if !r.acceptsWork(e) {
		return false
	}
	if e.health.state == StateSuspect && e.load.own >= minLimit {
		return false
	}
	slots := e.slots(&r.settings)
	headroom := r.headroom(slots)
	limit := e.limit.slots() + limitOvershoot
	if ramp := e.health.rampShare(r.lastTickAt, r.settings.Health); ramp < 1 {
		limit = max(int(float64(limit)*ramp), minLimit)
	}
	if tier == profile.TierUrgent {
		limit += headroom
		headroom = 0
	}
	own := e.load.own
	if tier == profile.TierUrgent {
		own = e.load.ownAtOrAbove(tier)
	}
	if own >= limit {
		return false
	}
	return own < e.limit.guaranteed() || e.load.estimate() < slots-headroom || tier == profile.TierUrgent
}

func (r *Router) acceptsWork(e *endpointState) bool {
	if !e.inSubset || e.leaving {
		return false
	}
	if r.lastTickAt.Before(e.health.pausedUntil) {
		return false
	}
	return e.health.state == StateHealthy || e.health.state == StateSuspect
}

// ejectionSlowness returns the slowness for which an endpoint may be ejected: that
// of a model's token gaps, or of a plain service's answers.
func (r *Router) ejectionSlowness(e *endpointState) float64 {
	if e.isService() {
		return e.health.firstTokenSlowness(r.medians, r.settings.Health, serviceTolerance)
	}
	return e.health.tokenGapSlowness(r.medians, r.settings.Health)
}

// slowness returns the maximum of ejectionSlowness and of two signals that may
// have other causes: the first-token times, and the decode rate of a sequence in
// the endpoint's lagging report. The latter only counts from EjectSlowness on.
func (r *Router) slowness(e *endpointState) float64 {
	slowness := r.ejectionSlowness(e)
	if !e.isService() {
		slowness = max(slowness, e.health.firstTokenSlowness(r.medians, r.settings.Health, firstTokenTolerance))
	}
	if reported := r.reportedSlowness(e); reported >= r.settings.Health.EjectSlowness {
		slowness = max(slowness, reported)
	}
	return slowness
}

// reportedSlowness returns the ratio of the endpoint's reported token gap to the
// peers' median, and one for an endpoint that is faster or can't be compared.
func (r *Router) reportedSlowness(e *endpointState) float64 {
	if r.medians.reportedTokenGap <= 0 {
		return 1
	}
	return max(e.load.reportedTokenGap()/r.medians.reportedTokenGap, 1)
}

// updateHealth moves the endpoint between the health states according to its
// slowness, failures and overdue reports.
func (r *Router) updateHealth(now time.Time, e *endpointState) {
	h := &e.health
	settings := &r.settings.Health
	slowness := r.slowness(e)
	ejectionSlowness := r.ejectionSlowness(e)
	switch h.state {
	case StateHealthy:
		if slowness >= settings.SuspectSlowness || h.consecutiveFailures > 0 || e.load.overdue {
			h.state = StateSuspect
			r.updateAvailability(e)
		}
	case StateSuspect:
		h.resetIfIdle(now, slownessExpiry)
		slowness = r.slowness(e)
		if slowness < settings.SuspectSlowness*suspectHysteresis && h.consecutiveFailures == 0 && !e.load.overdue {
			h.state = StateHealthy
			r.updateAvailability(e)
		}
	case StateProbing:
		switch {
		case ejectionSlowness >= settings.EjectSlowness:
			r.eject(now, e)
		case h.tokenGap.samples >= probeTokenFactor*settings.MinSamples && ejectionSlowness < settings.SuspectSlowness:
			r.reinstate(now, e)
		}
		return
	case StateEjected, StateLeaving:
		return
	}
	if ejectionSlowness >= settings.EjectSlowness {
		r.eject(now, e)
	}
}

func (r *Router) handleFailure(now time.Time, e *endpointState) {
	h := &e.health
	h.recordFailure(now)
	switch {
	case h.state == StateProbing:
		r.eject(now, e)
	case h.state == StateEjected:
	case h.consecutiveFailures >= r.settings.Health.FailuresToEject:
		r.eject(now, e)
	case h.errorAverage.samples >= errorSamplesToEject && h.errorRate() >= errorRateToEject:
		r.eject(now, e)
	default:
		r.updateHealth(now, e)
	}
}

// eject ejects an endpoint. If MaxEjectedShare doesn't allow another ejection, the
// endpoint becomes suspect instead.
func (r *Router) eject(now time.Time, e *endpointState) {
	if e.leaving {
		return
	}
	if !e.isEjectedOrProbing() {
		if float64(r.ejectedCount+1) > r.settings.Health.MaxEjectedShare*float64(r.subsetCount) {
			e.health.state = StateSuspect
			r.updateAvailability(e)
			return
		}
		r.ejectedCount++
	}
	r.ejections++
	duration := r.settings.Health.FailureEjectionTime
	if e.health.consecutiveFailures == 0 {
		duration = r.settings.Health.SlownessEjectionTime
	}
	e.health.eject(now, duration, r.settings.Health.MaxEjectionTime)
	r.updateAvailability(e)
}

// startProbingIfDue starts to probe an endpoint whose ejection time has passed. An
// endpoint that has not reported since its ejection is assumed to be down and stays
// ejected longer. One that is still slow by its running attempts or by its report
// stays ejected.
func (r *Router) startProbingIfDue(now time.Time, e *endpointState) {
	h := &e.health
	if h.state != StateEjected || e.leaving || now.Before(h.probeAt) {
		return
	}
	if e.load.overdue && now.Sub(h.ejectedAt) < r.settings.Health.MaxEjectionTime {
		return
	}
	reportedSinceEjection := !e.load.hasReport || e.load.report.At.After(h.ejectedAt)
	if !reportedSinceEjection && now.Sub(h.ejectedAt) < unreportedProbeFactor*h.probeAt.Sub(h.ejectedAt) {
		return
	}
	hasCurrentProgress := now.Sub(h.lastProgressAt) < maxProgressAge
	if hasCurrentProgress && r.ejectionSlowness(e) >= r.settings.Health.SuspectSlowness {
		return
	}
	if r.reportedSlowness(e) >= r.settings.Health.SuspectSlowness {
		return
	}
	h.startProbing()
}

// pickProbe returns a probing endpoint that needs its next probe. A top-tier
// attempt is used as the probe only if no lower-tier one has come for
// UrgentProbeDelay.
func (r *Router) pickProbe(now time.Time, request *Request) (Choice, bool) {
	if len(request.Avoid) > 0 {
		return Choice{}, false
	}
	for _, e := range r.available[probeSet].endpoints {
		if request.Tier == profile.TierUrgent && now.Sub(e.health.probeAt) < r.settings.Health.UrgentProbeDelay {
			continue
		}
		choice := r.predict(now, request, e)
		choice.Candidates = 1
		choice.IsProbe = true
		return choice, true
	}
	return Choice{}, false
}

func (r *Router) handleProbeSuccess(now time.Time, e *endpointState) {
	h := &e.health
	h.successfulProbes++
	if h.successfulProbes < r.settings.Health.ProbesToReinstate {
		return
	}
	r.reinstate(now, e)
}

// reinstate makes a probing endpoint healthy with the minimum concurrency limit,
// which then grows.
func (r *Router) reinstate(now time.Time, e *endpointState) {
	if e.isEjectedOrProbing() {
		r.ejectedCount--
	}
	e.health.reinstate(now)
	e.limit.value = minLimit
	r.updateAvailability(e)
}
