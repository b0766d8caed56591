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
	// suspectFactor multiplies the predicted times in a suspect endpoint's score.
	suspectFactor = 3
	// maxOwnersCompared is the maximum number of endpoints that are compared because
	// they have the prompt's prefix cached.
	maxOwnersCompared = 2
	// batchSlowdown is the relative increase of the time for a token from an empty
	// to a full batch.
	batchSlowdown = 1.0
)

// comparison holds the best choice so far in one decision: among the endpoints
// that the request does not avoid, and among those that it does.
type comparison struct {
	best          *endpointState
	choice        Choice
	score         float64
	avoided       *endpointState
	avoidedChoice Choice
	avoidedScore  float64
	count         int
}

// Pick chooses the endpoint for request. It reports false if no endpoint has room for
// the tier now.
func (r *Router) Pick(now time.Time, request *Request) (Choice, bool) {
	if request.Tier == profile.TierUrgent && !request.OnGuaranteedShare {
		r.recordTopTierRequest(now)
	}
	if choice, ok := r.pickProbe(now, request); ok {
		return choice, true
	}
	available := &r.available[request.Tier]
	if len(available.endpoints) == 0 || !r.isBelowTotalLimit(request.Tier) {
		return Choice{}, false
	}
	r.decisions++
	var c comparison
	r.compareBlockOwners(now, request, available, &c)
	r.compareRandomEndpoints(now, request, available, &c)
	r.comparisons += uint64(c.count)
	if c.best == nil {
		c.best = c.avoided
		c.choice = c.avoidedChoice
	}
	if c.best == nil {
		return Choice{}, false
	}
	c.choice.Candidates = c.count
	return c.choice, true
}

func (r *Router) compareBlockOwners(now time.Time, request *Request, available *availableSet, c *comparison) {
	if len(request.PrefixHashes) == 0 {
		return
	}
	owners := r.prefixes.longestMatchOwners(request.PrefixHashes)
	for _, owner := range owners[:maxOwnersCompared] {
		if owner.number == 0 {
			return
		}
		e := r.byNumber[owner.number]
		if e != nil && e.setPositions[available.index] != notInSet {
			r.compare(now, request, e, c)
		}
	}
}

func (r *Router) compareRandomEndpoints(now time.Time, request *Request, available *availableSet, c *comparison) {
	count := len(available.endpoints)
	if count <= r.settings.Candidates {
		for _, e := range available.endpoints {
			r.compare(now, request, e, c)
		}
		return
	}
	for range r.settings.Candidates {
		r.compare(now, request, available.endpoints[r.random.IntN(count)], c)
	}
	start := r.random.IntN(count)
	for i := 0; c.best == nil && i <= min(len(request.Avoid), count-1); i++ {
		r.compare(now, request, available.endpoints[(start+i)%count], c)
	}
}

func (r *Router) compare(now time.Time, request *Request, e *endpointState, c *comparison) {
	if e.lastDecision == r.decisions {
		return
	}
	e.lastDecision = r.decisions
	c.count++
	choice := r.predict(now, request, e)
	score := r.score(now, e, &choice)
	if slices.Contains(request.Avoid, e.descriptor.Key) {
		if c.avoided == nil || score < c.avoidedScore {
			c.avoided = e
			c.avoidedChoice = choice
			c.avoidedScore = score
		}
		return
	}
	if c.best == nil || score < c.score {
		c.best = e
		c.choice = choice
		c.score = score
	}
}

// score returns the cost of a choice in seconds, from the predicted times and the
// endpoint's health; lower is better. An error costs another attempt, so that an
// endpoint that fails quickly does not appear to be fast.
func (r *Router) score(now time.Time, e *endpointState, choice *Choice) float64 {
	decodeTime := choice.TimeToCompletion - choice.TimeToFirstToken
	score := choice.TimeToFirstToken.Seconds() + r.settings.CompletionWeight*decodeTime.Seconds()
	if e.health.state == StateSuspect {
		score *= suspectFactor
	}
	errorRate := e.health.errorRate()
	score = (score + errorRate*r.serviceTime.valueOr(r.settings.DefaultServiceTime.Seconds())) / (1 - errorRate)
	return score / max(e.health.rampShare(now, r.settings.Health), 0.1)
}

// predict returns the choice of an endpoint with its predicted delays.
func (r *Router) predict(now time.Time, request *Request, e *endpointState) Choice {
	slots := e.slots(&r.settings)
	running := float64(e.load.own) + r.estimateOtherHostsLoad(now, e)
	slowness := r.slowness(e)
	fill := min((running+1)/float64(max(slots, 1)), 1)
	wait := r.queueWait(request, e, running, slots) * slowness
	firstToken := r.roundTrip(e).Seconds() + wait
	choice := Choice{
		Key: e.descriptor.Key,
	}
	if e.isService() {
		firstToken += e.health.firstTokenTime.valueOr(r.settings.DefaultServiceTime.Seconds()) * (1 + fill)
		choice.TimeToFirstToken = seconds(firstToken)
		choice.TimeToCompletion = choice.TimeToFirstToken
		return choice
	}
	choice.CachedTokens = r.cachedTokens(request, e)
	uncached := float64(max(request.PromptTokens-choice.CachedTokens, 0))
	firstToken += baseFirstToken.Seconds() + uncached/e.prefillRate(&r.settings)*slowness*(1+fill)
	tokenTime := r.tokenTime.valueOr(r.settings.DefaultTokenGap.Seconds()) * slowness
	decodeTime := float64(request.OutputTokens) * tokenTime * (1 + batchSlowdown*fill) / (1 + batchSlowdown/2)
	choice.TimeToFirstToken = seconds(firstToken)
	choice.TimeToCompletion = seconds(firstToken + decodeTime)
	return choice
}

// queueWait predicts the wait in the endpoint's own queue in seconds. Some wait is
// expected even below a full batch, as arrivals are random. An attempt waits only
// behind those of its own tier and the more urgent ones.
func (r *Router) queueWait(request *Request, e *endpointState, running float64, slots int) float64 {
	fill := (running + 1) / float64(max(slots, 1))
	queued := min(fill*fill, 1)
	if e.isService() {
		queued = (queued + max(running+1-float64(slots), 0)) * r.runningShareAtOrAbove(request.Tier)
	} else {
		queued += float64(e.awaitingAtOrAbove(request.Tier)) * r.hostsPerEndpoint()
	}
	timePerAttempt := r.serviceTime.valueOr(r.settings.DefaultServiceTime.Seconds()) / float64(max(slots, 1))
	return queued * timePerAttempt
}

// estimateOtherHostsLoad estimates the number of the other hosts' attempts at an
// endpoint. The attempts that the report counted are assumed to end as the report
// ages. Since the report, each other host is assumed to have sent as many attempts
// as this one, since callers and endpoints are spread evenly over the hosts. A
// host's own attempts count immediately, so that hosts with the same old report
// don't all send to the same endpoint.
func (r *Router) estimateOtherHostsLoad(now time.Time, e *endpointState) float64 {
	remaining := 0.0
	if e.load.hasReport {
		serviceTime := r.serviceTime.valueOr(r.settings.DefaultServiceTime.Seconds())
		age := now.Sub(e.load.report.At).Seconds()
		remaining = max(1-age/serviceTime, 0)
	}
	sentSinceReport := max(float64(e.load.own)-remaining*float64(e.load.ownAtReport), 0)
	return remaining*float64(e.load.otherHosts) + sentSinceReport*(r.hostsPerEndpoint()-1)
}

// runningShareAtOrAbove returns the share of this host's running attempts that are
// of the given tier or a more urgent one. The other hosts' attempts are assumed to
// have the same distribution.
func (r *Router) runningShareAtOrAbove(tier profile.Tier) float64 {
	above, all := 0, 0
	for i, running := range r.runningByTier {
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

// roundTrip returns the round-trip time to the endpoint.
func (r *Router) roundTrip(e *endpointState) time.Duration {
	if e.descriptor.Zone == r.settings.Zone {
		return r.settings.InterZoneDelay / 2
	}
	return 2 * r.settings.InterZoneDelay
}

func (r *Router) cachedTokens(request *Request, e *endpointState) int {
	if len(request.PrefixHashes) == 0 {
		return 0
	}
	blocks := r.prefixes.cachedBlocks(request.PrefixHashes, e.cache.owner)
	tokens := float64(blocks*r.settings.TokensPerBlock) * e.cache.confidence
	return min(int(tokens), request.PromptTokens)
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
