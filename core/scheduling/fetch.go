package scheduling

import "time"

const (
	// fetchSetup is the time in which a fetch begins: an answer between engines and
	// the first of its bytes.
	fetchSetup = 5 * time.Millisecond
	// minFetch is the number of tokens from which a fetch is worth its beginning:
	// what is read in that time.
	minFetch = 256
)

// findSource looks for the endpoint from whose memory the most of a call's prompt can
// be fetched, and of those for the one that used it last. It answers the load of
// many calls about one subject: an engine beside its home takes the shared parts from
// there, in a tenth of the time in which it would read them again.
func (s *Scheduler) findSource(c *call) {
	c.source, c.sourceHeld = nil, 0
	if c.pool.engine.FetchTimePerThousandTokens == 0 || len(c.chain) < 2 {
		return
	}
	var usedAt time.Time
	for _, t := range c.pool.targets {
		if t.leaving || t.health.ejectFor > 0 {
			continue
		}
		tokens := 0
		for i := range len(c.chain) - 1 {
			tokens += c.spec.Prompt[i].Tokens
			item, ok := t.cache.item(c.chain[i])
			if !ok || s.now.Before(item.readAt) {
				continue
			}
			if tokens > c.sourceHeld || tokens == c.sourceHeld && item.usedAt.After(usedAt) {
				c.source, c.sourceHeld, usedAt = t, tokens, item.usedAt
			}
		}
	}
}

// fetchTime returns the time in which an endpoint fetches what it lacks and the call's
// source holds. It reports false if there is nothing to fetch.
func (s *Scheduler) fetchTime(c *call, t *target, cached int) (time.Duration, bool) {
	if c.source == nil || c.source == t || c.sourceHeld-cached < minFetch {
		return 0, false
	}
	return fetchSetup + time.Duration(c.sourceHeld-cached)*c.pool.engine.FetchTimePerThousandTokens/1000, true
}
