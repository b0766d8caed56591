package scheduling

import (
	"hash/fnv"
	"math"
	"slices"
	"sort"
	"time"

	"cactuswell/core/route"
)

const (
	// initialAnswer is the time to an answer of a plain service that has not
	// given one yet.
	initialAnswer = 30 * time.Millisecond
	// pumpAgainAfter is how long held calls wait before the endpoints are looked
	// at again, if no event comes first.
	pumpAgainAfter = 25 * time.Millisecond
	// homes is the number of endpoints that are preferred for a subject of which
	// no host has told. Hosts that start anew find what is in memory there.
	homes = 2
	// rereadWindow is for how long after its last use a part counts as held.
	rereadWindow = 12 * time.Second
	// longPrompt is the number of tokens to read from which a prompt disturbs
	// streams with short pauses: more than one chunk.
	longPrompt = 2048
	// tightGap is the pause up to which a stream counts as tight: the time of an
	// event whose every step reads a chunk, with some room.
	tightGap = 250 * time.Millisecond
)

// arrive takes a new call and decides on it at once.
func (s *Scheduler) arrive(spec Call) {
	p := s.pool(spec.Service)
	p.budget.RecordFirst(s.now)
	c := &call{
		spec:    spec,
		pool:    p,
		arrived: s.now,
		chain:   PrefixHashes(spec.Prompt),
		tight:   isTight(spec.Route),
	}
	c.holdTill = s.holdTill(c)
	s.calls[spec.ID] = c
	s.placeOrHold(c)
}

// holdTill returns until when a call may wait here for room.
func (s *Scheduler) holdTill(c *call) time.Time {
	till := c.arrived.Add(c.spec.Route.TargetLatency)
	if till.After(c.spec.Deadline) {
		return c.spec.Deadline
	}
	return till
}

// placeOrHold sends a call to the best endpoint, or holds it, or refuses it.
func (s *Scheduler) placeOrHold(c *call) {
	if t, choice := s.pick(c); t != nil {
		s.send(c, t, choice)
		return
	}
	if s.usable(c.pool) == 0 || !s.now.Before(c.holdTill) {
		s.refuse(c, s.fullReason(c.pool))
		return
	}
	c.queued = true
	p := c.pool
	at := sort.Search(len(p.waiting), func(i int) bool {
		return moreUrgent(c, p.waiting[i])
	})
	p.waiting = append(p.waiting, nil)
	copy(p.waiting[at+1:], p.waiting[at:])
	p.waiting[at] = c
}

func moreUrgent(a, b *call) bool {
	if a.spec.Priority != b.spec.Priority {
		return a.spec.Priority < b.spec.Priority
	}
	return a.arrived.Before(b.arrived)
}

func (s *Scheduler) fullReason(p *pool) Reason {
	if s.usable(p) == 0 {
		return ReasonNoEndpoint
	}
	return ReasonAllFull
}

// usable returns the number of endpoints that may get calls now or soon.
func (s *Scheduler) usable(p *pool) int {
	usable := 0
	for _, t := range p.targets {
		if !t.leaving {
			usable++
		}
	}
	return usable
}

// pump sends held calls as long as endpoints have room, and refuses those that
// waited too long.
func (s *Scheduler) pump(p *pool) {
	for i := 0; i < len(p.waiting); {
		c := p.waiting[i]
		t, choice := s.pick(c)
		if t == nil && s.now.Before(c.holdTill) {
			i++
			continue
		}
		p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
		c.queued = false
		if t == nil {
			s.refuse(c, s.fullReason(p))
			continue
		}
		s.send(c, t, choice)
	}
}

// candidate is an endpoint with what it would cost a call.
type candidate struct {
	target *target
	cost   float64
	choice Choice
	work   time.Duration
}

// pick returns the endpoint on which a call costs least, or nil if none has
// room.
func (s *Scheduler) pick(c *call) (*target, Choice) {
	var best candidate
	compared := 0
	if c.pool.engine != nil {
		c.held = s.heldTokens(c)
		c.homes = s.homesOf(c)
		s.findSource(c)
	}
	for pass := 0; pass < 2 && best.target == nil; pass++ {
		for _, t := range c.pool.targets {
			if !s.open(c, t, pass > 0) {
				continue
			}
			compared++
			next := s.weigh(c, t)
			if best.target == nil || next.cost < best.cost {
				best = next
			}
		}
	}
	if best.target == nil {
		return nil, Choice{}
	}
	best.choice.ComparedEndpoints = compared
	best.choice.QueueTime = s.now.Sub(c.arrived)
	best.choice.LoadAge = -1
	if best.target.load.Known {
		best.choice.LoadAge = s.now.Sub(best.target.loadAt)
	}
	c.work = best.work
	return best.target, best.choice
}

// isTight reports whether a route's streams must have short pauses.
func isTight(r *route.Route) bool {
	return r.Kind == route.Stream && r.TargetEventGap > 0 && r.TargetEventGap <= tightGap
}

// open reports whether an endpoint may get a call. Endpoints that failed the
// call, and those whose time out of use is over only in part, are left for the
// second pass.
func (s *Scheduler) open(c *call, t *target, second bool) bool {
	if t.leaving || t.busy(s.now) >= s.slots(c.pool, t) {
		return false
	}
	if t.health.out(s.now) {
		return false
	}
	if second {
		return true
	}
	return !slices.Contains(c.avoid, t.key) && !s.now.Before(t.fullTill)
}

// slots returns the number of calls that an endpoint may hold.
func (s *Scheduler) slots(p *pool, t *target) int {
	slots := t.entry.Slots
	if slots == 0 {
		slots = 1
	}
	if p.engine == nil {
		// A plain service keeps a short queue of its own.
		return slots + slots/2
	}
	return slots
}

// weigh returns what a call costs at an endpoint, in missed latency targets.
func (s *Scheduler) weigh(c *call, t *target) candidate {
	next := candidate{
		target: t,
	}
	distance := s.distance(t)
	busy := t.busy(s.now)
	next.choice.Running = busy
	if c.pool.engine == nil {
		queue := float64(busy) / float64(max(t.entry.Slots, 1))
		answer := c.pool.answer * t.slowness * (1 + queue*queue)
		next.choice.TimeToFirstEvent = distance + time.Duration(answer*float64(time.Second))
	} else {
		s.weighEngine(c, t, &next, distance)
	}
	next.cost += s.delayCost(c, next.choice.TimeToFirstEvent)
	next.cost += t.health.errors * s.settings.Weights.ErrorCost
	if s.now.Before(t.coldTill) {
		next.cost += s.settings.Weights.ColdStartCost
	}
	if t.health.ejectFor > 0 {
		next.cost += s.settings.Weights.ProbeCost
	}
	// Ties are broken at random, so that hosts with the same view part.
	next.cost += 0.01 * s.random.Float64()
	return next
}

// delayCost returns the odds to miss the latency target, and a little for the
// delay itself.
func (s *Scheduler) delayCost(c *call, first time.Duration) float64 {
	target := c.spec.Route.TargetLatency - s.now.Sub(c.arrived)
	if target <= 0 {
		return 1 + s.settings.Weights.DelayWeight*first.Seconds()/c.spec.Route.TargetLatency.Seconds()
	}
	part := first.Seconds() / target.Seconds()
	return 1/(1+math.Exp((s.settings.Weights.OnTimeMargin-part)/s.settings.Weights.OnTimeSpread)) + s.settings.Weights.DelayWeight*part
}

func (s *Scheduler) weighEngine(c *call, t *target, next *candidate, distance time.Duration) {
	model := s.settings.Engine
	cached := s.cachedTokens(c, t)
	known := cached
	fetching, canFetch := s.fetchTime(c, t, cached)
	if canFetch {
		known = c.sourceHeld
		next.choice.FetchedTokens = known - cached
		next.cost += s.settings.Weights.FetchCost * float64(next.choice.FetchedTokens) / 1000
	}
	uncached := max(c.spec.PromptTokens-known, 1)
	work := time.Duration(float64(model.PrefillTime(known, uncached)) * t.slowness)
	reading := t.reading(s.now)
	next.work = work
	next.choice.CachedTokens = cached
	next.choice.PrefillBacklog = reading
	// A request joins the batch when the step under way is over.
	next.choice.TimeToFirstEvent = model.FirstStepDelay + model.Step + reading + fetching + work + distance
	if c.held > known {
		reread := model.PrefillTime(known, c.held-known)
		next.cost += s.settings.Weights.RecomputeCost * reread.Seconds()
	} else if slices.Contains(c.homes[:], t) {
		next.cost -= s.settings.Weights.AffinityBonus
	}
	s.weighLane(c, t, next, uncached)
}

// weighLane adds what a call costs in the lane of an endpoint.
func (s *Scheduler) weighLane(c *call, t *target, next *candidate, uncached int) {
	lane := c.pool.lanes.isTight(t)
	switch {
	case c.tight && !lane && c.pool.lanes.tight > 0:
		next.cost += s.settings.Weights.PartitionMissCost
	case !c.tight && uncached > longPrompt:
		if lane {
			next.cost += s.settings.Weights.PartitionMissCost
		}
		next.cost += s.settings.Weights.InterferenceCost * float64(t.tightStreams())
	}
}

// stride returns the number of tokens in an event of a pool's streams.
func (s *Scheduler) stride(p *pool) int {
	if p.engine.TokensPerEvent > 0 {
		return p.engine.TokensPerEvent
	}
	return s.settings.Engine.TokensPerEvent
}

// distance returns the round trip to an endpoint.
func (s *Scheduler) distance(t *target) time.Duration {
	if t.entry.Zone == s.settings.Zone {
		return 0
	}
	return 2 * s.settings.ZoneDelay
}

// cachedTokens returns how much of a prompt an endpoint is believed to hold.
func (s *Scheduler) cachedTokens(c *call, t *target) int {
	tokens, held := 0, 0
	for i, chain := range c.chain {
		tokens += c.spec.Prompt[i].Tokens
		if t.cache.has(chain) {
			held = tokens
		}
	}
	return min(held, c.spec.PromptTokens)
}

// heldTokens returns how much of a prompt's shared parts some endpoint in use
// holds that was given a prompt with them of late.
func (s *Scheduler) heldTokens(c *call) int {
	since := s.now.Add(-rereadWindow)
	tokens, held := 0, 0
	for i := 0; i < len(c.chain)-1; i++ {
		tokens += c.spec.Prompt[i].Tokens
		for _, t := range c.pool.targets {
			if !t.leaving && !t.health.out(s.now) && t.cache.usedSince(c.chain[i], since) {
				held = tokens
				break
			}
		}
	}
	return held
}

// homesOf returns the endpoints at which hosts look first for the subject of a
// call that no host told of, by rendezvous hashing.
func (s *Scheduler) homesOf(c *call) [homes]*target {
	var first [homes]*target
	if c.held > 0 || len(c.chain) < 2 {
		return first
	}
	subject := c.chain[len(c.chain)-2]
	for _, t := range c.pool.targets {
		if t.leaving {
			continue
		}
		for i, home := range first {
			if home == nil || mix(subject, t.idHash) > mix(subject, home.idHash) {
				first[i], t = t, home
			}
			if t == nil {
				break
			}
		}
	}
	return first
}

// hashID returns the hash of an endpoint's id.
func hashID(id string) uint64 {
	h := fnv.New64a()
	// A hash never fails to take bytes.
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// mix returns the hash of an id under a seed. Its steps are the finalizer of
// MurmurHash3, which spreads ids that differ in few bits.
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

// PrefixHashes returns a hash for each leading run of a prompt's parts.
func PrefixHashes(parts []PromptPart) []uint64 {
	chain := make([]uint64, len(parts))
	hash := uint64(math.MaxUint64)
	for i, part := range parts {
		hash = (hash ^ part.ID) * goldenRatio
		hash ^= hash >> 29
		chain[i] = hash
	}
	return chain
}

// send gives a call to an endpoint.
func (s *Scheduler) send(c *call, t *target, choice Choice) {
	repeat := c.ran > 0
	if c.sends > 0 {
		c.pool.budget.RecordRetry(s.now)
	}
	c.sends++
	c.target = t
	c.sentAt = s.now
	c.began = false
	c.predicted = choice.TimeToFirstEvent
	t.running++
	if c.tight {
		t.tight++
	}
	s.touch(t)
	if c.pool.engine != nil {
		c.pool.lanes.note(s.now, c.tight, c.work)
		t.pending = append(t.pending, c)
		s.remember(c, t)
	}
	if t.health.ejectFor > 0 {
		t.health.trial = true
	}
	command := Send{
		Call:     c.spec.ID,
		Key:      t.key,
		Address:  t.entry.Address,
		Priority: c.spec.Priority,
		IsRetry:  repeat,
		Choice:   choice,
	}
	if choice.FetchedTokens > 0 {
		command.FetchFrom = c.source.key
		command.FetchAddress = c.source.entry.Address
	}
	s.setLimits(c, &command)
	s.commands = append(s.commands, command)
}

// remember notes the prompt's parts as held by the endpoint.
func (s *Scheduler) remember(c *call, t *target) {
	capacity := s.cacheCapacity(t)
	for i, chain := range c.chain {
		known := t.cache.usedSince(chain, s.now.Add(-rereadWindow/4))
		t.cache.add(s.now, s.now.Add(c.predicted), chain, c.spec.Prompt[i].Tokens, capacity)
		if !known && i < len(c.chain)-1 && len(s.placed) < maxPlaced {
			s.placed = append(s.placed, Placement{
				Endpoint:   t.hash,
				PrefixHash: chain,
				Tokens:     c.spec.Prompt[i].Tokens,
			})
		}
	}
}

// maxPlaced bounds the placements that wait to be told to other hosts.
const maxPlaced = 64
