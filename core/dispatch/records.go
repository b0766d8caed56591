package dispatch

import (
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/heap"
)

// newRequest returns a new record for a request, reusing a free one if possible.
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

// removeRequest removes a request after its final command.
func (p *Pool) removeRequest(r *request) {
	p.queue.Remove(&r.entry)
	if r.timerIndex != heap.NoIndex {
		p.timers.Remove(r.timerIndex)
	}
	if r.phase == phaseBackoff {
		p.backingOff--
	}
	if r.budgetReserved {
		p.budget.Release()
	}
	delete(p.requests, r.spec.ID)
	r.reset(Request{})
	if len(p.freeRequests) < maxFreeRecords {
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

// recordDecision adds a decision on a request to the log.
func (p *Pool) recordDecision(r *request, decision Decision) {
	decision.Request = r.spec.ID
	decision.At = p.now
	p.decisionLog.add(decision)
}

func (p *Pool) markLeaving(key endpoint.Key) {
	if p.excluded.leaving.add(key) {
		p.router.MarkLeaving(p.now, key)
	}
}

// sinceArrival returns the time since a request's arrival.
func (p *Pool) sinceArrival(r *request) time.Duration {
	return p.now.Sub(r.arrived)
}
