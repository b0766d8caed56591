package experiment

import (
	"math/rand/v2"
	"slices"
	"time"

	"cactuswell/core/dispatch"
	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
)

const (
	// chunkTokens is how many tokens come in one message.
	chunkTokens = 4
	// dialTimeout is how long a host waits for a connection to be made.
	dialTimeout = 250 * time.Millisecond
)

// engine is a fake model engine or, with kind service, a fake plain service.
type engine struct {
	simulation *simulation
	descriptor endpoint.Descriptor
	number     int
	slots      int
	slowdown   float64
	reportLag  time.Duration
	crashed    bool
	// unreachable drops every message in and out.
	unreachable bool
	running     []*attempt
	waiting     []*attempt
	prefilling  int
	known       map[attemptKey]*attempt
	cache       *blockCache
	random      *rand.Rand
}

// attemptKey names an attempt of one host.
type attemptKey struct {
	host int
	id   dispatch.AttemptID
}

// attempt is an attempt as the endpoint and the connection know it.
type attempt struct {
	id      dispatch.AttemptID
	host    *host
	request *request
	engine  *engine
	tier    profile.Tier
	// produced is how many tokens the engine has made.
	produced int
	// arrived is how many tokens have reached the host.
	arrived  int
	ran      bool
	prefill  bool
	ended    bool
	finished bool
	// silent drops the messages of the present connection.
	silent bool
	// closed means that the host takes no more messages of the attempt.
	closed    bool
	startedAt time.Time
}

func (a *attempt) key() attemptKey {
	return attemptKey{
		host: a.host.number,
		id:   a.id,
	}
}

func (e *engine) isService() bool { return e.descriptor.Kind == profile.KindService }

// start takes a new attempt that has reached the endpoint.
func (e *engine) start(a *attempt) {
	switch {
	case e.unreachable:
		e.simulation.after(dialTimeout, func() {
			e.tellHost(a, dispatch.AttemptFailed{
				Attempt: a.id,
				Failure: dispatch.NotStarted{},
			})
		})
		return
	case e.crashed:
		e.reply(a, dispatch.AttemptFailed{
			Attempt: a.id,
			Failure: dispatch.NotStarted{},
		})
		return
	case a.closed:
		return
	}
	e.known[a.key()] = a
	e.reply(a, dispatch.AttemptAccepted{
		Attempt: a.id,
	})
	e.waiting = append(e.waiting, a)
	slices.SortStableFunc(e.waiting, func(a, b *attempt) int {
		return int(a.tier) - int(b.tier)
	})
	e.fill()
}

// fill gives free slots to the waiting attempts of the most urgent tier.
func (e *engine) fill() {
	for len(e.running) < e.slots && len(e.waiting) > 0 {
		a := e.waiting[0]
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.running = append(e.running, a)
		e.begin(a)
	}
}

func (e *engine) begin(a *attempt) {
	a.ran = true
	a.request.runs++
	if e.isService() {
		e.simulation.after(e.slowed(a.request.arrival.serviceTime), func() { e.finish(a) })
		return
	}
	a.prefill = true
	e.prefilling++
	cached := e.cache.use(a.request.arrival.prefix)
	e.simulation.meter.promptTokens += a.request.arrival.promptTokens
	e.simulation.meter.cachedTokens += min(cached*blockTokens, a.request.arrival.promptTokens)
	uncached := max(a.request.arrival.promptTokens-cached*blockTokens, 1)
	rate := e.simulation.deployment.Engines.PrefillTokensPerSecond / float64(e.prefilling)
	e.simulation.after(e.slowed(time.Duration(float64(uncached)/rate*float64(time.Second))), func() {
		if a.ended {
			return
		}
		a.prefill = false
		e.prefilling--
		e.produce(a, 1)
	})
}

func (e *engine) slowed(length time.Duration) time.Duration {
	return time.Duration(float64(length) * e.slowdown)
}

// tokenFactor returns by how much the batch and the prompts being read slow each
// token.
func (e *engine) tokenFactor() float64 {
	settings := &e.simulation.deployment.Engines
	factor := 1 + settings.BatchSlowdown*float64(len(e.running))/float64(e.slots)
	if e.prefilling > 0 {
		factor += settings.PrefillSlowdown
	}
	return factor
}

// produce makes tokens and plans the next ones.
func (e *engine) produce(a *attempt, tokens int) {
	if a.ended {
		return
	}
	a.produced += tokens
	e.simulation.meter.generated += tokens
	left := a.request.arrival.outputTokens - a.produced
	if left <= 0 {
		e.finish(a)
		return
	}
	e.reply(a, dispatch.AttemptProgressed{
		Attempt: a.id,
		Tokens:  a.produced,
	})
	next := min(left, chunkTokens)
	settings := &e.simulation.deployment.Engines
	token := float64(settings.TokenTime) * e.tokenFactor()
	e.simulation.after(e.slowed(time.Duration(token*float64(next))), func() { e.produce(a, next) })
}

func (e *engine) finish(a *attempt) {
	if a.ended {
		return
	}
	a.finished = true
	e.end(a)
	e.reply(a, dispatch.AttemptFinished{
		Attempt: a.id,
		Tokens:  a.request.arrival.outputTokens,
	})
}

// end frees what the attempt holds.
func (e *engine) end(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	if a.prefill {
		a.prefill = false
		e.prefilling--
	}
	e.running = without(e.running, a)
	e.waiting = without(e.waiting, a)
	if !e.crashed {
		e.fill()
	}
}

func without(attempts []*attempt, a *attempt) []*attempt {
	if i := slices.Index(attempts, a); i >= 0 {
		return slices.Delete(attempts, i, i+1)
	}
	return attempts
}

// cancel ends an attempt for the host that sent it.
func (e *engine) cancel(a *attempt) {
	if e.crashed || e.unreachable {
		return
	}
	e.end(a)
	delete(e.known, a.key())
}

// resume sends the rest of an attempt's stream over a new connection.
func (e *engine) resume(a *attempt) {
	switch {
	case e.unreachable:
		e.simulation.after(dialTimeout, func() {
			e.tellHost(a, dispatch.AttemptFailed{
				Attempt: a.id,
				Failure: dispatch.Broken{},
			})
		})
	case e.crashed || e.known[a.key()] != a:
		a.silent = false
		e.reply(a, dispatch.AttemptFailed{
			Attempt: a.id,
			Failure: dispatch.UnknownAttempt{},
		})
	case a.finished:
		a.silent = false
		e.reply(a, dispatch.AttemptFinished{
			Attempt: a.id,
			Tokens:  a.request.arrival.outputTokens,
		})
	default:
		a.silent = false
		e.reply(a, dispatch.AttemptAccepted{
			Attempt: a.id,
		})
		if a.produced > 0 {
			e.reply(a, dispatch.AttemptProgressed{
				Attempt: a.id,
				Tokens:  a.produced,
			})
		}
	}
}

// crash breaks all connections and forgets all attempts.
func (e *engine) crash() {
	e.crashed = true
	lost := append(slices.Clone(e.running), e.waiting...)
	e.running = nil
	e.waiting = nil
	clear(e.known)
	for _, a := range lost {
		e.end(a)
		e.reply(a, dispatch.AttemptFailed{
			Attempt: a.id,
			Failure: dispatch.Broken{},
		})
	}
}

// reply sends a message over the attempt's connection.
func (e *engine) reply(a *attempt, event dispatch.Event) {
	if a.silent || e.unreachable {
		return
	}
	e.simulation.after(e.simulation.deployment.ZoneDelay, func() { e.tellHost(a, event) })
}

func (e *engine) tellHost(a *attempt, event dispatch.Event) {
	if a.closed || a.host.lost {
		return
	}
	a.host.hear(a, event)
}

// report sends the engine's load and cache events to all hosts, late.
func (e *engine) report() {
	if e.crashed {
		return
	}
	s := e.simulation
	settings := &s.deployment.Engines
	event := dispatch.LoadReported{
		Report: endpoint.Report{
			Key:     e.descriptor.Key,
			At:      s.now,
			Running: len(e.running),
			Queued:  len(e.waiting),
			Slots:   e.slots,
		},
	}
	if !e.isService() {
		event.Report.TokensPerSecond = float64(len(e.running)) / (settings.TokenTime.Seconds() * e.tokenFactor() * e.slowdown)
		event.Report.PrefillTokensPerSecond = settings.PrefillTokensPerSecond / e.slowdown
	}
	update, lost := e.cacheUpdate()
	s.after(e.reportLag, func() {
		if e.unreachable {
			return
		}
		for _, h := range s.hosts {
			h.step(e.descriptor.Pool, event)
			if !lost && len(update.Changes) > 0 {
				h.step(e.descriptor.Pool, dispatch.CacheChanged{
					Update: update,
				})
			}
		}
	})
}

func (e *engine) cacheUpdate() (endpoint.CacheUpdate, bool) {
	update := endpoint.CacheUpdate{
		Key: e.descriptor.Key,
	}
	if e.cache == nil {
		return update, true
	}
	update.FirstSequence, update.Changes = e.cache.takeChanges()
	return update, e.random.Float64() < e.simulation.deployment.Engines.CacheEventLoss
}
