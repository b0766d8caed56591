package routing

import (
	"time"
)

const (
	// progressWeight is the weight of a new sample of token gaps.
	progressWeight = 0.15
	// answerWeight is the weight of a new sample of first-token times.
	answerWeight = 0.25
	// errorWeight is the weight of a new sample of the share of errors.
	errorWeight = 0.1
	// firstTokenTolerance is by how much more a model's first-token time may
	// exceed its peers' than a token gap, since it holds the wait in the engine's
	// queue; serviceTolerance is that of a plain service's answer.
	firstTokenTolerance = 4
	serviceTolerance    = 2
	// failurePause is how long an endpoint gets no new work after a failure.
	failurePause = time.Second
	// maxErrorRate keeps the penalty for errors finite.
	maxErrorRate = 0.95
)

// health follows one endpoint's progress and failures.
type health struct {
	state State
	// gap is the time between tokens in seconds.
	gap average
	// interval is the time between events of progress in seconds, each of which
	// may stand for several tokens.
	interval average
	// ratio is the first-token time in relation to the expected one.
	ratio average
	// first is the first-token time, or a plain answer's time, in seconds.
	first average
	// deviation is the mean absolute deviation of first.
	deviation average
	errors    average
	// failures counts the failures since the last good answer.
	failures     int
	ejections    int
	ejectedAt    time.Time
	probeAt      time.Time
	probing      int
	probesPassed int
	recoveredAt  time.Time
	progressAt   time.Time
	// pausedUntil keeps new work away for a moment after a failure.
	pausedUntil time.Time
}

// progressed takes in fresh tokens that came in one event, interval after the
// event before.
func (h *health) progressed(now time.Time, interval time.Duration, fresh int) {
	h.interval.add(interval.Seconds(), progressWeight)
	h.gap.add(interval.Seconds()/float64(max(fresh, 1)), progressWeight)
	h.progressAt = now
}

func (h *health) firstToken(now time.Time, took time.Duration, ratio float64) {
	seconds := took.Seconds()
	h.first.add(seconds, answerWeight)
	deviation := seconds - h.first.value
	if deviation < 0 {
		deviation = -deviation
	}
	h.deviation.add(deviation, answerWeight)
	h.ratio.add(ratio, answerWeight)
	h.progressAt = now
}

func (h *health) succeeded() {
	h.failures = 0
	h.errors.add(0, errorWeight)
}

func (h *health) failed(now time.Time) {
	h.failures++
	h.pausedUntil = now.Add(failurePause)
	h.errors.add(1, errorWeight)
}

// gapSlowness compares the endpoint's token gaps with its peers'. One means like
// the median or faster.
func (h *health) gapSlowness(peers medians, settings HealthSettings) float64 {
	if h.gap.samples < settings.MinSamples || peers.gap <= 0 {
		return 1
	}
	return max(h.gap.value/peers.gap, 1)
}

// answerSlowness compares the first-token times, or a plain service's answers,
// beyond what is tolerated.
func (h *health) answerSlowness(peers medians, settings HealthSettings, tolerance float64) float64 {
	if h.ratio.samples < settings.MinSamples || peers.ratio <= 0 {
		return 1
	}
	return max(h.ratio.value/peers.ratio/tolerance, 1)
}

// errorRate returns the recent share of failures, at most maxErrorRate.
func (h *health) errorRate() float64 {
	return min(h.errors.or(0), maxErrorRate)
}

// ramp returns the part of its window that a recovered endpoint may use.
func (h *health) ramp(now time.Time, settings HealthSettings) float64 {
	if h.recoveredAt.IsZero() || settings.RampUpTime <= 0 {
		return 1
	}
	return min(float64(now.Sub(h.recoveredAt))/float64(settings.RampUpTime), 1)
}

// eject takes the endpoint out for a time that doubles with each ejection, up to
// longest.
func (h *health) eject(now time.Time, length, longest time.Duration) {
	length = min(length<<min(h.ejections, 8), longest)
	h.ejections++
	h.state = StateEjected
	h.ejectedAt = now
	h.probeAt = now.Add(length)
	h.probesPassed = 0
}

// probe starts the trial of an ejected endpoint with no memory of its past.
func (h *health) probe() {
	h.state = StateProbing
	h.gap = average{}
	h.interval = average{}
	h.ratio = average{}
	h.errors = average{}
	h.failures = 0
	h.probesPassed = 0
}

func (h *health) recover(now time.Time) {
	h.state = StateHealthy
	h.recoveredAt = now
}

// forgetAfter drops the averages of an endpoint that made no progress for a
// time.
func (h *health) forgetAfter(now time.Time, quiet time.Duration) {
	if now.Sub(h.progressAt) < quiet {
		return
	}
	h.gap = average{}
	h.interval = average{}
	h.ratio = average{}
	h.failures = 0
}
