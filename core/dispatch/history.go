package dispatch

import "time"

const (
	// maxHistories bounds the classes whose history is kept.
	maxHistories = 256
	// delayWeight is the weight of the newest sample in a moving average.
	delayWeight = 0.1
	// highDeviations is how many mean deviations lie between the mean and a
	// duration that few samples exceed.
	highDeviations = 2
	// unknownSlotTime is the time for which an answer of a class without history
	// is expected to hold its slot.
	unknownSlotTime = 100 * time.Millisecond
)

// history holds what is known of one class's answers.
type history struct {
	lengths lengths
	// delay is the time from an attempt's start to the moment that the target
	// bounds, slot the time for which a whole answer holds its slot.
	delay estimate
	slot  estimate
}

// estimate is a moving average with its mean deviation, as for the round-trip
// times of TCP (Jacobson, SIGCOMM 1988).
type estimate struct {
	mean      time.Duration
	deviation time.Duration
}

func (e *estimate) add(sample time.Duration) {
	if e.mean == 0 {
		e.mean = sample
		e.deviation = sample / 2
		return
	}
	off := sample - e.mean
	e.mean += time.Duration(delayWeight * float64(off))
	e.deviation += time.Duration(delayWeight * float64(max(off, -off)-e.deviation))
}

// high returns a duration that few samples exceed.
func (e *estimate) high() time.Duration {
	return e.mean + highDeviations*e.deviation
}

// histories holds the histories of a pool's classes. Classes beyond the bound
// share one history.
type histories struct {
	classes map[string]*history
	others  history
}

func newHistories() histories {
	return histories{
		classes: make(map[string]*history),
	}
}

func (h *histories) of(class string) *history {
	known := h.classes[class]
	if known != nil {
		return known
	}
	if len(h.classes) >= maxHistories {
		return &h.others
	}
	known = &history{}
	h.classes[class] = known
	return known
}

// slotTime returns the expected time for which an answer of at most bound tokens
// holds its slot. A bound of zero stands for none.
func (h *history) slotTime(bound int) time.Duration {
	if h.slot.mean == 0 {
		return unknownSlotTime
	}
	usual := h.lengths.quantile(0.5)
	if bound == 0 || bound >= usual {
		return h.slot.mean
	}
	return h.slot.mean * time.Duration(bound) / time.Duration(usual)
}

// expectedTokens returns the expected length of an answer.
func (h *history) expectedTokens(quantile float64, bound int) int {
	tokens := h.lengths.quantile(quantile)
	if bound > 0 {
		tokens = min(tokens, bound)
	}
	return tokens
}
