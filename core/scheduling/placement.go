package scheduling

import (
	"hash/fnv"
	"math"
	"slices"
	"sort"
	"time"

	"cactuswell/core/evidence"
	"cactuswell/core/route"
	"cactuswell/core/speed"
)

const (
	// initialAnswerTime is the assumed answer time of a plain service that has not
	// answered yet.
	initialAnswerTime = 30 * time.Millisecond
	// dispatchRetryInterval is how long queued calls wait before the endpoints are
	// checked again, if no event comes first.
	dispatchRetryInterval = 25 * time.Millisecond
	// affinityEndpointCount is the number of preferred endpoints for a shared
	// prefix that no host has reported. They let hosts that have just started send
	// calls to where the prefix is cached.
	affinityEndpointCount = 2
	// prefixUseWindow is how long after its last use a prefix counts as cached.
	prefixUseWindow = 12 * time.Second
	// longPromptTokens is the number of uncached tokens above which a prompt delays
	// latency-sensitive streams on its engine: more than one prefill chunk.
	longPromptTokens = 2048
	// maxSensitivePromptTokens is the size of a prompt, with the part that may be cached,
	// above which a stream does not count as latency-sensitive.
	maxSensitivePromptTokens = 2 * longPromptTokens
	// latencySensitiveGap is the event gap up to which a stream counts as
	// latency-sensitive: the time of an event if each of its steps also prefills a
	// chunk, with some margin.
	latencySensitiveGap = 250 * time.Millisecond
)

// handleCallArrived places a new call immediately, or queues or refuses it.
func (s *Scheduler) handleCallArrived(spec Call) {
	p := s.ensurePool(spec.Service)
	p.budget.RecordFirst(s.now)
	if p.engine != nil && p.engine.KVCacheTokens > 0 {
		// Engines decline prompts that are larger than their memory.
		spec.PromptTokens = min(spec.PromptTokens, p.engine.KVCacheTokens)
	}
	c := &call{
		spec:             spec,
		pool:             p,
		arrived:          s.now,
		prefixHashes:     PrefixHashes(spec.Prompt),
		parts:            SharedPartHashes(spec.Service, spec.Prompt),
		latencySensitive: isLatencySensitive(spec),
		version:          spec.Version,
		isBoundToVersion: spec.IsBoundToVersion,
	}
	c.queueUntil = s.queueUntil(c)
	s.calls[spec.ID] = c
	s.expirePeerLoads()
	s.placeOrQueue(c)
}

// queueUntil returns until when a call may stay in the queue.
func (s *Scheduler) queueUntil(c *call) time.Time {
	until := c.arrived.Add(c.spec.Route.TargetLatency)
	if until.After(c.spec.Deadline) {
		return c.spec.Deadline
	}
	return until
}

// placeOrQueue sends a call to the best endpoint, or queues or refuses it.
func (s *Scheduler) placeOrQueue(c *call) {
	if s.refuseExpired(c) || s.refuseQuarantined(c) {
		return
	}
	if e, choice := s.pickEndpoint(c); e != nil {
		if s.isOverloaded(c, choice) {
			s.refuseOverloaded(c, choice)
			return
		}
		s.send(c, e, choice)
		return
	}
	if s.countUsableFor(c) == 0 || s.hasTriedAll(c) || !s.now.Before(c.queueUntil) || s.staysClosed(c) {
		s.refuse(c, s.noRoomReason(c))
		return
	}
	s.enqueue(c)
}

// refuseExpired refuses a call whose deadline has passed, and reports whether it has. A process that was
// paused or is late finds calls whose callers have given up: they take no place, and test no endpoint.
func (s *Scheduler) refuseExpired(c *call) bool {
	if s.now.Before(c.spec.Deadline) {
		return false
	}
	s.refuse(c, ReasonTimedOut)
	return true
}

// enqueue adds a call to the queue of its pool.
func (s *Scheduler) enqueue(c *call) {
	c.queued = true
	p := c.pool
	p.unmet.recordUnmet(s.now, c)
	p.queue = insertByUrgency(p.queue, c)
}

// insertByUrgency adds a call to calls that are in the order of their urgency.
func insertByUrgency(calls []*call, c *call) []*call {
	index := sort.Search(len(calls), func(i int) bool {
		return isMoreUrgent(c, calls[i])
	})
	return slices.Insert(calls, index, c)
}

func isMoreUrgent(a, b *call) bool {
	if a.spec.Priority != b.spec.Priority {
		return a.spec.Priority < b.spec.Priority
	}
	return a.arrived.Before(b.arrived)
}

// hasTriedAll reports whether a call may be sent to none of the endpoints that accept new work, as it has
// been sent to each of them.
func (s *Scheduler) hasTriedAll(c *call) bool {
	return len(c.sentTo) > 0 && !slices.ContainsFunc(c.pool.endpoints, func(e *endpoint) bool {
		return !e.leaving && c.isCompatible(e) && c.maySendTo(e)
	})
}

func (s *Scheduler) noRoomReason(c *call) Reason {
	p := c.pool
	if s.countUsable(p) == 0 {
		return ReasonNoEndpoint
	}
	if s.hasVersion(c) && s.hasTriedAll(c) {
		return c.lastFailure
	}
	if s.countUsableFor(c) == 0 {
		return ReasonVersionGone
	}
	if s.quietLeft(p) > 0 {
		return ReasonAllQuiet
	}
	if s.isLimited(p) {
		return ReasonAllLimited
	}
	return ReasonAllFull
}

// countUsable returns the number of endpoints that accept new work, including ejected
// ones.
func (s *Scheduler) countUsable(p *pool) int {
	usable := 0
	for _, e := range p.endpoints {
		if !e.leaving {
			usable++
		}
	}
	return usable
}

// dispatchWaiting sends queued calls while endpoints have capacity, and refuses
// those that have waited too long. Silent attempts are given up in their turn.
func (s *Scheduler) dispatchWaiting(p *pool) {
	silent := 0
	for i := 0; i < len(p.queue); {
		c := p.queue[i]
		for ; silent < len(p.silent) && isMoreUrgent(p.silent[silent], c); silent++ {
			s.giveUpSilent(p.silent[silent])
		}
		if s.dispatch(c) {
			p.queue = slices.Delete(p.queue, i, i+1)
			continue
		}
		i++
	}
	for ; silent < len(p.silent); silent++ {
		s.giveUpSilent(p.silent[silent])
	}
}

// dispatch sends or refuses a queued call, and reports false if it has to wait.
func (s *Scheduler) dispatch(c *call) bool {
	if !s.now.Before(c.spec.Deadline) {
		c.queued = false
		s.refuse(c, ReasonTimedOut)
		return true
	}
	e, choice := s.pickEndpoint(c)
	canWait := s.now.Before(c.queueUntil) && !s.staysClosed(c) && s.hasVersion(c) && !s.hasTriedAll(c)
	if e == nil && c.waitsForOther && (!canWait || !s.now.Before(c.otherUntil)) {
		c.waitsForOther = false
		e, choice = s.pickEndpoint(c)
	}
	if e == nil && canWait {
		return false
	}
	reason := s.queuedRetryDenialReason(c)
	if canWait && c.outwaits(reason) {
		return false
	}
	c.queued = false
	if reason == "" && e == nil {
		reason = s.noRoomReason(c)
	}
	if reason != "" {
		s.refuse(c, reason)
		return true
	}
	s.send(c, e, choice)
	return true
}

// candidate is an endpoint with its score for a call.
type candidate struct {
	endpoint    *endpoint
	cost        float64
	choice      Choice
	prefillTime time.Duration
	// nominalPrefill is the expected time to the first event at usual speed, if the measured
	// time is to be compared with it.
	nominalPrefill time.Duration
	// demandTime is the prefill time in the unit in which the partitions are sized.
	demandTime time.Duration
}

// pickEndpoint returns the endpoint with the lowest cost for a call, or nil if none
// has capacity.
func (s *Scheduler) pickEndpoint(c *call) (*endpoint, Choice) {
	best := s.bestCandidate(c)
	if best.endpoint == nil {
		return nil, Choice{}
	}
	c.prefillTime = best.prefillTime
	c.nominalPrefill = best.nominalPrefill
	c.demandTime = best.demandTime
	c.utilization = float64(best.choice.Running) / float64(max(best.endpoint.entry.Slots, 1))
	return best.endpoint, best.choice
}

// bestCandidate returns the endpoint with the lowest cost for a call, which is nil if none has capacity.
func (s *Scheduler) bestCandidate(c *call) candidate {
	var best candidate
	compared := 0
	s.restrictVersions(c)
	if c.pool.engine != nil {
		c.cachedTokens = s.cachedTokensAnywhere(c)
		c.affinity = s.affinityEndpoints(c)
		s.findFetchSource(c)
	}
	for pass := 0; pass < 2 && best.endpoint == nil; pass++ {
		for _, e := range c.pool.endpoints {
			if !s.canAccept(c, e, pass > 0) {
				continue
			}
			compared++
			scored := s.score(c, e)
			if best.endpoint == nil || scored.cost < best.cost {
				best = scored
			}
		}
	}
	if best.endpoint == nil {
		return best
	}
	best.choice.ComparedEndpoints = compared
	best.choice.QueueTime = s.now.Sub(c.arrived)
	best.choice.OwnTokens = best.endpoint.promptTokens
	best.choice.PeerLoadAge = s.peerLoadAge()
	best.choice.LoadAge = -1
	if best.endpoint.reported.Known {
		best.choice.LoadAge = s.now.Sub(best.endpoint.reportedAt)
	}
	return best
}

// isLatencySensitive reports whether a call's stream requires short event gaps and leaves
// them to others: a long prompt would delay the streams of the latency partition, whose
// gaps are mostly shorter than its own.
func isLatencySensitive(spec Call) bool {
	r := spec.Route
	return r.Kind == route.Stream && r.TargetEventGap > 0 && r.TargetEventGap <= latencySensitiveGap &&
		spec.PromptTokens <= maxSensitivePromptTokens
}

// canAccept reports whether an endpoint may receive a call. Endpoints that failed
// the call, recently declined one, are slow and have their share, or have just appeared, are accepted in the second
// pass only, and those that failed it not while it waits for another one. A call that would lose what it has, as its stream has
// begun or its endpoint is silent, is sent to none that has just declined one.
func (s *Scheduler) canAccept(c *call, e *endpoint, secondPass bool) bool {
	if e == c.endpoint || e.leaving || !c.isCompatible(e) || !c.maySendTo(e) || e.inFlight(s.now) >= s.limitFor(c, e) {
		return false
	}
	if e.health.isEjected(s.now) || e.isQuiet(s.now) || !s.allowsLimit(e) || !s.allowsBrittle(e) {
		return false
	}
	hasFailed := slices.Contains(c.avoid, e.key)
	if secondPass {
		mayGoBack := !c.waitsForOther && c.silence == nil
		mayTry := !c.isPartlyDelivered && c.silence == nil || !s.now.Before(e.fullUntil)
		return mayTry && (!hasFailed || mayGoBack)
	}
	return !hasFailed && !s.now.Before(e.fullUntil) && e.inFlight(s.now) < s.speedShare(c.pool, e, s.concurrencyLimit(c.pool, e)) &&
		s.allowsRamp(c.pool, e)
}

// place returns where the endpoint is.
func (e *endpoint) place() evidence.Place {
	return evidence.Place{
		Address:    e.entry.Address,
		EndpointID: e.key.ID,
	}
}

// maySendTo reports whether a call may be sent to an endpoint. A call that must run at most once goes there only
// once, as a second refusal could be the first one, sent again.
func (c *call) maySendTo(e *endpoint) bool {
	return c.spec.Route.Retryable() || !slices.ContainsFunc(c.sentTo, e.place().MayBe)
}

// limitFor returns the number of calls that an endpoint may have in flight before it accepts a call. One that runs at a silent
// endpoint needs a slot: where it would wait, it waits at its own.
func (s *Scheduler) limitFor(c *call, e *endpoint) int {
	if c.silence != nil {
		return max(e.entry.Slots, 1)
	}
	return s.concurrencyLimit(c.pool, e)
}

// concurrencyLimit returns the number of calls that an endpoint may have in flight.
func (s *Scheduler) concurrencyLimit(p *pool, e *endpoint) int {
	limit := e.entry.Slots
	if limit == 0 {
		limit = 1
	}
	if p.engine == nil {
		// A plain service keeps a short queue of its own.
		return limit + limit/2
	}
	return limit
}

// score returns the cost of a call at an endpoint, in missed latency targets.
func (s *Scheduler) score(c *call, e *endpoint) candidate {
	scored := candidate{
		endpoint: e,
	}
	roundTrip := s.roundTrip(e)
	inFlight := e.inFlight(s.now)
	scored.choice.Running = inFlight
	if c.pool.engine == nil {
		utilization := float64(inFlight) / float64(max(e.entry.Slots, 1))
		answerTime := s.answerTime(c.pool, e) * (1 + utilization*utilization)
		scored.choice.TimeToFirstEvent = roundTrip + time.Duration(answerTime*float64(time.Second))
	} else {
		s.scoreEngine(c, e, &scored, roundTrip)
	}
	scored.cost += s.delayCost(c, scored.choice.TimeToFirstEvent)
	scored.cost += e.health.errorRate * s.settings.Weights.ErrorCost
	if s.now.Before(e.coldUntil) {
		scored.cost += s.settings.Weights.ColdStartCost
	}
	if e.health.ejectionTime > 0 {
		scored.cost += s.settings.Weights.ProbeCost
	}
	// Ties are broken at random, so that hosts with the same view choose different
	// endpoints.
	scored.cost += 0.01 * s.random.Float64()
	return scored
}

// delayCost returns the probability of missing the latency target, plus a small
// cost for the delay itself.
func (s *Scheduler) delayCost(c *call, timeToFirst time.Duration) float64 {
	remaining := c.spec.Route.TargetLatency - s.now.Sub(c.arrived)
	if remaining <= 0 {
		return 1 + s.settings.Weights.DelayWeight*timeToFirst.Seconds()/c.spec.Route.TargetLatency.Seconds()
	}
	share := timeToFirst.Seconds() / remaining.Seconds()
	return s.lateness(share) + s.settings.Weights.DelayWeight*share
}

func (s *Scheduler) scoreEngine(c *call, e *endpoint, scored *candidate, roundTrip time.Duration) {
	model := s.settings.Engine
	cached := s.cachedTokensAt(c, e)
	available := cached
	fetchTime, canFetch := s.fetchTime(c, e, cached)
	if canFetch {
		available = c.fetchSourceTokens
		scored.choice.FetchedTokens = available - cached
		scored.cost += s.settings.Weights.FetchCost * float64(scored.choice.FetchedTokens) / 1000
	}
	uncachedTokens := max(c.spec.PromptTokens-available, 1)
	nominal := model.PrefillTime(available, uncachedTokens)
	prefillTime := time.Duration(float64(nominal) * s.slowness(c.pool, e, speed.Prefill))
	backlog := e.prefillBacklog(s.now)
	scored.prefillTime = prefillTime
	scored.demandTime = time.Duration(float64(nominal) * e.slowness)
	scored.choice.CachedTokens = cached
	scored.choice.PrefillBacklog = backlog
	// A request joins the batch when the current step is over.
	scored.choice.TimeToFirstEvent = model.FirstStepDelay + model.Step + backlog + fetchTime + prefillTime + roundTrip
	scored.nominalPrefill = s.nominalPrefill(&scored.choice, nominal)
	scored.cost += s.gapCost(c, e, scored.choice.Running) + s.slotCost(c, e, scored.choice.Running)
	if c.cachedTokens > available {
		recompute := model.PrefillTime(available, c.cachedTokens-available)
		scored.cost += s.settings.Weights.RecomputeCost * recompute.Seconds()
	} else if slices.Contains(c.affinity[:], e) {
		scored.cost -= s.settings.Weights.AffinityBonus
	}
	s.addPartitionCost(c, e, scored, uncachedTokens)
}

// addPartitionCost adds the cost of a call that is outside its partition or
// interferes with latency-sensitive streams.
func (s *Scheduler) addPartitionCost(c *call, e *endpoint, scored *candidate, uncachedTokens int) {
	inLatencyPartition := c.pool.partitions.inLatencyPartition(e)
	switch {
	case c.latencySensitive && !inLatencyPartition && c.pool.partitions.latencySize > 0:
		scored.cost += s.settings.Weights.PartitionMissCost
	case !c.latencySensitive && uncachedTokens > longPromptTokens:
		if inLatencyPartition {
			scored.cost += s.settings.Weights.PartitionMissCost
		}
		scored.cost += s.settings.Weights.InterferenceCost * float64(e.latencySensitiveStreams())
	}
}

// tokensPerEvent returns the number of tokens in an event of a pool's streams.
func (s *Scheduler) tokensPerEvent(p *pool) int {
	if p.engine.TokensPerEvent > 0 {
		return p.engine.TokensPerEvent
	}
	return s.settings.Engine.TokensPerEvent
}

// roundTrip returns the network round-trip time to an endpoint.
func (s *Scheduler) roundTrip(e *endpoint) time.Duration {
	if e.entry.Zone == s.settings.Zone {
		return 0
	}
	return 2 * s.settings.ZoneDelay
}

// cachedTokensAt returns the number of leading prompt tokens that an endpoint is
// assumed to have cached.
func (s *Scheduler) cachedTokensAt(c *call, e *endpoint) int {
	tokens, cached := 0, 0
	for i, prefixHash := range c.prefixHashes {
		tokens += c.spec.Prompt[i].Tokens
		if e.cache.has(prefixHash) {
			cached = tokens
		}
	}
	return min(cached, c.spec.PromptTokens)
}

// cachedTokensAnywhere returns the number of tokens of a prompt's shared prefix
// that at least one usable endpoint has cached, and used within prefixUseWindow.
func (s *Scheduler) cachedTokensAnywhere(c *call) int {
	since := s.now.Add(-prefixUseWindow)
	tokens, cached := 0, 0
	for i := 0; i < len(c.prefixHashes)-1; i++ {
		tokens += c.spec.Prompt[i].Tokens
		for _, e := range c.pool.endpoints {
			if !e.leaving && !e.health.isEjected(s.now) && !e.isQuiet(s.now) && e.cache.usedSince(c.prefixHashes[i], since) {
				cached = tokens
				break
			}
		}
	}
	return cached
}

// affinityEndpoints returns the preferred endpoints for the shared prefix of a call
// that no endpoint is known to have cached, by rendezvous hashing.
func (s *Scheduler) affinityEndpoints(c *call) [affinityEndpointCount]*endpoint {
	var ranked [affinityEndpointCount]*endpoint
	if c.cachedTokens > 0 || len(c.prefixHashes) < 2 {
		return ranked
	}
	prefix := c.prefixHashes[len(c.prefixHashes)-2]
	for _, e := range c.pool.endpoints {
		if e.leaving || e.isQuiet(s.now) {
			continue
		}
		for i, other := range ranked {
			if other == nil || mix(prefix, e.idHash) > mix(prefix, other.idHash) {
				ranked[i], e = e, other
			}
			if e == nil {
				break
			}
		}
	}
	return ranked
}

// hashID returns the hash of an endpoint's ID.
func hashID(id string) uint64 {
	h := fnv.New64a()
	// hash.Hash documents that Write never returns an error.
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// mix returns the hash of an ID under a seed. Its steps are the finalizer of
// MurmurHash3, which spreads IDs that differ in few bits.
func mix(seed, idHash uint64) uint64 {
	x := idHash ^ seed*goldenRatio
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// goldenRatio is 2^64 divided by the golden ratio, the usual multiplier of
// Fibonacci hashing.
const goldenRatio = 0x9e3779b97f4a7c15

// PrefixHashes returns one hash for each prefix of a prompt's parts, shortest
// first.
func PrefixHashes(parts []PromptPart) []uint64 {
	hashes := make([]uint64, len(parts))
	hash := uint64(math.MaxUint64)
	for i, part := range parts {
		hash = (hash ^ part.ID) * goldenRatio
		hash ^= hash >> 29
		hashes[i] = hash
	}
	return hashes
}

// send starts an attempt of a call at an endpoint.
func (s *Scheduler) send(c *call, e *endpoint, choice Choice) {
	isRetry := c.possibleRuns > 0
	c.pool.unmet.recordPlaced(s.now, c)
	if c.sends > 0 && !c.hasPaidRetry {
		c.pool.budget.RecordRetry(s.now)
	}
	c.hasPaidRetry = false
	c.sends++
	c.endpoint = e
	c.sentTo = append(c.sentTo, e.place())
	c.sentAt = s.now
	c.started = false
	c.isSilenceRecorded = false
	c.predictedTimeToFirstEvent = choice.TimeToFirstEvent
	e.running++
	e.promptTokens += c.spec.PromptTokens
	if c.latencySensitive {
		e.latencySensitive++
	}
	s.markDirty(e)
	s.recordLimitedSend(e)
	if c.pool.engine != nil {
		c.pool.partitions.recordDemand(s.now, c.latencySensitive, c.demandTime)
		e.addPending(s.now, c)
		s.recordPlacement(c, e)
	}
	if e.health.ejectionTime > 0 {
		e.health.probing = true
	}
	command := Send{
		Call:     c.spec.ID,
		Key:      e.key,
		Address:  e.entry.Address,
		Version:  e.entry.Version,
		Priority: c.spec.Priority,
		IsRetry:  isRetry,
		Choice:   choice,

		RequiresRecord: s.requiresRecord(c, e.entry.Version),
	}
	if choice.FetchedTokens > 0 {
		command.FetchFrom = c.fetchSource.key
		command.FetchAddress = c.fetchSource.entry.Address
	}
	s.setTimeouts(c, &command)
	s.commands = append(s.commands, command)
}

// recordPlacement records that the endpoint will have the prompt's parts cached.
func (s *Scheduler) recordPlacement(c *call, e *endpoint) {
	capacity := s.cacheCapacity(e)
	for i, prefixHash := range c.prefixHashes {
		recentlyUsed := e.cache.usedSince(prefixHash, s.now.Add(-prefixUseWindow/4))
		e.cache.add(s.now, s.now.Add(c.predictedTimeToFirstEvent), prefixHash, c.spec.Prompt[i].Tokens, capacity)
		if !recentlyUsed && i < len(c.prefixHashes)-1 {
			s.placements.Add(Placement{
				Endpoint:   e.keyHash,
				PrefixHash: prefixHash,
				Tokens:     c.spec.Prompt[i].Tokens,
			}, maxPendingPlacements)
		}
	}
}

// maxPendingPlacements bounds the placements that wait to be reported to other
// hosts.
const maxPendingPlacements = 64
