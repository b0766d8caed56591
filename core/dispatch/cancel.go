package dispatch

import "cactuswell/core/routing"

// cancelAttempt ends an attempt at its endpoint.
func (p *Pool) cancelAttempt(a *attempt, reason CancelReason, outcome routing.Outcome) {
	r := a.request
	p.commands = append(p.commands, CancelAttempt{
		Attempt:  a.id,
		Endpoint: a.work.Key,
		Reason:   reason,
	})
	p.record(r, Decision{
		Kind:     DecisionCanceled,
		Attempt:  a.id.Number,
		Endpoint: a.work.Key,
		Reason:   string(reason),
		Tokens:   a.tokens,
	})
	r.mayHaveRun = true
	p.end(a, outcome)
}

func (p *Pool) cancelAll(r *request, reason CancelReason) {
	for r.running > 0 {
		p.cancelAttempt(r.live[r.running-1], reason, routing.OutcomeCanceled)
	}
}

// cancelOthers cancels the attempts that lost against a.
func (p *Pool) cancelOthers(r *request, a *attempt) {
	for i := r.running - 1; i >= 0; i-- {
		if other := r.live[i]; other != a {
			p.cancelAttempt(other, CancelHedgeLost, routing.OutcomeCanceled)
		}
	}
}
