package dispatch

import "math"

const (
	// lengthBuckets is the number of buckets of a length histogram, with
	// bucketsPerDoubling buckets for each doubling of the length.
	lengthBuckets      = 72
	bucketsPerDoubling = 4
	// maxLengthSamples is the number of samples at which all counts are halved.
	maxLengthSamples = 1024
	// minLengthSamples is the minimum number of samples for a quantile.
	minLengthSamples = 8
	// defaultLength is the assumed answer length, in tokens, of a class without
	// enough samples.
	defaultLength = 256
)

// lengthHistogram is a histogram of the answer lengths of one class, in tokens,
// with logarithmic buckets.
type lengthHistogram struct {
	counts [lengthBuckets]float64
	total  float64
}

func (l *lengthHistogram) add(tokens int) {
	if tokens < 1 {
		return
	}
	if l.total >= maxLengthSamples {
		l.halve()
	}
	bucket := int(bucketsPerDoubling * math.Log2(float64(tokens)))
	l.counts[min(bucket, lengthBuckets-1)]++
	l.total++
}

// quantile returns the length that the given share of answers stays below, to the
// precision of a bucket.
func (l *lengthHistogram) quantile(share float64) int {
	if l.total < minLengthSamples {
		return defaultLength
	}
	wanted := share * l.total
	for bucket, count := range l.counts {
		wanted -= count
		if wanted <= 0 {
			return int(math.Exp2(float64(bucket+1) / bucketsPerDoubling))
		}
	}
	return int(math.Exp2(lengthBuckets / bucketsPerDoubling))
}

func (l *lengthHistogram) halve() {
	for i := range l.counts {
		l.counts[i] /= 2
	}
	l.total /= 2
}
