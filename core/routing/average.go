package routing

// average is an exponentially weighted moving average. It is the arithmetic mean
// until there are enough samples for the weight.
type average struct {
	value   float64
	samples int
}

// add adds a sample. weight, from 0 to 1, is the weight of a new sample once
// there are 1/weight samples.
func (a *average) add(sample, weight float64) {
	a.samples++
	weight = max(weight, 1/float64(a.samples))
	a.value += (sample - a.value) * weight
}

// valueOr returns the average, or fallback if there are no samples.
func (a *average) valueOr(fallback float64) float64 {
	if a.samples == 0 {
		return fallback
	}
	return a.value
}
