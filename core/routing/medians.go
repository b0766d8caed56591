package routing

import (
	"slices"
	"time"
)

// peerMedians are medians over the router's endpoints. A median is zero when
// fewer than MinPeers endpoints have a value.
type peerMedians struct {
	// tokenGap is the median time between two tokens in seconds.
	tokenGap float64
	// firstTokenRatio is the median ratio of the first-token time to that of an
	// idle endpoint.
	firstTokenRatio float64
	// reportedTokenGap is the median time between two tokens of one sequence in
	// seconds, derived from the endpoints' reports.
	reportedTokenGap float64
}

// updateMedians recomputes the medians over the endpoints that have samples.
func (r *Router) updateMedians() {
	gaps := r.scratch[:0]
	for _, e := range r.endpoints {
		if e.health.tokenGap.samples > 0 {
			gaps = append(gaps, e.health.tokenGap.value)
		}
	}
	r.medians.tokenGap = median(gaps, r.settings.Health.MinPeers)
	ratios := gaps[:0]
	for _, e := range r.endpoints {
		if e.health.firstTokenRatio.samples > 0 {
			ratios = append(ratios, e.health.firstTokenRatio.value)
		}
	}
	r.medians.firstTokenRatio = median(ratios, r.settings.Health.MinPeers)
	reported := ratios[:0]
	for _, e := range r.endpoints {
		if gap := e.load.reportedTokenGap(); gap > 0 {
			reported = append(reported, gap)
		}
	}
	r.medians.reportedTokenGap = median(reported, r.settings.Health.MinPeers)
	r.scratch = reported[:0]
}

// median sorts values and returns the lower median, or zero if there are fewer
// than minCount values.
func median(values []float64, minCount int) float64 {
	if len(values) < max(minCount, 1) {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// updateOverdue marks the endpoints whose reports stopped. It marks none if the
// reports of more than half of them stopped, since the cause is then between this
// host and the endpoints and not at one endpoint.
func (r *Router) updateOverdue(now time.Time) {
	lateCount := 0
	for _, e := range r.endpoints {
		e.load.overdue = e.load.isLate(now)
		if e.load.overdue {
			lateCount++
		}
	}
	if 2*lateCount <= len(r.endpoints) {
		return
	}
	for _, e := range r.endpoints {
		e.load.overdue = false
	}
}
