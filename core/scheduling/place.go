package scheduling

import (
	"hash/fnv"
	"math"
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
	// homeDoubt is the part of a prompt that an endpoint which should hold it is
	// taken not to hold, if no host has told of it.
	homeDoubt = 0.5
	// homes is the number of endpoints that a subject's prompts go to first.
	homes = 2
	// othersCost weighs the engine time that a prompt takes from other requests
	// against the delay of its own first event.
	othersCost = 0.6
	// longPrompt is the number of tokens to read from which a prompt disturbs
	// streams with short pauses: more than one event's steps.
	longPrompt = 6000
	// tightGap is the pause up to which a stream counts as tight.
	tightGap = 250 * time.Millisecond
	// disturbCost is the delay that equals the disturbance of a tight stream.
	disturbCost = 15 * time.Millisecond
	// disturbedCost is the delay that equals to start a tight stream beside a
	// prompt that is being read.
	disturbedCost = 60 * time.Millisecond
	// orderCost spreads tight streams and long prompts towards opposite ends of
	// an order of the endpoints that all hosts share.
	orderCost = 30 * time.Millisecond
	// errorCost is the delay that equals a certain failure of an endpoint's
	// answer, in parts of the latency target.
	errorCost = 2.0
)

// arrive takes a new call: load of every kind.
func (s *Scheduler) arrive(spec Call) {
	p := s.pool(spec.Service)
	p.budget.First(s.now)
	c := &call{
		spec:    spec,
		pool:    p,
		arrived: s.now,
		chain:   chainOf(spec.Prompt),
		tight:   spec.Route.Kind == route.Stream && spec.Route.Gap > 0 && spec.Route.Gap <= tightGap,
	}
	c.holdTill = s.holdTill(c)
	s.calls[spec.ID] = c
	s.placeOrHold(c)
}

// holdTill returns until when a call may wait here for room.
func (s *Scheduler) holdTill(c *call) time.Time {
	till := c.arrived.Add(c.spec.Route.Target)
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
	best.choice.Compared = compared
	best.choice.Waited = s.now.Sub(c.arrived)
	best.choice.LoadAge = -1
	if best.target.load.Known {
		best.choice.LoadAge = s.now.Sub(best.target.loadAt)
	}
	c.work = best.work
	return best.target, best.choice
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
	return !c.avoids(t.key) && !s.now.Before(t.fullTill)
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

// weigh returns what a call costs at an endpoint, in seconds of delay.
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
		next.choice.First = distance + time.Duration(answer*float64(time.Second))
		next.cost = next.choice.First.Seconds()
	} else {
		s.weighEngine(c, t, &next, distance)
	}
	next.cost += t.health.errors * errorCost * c.spec.Route.Target.Seconds()
	if t.health.ejectFor > 0 {
		next.cost += firstEjection.Seconds()
	}
	// Ties are broken at random, so that hosts with the same view part.
	next.cost *= 1 + 0.02*s.random.Float64()
	return next
}

func (s *Scheduler) weighEngine(c *call, t *target, next *candidate, distance time.Duration) {
	model := s.settings.Engine
	cached := s.cachedTokens(c, t)
	uncached := max(c.spec.PromptTokens-cached, 1)
	work := time.Duration(float64(model.Prefill(cached, uncached)) * t.slowness)
	reading := t.reading(s.now)
	first := model.First + reading + work + distance
	next.work = work
	next.choice.Cached = cached
	next.choice.Reading = reading
	next.choice.First = first
	cost := first.Seconds() + othersCost*work.Seconds()
	order := s.order(t)
	if c.tight {
		cost += orderCost.Seconds() * order
		if reading > time.Duration(longPrompt)*model.ReadPerThousand/1000 {
			cost += disturbedCost.Seconds()
		}
		// A slow engine cannot keep short pauses.
		cost += 0.2 * max(t.slowness-1, 0)
	} else if uncached > longPrompt {
		cost += orderCost.Seconds()*(1-order) + disturbCost.Seconds()*float64(t.tightStreams())
	}
	next.cost = cost
}

// order places an endpoint between 0 and 1, alike on all hosts.
func (s *Scheduler) order(t *target) float64 {
	return float64(mix(0, t.entry.ID)>>11) / float64(1<<53)
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
	tokens, best := 0, 0
	for i, chain := range c.chain {
		tokens += c.spec.Prompt[i].Tokens
		if t.cache.has(chain) {
			best = tokens
		}
	}
	if best > 0 || len(c.chain) < 2 {
		return min(best, c.spec.PromptTokens)
	}
	// No host has told of the prompt's subject: its first home may hold it.
	if s.homeRank(c, t) < homes {
		shared := tokens - c.spec.Prompt[len(c.spec.Prompt)-1].Tokens
		return int(float64(min(shared, c.spec.PromptTokens)) * (1 - homeDoubt))
	}
	return 0
}

// homeRank returns the endpoint's place in the order in which hosts look for
// room for the subject of a call, by rendezvous hashing.
func (s *Scheduler) homeRank(c *call, t *target) int {
	subject := c.chain[len(c.chain)-2]
	own := mix(subject, t.entry.ID)
	rank := 0
	for _, other := range c.pool.targets {
		if other != t && !other.leaving && mix(subject, other.entry.ID) > own {
			rank++
		}
	}
	return rank
}

func mix(seed uint64, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	x := h.Sum64() ^ (seed * 0x9e3779b97f4a7c15)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// chainOf returns a hash for each leading run of parts.
func chainOf(parts []Part) []uint64 {
	chain := make([]uint64, len(parts))
	hash := uint64(math.MaxUint64)
	for i, part := range parts {
		hash = (hash ^ part.ID) * 0x9e3779b97f4a7c15
		hash ^= hash >> 29
		chain[i] = hash
	}
	return chain
}

// send gives a call to an endpoint.
func (s *Scheduler) send(c *call, t *target, choice Choice) {
	repeat := c.ran > 0
	if c.sends > 0 {
		c.pool.budget.Repeat(s.now)
	}
	c.sends++
	c.target = t
	c.sentAt = s.now
	c.began = false
	c.predicted = choice.First
	c.cached = choice.Cached
	t.running++
	if c.tight {
		t.tight++
	}
	s.touch(t)
	if c.pool.engine != nil {
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
		Repeat:   repeat,
		Choice:   choice,
	}
	s.setLimits(c, &command)
	s.commands = append(s.commands, command)
}

// remember notes the prompt's parts as held by the endpoint.
func (s *Scheduler) remember(c *call, t *target) {
	capacity := s.cacheCapacity(t)
	for i, chain := range c.chain {
		known := t.cache.has(chain)
		t.cache.add(chain, c.spec.Prompt[i].Tokens, capacity)
		if !known && i < len(c.chain)-1 && len(s.placed) < maxPlaced {
			s.placed = append(s.placed, Placement{
				Endpoint: t.hash,
				Chain:    chain,
				Tokens:   c.spec.Prompt[i].Tokens,
			})
		}
	}
}

// maxPlaced bounds the placements that wait to be told to other hosts.
const maxPlaced = 64
