package dispatch

import "cactuswell/core/endpoint"

// maxExcluded bounds each of the two sets of excludedEndpoints: the leaving endpoints
// and the drained ones.
const maxExcluded = 4096

// leavingEndpoints is the set of endpoints known to be leaving. Entries are kept
// after an endpoint is removed, because its leaving may be reported before the
// endpoint itself is, and an outdated source may add the endpoint again. Beyond
// maxExcluded entries the oldest is dropped.
type leavingEndpoints struct {
	keys  map[endpoint.Key]struct{}
	order []endpoint.Key
	next  int
}

func newLeavingEndpoints() leavingEndpoints {
	return leavingEndpoints{
		keys: make(map[endpoint.Key]struct{}),
	}
}

func (l *leavingEndpoints) has(key endpoint.Key) bool {
	_, ok := l.keys[key]
	return ok
}

// add adds key and reports whether it is new.
func (l *leavingEndpoints) add(key endpoint.Key) bool {
	if l.has(key) {
		return false
	}
	l.keys[key] = struct{}{}
	if len(l.order) < maxExcluded {
		l.order = append(l.order, key)
		return true
	}
	delete(l.keys, l.order[l.next])
	l.order[l.next] = key
	l.next = (l.next + 1) % maxExcluded
	return true
}
