package dispatch

import (
	"cactuswell/core/profile"
	"cactuswell/core/routing"
)

// The reasons for starting an attempt, as recorded in decisions.
const (
	startReasonFirst   = "firstAttempt"
	startReasonRetry   = "retry"
	startReasonHedge   = "hedge"
	startReasonRestart = "repeat"
)

// dispatchWaiting starts queued requests while endpoints have room.
func (p *Pool) dispatchWaiting() {
	for p.queue.Len() > 0 {
		entry, guaranteed := p.queue.Next(p.now)
		tier := entry.Tier
		if guaranteed {
			tier = profile.TierUrgent
		}
		if tier >= p.blockedTier {
			return
		}
		r := p.requests[RequestID(entry.ID)]
		choice, ok := p.pickEndpoint(r, tier)
		if !ok && p.tryPreemptFor(r) {
			choice, ok = p.pickEndpoint(r, tier)
			p.recordPreemption(ok)
		}
		if !ok {
			p.blockedTier = tier
			p.blockedAt = p.now
			return
		}
		p.queue.Dequeue(p.now, entry)
		p.startAttempt(r, choice, tier, guaranteed, p.startReason(r))
	}
}

func (p *Pool) startReason(r *request) string {
	switch {
	case r.attemptsStarted == 0:
		return startReasonFirst
	case r.retries == 0:
		return startReasonRestart
	}
	return startReasonRetry
}

// pickEndpoint lets the router pick an endpoint with room for the given tier.
// A request that is served on its guaranteed share is picked for as if it were of
// the top tier.
func (p *Pool) pickEndpoint(r *request, tier profile.Tier) (routing.Choice, bool) {
	history := p.histories.of(r.entry.Class)
	p.query = routing.Request{
		Tier:              tier,
		OnGuaranteedShare: tier != r.entry.Tier,
		Class:             r.entry.Class,
		Zone:              p.settings.Zone,
		PromptTokens:      r.spec.PromptTokens,
		OutputTokens:      p.expectedOutputTokens(r, history),
		PrefixHashes:      r.spec.PrefixHashes,
		Avoid:             r.avoid[:r.avoidCount],
		Deadline:          r.targetDeadline,
	}
	choice, ok := p.router.Pick(p.now, &p.query)
	if ok && p.excluded.has(choice.Key) {
		p.counters.ExcludedPicks++
		return routing.Choice{}, false
	}
	return choice, ok
}

// startAttempt sends an attempt to the chosen endpoint. p.query must still be the
// query that led to choice.
func (p *Pool) startAttempt(r *request, choice routing.Choice, tier profile.Tier, guaranteed bool, reason string) {
	r.attemptsStarted++
	r.budgetReserved = false
	r.phase = phaseRunning
	a := p.buildAttempt(r, choice, tier, reason)
	r.addAttempt(a)
	p.running++
	if !r.atMostOnce && r.entry.Tier != profile.TierUrgent && p.settings.Kind == profile.KindModel {
		p.preemptible[r.entry.Tier].push(a)
	}
	p.router.RecordSent(p.now, a.work)
	p.countStart(reason, guaranteed)
	p.commands = append(p.commands, StartAttempt{
		Attempt:       a.id,
		Endpoint:      choice.Key,
		Tier:          tier,
		NewConnection: r.atMostOnce,
		Choice:        choice,
	})
	p.recordDecision(r, Decision{
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

// buildAttempt returns the record of an attempt that is started now.
func (p *Pool) buildAttempt(r *request, choice routing.Choice, tier profile.Tier, reason string) *attempt {
	a := p.newAttempt()
	*a = attempt{
		id: AttemptID{
			Request: r.spec.ID,
			Number:  r.attemptsStarted,
		},
		request: r,
		work: routing.Attempt{
			Key:          choice.Key,
			Tier:         tier,
			Class:        r.entry.Class,
			PromptTokens: r.spec.PromptTokens,
			CachedTokens: choice.CachedTokens,
			OutputTokens: p.query.OutputTokens,
			PrefixHashes: r.spec.PrefixHashes,
			SentAt:       p.now,
			IsProbe:      choice.IsProbe,
		},
		expectedDelay:      expectedDelay(r.spec.Profile.Measure(), choice),
		expectedFirstToken: choice.TimeToFirstToken,
		progressAt:         p.now,
		isHedge:            reason == startReasonHedge,
	}
	return a
}

func (p *Pool) countStart(reason string, guaranteed bool) {
	if guaranteed {
		p.counters.GuaranteedStarts++
	}
	switch reason {
	case startReasonFirst:
		p.budget.RecordFirst()
		p.counters.FirstAttempts++
	case startReasonRetry:
		p.counters.Retries++
	case startReasonHedge:
		p.counters.Hedges++
	case startReasonRestart:
		p.counters.Restarts++
	}
}

// endAttempt removes an attempt and frees its slot. It does not notify the
// endpoint.
func (p *Pool) endAttempt(a *attempt, outcome routing.Outcome) {
	r := a.request
	p.router.RecordEnd(p.now, a.work, outcome, a.tokens)
	p.counters.Tokens += uint64(a.tokens)
	if outcome != routing.OutcomeCompleted {
		p.counters.WastedTokens += uint64(a.tokens)
	}
	p.releaseSlot(r, a, outcome)
	r.removeAttempt(a)
	p.preemptible[r.entry.Tier].remove(a)
	p.running--
	p.clearBlockedTier()
	a.request = nil
	a.work.PrefixHashes = nil
	if len(p.freeAttempts) < maxFreeRecords {
		p.freeAttempts = append(p.freeAttempts, a)
	}
}

// releaseSlot reports to the queue for how long an attempt held its slot. If the
// attempt failed or stalled, its class and team are charged at most the
// expected cost, so that they don't pay for an endpoint that was slow to fail. A
// hedge is charged its full slot time here, as it was not charged at its start.
func (p *Pool) releaseSlot(r *request, a *attempt, outcome routing.Outcome) {
	used := p.now.Sub(a.work.SentAt).Seconds()
	if outcome == routing.OutcomeFailed || outcome == routing.OutcomeStalled {
		used = min(used, r.entry.Cost)
	}
	if a.isHedge {
		used += r.entry.Cost
	}
	p.queue.ReleaseSlot(p.now, &r.entry, used)
}
