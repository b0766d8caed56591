package dispatch

import "time"

const (
	// maxHistories bounds the classes with a history of their own.
	maxHistories = 256
	// newSampleWeight is the weight of the newest sample in a moving average.
	newSampleWeight = 0.1
	// highDeviations is the number of mean deviations added to the mean to get a
	// duration that few samples exceed.
	highDeviations = 2
	// defaultSlotTime is the expected slot time of an answer of a class without
	// history.
	defaultSlotTime = 100 * time.Millisecond
)

// history holds statistics of one class's answers.
type history struct {
	lengths lengthHistogram
	// targetDelay is the time from an attempt's start to the event that the
	// latency target measures. slotTime is the time for which a complete answer
	// holds its slot.
	targetDelay movingAverage
	slotTime    movingAverage
}

// movingAverage is an exponential moving average with its mean deviation, as used
// for the round-trip times of TCP (Jacobson, SIGCOMM 1988).
type movingAverage struct {
	mean      time.Duration
	deviation time.Duration
}

func (e *movingAverage) add(sample time.Duration) {
	if e.mean == 0 {
		e.mean = sample
		e.deviation = sample / 2
		return
	}
	difference := sample - e.mean
	e.mean += time.Duration(newSampleWeight * float64(difference))
	e.deviation += time.Duration(newSampleWeight * float64(max(difference, -difference)-e.deviation))
}

// upperEstimate returns a duration that few samples exceed.
func (e *movingAverage) upperEstimate() time.Duration {
	return e.mean + highDeviations*e.deviation
}

// histories holds the histories of a pool's classes. Classes beyond maxHistories
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
	existing := h.classes[class]
	if existing != nil {
		return existing
	}
	if len(h.classes) >= maxHistories {
		return &h.others
	}
	existing = &history{}
	h.classes[class] = existing
	return existing
}

// expectedSlotTime returns the expected slot time of an answer of at most bound
// tokens. A bound of zero means no limit.
func (h *history) expectedSlotTime(bound int) time.Duration {
	if h.slotTime.mean == 0 {
		return defaultSlotTime
	}
	median := h.lengths.quantile(0.5)
	if bound == 0 || bound >= median {
		return h.slotTime.mean
	}
	return h.slotTime.mean * time.Duration(bound) / time.Duration(median)
}

// expectedTokens returns the expected length of an answer: the given quantile of
// the class's answers, limited by bound if that is not zero.
func (h *history) expectedTokens(quantile float64, bound int) int {
	tokens := h.lengths.quantile(quantile)
	if bound > 0 {
		tokens = min(tokens, bound)
	}
	return tokens
}
