package membership

import "time"

// tokenBucket bounds a rate over time.
type tokenBucket struct {
	perSecond float64
	burst     float64
	tokens    float64
	refilled  time.Time
}

func newTokenBucket(perSecond, burst float64) *tokenBucket {
	return &tokenBucket{
		perSecond: perSecond,
		burst:     burst,
		tokens:    burst,
	}
}

// level returns the tokens there are at now.
func (b *tokenBucket) level(now time.Time) float64 {
	if !b.refilled.IsZero() {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.refilled).Seconds()*b.perSecond)
	}
	b.refilled = now
	return b.tokens
}

// take removes tokens, down to none.
func (b *tokenBucket) take(now time.Time, tokens float64) {
	b.tokens = max(0, b.level(now)-tokens)
}

// nextWhole returns when there is at least one token.
func (b *tokenBucket) nextWhole(now time.Time) time.Time {
	missing := 1 - b.level(now)
	if missing <= 0 {
		return now
	}
	return now.Add(time.Duration(missing/b.perSecond*float64(time.Second)) + time.Millisecond)
}
