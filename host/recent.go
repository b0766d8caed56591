package host

import (
	"sync"

	"cactuswell/core/dispatch"
	"cactuswell/core/profile"
)

// maxRecentRequests bounds the number of requests that can be explained.
const maxRecentRequests = 8192

// recentRequest identifies the pool and request id under which the decisions on
// a request are recorded.
type recentRequest struct {
	pool    string
	kind    profile.Kind
	id      dispatch.RequestID
	profile string
	team    string
}

// recentRequests holds the latest requests by their external request id. It is
// safe for concurrent use.
type recentRequests struct {
	mu     sync.Mutex
	byID   map[string]recentRequest
	order  []string
	oldest int
}

func newRecentRequests() *recentRequests {
	return &recentRequests{
		byID:  make(map[string]recentRequest, maxRecentRequests),
		order: make([]string, 0, maxRecentRequests),
	}
}

func (r *recentRequests) record(id string, request recentRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.byID[id]; known {
		r.byID[id] = request
		return
	}
	if len(r.order) < maxRecentRequests {
		r.order = append(r.order, id)
	} else {
		delete(r.byID, r.order[r.oldest])
		r.order[r.oldest] = id
		r.oldest = (r.oldest + 1) % maxRecentRequests
	}
	r.byID[id] = request
}

func (r *recentRequests) find(id string) (recentRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request, ok := r.byID[id]
	return request, ok
}
