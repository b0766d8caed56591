package host

import (
	"sync"

	"cactuswell/core/dispatch"
	"cactuswell/core/profile"
)

// maxRecent bounds the requests that can still be explained.
const maxRecent = 8192

// recentRequest says where the decisions on a request are recorded.
type recentRequest struct {
	pool    string
	kind    profile.Kind
	id      dispatch.RequestID
	profile string
	team    string
}

// recentRequests remembers the latest requests by the id that the caller knows.
// It is safe for concurrent use.
type recentRequests struct {
	mu     sync.Mutex
	byID   map[string]recentRequest
	order  []string
	oldest int
}

func newRecentRequests() *recentRequests {
	return &recentRequests{
		byID:  make(map[string]recentRequest, maxRecent),
		order: make([]string, 0, maxRecent),
	}
}

func (r *recentRequests) remember(id string, request recentRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.byID[id]; known {
		r.byID[id] = request
		return
	}
	if len(r.order) < maxRecent {
		r.order = append(r.order, id)
	} else {
		delete(r.byID, r.order[r.oldest])
		r.order[r.oldest] = id
		r.oldest = (r.oldest + 1) % maxRecent
	}
	r.byID[id] = request
}

func (r *recentRequests) find(id string) (recentRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request, ok := r.byID[id]
	return request, ok
}
