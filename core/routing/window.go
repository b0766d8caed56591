package routing

import (
	"math"
	"time"
)

const (
	// minWindow is the least number of slots a usable endpoint has.
	minWindow = 1
	// decreaseEvery is the least time between two decreases of one window, so
	// that one congested moment counts once.
	decreaseEvery = 300 * time.Millisecond
	// correctionGain is the part of the free slots that one report moves a window.
	correctionGain = 0.15
	// leastShare is the part of its share that no report takes from a window.
	leastShare = 0.5
	// idleDecay is the weight by which an unused lent part goes back on each
	// report.
	idleDecay = 0.2
)

// window is the number of attempts that this host may have running at an
// endpoint.
type window struct {
	// share is this host's part of the endpoint's slots.
	share float64
	// limit is the adapted window, lent slots included.
	limit float64
	// offset, from 0 to 1, spreads the rounding of shares over the hosts.
	offset      float64
	decreasedAt time.Time
	// base and recent are the long-term least and the present first-token time
	// in relation to the expected one, for the gradient.
	base   float64
	recent average
}

func (w *window) setShare(share float64, slots int) {
	if w.limit == 0 || w.share == 0 {
		w.limit = share
	} else {
		w.limit *= share / w.share
	}
	w.share = share
	w.clamp(slots)
}

func (w *window) clamp(slots int) {
	w.limit = min(max(w.limit, minWindow), max(float64(slots), minWindow))
}

// guaranteed returns the slots that are this host's own, whatever others do.
func (w *window) guaranteed() int {
	return max(int(min(w.share, w.limit)+w.offset), minWindow)
}

// slots returns the window with its lent part.
func (w *window) slots() int {
	return max(int(w.limit+w.offset), minWindow)
}

// answered takes a good answer's first-token time in relation to the expected
// one.
func (w *window) answered(adaptation LimitAlgorithm, ratio float64, used int, slots int) {
	switch adaptation := adaptation.(type) {
	case AIMD:
		if float64(used+1) >= w.limit {
			w.limit += adaptation.Increase / max(w.limit, 1)
		}
	case Gradient:
		w.follow(adaptation, ratio)
	}
	w.clamp(slots)
}

func (w *window) follow(gradient Gradient, ratio float64) {
	if ratio <= 0 {
		return
	}
	if w.base == 0 || ratio < w.base {
		w.base = ratio
	}
	w.base *= 1.001
	w.recent.add(ratio, 0.1)
	slope := min(max(2*w.base/w.recent.value, 0.5), 1)
	target := w.limit*slope + math.Sqrt(w.limit)
	w.limit += (target - w.limit) * gradient.Smoothing
}

// congested makes the window smaller.
func (w *window) congested(now time.Time, factor float64, slots int) {
	if now.Sub(w.decreasedAt) < decreaseEvery {
		return
	}
	w.decreasedAt = now
	w.limit *= factor
	w.clamp(slots)
}

// correct moves the window towards its part of the free slots of a fresh report,
// which is negative when the endpoint is over-full. A host that doesn't use its
// window gives the lent part back instead. The gain is low because the other
// hosts do the same on the same report.
func (w *window) correct(free float64, used int, slots int) {
	switch {
	case free < 0, float64(used+1) >= w.limit, w.limit < w.share:
		w.limit += correctionGain * free
	case float64(used) < w.limit/2:
		w.limit += (w.share - w.limit) * idleDecay
	}
	w.limit = max(w.limit, leastShare*w.share)
	w.clamp(slots)
}
