package dispatch

import "math"

const (
	// lengthBuckets is the number of buckets of a length histogram, four for
	// each doubling of the length.
	lengthBuckets    = 72
	bucketsPerDouble = 4
	// lengthSamples is the number of samples after which old ones count half.
	lengthSamples = 1024
	// minLengthSamples is the number of samples before a quantile is trusted.
	minLengthSamples = 8
	// unknownLength is the answer's length, in tokens, of a class without
	// history.
	unknownLength = 256
)

// lengths is a bounded histogram of the answer lengths of one class, in tokens.
type lengths struct {
	counts [lengthBuckets]float64
	total  float64
}

func (l *lengths) add(tokens int) {
	if tokens < 1 {
		return
	}
	if l.total >= lengthSamples {
		l.halve()
	}
	bucket := int(bucketsPerDouble * math.Log2(float64(tokens)))
	l.counts[min(bucket, lengthBuckets-1)]++
	l.total++
}

// quantile returns the length under which the given share of answers stays, to
// the precision of a bucket.
func (l *lengths) quantile(share float64) int {
	if l.total < minLengthSamples {
		return unknownLength
	}
	wanted := share * l.total
	for bucket, count := range l.counts {
		wanted -= count
		if wanted <= 0 {
			return int(math.Exp2(float64(bucket+1) / bucketsPerDouble))
		}
	}
	return int(math.Exp2(lengthBuckets / bucketsPerDouble))
}

func (l *lengths) halve() {
	for i := range l.counts {
		l.counts[i] /= 2
	}
	l.total /= 2
}
