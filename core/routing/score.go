package routing

import (
	"slices"
	"time"

	"cactuswell/core/profile"
)

const (
	// baseFirstToken is the first-token time of an idle endpoint for an empty
	// prompt.
	baseFirstToken = 20 * time.Millisecond
	// suspectFactor multiplies a suspect endpoint's predicted times.
	suspectFactor = 3
	// ownersCompared bounds the prefix owners compared in one decision.
	ownersCompared = 2
	// overBatch is the part by which decoding slows from an empty to a full batch.
	overBatch = 1.0
)

// comparison is the best choice found so far in one decision.
type comparison struct {
	best        *target
	choice      Choice
	score       float64
	avoided     *target
	avoidChoice Choice
	avoidScore  float64
	compared    int
}

// Pick chooses the endpoint for ask. It reports false when no endpoint has room
// for the tier now.
func (r *Router) Pick(now time.Time, ask *Request) (Choice, bool) {
	if ask.Tier == profile.TierUrgent && !ask.OnGuaranteedShare {
		r.sawTopTier(now)
	}
	if choice, ok := r.pickProbe(now, ask); ok {
		return choice, true
	}
	open := &r.open[ask.Tier]
	if len(open.targets) == 0 || !r.hasShare(ask.Tier) {
		return Choice{}, false
	}
	r.decision++
	var c comparison
	r.compareOwners(now, ask, open, &c)
	r.compareRandom(now, ask, open, &c)
	r.comparisons += uint64(c.compared)
	if c.best == nil {
		c.best = c.avoided
		c.choice = c.avoidChoice
	}
	if c.best == nil {
		return Choice{}, false
	}
	c.choice.Candidates = c.compared
	return c.choice, true
}

func (r *Router) compareOwners(now time.Time, ask *Request, open *openSet, c *comparison) {
	if len(ask.Prefix) == 0 {
		return
	}
	owners := r.prefixes.owners(ask.Prefix)
	for _, owner := range owners[:ownersCompared] {
		if owner.number == 0 {
			return
		}
		t := r.byNumber[owner.number]
		if t != nil && t.places[open.tier] != notOpen {
			r.compare(now, ask, t, c)
		}
	}
}

func (r *Router) compareRandom(now time.Time, ask *Request, open *openSet, c *comparison) {
	count := len(open.targets)
	if count <= r.settings.Candidates {
		for _, t := range open.targets {
			r.compare(now, ask, t, c)
		}
		return
	}
	for range r.settings.Candidates {
		r.compare(now, ask, open.targets[r.random.IntN(count)], c)
	}
	start := r.random.IntN(count)
	for i := 0; c.best == nil && i <= min(len(ask.Avoid), count-1); i++ {
		r.compare(now, ask, open.targets[(start+i)%count], c)
	}
}

func (r *Router) compare(now time.Time, ask *Request, t *target, c *comparison) {
	if t.mark == r.decision {
		return
	}
	t.mark = r.decision
	c.compared++
	choice := r.predict(now, ask, t)
	score := r.score(now, t, &choice)
	if slices.Contains(ask.Avoid, t.descriptor.Key) {
		if c.avoided == nil || score < c.avoidScore {
			c.avoided = t
			c.avoidChoice = choice
			c.avoidScore = score
		}
		return
	}
	if c.best == nil || score < c.score {
		c.best = t
		c.choice = choice
		c.score = score
	}
}

// score weighs the predicted times with the doubt about the endpoint; lower is
// better. Errors count as attempts that must be made again, so that an endpoint
// that fails fast does not look fast.
func (r *Router) score(now time.Time, t *target, choice *Choice) float64 {
	rest := choice.TimeToCompletion - choice.TimeToFirstToken
	score := choice.TimeToFirstToken.Seconds() + r.settings.CompletionWeight*rest.Seconds()
	if t.health.state == StateSuspect {
		score *= suspectFactor
	}
	errorRate := t.health.errorRate()
	score = (score + errorRate*r.serviceTime.or(r.settings.DefaultServiceTime.Seconds())) / (1 - errorRate)
	return score / max(t.health.ramp(now, r.settings.Health), 0.1)
}

// predict returns the delays to expect at a target.
func (r *Router) predict(now time.Time, ask *Request, t *target) Choice {
	slots := t.slots(&r.settings)
	running := float64(t.load.own) + r.othersNow(now, t)
	slowness := r.slowness(t)
	fill := min((running+1)/float64(max(slots, 1)), 1)
	wait := r.queueWait(ask, t, running, slots) * slowness
	first := r.distance(t).Seconds() + wait
	choice := Choice{
		Key: t.descriptor.Key,
	}
	if t.isService() {
		first += t.health.first.or(r.settings.DefaultServiceTime.Seconds()) * (1 + fill)
		choice.TimeToFirstToken = seconds(first)
		choice.TimeToCompletion = choice.TimeToFirstToken
		return choice
	}
	choice.CachedTokens = r.cachedTokens(ask, t)
	uncached := float64(max(ask.PromptTokens-choice.CachedTokens, 0))
	first += baseFirstToken.Seconds() + uncached/t.prefillRate(&r.settings)*slowness*(1+fill)
	token := r.tokenTime.or(r.settings.DefaultTokenGap.Seconds()) * slowness
	rest := float64(ask.OutputTokens) * token * (1 + overBatch*fill) / (1 + overBatch/2)
	choice.TimeToFirstToken = seconds(first)
	choice.TimeToCompletion = seconds(first + rest)
	return choice
}

// queueWait predicts the wait in the endpoint's own queue in seconds. Even below
// a full batch there is some, as arrivals are random. Work waits only behind its
// own tier and the more urgent ones.
func (r *Router) queueWait(ask *Request, t *target, running float64, slots int) float64 {
	fill := (running + 1) / float64(max(slots, 1))
	waiting := min(fill*fill, 1)
	if t.isService() {
		waiting = (waiting + max(running+1-float64(slots), 0)) * r.partAbove(ask.Tier)
	} else {
		waiting += float64(t.awaitingAbove(ask.Tier)) * r.users()
	}
	each := r.serviceTime.or(r.settings.DefaultServiceTime.Seconds()) / float64(max(slots, 1))
	return waiting * each
}

// othersNow estimates the other hosts' work at a target. What the report counted
// ends as the report ages; beside what is left of it, each other host is taken to
// have sent as much as this one, since they share callers and endpoints alike.
// Own work is known at once, so that hosts with the same old reports don't all
// send to the same endpoint.
func (r *Router) othersNow(now time.Time, t *target) float64 {
	left := 0.0
	if t.load.reported {
		serviceTime := r.serviceTime.or(r.settings.DefaultServiceTime.Seconds())
		age := now.Sub(t.load.report.At).Seconds()
		left = max(1-age/serviceTime, 0)
	}
	since := max(float64(t.load.own)-left*float64(t.load.ownThen), 0)
	return left*float64(t.load.others) + since*(r.users()-1)
}

// partAbove returns the part of this host's running work that is of the given
// tier or a more urgent one; the other hosts' work is taken to be alike.
func (r *Router) partAbove(tier profile.Tier) float64 {
	above, all := 0, 0
	for i, running := range r.running {
		all += running
		if i <= int(tier) {
			above += running
		}
	}
	if all == 0 {
		return 1
	}
	return float64(above) / float64(all)
}

// distance returns the round trip to the target.
func (r *Router) distance(t *target) time.Duration {
	if t.descriptor.Zone == r.settings.Zone {
		return r.settings.InterZoneDelay / 2
	}
	return 2 * r.settings.InterZoneDelay
}

func (r *Router) cachedTokens(ask *Request, t *target) int {
	if len(ask.Prefix) == 0 {
		return 0
	}
	blocks := r.prefixes.blocks(ask.Prefix, t.cache.owner)
	tokens := float64(blocks*r.settings.TokensPerBlock) * t.cache.confidence
	return min(int(tokens), ask.PromptTokens)
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
