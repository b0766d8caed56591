package claim

// maxBodiesKept bounds the number of answer bodies that are kept.
const maxBodiesKept = 65536

// bodies bounds the answer bodies that outcomes keep, the oldest being dropped
// first. K names what the outcome belongs to.
type bodies[K any] struct {
	order    fifo[K]
	bytes    int
	maxBytes int
}

// keep counts the body of key in, and then calls evict for the oldest bodies
// until all are within the bounds. Evict drops the body if there still is one.
func (b *bodies[K]) keep(key K, bytes int, evict func(K)) {
	if bytes == 0 {
		return
	}
	b.order.push(key)
	b.bytes += bytes
	for b.bytes > b.maxBytes || b.order.len() > maxBodiesKept {
		oldest, ok := b.order.pop()
		if !ok {
			return
		}
		evict(oldest)
	}
}

// drop takes the body out of an outcome, which may be nil or have none.
func (b *bodies[K]) drop(outcome *Outcome) {
	if outcome == nil || len(outcome.Body) == 0 {
		return
	}
	b.bytes -= len(outcome.Body)
	outcome.Body = nil
	outcome.BodyOmitted = true
}
