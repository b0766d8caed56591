package scheduling

import (
	"math"
	"time"

	"cactuswell/core/route"
	"cactuswell/core/speed"
)

const (
	// minMeasuredPrefill is the nominal prefill time from which on a time to the first event
	// shows the speed of an engine rather than that of the network and the host.
	minMeasuredPrefill = 20 * time.Millisecond
	// maxMeasuredBacklog is the prefill backlog, as a share of the call's own prefill time, up to
	// which the time to its first event is measured.
	maxMeasuredBacklog = 0.25
	// minShareFactor is the factor from which on an endpoint is offered fewer calls than it has
	// slots.
	minShareFactor = 1.5
	// fullSlotsCost is the cost of an engine all of whose slots are in use, in missed latency
	// targets.
	fullSlotsCost = 1
	// speedsPerSecond bounds the observations of speed that a host reports to the others in a
	// second. A host of a large fleet has about as many.
	speedsPerSecond = 8
)

// observeSpeed records a measured time of an endpoint's work. Other hosts get it if the
// service's endpoints report their pace or are known to be uneven, or if the endpoint has just
// appeared or recovered.
func (s *Scheduler) observeSpeed(p *pool, e *endpoint, kind speed.Kind, measured, nominal time.Duration) {
	observation, ok := e.speed.Observe(s.now, kind, measured, nominal)
	if !ok {
		return
	}
	isRamping := e.ramp != nil
	s.recordRampAnswer(p, e, observation)
	if !isRamping && !p.reportsPace && !p.speeds.IsUneven(s.now) {
		return
	}
	observation.Endpoint = e.keyHash
	s.speeds.Add(s.now, observation)
}

// TakeSpeeds returns this host's latest observations of the speed of endpoints, for a report to the
// other hosts.
func (s *Scheduler) TakeSpeeds(now time.Time) []speed.Observation { return s.speeds.Take(now) }

// applySpeeds records the observations of another host, or of a zone's hosts. Those of a zone may
// include this host's own, which then count twice here.
func (s *Scheduler) applySpeeds(observations []speed.Observation) {
	for _, o := range observations {
		if e := s.byHash[o.Endpoint]; e != nil {
			e.speed.Apply(s.now, o)
			s.recordRampAnswer(s.ensurePool(e.entry.Service), e, o)
		}
	}
}

// nominalPrefill returns the expected time to the first event of a call at an engine of usual
// speed, or zero if the measured time would not tell the engine's speed.
func (s *Scheduler) nominalPrefill(choice *Choice, prefillTime time.Duration) time.Duration {
	if prefillTime < minMeasuredPrefill || choice.FetchedTokens > 0 || choice.PrefillBacklog > time.Duration(maxMeasuredBacklog*float64(prefillTime)) {
		return 0
	}
	return s.settings.Engine.FirstStepDelay + s.settings.Engine.Step + prefillTime
}

// observeFirstEvent records the time to the first event of a stream.
func (s *Scheduler) observeFirstEvent(c *call) {
	if c.nominalPrefill > 0 {
		s.observeSpeed(c.pool, c.endpoint, speed.Prefill, s.now.Sub(c.sentAt)-s.roundTrip(c.endpoint), c.nominalPrefill)
	}
}

// slowness returns the factor on the time of work of a kind at an endpoint. While the endpoints of
// the service are alike, or too little is known about them, it is this host's estimate.
//
// It serves services whose machines differ in speed permanently, or for seconds.
func (s *Scheduler) slowness(p *pool, e *endpoint, kind speed.Kind) float64 {
	if !p.speeds.IsUneven(s.now) {
		return e.slowness
	}
	level, ok := p.speeds.Level(s.now, kind)
	if !ok && kind == speed.Prefill {
		level, ok = p.speeds.Level(s.now, speed.EventGap)
	}
	if !ok {
		return e.slowness
	}
	return level * e.speed.FactorNow(s.now)
}

// answerTime returns the expected time of an answer of a plain service, without a queue.
func (s *Scheduler) answerTime(p *pool, e *endpoint) float64 {
	if p.speeds.IsUneven(s.now) {
		return p.answerTime * e.speed.FactorNow(s.now)
	}
	return p.answerTime * e.slowness
}

// speedShare returns the number of calls that an endpoint is offered while others have room: fewer
// than its slots if it is clearly slower than the others, so that all its calls end about as soon
// as theirs.
func (s *Scheduler) speedShare(p *pool, e *endpoint, limit int) int {
	if !p.speeds.IsUneven(s.now) {
		return limit
	}
	factor := e.speed.Factor(s.now)
	if factor < minShareFactor {
		return limit
	}
	return max(int(math.Ceil(float64(limit)/factor)), 1)
}

// gapCost returns the cost of an engine at which a stream's event gaps are more likely to miss
// their target than at an engine of usual speed, and a gain where they are less likely to. A gap
// is taken to include the prefill of one chunk, since the stream meets other calls' prompts.
func (s *Scheduler) gapCost(c *call, e *endpoint, inFlight int) float64 {
	r := c.spec.Route
	if r.Kind != route.Stream || r.TargetEventGap <= 0 || !c.pool.speeds.IsUneven(s.now) {
		return 0
	}
	level, ok := c.pool.speeds.Level(s.now, speed.EventGap)
	if !ok {
		return 0
	}
	model := s.settings.Engine
	model.TokensPerEvent = s.tokensPerEvent(c.pool)
	usual := level * model.EventGap(inFlight, 0, 0, model.ChunkTokens).Seconds() / r.TargetEventGap.Seconds()
	return s.lateness(usual*e.speed.Factor(s.now)) - s.lateness(usual)
}

// slotCost returns the cost of an engine whose slots fill up. Hosts whose estimates agree prefer the
// same fast engines, and know of each other's latest calls only from the next report; an engine
// without a free slot queues a call, or preempts another. Only latency-sensitive streams are moved:
// others would leave the engines that have their prompts cached.
func (s *Scheduler) slotCost(c *call, e *endpoint, inFlight int) float64 {
	if !c.latencySensitive || !c.pool.speeds.IsUneven(s.now) {
		return 0
	}
	occupied := float64(inFlight) / float64(max(e.entry.Slots, 1))
	return fullSlotsCost * occupied * occupied
}

// lateness returns the probability that a time misses its target, of which it is expected to take
// a share.
func (s *Scheduler) lateness(share float64) float64 {
	return 1 / (1 + math.Exp((s.settings.Weights.OnTimeMargin-share)/s.settings.Weights.OnTimeSpread))
}

// UnevenServices returns the number of services whose endpoints clearly differ in speed.
func (s *Scheduler) UnevenServices() int {
	uneven := 0
	for _, p := range s.poolsInOrder {
		if p.speeds.IsUneven(s.now) {
			uneven++
		}
	}
	return uneven
}
