package speed

import (
	"math"
	"time"
)

const (
	// pacedFor is for how long a reported pace is used: it changes many times a second.
	pacedFor = 200 * time.Millisecond
	// paceMemory is the weight of the newest observation in the averages behind the trust in a
	// pace, and minPaceObservations the number of observations without which there is none.
	paceMemory          = 0.05
	minPaceObservations = 12
	// minTrust is the trust below which a pace is not used.
	minTrust = 0.3
	// maxDeviation bounds a measured deviation, as a logarithm, for outliers.
	maxDeviation = 1
	// maxPaceSwing bounds the correction by a pace, as a logarithm.
	maxPaceSwing = 0.7
)

// pace is what an endpoint claims about its speed at the moment, and how far measurements follow
// that. Only the difference from the average claim is used, so that an endpoint gains nothing by a
// claim that is always too low, and only with the slope of the regression of measured times on
// claims, which is zero for claims that have nothing to do with the times.
type pace struct {
	claim      float64
	reportedAt time.Time
	// isFresh is set until the claim has been compared with a measured time.
	isFresh bool
	count   int
	// meanClaim and meanRatio are averages of claims and of measured deviations, variance and
	// covariance those of the claims and of both.
	meanClaim, meanRatio float64
	variance, covariance float64
}

// report records a claim, as a logarithm.
func (p *pace) report(now time.Time, claim float64) {
	p.claim = claim
	p.reportedAt = now
	p.isFresh = true
}

// observe compares the last claim with the measured deviation of the same response.
func (p *pace) observe(deviation float64) {
	if !p.isFresh {
		return
	}
	p.isFresh = false
	p.count++
	deviation = near(0, deviation, maxDeviation)
	weight := max(1/float64(p.count), paceMemory)
	claimed, measured := p.claim-p.meanClaim, deviation-p.meanRatio
	p.meanClaim += weight * claimed
	p.meanRatio += weight * measured
	p.variance += weight * (claimed*claimed - p.variance)
	p.covariance += weight * (claimed*measured - p.covariance)
}

// trust returns the share of a claimed difference that measurements have confirmed.
func (p *pace) trust() float64 {
	if p.count < minPaceObservations || p.variance <= 0 {
		return 0
	}
	trust := min(p.covariance/p.variance, 1)
	if trust < minTrust {
		return 0
	}
	return trust
}

// correction returns the logarithm of the factor by which the pace corrects an estimate.
func (p *pace) correction(now time.Time) float64 {
	age := now.Sub(p.reportedAt)
	if p.reportedAt.IsZero() || age >= pacedFor {
		return 0
	}
	swing := p.trust() * (p.claim - p.meanClaim) * (1 - age.Seconds()/pacedFor.Seconds())
	return math.Copysign(min(math.Abs(swing), maxPaceSwing), swing)
}
