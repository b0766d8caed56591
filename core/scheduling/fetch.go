package scheduling

import "time"

const (
	// fetchSetupTime is the time before a fetch delivers its first byte: a round
	// trip between engines.
	fetchSetupTime = 5 * time.Millisecond
	// minFetchTokens is the size from which a fetch pays off: an engine prefills
	// about that many tokens in fetchSetupTime.
	minFetchTokens = 256
)

// findFetchSource finds the endpoint from whose cache the most of a call's prompt
// can be fetched; among equals, the one to which that prefix was sent last. It serves
// loads with many calls on one shared prefix: an engine other than the one that has
// the prefix cached fetches it in a tenth of the time that a prefill of it would take.
func (s *Scheduler) findFetchSource(c *call) {
	c.fetchSource, c.fetchSourceTokens = nil, 0
	if c.pool.engine.FetchTimePerThousandTokens == 0 || len(c.prefixHashes) < 2 {
		return
	}
	var usedAt time.Time
	for _, e := range c.pool.endpoints {
		if e.leaving || e.health.ejectionTime > 0 || e.isQuiet(s.now) {
			continue
		}
		tokens := 0
		for i := range len(c.prefixHashes) - 1 {
			tokens += c.spec.Prompt[i].Tokens
			item, ok := e.cache.lookup(c.prefixHashes[i])
			if !ok || s.now.Before(item.prefilledAt) {
				continue
			}
			if tokens > c.fetchSourceTokens || tokens == c.fetchSourceTokens && item.usedAt.After(usedAt) {
				c.fetchSource, c.fetchSourceTokens, usedAt = e, tokens, item.usedAt
			}
		}
	}
}

// fetchTime returns the time that an endpoint needs to fetch the tokens that the
// call's fetch source has cached and the endpoint has not. It reports false if
// there is nothing to fetch.
func (s *Scheduler) fetchTime(c *call, e *endpoint, cached int) (time.Duration, bool) {
	if c.fetchSource == nil || c.fetchSource == e || c.fetchSourceTokens-cached < minFetchTokens {
		return 0, false
	}
	return fetchSetupTime + time.Duration(c.fetchSourceTokens-cached)*c.pool.engine.FetchTimePerThousandTokens/1000, true
}
