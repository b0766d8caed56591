package dispatch

import (
	"cactuswell/core/profile"
	"cactuswell/core/routing"
)

// What an attempt was started for, as it stands in decisions.
const (
	startedFirst  = "firstAttempt"
	startedRetry  = "retry"
	startedHedge  = "hedge"
	startedRepeat = "repeat"
)

// pump starts queued requests as long as an endpoint has room.
func (p *Pool) pump() {
	for p.queue.Len() > 0 {
		entry, owed := p.queue.Next(p.now)
		tier := entry.Tier
		if owed {
			tier = profile.TierUrgent
		}
		if tier >= p.blocked {
			return
		}
		r := p.requests[RequestID(entry.ID)]
		choice, ok := p.pick(r, tier)
		if !ok && p.preemptFor(r) {
			choice, ok = p.pick(r, tier)
			p.judgePreemption(ok)
		}
		if !ok {
			p.blocked = tier
			p.blockedAt = p.now
			return
		}
		p.queue.Dequeue(p.now, entry)
		p.start(r, choice, tier, owed, p.startReason(r))
	}
}

func (p *Pool) startReason(r *request) string {
	switch {
	case r.numbers == 0:
		return startedFirst
	case r.retries == 0:
		return startedRepeat
	}
	return startedRetry
}

// pick asks the router for an endpoint with the rights of the given tier.
func (p *Pool) pick(r *request, tier profile.Tier) (routing.Choice, bool) {
	history := p.histories.of(r.entry.Class)
	p.ask = routing.Request{
		Tier:              tier,
		OnGuaranteedShare: tier != r.entry.Tier,
		Class:             r.entry.Class,
		Zone:              p.settings.Zone,
		PromptTokens:      r.spec.PromptTokens,
		OutputTokens:      p.outputTokens(r, history),
		Prefix:            r.spec.Prefix,
		Avoid:             r.avoid[:r.avoided],
		Deadline:          r.target,
	}
	choice, ok := p.router.Pick(p.now, &p.ask)
	if ok && p.closed.has(choice.Key) {
		p.counters.ExcludedPicks++
		return routing.Choice{}, false
	}
	return choice, ok
}

// start sends an attempt to the chosen endpoint. The last Ask is the one that
// the choice answers.
func (p *Pool) start(r *request, choice routing.Choice, tier profile.Tier, owed bool, reason string) {
	r.numbers++
	r.reserved = false
	r.phase = phaseRunning
	a := p.describeAttempt(r, choice, tier, reason)
	r.addAttempt(a)
	p.running++
	if !r.once && r.entry.Tier != profile.TierUrgent && p.settings.Kind == profile.KindModel {
		p.preemptible[r.entry.Tier].push(a)
	}
	p.router.Sent(p.now, a.work)
	p.countStart(reason, owed)
	p.commands = append(p.commands, StartAttempt{
		Attempt:  a.id,
		Endpoint: choice.Key,
		Tier:     tier,
		Fresh:    r.once,
		Choice:   choice,
	})
	p.record(r, Decision{
		Kind:         DecisionStarted,
		Attempt:      a.id.Number,
		Endpoint:     choice.Key,
		Reason:       reason,
		FirstToken:   choice.TimeToFirstToken,
		Completion:   choice.TimeToCompletion,
		CachedTokens: choice.CachedTokens,
		Candidates:   choice.Candidates,
		Probe:        choice.IsProbe,
		Wait:         p.now.Sub(r.arrived),
	})
	p.armRunning(r)
}

// describeAttempt returns the record of an attempt that starts now.
func (p *Pool) describeAttempt(r *request, choice routing.Choice, tier profile.Tier, reason string) *attempt {
	a := p.newAttempt()
	*a = attempt{
		id: AttemptID{
			Request: r.spec.ID,
			Number:  r.numbers,
		},
		request: r,
		work: routing.Attempt{
			Key:          choice.Key,
			Tier:         tier,
			Class:        r.entry.Class,
			PromptTokens: r.spec.PromptTokens,
			CachedTokens: choice.CachedTokens,
			OutputTokens: p.ask.OutputTokens,
			Prefix:       r.spec.Prefix,
			SentAt:       p.now,
			IsProbe:      choice.IsProbe,
		},
		expected:   expectedDelay(r.spec.Profile.Measure(), choice),
		firstToken: choice.TimeToFirstToken,
		progressAt: p.now,
		hedge:      reason == startedHedge,
	}
	return a
}

func (p *Pool) countStart(reason string, owed bool) {
	if owed {
		p.counters.GuaranteedStarts++
	}
	switch reason {
	case startedFirst:
		p.budget.RecordFirst()
		p.counters.FirstAttempts++
	case startedRetry:
		p.counters.Retries++
	case startedHedge:
		p.counters.Hedges++
	case startedRepeat:
		p.counters.Restarts++
	}
}

// end frees an attempt's slot. It says nothing to the endpoint.
func (p *Pool) end(a *attempt, outcome routing.Outcome) {
	r := a.request
	p.router.Ended(p.now, a.work, outcome, a.tokens)
	p.counters.Tokens += uint64(a.tokens)
	if outcome != routing.OutcomeCompleted {
		p.counters.WastedTokens += uint64(a.tokens)
	}
	p.settle(r, a, outcome)
	r.removeAttempt(a)
	p.preemptible[r.entry.Tier].remove(a)
	p.running--
	p.unblock()
	a.request = nil
	a.work.Prefix = nil
	if len(p.freeAttempts) < maxFree {
		p.freeAttempts = append(p.freeAttempts, a)
	}
}

// settle tells the queue for how long an attempt held its slot. Its class and
// team don't pay for an endpoint that was slow to fail. A hedge was not charged
// at its start.
func (p *Pool) settle(r *request, a *attempt, outcome routing.Outcome) {
	used := p.now.Sub(a.work.SentAt).Seconds()
	if outcome == routing.OutcomeFailed || outcome == routing.OutcomeStalled {
		used = min(used, r.entry.Cost)
	}
	if a.hedge {
		used += r.entry.Cost
	}
	p.queue.ReleaseSlot(p.now, &r.entry, used)
}
