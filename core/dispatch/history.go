package dispatch

import "time"

const (
	// maxHistories bounds the classes whose history is kept.
	maxHistories = 256
	// delayWeight is the weight of the newest sample in a moving average.
	delayWeight = 0.1
)

// history holds what is known of one class's answers.
type history struct {
	lengths lengths
	// delay is the moving average of the time from an attempt's start to the
	// moment that the target bounds.
	delay time.Duration
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

func (h *history) observeDelay(delay time.Duration) {
	if h.delay == 0 {
		h.delay = delay
		return
	}
	h.delay += time.Duration(delayWeight * float64(delay-h.delay))
}

// expectedTokens returns the expected length of an answer.
func (h *history) expectedTokens(quantile float64, bound int) int {
	tokens := h.lengths.quantile(quantile)
	if bound > 0 {
		tokens = min(tokens, bound)
	}
	return tokens
}
