package claim

// maxCachedBodies is the maximum number of cached answer bodies.
const maxCachedBodies = 65536

// bodyCache limits the number and size of the answer bodies stored in outcomes
// and evicts the oldest first. K identifies the key that an outcome belongs to.
type bodyCache[K any] struct {
	queue      fifo[K]
	totalBytes int
	maxBytes   int
}

// add adds the body of key and then calls evict for the oldest bodies until
// the limits are met. evict must remove the body of its key if there is one.
func (b *bodyCache[K]) add(key K, bytes int, evict func(K)) {
	if bytes == 0 {
		return
	}
	b.queue.push(key)
	b.totalBytes += bytes
	for b.totalBytes > b.maxBytes || b.queue.len() > maxCachedBodies {
		oldest, ok := b.queue.pop()
		if !ok {
			return
		}
		evict(oldest)
	}
}

// remove removes the body from an outcome, which may be nil or have no body.
func (b *bodyCache[K]) remove(outcome *Outcome) {
	if outcome == nil || len(outcome.Body) == 0 {
		return
	}
	b.totalBytes -= len(outcome.Body)
	outcome.Body = nil
	outcome.BodyOmitted = true
}
