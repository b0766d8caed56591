package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
)

const (
	// tickInterval is the minimum time between two evaluations of all endpoints.
	tickInterval = 100 * time.Millisecond
	// maxLeavingKeys is the maximum number of leaving incarnations that are stored.
	maxLeavingKeys = 4096
	// congestionRatio times the peers' median first-token ratio is the ratio above
	// which the concurrency limit is decreased.
	congestionRatio = 8
	// headroomHoldTime is how long the whole headroom stays reserved after a
	// top-tier request.
	headroomHoldTime = 60 * time.Second
	// serviceTimeWeight is the weight of a new sample of attempt durations.
	serviceTimeWeight = 0.05
)

// Router chooses endpoints of one pool for one host.
type Router struct {
	settings   Settings
	random     *rand.Rand
	endpoints  []*endpointState
	byKey      map[endpoint.Key]*endpointState
	byNumber   map[uint32]*endpointState
	lastNumber uint32
	// leaving holds the incarnations that accept no new attempts, and leavingOrder
	// their keys from the oldest to the newest, for eviction.
	leaving      map[endpoint.Key]struct{}
	leavingOrder []endpoint.Key
	// hostCount is the number of hosts that share the endpoints, activeCount the
	// number of endpoints that are not leaving, and subsetCount the number of
	// those that are in this host's subset.
	hostCount   int
	activeCount int
	subsetCount int
	available   [availableSetCount]availableSet
	prefixes    prefixIndex
	medians     peerMedians
	scratch     []float64
	// reservingHeadroom reports whether the whole headroom is reserved, because the
	// last top-tier request, at lastTopTierAt, is recent.
	reservingHeadroom bool
	lastTopTierAt     time.Time
	// serviceTime is the mean duration of an attempt in seconds.
	serviceTime average
	// tokenTime is the mean time for one token after the first, in seconds. It is
	// not derived from token gaps, as one progress event may report several tokens.
	tokenTime  average
	lastTickAt time.Time
	// ejectedCount counts the endpoints that are ejected or probing.
	ejectedCount int
	// runningByTier counts this host's attempts at all endpoints by tier.
	runningByTier [profile.TierCount]int
	// totalLimit is the sum of the limits of the endpoints that accept attempts.
	totalLimit float64
	// decisions counts the decisions; its value identifies the current one.
	decisions   uint64
	comparisons uint64
	ejections   uint64
}

// New returns a Router without endpoints. The caller must not use random
// afterwards.
func New(settings Settings, random *rand.Rand) *Router {
	r := &Router{
		settings:  settings,
		random:    random,
		byKey:     make(map[endpoint.Key]*endpointState),
		byNumber:  make(map[uint32]*endpointState),
		leaving:   make(map[endpoint.Key]struct{}),
		hostCount: 1,
		prefixes:  newPrefixIndex(settings.MaxPrefixBlocks),
	}
	for i := range r.available {
		r.available[i].index = i
	}
	return r
}

// AddEndpoint adds an endpoint, or updates the descriptor of one that is known. An
// endpoint whose incarnation is leaving stays leaving.
func (r *Router) AddEndpoint(now time.Time, descriptor endpoint.Descriptor) {
	if known := r.byKey[descriptor.Key]; known != nil {
		known.descriptor = descriptor
		return
	}
	r.lastNumber++
	_, leaving := r.leaving[descriptor.Key]
	e := &endpointState{
		descriptor:         descriptor,
		leaving:            leaving,
		addedAt:            now,
		awaitingFirstToken: make([]awaitingAttempt, 0, maxAwaitingFirstToken),
		cache: cacheState{
			owner: blockOwner{
				number: r.lastNumber,
			},
			confidence: 1,
		},
	}
	hash := rendezvousWeight(r.settings.Host, descriptor.Key.Name)
	e.limit.roundingOffset = float64(hash>>11) / (1 << 53)
	for i := range e.setPositions {
		e.setPositions[i] = notInSet
	}
	r.endpoints = append(r.endpoints, e)
	r.byKey[descriptor.Key] = e
	r.byNumber[r.lastNumber] = e
	r.updateSubset()
}

// MarkLeaving stops new attempts at an endpoint. The mark stays for the
// incarnation, also when the endpoint is removed and added again.
func (r *Router) MarkLeaving(now time.Time, key endpoint.Key) {
	r.recordLeaving(key)
	e := r.byKey[key]
	if e == nil || e.leaving {
		return
	}
	if e.isEjectedOrProbing() {
		r.ejectedCount--
	}
	e.leaving = true
	r.updateSubset()
}

// SetDrained stops or resumes new attempts at an endpoint that is known. An
// endpoint whose incarnation is leaving stays leaving.
func (r *Router) SetDrained(now time.Time, key endpoint.Key, drained bool) {
	e := r.byKey[key]
	if e == nil || e.leaving == drained {
		return
	}
	if _, isLeaving := r.leaving[key]; isLeaving {
		return
	}
	if e.isEjectedOrProbing() {
		r.ejectedCount--
	}
	e.leaving = drained
	if e.isEjectedOrProbing() {
		r.ejectedCount++
	}
	r.updateSubset()
}

func (r *Router) recordLeaving(key endpoint.Key) {
	if _, known := r.leaving[key]; known {
		return
	}
	if len(r.leavingOrder) >= maxLeavingKeys {
		delete(r.leaving, r.leavingOrder[0])
		r.leavingOrder = append(r.leavingOrder[:0], r.leavingOrder[1:]...)
	}
	r.leaving[key] = struct{}{}
	r.leavingOrder = append(r.leavingOrder, key)
}

// RemoveEndpoint removes an endpoint. A mark that its incarnation is leaving
// stays.
func (r *Router) RemoveEndpoint(now time.Time, key endpoint.Key) {
	e := r.byKey[key]
	if e == nil {
		return
	}
	if e.isEjectedOrProbing() {
		r.ejectedCount--
	}
	for i := range r.available {
		r.available[i].set(e, false)
	}
	r.totalLimit -= e.countedLimit
	for tier, count := range e.load.ownByTier {
		r.runningByTier[tier] -= count
	}
	delete(r.byKey, key)
	delete(r.byNumber, e.cache.owner.number)
	for i, other := range r.endpoints {
		if other == e {
			r.endpoints = append(r.endpoints[:i], r.endpoints[i+1:]...)
			break
		}
	}
	r.updateSubset()
}

// SetHostCount sets the number of hosts that share the endpoints.
func (r *Router) SetHostCount(now time.Time, hosts int) {
	r.hostCount = max(hosts, 1)
	r.updateShares()
}

// ReportLoad applies an endpoint's load report. A report that is older than the
// last one is ignored, except for its Leaving mark.
func (r *Router) ReportLoad(now time.Time, report endpoint.Report) {
	if report.Leaving {
		r.MarkLeaving(now, report.Key)
	}
	e := r.byKey[report.Key]
	if e == nil {
		return
	}
	slots := e.slots(&r.settings)
	if !e.load.recordReport(now, report) {
		return
	}
	if e.slots(&r.settings) != slots {
		r.updateShare(e)
	}
	r.adjustLimit(now, e)
	r.updateAvailability(e)
}

// adjustLimit adjusts the concurrency limit by the free slots in a fresh report:
// the slots below the headroom, less the running and queued attempts.
func (r *Router) adjustLimit(now time.Time, e *endpointState) {
	if !e.load.isFresh(now, r.settings.MaxReportAge) {
		return
	}
	slots := e.slots(&r.settings)
	report := &e.load.report
	target := slots - r.headroom(slots)
	free := float64(target - report.Running - report.Queued)
	e.limit.applyReport(free/r.hostsPerEndpoint(), e.load.own, slots)
}

// ApplyCache applies an endpoint's prefix cache events.
func (r *Router) ApplyCache(now time.Time, update endpoint.CacheUpdate) {
	if e := r.byKey[update.Key]; e != nil {
		r.prefixes.applyUpdate(&e.cache, update)
	}
}

// RecordSent records that an attempt was sent and takes a slot for it.
func (r *Router) RecordSent(now time.Time, attempt Attempt) {
	e := r.byKey[attempt.Key]
	if e == nil {
		return
	}
	e.sentCount++
	r.addRunning(now, e, 1, attempt.Tier)
	e.addAwaiting(awaitingAttempt{
		sentAt:             attempt.SentAt,
		idleFirstTokenTime: r.idleFirstTokenTime(e, &attempt),
		tier:               attempt.Tier,
		prefix:             attempt.PrefixHashes,
	})
	if attempt.IsProbe {
		e.health.runningProbes++
	}
	r.updateAvailability(e)
}

// addRunning adds delta to the number of attempts running at an endpoint.
func (r *Router) addRunning(now time.Time, e *endpointState, delta int, tier profile.Tier) {
	if e.load.ownByTier[tier]+delta < 0 {
		return
	}
	e.load.addOwn(now, delta, tier)
	r.runningByTier[tier] += delta
}

// idleFirstTokenTime returns the first-token time to expect if the endpoint is
// idle.
func (r *Router) idleFirstTokenTime(e *endpointState, attempt *Attempt) time.Duration {
	if e.isService() {
		return time.Second
	}
	uncached := max(attempt.PromptTokens-attempt.CachedTokens, 0)
	return baseFirstToken + seconds(float64(uncached)/e.prefillRate(&r.settings))
}

// RecordProgress records that an attempt has produced tokens tokens in total, newTokens
// of them since its last progress. For the first token, tokens is one. sinceSent
// is the time since the attempt was sent and sinceLast that since its last
// progress.
func (r *Router) RecordProgress(
	now time.Time, key endpoint.Key, tokens, newTokens int, sinceSent, sinceLast time.Duration,
) {
	e := r.byKey[key]
	if e == nil {
		return
	}
	if tokens > 1 {
		e.health.recordProgress(now, sinceLast, newTokens)
		r.updateHealth(now, e)
		return
	}
	if entry, ok := e.takeAwaiting(now.Add(-sinceSent)); ok {
		r.storePrefix(e, entry.prefix)
		r.handleFirstToken(now, e, sinceSent, entry.idleFirstTokenTime)
	}
}

// handleFirstToken records a first token, or a plain service's answer.
func (r *Router) handleFirstToken(now time.Time, e *endpointState, duration, expected time.Duration) {
	ratio := duration.Seconds() / max(expected.Seconds(), 0.001)
	e.health.recordFirstToken(now, duration, ratio)
	if !e.load.isFresh(now, r.settings.MaxReportAge) {
		r.adaptLimit(now, e, ratio)
	}
	r.updateHealth(now, e)
	r.updateAvailability(e)
}

// adaptLimit adjusts the concurrency limit of an endpoint without a fresh report
// by its first-token times.
func (r *Router) adaptLimit(now time.Time, e *endpointState, ratio float64) {
	slots := e.slots(&r.settings)
	aimd, ok := r.settings.LimitAlgorithm.(AIMD)
	if ok && r.medians.firstTokenRatio > 0 && ratio > congestionRatio*r.medians.firstTokenRatio {
		e.limit.decrease(now, aimd.Decrease, slots)
		return
	}
	e.limit.adaptToAnswer(r.settings.LimitAlgorithm, ratio, e.load.own, slots)
}

// RecordEnd records the outcome of an attempt that produced tokens tokens in total,
// and releases its slot. It ignores an attempt that was sent before the endpoint
// was removed and added again.
func (r *Router) RecordEnd(now time.Time, attempt Attempt, outcome Outcome, tokens int) {
	e := r.byKey[attempt.Key]
	if e == nil || attempt.SentAt.Before(e.addedAt) {
		return
	}
	r.addRunning(now, e, -1, attempt.Tier)
	if attempt.IsProbe {
		e.health.runningProbes = max(e.health.runningProbes-1, 0)
	}
	entry, awaiting := e.takeAwaiting(attempt.SentAt)
	duration := now.Sub(attempt.SentAt)
	switch outcome {
	case OutcomeCompleted:
		if e.isService() && awaiting {
			r.handleFirstToken(now, e, duration, entry.idleFirstTokenTime)
		}
		r.handleCompletion(now, e, &attempt, duration, tokens, awaiting)
	case OutcomeRejected:
		e.limit.decrease(now, 0.5, e.slots(&r.settings))
		r.handleFailure(now, e)
	case OutcomeFailed, OutcomeStalled:
		e.limit.decrease(now, 0.5, e.slots(&r.settings))
		r.handleFailure(now, e)
	case OutcomeCanceled:
	}
	r.updateAvailability(e)
}

// storePrefix stores in the index that the endpoint has prefix cached, since its
// cache events arrive later.
func (r *Router) storePrefix(e *endpointState, prefix []uint64) {
	for _, hash := range prefix {
		r.prefixes.store(hash, e.cache.owner)
	}
}

func (r *Router) handleCompletion(now time.Time, e *endpointState, attempt *Attempt, duration time.Duration, tokens int, awaiting bool) {
	r.serviceTime.add(duration.Seconds(), serviceTimeWeight)
	e.health.recordSuccess()
	if awaiting {
		r.storePrefix(e, attempt.PrefixHashes)
	} else if tokens > 1 {
		r.tokenTime.add((duration.Seconds()-e.health.firstTokenTime.value)/float64(tokens), serviceTimeWeight)
	}
	if e.health.state == StateProbing {
		r.handleProbeSuccess(now, e)
		return
	}
	r.updateHealth(now, e)
}

// Tick updates the endpoints' health in comparison with their peers and starts the
// probes that are due.
func (r *Router) Tick(now time.Time) {
	if now.Sub(r.lastTickAt) < tickInterval {
		return
	}
	r.lastTickAt = now
	if r.reservingHeadroom && now.Sub(r.lastTopTierAt) > headroomHoldTime {
		r.reservingHeadroom = false
		r.updateShares()
	}
	r.updateMedians()
	r.updateOverdue(now)
	for _, e := range r.endpoints {
		r.startProbingIfDue(now, e)
		r.updateHealth(now, e)
		r.updateAvailability(e)
	}
}

// recordTopTierRequest reserves the whole headroom for headroomHoldTime.
func (r *Router) recordTopTierRequest(now time.Time) {
	r.lastTopTierAt = now
	if !r.reservingHeadroom {
		r.reservingHeadroom = true
		r.updateShares()
	}
}

// NextWake returns the time at which Tick is due. It reports false if there are no
// endpoints.
func (r *Router) NextWake() (time.Time, bool) {
	if len(r.endpoints) == 0 {
		return time.Time{}, false
	}
	return r.lastTickAt.Add(tickInterval), true
}

// UsableEndpoints returns the number of endpoints that may get attempts, probing
// endpoints included.
func (r *Router) UsableEndpoints() int {
	usable := 0
	for _, e := range r.endpoints {
		if e.isUsable() {
			usable++
		}
	}
	return usable
}

// Capacity returns this host's share of the usable endpoints' slots, rounded to
// whole slots, and of their decode rate.
func (r *Router) Capacity() (slots int, tokensPerSecond float64) {
	total := 0.0
	for _, e := range r.endpoints {
		if e.isUsable() {
			total += float64(e.slots(&r.settings)) / r.hostsPerEndpoint()
			tokensPerSecond += e.load.report.TokensPerSecond / r.hostsPerEndpoint()
		}
	}
	return int(math.Round(total)), tokensPerSecond
}

// StallTimeout returns the time without progress after which an attempt at the
// endpoint counts as stalled.
func (r *Router) StallTimeout(key endpoint.Key) time.Duration {
	bounds := &r.settings.Health
	e := r.byKey[key]
	if e == nil {
		return bounds.MaxStallTimeout
	}
	eventTimeout := stallGaps * e.health.eventGap.valueOr(r.settings.DefaultTokenGap.Seconds())
	firstTokenTimeout := 3 * (e.health.firstTokenTime.valueOr(0) + 4*e.health.firstTokenDeviation.valueOr(0))
	return min(max(seconds(max(eventTimeout, firstTokenTimeout)), bounds.MinStallTimeout), bounds.MaxStallTimeout)
}
