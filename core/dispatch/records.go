package dispatch

import (
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/heap"
)

// newRequest returns an empty record for a request, reused if possible.
func (p *Pool) newRequest(spec Request) *request {
	var r *request
	if last := len(p.freeRequests) - 1; last >= 0 {
		r = p.freeRequests[last]
		p.freeRequests = p.freeRequests[:last]
	} else {
		r = &request{}
	}
	r.reset(spec)
	p.requests[spec.ID] = r
	return r
}

// forget drops a request that has its final command.
func (p *Pool) forget(r *request) {
	p.queue.Remove(&r.entry)
	if r.timerIndex != heap.NoIndex {
		p.timers.Remove(r.timerIndex)
	}
	if r.phase == phaseBackoff {
		p.backingOff--
	}
	if r.reserved {
		p.budget.Release()
	}
	delete(p.requests, r.spec.ID)
	r.reset(Request{})
	if len(p.freeRequests) < maxFree {
		p.freeRequests = append(p.freeRequests, r)
	}
}

func (p *Pool) newAttempt() *attempt {
	if last := len(p.freeAttempts) - 1; last >= 0 {
		a := p.freeAttempts[last]
		p.freeAttempts = p.freeAttempts[:last]
		return a
	}
	return &attempt{}
}

// record keeps a decision on a request.
func (p *Pool) record(r *request, decision Decision) {
	decision.Request = r.spec.ID
	decision.At = p.now
	p.journal.add(decision)
}

func (p *Pool) markLeaving(key endpoint.Key) {
	if p.closed.leaving.add(key) {
		p.router.MarkLeaving(p.now, key)
	}
}

// sinceArrival is how long a request has been here.
func (p *Pool) sinceArrival(r *request) time.Duration {
	return p.now.Sub(r.arrived)
}
