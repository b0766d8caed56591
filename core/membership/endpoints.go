package membership

import "cactuswell/core/endpoint"

// endpointTable holds the leaving endpoints: for each name the highest
// incarnation, which includes all earlier ones. It evicts the oldest name when
// it is full.
type endpointTable struct {
	limit   int
	leaving map[string]uint64
	order   []string
	buckets [bucketCount]uint64
	// overflowed is set permanently once a name has been evicted. From then on
	// the buckets are not compared, as two correct views may differ.
	overflowed bool
}

func newEndpointTable(limit int) *endpointTable {
	return &endpointTable{
		limit:   limit,
		leaving: make(map[string]uint64),
	}
}

func (t *endpointTable) has(key endpoint.Key) bool {
	incarnation, ok := t.leaving[key.Name]
	return ok && incarnation >= key.Incarnation
}

// add inserts key. It reports whether the key is new and whether another name
// was evicted for it.
func (t *endpointTable) add(key endpoint.Key) (added, evicted bool) {
	if t.has(key) {
		return false, false
	}
	if old, ok := t.leaving[key.Name]; ok {
		t.toggleInDigest(key.Name, old)
	} else {
		evicted = t.evictIfFull()
		t.order = append(t.order, key.Name)
	}
	t.leaving[key.Name] = key.Incarnation
	t.toggleInDigest(key.Name, key.Incarnation)
	return true, evicted
}

func (t *endpointTable) evictIfFull() bool {
	if len(t.order) < t.limit {
		return false
	}
	oldest := t.order[0]
	t.order = append(t.order[:0], t.order[1:]...)
	t.toggleInDigest(oldest, t.leaving[oldest])
	delete(t.leaving, oldest)
	t.overflowed = true
	return true
}

func (t *endpointTable) toggleInDigest(name string, incarnation uint64) {
	t.buckets[bucketOf(name)] ^= nameHash(name, incarnation)
}

// keys returns the keys of one bucket, oldest first.
func (t *endpointTable) keys(bucket uint32) []endpoint.Key {
	var keys []endpoint.Key
	for _, name := range t.order {
		if bucketOf(name) == bucket {
			keys = append(keys, endpoint.Key{
				Name:        name,
				Incarnation: t.leaving[name],
			})
		}
	}
	return keys
}

// recordLeavingEndpoint records that an endpoint is leaving. A key that is new
// is reported and sent to peers.
func (m *Machine) recordLeavingEndpoint(key endpoint.Key) {
	added, evicted := m.endpoints.add(key)
	if evicted {
		m.counters.EndpointsEvicted++
	}
	if !added {
		return
	}
	m.counters.EndpointsLearned++
	m.emit(EndpointLeavingLearned{Key: key})
	m.enqueueEndpoint(key.Name)
}
