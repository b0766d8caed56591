package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
)

const (
	// tickEvery is the time between two comparisons of the endpoints.
	tickEvery = 100 * time.Millisecond
	// maxLeaving bounds the leaving incarnations that are remembered.
	maxLeaving = 4096
	// congestedRatio is by how much the first-token time may exceed the expected
	// one before the window shrinks.
	congestedRatio = 8
	// reserveFor is how long the whole headroom is kept after top-tier work.
	reserveFor = 60 * time.Second
	// serviceTimeWeight is the weight of a new sample of attempt lengths.
	serviceTimeWeight = 0.05
)

// Router chooses endpoints of one pool for one host.
type Router struct {
	settings Settings
	random   *rand.Rand
	targets  []*target
	byKey    map[endpoint.Key]*target
	byNumber map[uint32]*target
	numbers  uint32
	// leaving remembers the incarnations that take no new work, and
	// leavingOrder bounds them.
	leaving      map[endpoint.Key]struct{}
	leavingOrder []endpoint.Key
	hosts        int
	staying      int
	usedCount    int
	open         [openSets]openSet
	prefixes     prefixIndex
	peers        medians
	scratch      []float64
	// reserving says that there was top-tier work of late, last at topTierAt.
	reserving bool
	topTierAt time.Time
	// serviceTime is the mean length of an attempt in seconds.
	serviceTime average
	// tokenTime is the mean time for one token after the first, in seconds. Token
	// gaps can't give it, as progress may come for several tokens at once.
	tokenTime average
	tickedAt  time.Time
	// outside counts the targets that are ejected or probing.
	outside int
	// running counts this host's attempts at all endpoints by tier.
	running [profile.TierCount]int
	// granted is the sum of the windows of the endpoints that take work.
	granted     float64
	decision    uint64
	comparisons uint64
	ejections   uint64
}

// New returns a Router without endpoints. It alone uses random from then on.
func New(settings Settings, random *rand.Rand) *Router {
	r := &Router{
		settings: settings,
		random:   random,
		byKey:    make(map[endpoint.Key]*target),
		byNumber: make(map[uint32]*target),
		leaving:  make(map[endpoint.Key]struct{}),
		hosts:    1,
		prefixes: newPrefixIndex(settings.MaxPrefixBlocks),
	}
	for i := range r.open {
		r.open[i].tier = i
	}
	return r
}

// AddEndpoint brings an endpoint. One that is known already is updated; one
// whose incarnation is leaving stays leaving.
func (r *Router) AddEndpoint(now time.Time, descriptor endpoint.Descriptor) {
	if known := r.byKey[descriptor.Key]; known != nil {
		known.descriptor = descriptor
		return
	}
	r.numbers++
	_, leaving := r.leaving[descriptor.Key]
	t := &target{
		descriptor: descriptor,
		leaving:    leaving,
		addedAt:    now,
		awaiting:   make([]awaited, 0, maxAwaiting),
		cache: cacheState{
			owner: blockOwner{
				number: r.numbers,
			},
			confidence: 1,
		},
	}
	hash := rendezvous(r.settings.Host, descriptor.Key.Name)
	t.window.offset = float64(hash>>11) / (1 << 53)
	for i := range t.places {
		t.places[i] = notOpen
	}
	r.targets = append(r.targets, t)
	r.byKey[descriptor.Key] = t
	r.byNumber[r.numbers] = t
	r.updateSubset()
}

// MarkLeaving stops new work to an endpoint. It holds for that incarnation,
// also when the endpoint is removed and added again.
func (r *Router) MarkLeaving(now time.Time, key endpoint.Key) {
	r.rememberLeaving(key)
	t := r.byKey[key]
	if t == nil || t.leaving {
		return
	}
	if t.isOutside() {
		r.outside--
	}
	t.leaving = true
	r.updateSubset()
}

// SetDrained stops new work to an endpoint that is known, or lets it have work
// again. An endpoint that is leaving stays leaving.
func (r *Router) SetDrained(now time.Time, key endpoint.Key, drained bool) {
	t := r.byKey[key]
	if t == nil || t.leaving == drained {
		return
	}
	if _, sticky := r.leaving[key]; sticky {
		return
	}
	if t.isOutside() {
		r.outside--
	}
	t.leaving = drained
	if t.isOutside() {
		r.outside++
	}
	r.updateSubset()
}

func (r *Router) rememberLeaving(key endpoint.Key) {
	if _, known := r.leaving[key]; known {
		return
	}
	if len(r.leavingOrder) >= maxLeaving {
		delete(r.leaving, r.leavingOrder[0])
		r.leavingOrder = append(r.leavingOrder[:0], r.leavingOrder[1:]...)
	}
	r.leaving[key] = struct{}{}
	r.leavingOrder = append(r.leavingOrder, key)
}

// RemoveEndpoint forgets an endpoint, except that its incarnation is leaving.
func (r *Router) RemoveEndpoint(now time.Time, key endpoint.Key) {
	t := r.byKey[key]
	if t == nil {
		return
	}
	if t.isOutside() {
		r.outside--
	}
	for i := range r.open {
		r.open[i].set(t, false)
	}
	r.granted -= t.granted
	for tier, own := range t.load.atTier {
		r.running[tier] -= own
	}
	delete(r.byKey, key)
	delete(r.byNumber, t.cache.owner.number)
	for i, other := range r.targets {
		if other == t {
			r.targets = append(r.targets[:i], r.targets[i+1:]...)
			break
		}
	}
	r.updateSubset()
}

// SetHosts says how many hosts share the endpoints.
func (r *Router) SetHosts(now time.Time, hosts int) {
	r.hosts = max(hosts, 1)
	r.updateShares()
}

// ReportLoad takes an endpoint's account of its load. An older account than the
// last one is ignored, except that leaving is sticky.
func (r *Router) ReportLoad(now time.Time, report endpoint.Report) {
	if report.Leaving {
		r.MarkLeaving(now, report.Key)
	}
	t := r.byKey[report.Key]
	if t == nil {
		return
	}
	slots := t.slots(&r.settings)
	if !t.load.accept(now, report) {
		return
	}
	if t.slots(&r.settings) != slots {
		r.updateShare(t)
	}
	r.lend(now, t)
	r.refresh(t)
}

// lend moves the window by what the report says about idle and waiting work.
func (r *Router) lend(now time.Time, t *target) {
	if !t.load.fresh(now, r.settings.MaxReportAge) {
		return
	}
	slots := t.slots(&r.settings)
	report := &t.load.report
	aim := slots - r.headroom(slots)
	free := float64(aim - report.Running - report.Queued)
	t.window.correct(free/r.users(), t.load.own, slots)
}

// ApplyCache takes an endpoint's prefix cache events.
func (r *Router) ApplyCache(now time.Time, update endpoint.CacheUpdate) {
	if t := r.byKey[update.Key]; t != nil {
		r.prefixes.apply(&t.cache, update)
	}
}

// Sent takes a window slot for an attempt.
func (r *Router) Sent(now time.Time, work Attempt) {
	t := r.byKey[work.Key]
	if t == nil {
		return
	}
	t.sent++
	r.count(now, t, 1, work.Tier)
	t.await(awaited{
		sentAt:   work.SentAt,
		expected: r.idleFirstToken(t, &work),
		tier:     work.Tier,
		prefix:   work.Prefix,
	})
	if work.IsProbe {
		t.health.probing++
	}
	r.refresh(t)
}

// count adds delta to the attempts that run at an endpoint.
func (r *Router) count(now time.Time, t *target, delta int, tier profile.Tier) {
	if t.load.atTier[tier]+delta < 0 {
		return
	}
	t.load.change(now, delta, tier)
	r.running[tier] += delta
}

// idleFirstToken returns the first-token time of an idle endpoint.
func (r *Router) idleFirstToken(t *target, work *Attempt) time.Duration {
	if t.isService() {
		return time.Second
	}
	uncached := max(work.PromptTokens-work.CachedTokens, 0)
	return baseFirstToken + seconds(float64(uncached)/t.prefillRate(&r.settings))
}

// Progressed says that an attempt has tokens tokens in all. The first token
// comes with tokens of one; sinceSent is the time since the attempt was sent and
// sinceLast that since its last progress, of which fresh tokens are news.
func (r *Router) Progressed(
	now time.Time, key endpoint.Key, tokens, fresh int, sinceSent, sinceLast time.Duration,
) {
	t := r.byKey[key]
	if t == nil {
		return
	}
	if tokens > 1 {
		t.health.progressed(now, sinceLast, fresh)
		r.judge(now, t)
		return
	}
	if entry, ok := t.settle(now.Add(-sinceSent)); ok {
		r.storePrefix(t, entry.prefix)
		r.answered(now, t, sinceSent, entry.expected)
	}
}

// answered takes a first token, or a plain service's answer.
func (r *Router) answered(now time.Time, t *target, took, expected time.Duration) {
	ratio := took.Seconds() / max(expected.Seconds(), 0.001)
	t.health.firstToken(now, took, ratio)
	if !t.load.fresh(now, r.settings.MaxReportAge) {
		r.adapt(now, t, ratio)
	}
	r.judge(now, t)
	r.refresh(t)
}

// adapt moves the window of an endpoint whose reports are missing or too old, by
// its first-token times.
func (r *Router) adapt(now time.Time, t *target, ratio float64) {
	slots := t.slots(&r.settings)
	aimd, ok := r.settings.LimitAlgorithm.(AIMD)
	if ok && r.peers.ratio > 0 && ratio > congestedRatio*r.peers.ratio {
		t.window.congested(now, aimd.Decrease, slots)
		return
	}
	t.window.answered(r.settings.LimitAlgorithm, ratio, t.load.own, slots)
}

// Ended frees the slot of an attempt that had tokens tokens in all. An attempt
// sent before the endpoint was removed and added again is not counted.
func (r *Router) Ended(now time.Time, work Attempt, outcome Outcome, tokens int) {
	t := r.byKey[work.Key]
	if t == nil || work.SentAt.Before(t.addedAt) {
		return
	}
	r.count(now, t, -1, work.Tier)
	if work.IsProbe {
		t.health.probing = max(t.health.probing-1, 0)
	}
	entry, waiting := t.settle(work.SentAt)
	took := now.Sub(work.SentAt)
	switch outcome {
	case OutcomeCompleted:
		if t.isService() && waiting {
			r.answered(now, t, took, entry.expected)
		}
		r.completed(now, t, &work, took, tokens, waiting)
	case OutcomeRejected:
		t.window.congested(now, 0.5, t.slots(&r.settings))
		r.failed(now, t)
	case OutcomeFailed, OutcomeStalled:
		t.window.congested(now, 0.5, t.slots(&r.settings))
		r.failed(now, t)
	case OutcomeCanceled:
	}
	r.refresh(t)
}

// storePrefix remembers what the endpoint now has cached, before its late cache
// events say so.
func (r *Router) storePrefix(t *target, prefix []uint64) {
	for _, hash := range prefix {
		r.prefixes.store(hash, t.cache.owner)
	}
}

func (r *Router) completed(now time.Time, t *target, work *Attempt, took time.Duration, tokens int, waiting bool) {
	r.serviceTime.add(took.Seconds(), serviceTimeWeight)
	t.health.succeeded()
	if waiting {
		r.storePrefix(t, work.Prefix)
	} else if tokens > 1 {
		r.tokenTime.add((took.Seconds()-t.health.first.value)/float64(tokens), serviceTimeWeight)
	}
	if t.health.state == StateProbing {
		r.probePassed(now, t)
		return
	}
	r.judge(now, t)
}

// Tick compares the endpoints with their peers and starts the probes that are
// due.
func (r *Router) Tick(now time.Time) {
	if now.Sub(r.tickedAt) < tickEvery {
		return
	}
	r.tickedAt = now
	if r.reserving && now.Sub(r.topTierAt) > reserveFor {
		r.reserving = false
		r.updateShares()
	}
	r.updateMedians()
	r.updateOverdue(now)
	for _, t := range r.targets {
		r.startProbe(now, t)
		r.judge(now, t)
		r.refresh(t)
	}
}

// sawTopTier begins to keep the whole headroom.
func (r *Router) sawTopTier(now time.Time) {
	r.topTierAt = now
	if !r.reserving {
		r.reserving = true
		r.updateShares()
	}
}

// NextWake returns the time at which Tick is due. It reports false when there is
// nothing to watch.
func (r *Router) NextWake() (time.Time, bool) {
	if len(r.targets) == 0 {
		return time.Time{}, false
	}
	return r.tickedAt.Add(tickEvery), true
}

// Usable returns the number of endpoints that may get work.
func (r *Router) Usable() int {
	usable := 0
	for _, t := range r.targets {
		if t.isUsable() {
			usable++
		}
	}
	return usable
}

// Capacity returns this host's part of the usable endpoints' slots and of their
// decode rate, rounded to whole slots.
func (r *Router) Capacity() (slots int, tokensPerSecond float64) {
	total := 0.0
	for _, t := range r.targets {
		if t.isUsable() {
			total += float64(t.slots(&r.settings)) / r.users()
			tokensPerSecond += t.load.report.TokensPerSecond / r.users()
		}
	}
	return int(math.Round(total)), tokensPerSecond
}

// SilenceBound returns the time without progress after which an attempt at the
// endpoint is to be taken for silent.
func (r *Router) SilenceBound(key endpoint.Key) time.Duration {
	bounds := &r.settings.Health
	t := r.byKey[key]
	if t == nil {
		return bounds.MaxStallTimeout
	}
	gap := silenceGaps * t.health.interval.or(r.settings.DefaultTokenGap.Seconds())
	first := 3 * (t.health.first.or(0) + 4*t.health.deviation.or(0))
	return min(max(seconds(max(gap, first)), bounds.MinStallTimeout), bounds.MaxStallTimeout)
}
