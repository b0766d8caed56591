package membership

import "time"

// tokenBucket is a rate limiter.
type tokenBucket struct {
	perSecond  float64
	burst      float64
	tokens     float64
	refilledAt time.Time
}

func newTokenBucket(perSecond, burst float64) *tokenBucket {
	return &tokenBucket{
		perSecond: perSecond,
		burst:     burst,
		tokens:    burst,
	}
}

// available returns the tokens that are available at now.
func (b *tokenBucket) available(now time.Time) float64 {
	if !b.refilledAt.IsZero() {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.refilledAt).Seconds()*b.perSecond)
	}
	b.refilledAt = now
	return b.tokens
}

// take removes tokens, down to zero.
func (b *tokenBucket) take(now time.Time, tokens float64) {
	b.tokens = max(0, b.available(now)-tokens)
}

// nextTokenAt returns the time from which at least one token is available.
func (b *tokenBucket) nextTokenAt(now time.Time) time.Time {
	missing := 1 - b.available(now)
	if missing <= 0 {
		return now
	}
	return now.Add(time.Duration(missing/b.perSecond*float64(time.Second)) + time.Millisecond)
}
