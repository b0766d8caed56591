package dispatch

import "cactuswell/core/endpoint"

// maxLeaving bounds the leaving endpoints that a pool remembers.
const maxLeaving = 4096

// leavingKeys remembers which endpoints are leaving, for ever as far as the
// bound goes: news of an endpoint's leaving may come before the endpoint does,
// and an older source may bring the endpoint back afterwards. Of too many the
// oldest is forgotten.
type leavingKeys struct {
	known map[endpoint.Key]struct{}
	order []endpoint.Key
	next  int
}

func newLeavingKeys() leavingKeys {
	return leavingKeys{
		known: make(map[endpoint.Key]struct{}),
	}
}

func (l *leavingKeys) has(key endpoint.Key) bool {
	_, ok := l.known[key]
	return ok
}

// add reports whether key is new.
func (l *leavingKeys) add(key endpoint.Key) bool {
	if l.has(key) {
		return false
	}
	l.known[key] = struct{}{}
	if len(l.order) < maxLeaving {
		l.order = append(l.order, key)
		return true
	}
	delete(l.known, l.order[l.next])
	l.order[l.next] = key
	l.next = (l.next + 1) % maxLeaving
	return true
}
