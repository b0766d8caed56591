package routing

import (
	"slices"
	"time"
)

// medians are taken over the endpoints that this host uses.
type medians struct {
	// gap is the median time between tokens in seconds, or zero when too few
	// endpoints have one.
	gap float64
	// ratio is the median first-token time in relation to the expected one, or
	// zero.
	ratio float64
	// reportedGap is the median time between the tokens of one sequence by the
	// endpoints' reports, in seconds, or zero.
	reportedGap float64
}

// updateMedians compares the endpoints that have samples.
func (r *Router) updateMedians() {
	gaps := r.scratch[:0]
	for _, t := range r.targets {
		if t.health.gap.samples > 0 {
			gaps = append(gaps, t.health.gap.value)
		}
	}
	r.peers.gap = median(gaps, r.settings.Health.MinPeers)
	ratios := gaps[:0]
	for _, t := range r.targets {
		if t.health.ratio.samples > 0 {
			ratios = append(ratios, t.health.ratio.value)
		}
	}
	r.peers.ratio = median(ratios, r.settings.Health.MinPeers)
	reported := ratios[:0]
	for _, t := range r.targets {
		if gap := t.load.reportedGap(); gap > 0 {
			reported = append(reported, gap)
		}
	}
	r.peers.reportedGap = median(reported, r.settings.Health.MinPeers)
	r.scratch = reported[:0]
}

// median sorts values and returns the lower median, or zero for fewer than
// least values.
func median(values []float64, least int) float64 {
	if len(values) < max(least, 1) {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// updateOverdue marks the endpoints whose reports stopped. When those of most
// stopped, the fault lies on the way and says nothing of any endpoint.
func (r *Router) updateOverdue(now time.Time) {
	late := 0
	for _, t := range r.targets {
		t.load.overdue = t.load.late(now)
		if t.load.overdue {
			late++
		}
	}
	if 2*late <= len(r.targets) {
		return
	}
	for _, t := range r.targets {
		t.load.overdue = false
	}
}
