package dispatch

import "cactuswell/core/routing"

// cancelAttempt cancels an attempt at its endpoint.
func (p *Pool) cancelAttempt(a *attempt, reason CancelReason, outcome routing.Outcome) {
	r := a.request
	p.commands = append(p.commands, CancelAttempt{
		Attempt:  a.id,
		Endpoint: a.work.Key,
		Reason:   reason,
	})
	p.recordDecision(r, Decision{
		Kind:     DecisionCanceled,
		Attempt:  a.id.Number,
		Endpoint: a.work.Key,
		Reason:   string(reason),
		Tokens:   a.tokens,
	})
	p.endAttempt(a, outcome)
}

func (p *Pool) cancelAll(r *request, reason CancelReason) {
	for r.running > 0 {
		p.cancelAttempt(r.attempts[r.running-1], reason, routing.OutcomeCanceled)
	}
}

// cancelOthers cancels all attempts of a request but a.
func (p *Pool) cancelOthers(r *request, a *attempt) {
	for i := r.running - 1; i >= 0; i-- {
		if other := r.attempts[i]; other != a {
			p.cancelAttempt(other, CancelHedgeLost, routing.OutcomeCanceled)
		}
	}
}
