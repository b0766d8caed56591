package routing

// average is an exponentially weighted moving average that starts as a plain
// mean.
type average struct {
	value   float64
	samples int
}

// add takes a sample. weight, from 0 to 1, is the weight of a new sample once
// there are 1/weight of them.
func (a *average) add(sample, weight float64) {
	a.samples++
	weight = max(weight, 1/float64(a.samples))
	a.value += (sample - a.value) * weight
}

// or returns the average, or fallback without samples.
func (a *average) or(fallback float64) float64 {
	if a.samples == 0 {
		return fallback
	}
	return a.value
}
