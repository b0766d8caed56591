package membership

import "cactuswell/core/endpoint"

// endpointTable remembers which endpoints are leaving: for each name the highest
// incarnation, which stands for all earlier ones too. It forgets the oldest
// name when it is full.
type endpointTable struct {
	limit   int
	leaving map[string]uint64
	order   []string
	buckets [bucketCount]uint64
	// overflowed is set for good once a name was forgotten; the buckets are not
	// compared from then on, as two views may rightly differ.
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

// add remembers key. It reports whether the key is new, and whether another
// name was forgotten for it.
func (t *endpointTable) add(key endpoint.Key) (added, forgot bool) {
	if t.has(key) {
		return false, false
	}
	if old, ok := t.leaving[key.Name]; ok {
		t.toggle(key.Name, old)
	} else {
		forgot = t.makeRoom()
		t.order = append(t.order, key.Name)
	}
	t.leaving[key.Name] = key.Incarnation
	t.toggle(key.Name, key.Incarnation)
	return true, forgot
}

func (t *endpointTable) makeRoom() bool {
	if len(t.order) < t.limit {
		return false
	}
	oldest := t.order[0]
	t.order = append(t.order[:0], t.order[1:]...)
	t.toggle(oldest, t.leaving[oldest])
	delete(t.leaving, oldest)
	t.overflowed = true
	return true
}

func (t *endpointTable) toggle(name string, incarnation uint64) {
	t.buckets[bucketOf(name)] ^= lifeHash(name, incarnation)
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

// learnEndpoint takes in that an endpoint is leaving, and tells it once.
func (m *Machine) learnEndpoint(key endpoint.Key) {
	added, forgot := m.endpoints.add(key)
	if forgot {
		m.counters.EndpointsEvicted++
	}
	if !added {
		return
	}
	m.counters.EndpointsLearned++
	m.emit(EndpointLeavingLearned{Key: key})
	m.enqueueEndpoint(key.Name)
}
