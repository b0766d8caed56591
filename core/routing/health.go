package routing

import (
	"time"
)

const (
	// tokenGapWeight is the weight of a new sample of token and event gaps.
	tokenGapWeight = 0.15
	// firstTokenWeight is the weight of a new sample of first-token times.
	firstTokenWeight = 0.25
	// errorWeight is the weight of a new sample of the error rate.
	errorWeight = 0.1
	// firstTokenTolerance divides the slowness of a model's first-token times, since
	// these include the wait in the engine's queue; serviceTolerance divides that of
	// a plain service's answer times.
	firstTokenTolerance = 4
	serviceTolerance    = 2
	// failureBackoff is how long an endpoint gets no new attempts after a failure.
	failureBackoff = time.Second
	// maxErrorRate bounds errorRate so that the score, which divides by
	// 1 - errorRate, stays finite.
	maxErrorRate = 0.95
)

// health tracks one endpoint's progress and failures.
type health struct {
	state State
	// tokenGap is the mean time between two tokens in seconds.
	tokenGap average
	// eventGap is the mean time between two progress events in seconds. An event
	// may report several tokens.
	eventGap average
	// firstTokenRatio is the mean ratio of the first-token time to that of an idle
	// endpoint.
	firstTokenRatio average
	// firstTokenTime is the mean first-token time, or a plain service's mean
	// answer time, in seconds.
	firstTokenTime average
	// firstTokenDeviation is the mean absolute deviation of firstTokenTime.
	firstTokenDeviation average
	errorAverage        average
	// consecutiveFailures counts the failures since the last complete answer.
	consecutiveFailures int
	ejections           int
	ejectedAt           time.Time
	probeAt             time.Time
	runningProbes       int
	successfulProbes    int
	reinstatedAt        time.Time
	lastProgressAt      time.Time
	// pausedUntil is the end of the backoff after the last failure.
	pausedUntil time.Time
}

// recordProgress records an event with newTokens tokens, interval after the
// previous event.
func (h *health) recordProgress(now time.Time, interval time.Duration, newTokens int) {
	h.eventGap.add(interval.Seconds(), tokenGapWeight)
	h.tokenGap.add(interval.Seconds()/float64(max(newTokens, 1)), tokenGapWeight)
	h.lastProgressAt = now
}

func (h *health) recordFirstToken(now time.Time, duration time.Duration, ratio float64) {
	seconds := duration.Seconds()
	h.firstTokenTime.add(seconds, firstTokenWeight)
	deviation := seconds - h.firstTokenTime.value
	if deviation < 0 {
		deviation = -deviation
	}
	h.firstTokenDeviation.add(deviation, firstTokenWeight)
	h.firstTokenRatio.add(ratio, firstTokenWeight)
	h.lastProgressAt = now
}

func (h *health) recordSuccess() {
	h.consecutiveFailures = 0
	h.errorAverage.add(0, errorWeight)
}

func (h *health) recordFailure(now time.Time) {
	h.consecutiveFailures++
	h.pausedUntil = now.Add(failureBackoff)
	h.errorAverage.add(1, errorWeight)
}

// tokenGapSlowness returns the ratio of the endpoint's token gap to its peers'
// median, and one for an endpoint that is faster or can't be compared.
func (h *health) tokenGapSlowness(peers peerMedians, settings HealthSettings) float64 {
	if h.tokenGap.samples < settings.MinSamples || peers.tokenGap <= 0 {
		return 1
	}
	return max(h.tokenGap.value/peers.tokenGap, 1)
}

// firstTokenSlowness returns the ratio of the endpoint's first-token times, or of
// a plain service's answer times, to its peers' median, divided by tolerance, and
// one for an endpoint within the tolerance or that can't be compared.
func (h *health) firstTokenSlowness(peers peerMedians, settings HealthSettings, tolerance float64) float64 {
	if h.firstTokenRatio.samples < settings.MinSamples || peers.firstTokenRatio <= 0 {
		return 1
	}
	return max(h.firstTokenRatio.value/peers.firstTokenRatio/tolerance, 1)
}

// errorRate returns the recent share of attempts that failed, at most
// maxErrorRate.
func (h *health) errorRate() float64 {
	return min(h.errorAverage.valueOr(0), maxErrorRate)
}

// rampShare returns the share of its concurrency limit, from 0 to 1, that a
// reinstated endpoint may use.
func (h *health) rampShare(now time.Time, settings HealthSettings) float64 {
	if h.reinstatedAt.IsZero() || settings.RampUpTime <= 0 {
		return 1
	}
	return min(float64(now.Sub(h.reinstatedAt))/float64(settings.RampUpTime), 1)
}

// eject ejects the endpoint for duration, doubled for each earlier ejection, up to
// maxDuration.
func (h *health) eject(now time.Time, duration, maxDuration time.Duration) {
	duration = min(duration<<min(h.ejections, 8), maxDuration)
	h.ejections++
	h.state = StateEjected
	h.ejectedAt = now
	h.probeAt = now.Add(duration)
	h.successfulProbes = 0
}

// startProbing moves an ejected endpoint to StateProbing and resets its averages.
func (h *health) startProbing() {
	h.state = StateProbing
	h.tokenGap = average{}
	h.eventGap = average{}
	h.firstTokenRatio = average{}
	h.errorAverage = average{}
	h.consecutiveFailures = 0
	h.successfulProbes = 0
}

func (h *health) reinstate(now time.Time) {
	h.state = StateHealthy
	h.reinstatedAt = now
}

// resetIfIdle resets the averages of an endpoint that has made no progress for
// the given time.
func (h *health) resetIfIdle(now time.Time, idleTime time.Duration) {
	if now.Sub(h.lastProgressAt) < idleTime {
		return
	}
	h.tokenGap = average{}
	h.eventGap = average{}
	h.firstTokenRatio = average{}
	h.consecutiveFailures = 0
}
