package routing

import (
	"math"
	"time"
)

const (
	// minLimit is the smallest concurrency limit of a usable endpoint.
	minLimit = 1
	// minDecreaseInterval is the minimum time between two decreases of one limit,
	// so that one period of congestion counts once.
	minDecreaseInterval = 300 * time.Millisecond
	// reportGain is the share of the reported free slots by which one report
	// changes a limit.
	reportGain = 0.15
	// minShareFactor times the host's share is the least limit after a report.
	minShareFactor = 0.5
	// idleReturnWeight is the part of an unused limit's excess over the host's
	// share that each report takes back.
	idleReturnWeight = 0.2
)

// concurrencyLimit is the number of attempts that this host may have running at
// an endpoint. It starts as the host's share of the endpoint's slots; beyond the
// share the host borrows slots that other hosts leave idle.
type concurrencyLimit struct {
	// share is this host's part of the endpoint's slots.
	share float64
	// value is the adjusted limit, borrowed slots included.
	value float64
	// roundingOffset, from 0 to 1, differs between hosts, so that not all of them
	// round their shares in the same direction.
	roundingOffset float64
	lastDecreaseAt time.Time
	// baseRatio and recentRatio are the long-term minimum and the recent mean of
	// the ratio of the first-token time to the expected one, for Gradient.
	baseRatio   float64
	recentRatio average
}

func (c *concurrencyLimit) setShare(share float64, slots int) {
	if c.value == 0 || c.share == 0 {
		c.value = share
	} else {
		c.value *= share / c.share
	}
	c.share = share
	c.clamp(slots)
}

// clamp keeps the limit between minLimit and the endpoint's slots.
func (c *concurrencyLimit) clamp(slots int) {
	c.value = min(max(c.value, minLimit), max(float64(slots), minLimit))
}

// guaranteed returns the number of slots that this host may use whatever the
// other hosts' load.
func (c *concurrencyLimit) guaranteed() int {
	return max(int(min(c.share, c.value)+c.roundingOffset), minLimit)
}

// slots returns the limit in whole slots, borrowed slots included.
func (c *concurrencyLimit) slots() int {
	return max(int(c.value+c.roundingOffset), minLimit)
}

// adaptToAnswer adapts the limit, up or (Gradient only) down, after an answer. ratio
// is the ratio of the first-token time to the expected one, and used the number of
// attempts that this host has running.
func (c *concurrencyLimit) adaptToAnswer(algorithm LimitAlgorithm, ratio float64, used int, slots int) {
	switch algorithm := algorithm.(type) {
	case AIMD:
		if float64(used+1) >= c.value {
			c.value += algorithm.Increase / max(c.value, 1)
		}
	case Gradient:
		c.applyGradient(algorithm, ratio)
	}
	c.clamp(slots)
}

func (c *concurrencyLimit) applyGradient(gradient Gradient, ratio float64) {
	if ratio <= 0 {
		return
	}
	if c.baseRatio == 0 || ratio < c.baseRatio {
		c.baseRatio = ratio
	}
	c.baseRatio *= 1.001
	c.recentRatio.add(ratio, 0.1)
	slope := min(max(2*c.baseRatio/c.recentRatio.value, 0.5), 1)
	target := c.value*slope + math.Sqrt(c.value)
	c.value += (target - c.value) * gradient.Smoothing
}

// decrease multiplies the limit by factor, at most once per minDecreaseInterval.
func (c *concurrencyLimit) decrease(now time.Time, factor float64, slots int) {
	if now.Sub(c.lastDecreaseAt) < minDecreaseInterval {
		return
	}
	c.lastDecreaseAt = now
	c.value *= factor
	c.clamp(slots)
}

// applyReport adjusts the limit by the host's share of the free slots in a fresh
// report. free is negative when the endpoint has more attempts than slots. A host
// that uses less than half of its limit returns borrowed slots instead. The gain
// is low because the other hosts adjust their limits by the same report.
func (c *concurrencyLimit) applyReport(free float64, used int, slots int) {
	switch {
	case free < 0, float64(used+1) >= c.value, c.value < c.share:
		c.value += reportGain * free
	case float64(used) < c.value/2:
		c.value += (c.share - c.value) * idleReturnWeight
	}
	c.value = max(c.value, minShareFactor*c.share)
	c.clamp(slots)
}
