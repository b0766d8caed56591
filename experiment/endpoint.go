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
	// chunkTokens is the number of tokens in one stream message.
	chunkTokens = 4
	// dialTimeout is how long a host waits for a connection to an endpoint.
	dialTimeout = 250 * time.Millisecond
)

// simulatedEndpoint is a fake model engine or, with profile.KindService, a fake plain
// service.
type simulatedEndpoint struct {
	simulation *simulation
	descriptor endpoint.Descriptor
	number     int
	slots      int
	slowdown   float64
	reportLag  time.Duration
	crashed    bool
	// unreachable drops all messages from and to the endpoint.
	unreachable  bool
	running      []*attempt
	waiting      []*attempt
	prefillCount int
	attempts     map[attemptKey]*attempt
	cache        *blockCache
	random       *rand.Rand
}

// attemptKey identifies an attempt among those of all hosts.
type attemptKey struct {
	host int
	id   dispatch.AttemptID
}

// attempt is the state of an attempt at the endpoint and on its connection.
type attempt struct {
	id       dispatch.AttemptID
	host     *host
	request  *request
	endpoint *simulatedEndpoint
	tier     profile.Tier
	// producedTokens is the number of tokens that the engine has generated.
	producedTokens int
	// receivedTokens is the number of tokens that the host has received.
	receivedTokens int
	started        bool
	isPrefilling   bool
	released       bool
	finished       bool
	// silent drops the messages on the current connection.
	silent bool
	// closed is set when the host ignores further messages of the attempt.
	closed    bool
	startedAt time.Time
}

func (a *attempt) key() attemptKey {
	return attemptKey{
		host: a.host.number,
		id:   a.id,
	}
}

func (e *simulatedEndpoint) isService() bool { return e.descriptor.Kind == profile.KindService }

// acceptAttempt queues a new attempt, or reports a failure to the host if the
// endpoint is unreachable or has crashed.
func (e *simulatedEndpoint) acceptAttempt(a *attempt) {
	switch {
	case e.unreachable:
		e.simulation.scheduleAfter(dialTimeout, func() {
			e.notifyHost(a, dispatch.AttemptFailed{
				Attempt: a.id,
				Failure: dispatch.NotStarted{},
			})
		})
		return
	case e.crashed:
		e.sendEvent(a, dispatch.AttemptFailed{
			Attempt: a.id,
			Failure: dispatch.NotStarted{},
		})
		return
	case a.closed:
		return
	}
	e.attempts[a.key()] = a
	e.sendEvent(a, dispatch.AttemptAccepted{
		Attempt: a.id,
	})
	e.waiting = append(e.waiting, a)
	slices.SortStableFunc(e.waiting, func(a, b *attempt) int {
		return int(a.tier) - int(b.tier)
	})
	e.startWaiting()
}

// startWaiting runs waiting attempts in the free slots, the most urgent tier first.
func (e *simulatedEndpoint) startWaiting() {
	for len(e.running) < e.slots && len(e.waiting) > 0 {
		a := e.waiting[0]
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.running = append(e.running, a)
		e.runAttempt(a)
	}
}

func (e *simulatedEndpoint) runAttempt(a *attempt) {
	a.started = true
	a.request.startedRuns++
	if e.isService() {
		e.simulation.scheduleAfter(e.applySlowdown(a.request.arrival.serviceTime), func() { e.finishAttempt(a) })
		return
	}
	a.isPrefilling = true
	e.prefillCount++
	cached := e.cache.lookupAndStore(a.request.arrival.prefix)
	e.simulation.collector.promptTokens += a.request.arrival.promptTokens
	e.simulation.collector.cachedTokens += min(cached*blockTokens, a.request.arrival.promptTokens)
	uncached := max(a.request.arrival.promptTokens-cached*blockTokens, 1)
	rate := e.simulation.deployment.Engines.PrefillTokensPerSecond / float64(e.prefillCount)
	e.simulation.scheduleAfter(e.applySlowdown(time.Duration(float64(uncached)/rate*float64(time.Second))), func() {
		if a.released {
			return
		}
		a.isPrefilling = false
		e.prefillCount--
		e.produceTokens(a, 1)
	})
}

func (e *simulatedEndpoint) applySlowdown(length time.Duration) time.Duration {
	return time.Duration(float64(length) * e.slowdown)
}

// tokenTimeFactor returns the factor by which the current batch and prefills lengthen
// the time for each token.
func (e *simulatedEndpoint) tokenTimeFactor() float64 {
	settings := &e.simulation.deployment.Engines
	factor := 1 + settings.BatchSlowdown*float64(len(e.running))/float64(e.slots)
	if e.prefillCount > 0 {
		factor += settings.PrefillSlowdown
	}
	return factor
}

// produceTokens generates tokens, reports the progress, and schedules the next chunk.
func (e *simulatedEndpoint) produceTokens(a *attempt, tokens int) {
	if a.released {
		return
	}
	a.producedTokens += tokens
	e.simulation.collector.generatedTokens += tokens
	remaining := a.request.arrival.outputTokens - a.producedTokens
	if remaining <= 0 {
		e.finishAttempt(a)
		return
	}
	e.sendEvent(a, dispatch.AttemptProgressed{
		Attempt: a.id,
		Tokens:  a.producedTokens,
	})
	count := min(remaining, chunkTokens)
	settings := &e.simulation.deployment.Engines
	tokenTime := float64(settings.TokenTime) * e.tokenTimeFactor()
	e.simulation.scheduleAfter(e.applySlowdown(time.Duration(tokenTime*float64(count))), func() { e.produceTokens(a, count) })
}

func (e *simulatedEndpoint) finishAttempt(a *attempt) {
	if a.released {
		return
	}
	a.finished = true
	e.releaseAttempt(a)
	e.sendEvent(a, dispatch.AttemptFinished{
		Attempt: a.id,
		Tokens:  a.request.arrival.outputTokens,
	})
}

// releaseAttempt frees the attempt's slot or its place in the queue.
func (e *simulatedEndpoint) releaseAttempt(a *attempt) {
	if a.released {
		return
	}
	a.released = true
	if a.isPrefilling {
		a.isPrefilling = false
		e.prefillCount--
	}
	e.running = removeAttempt(e.running, a)
	e.waiting = removeAttempt(e.waiting, a)
	if !e.crashed {
		e.startWaiting()
	}
}

func removeAttempt(attempts []*attempt, a *attempt) []*attempt {
	if i := slices.Index(attempts, a); i >= 0 {
		return slices.Delete(attempts, i, i+1)
	}
	return attempts
}

// cancelAttempt stops an attempt when its host has canceled it.
func (e *simulatedEndpoint) cancelAttempt(a *attempt) {
	if e.crashed || e.unreachable {
		return
	}
	e.releaseAttempt(a)
	delete(e.attempts, a.key())
}

// resumeStream continues an attempt's stream on a new connection.
func (e *simulatedEndpoint) resumeStream(a *attempt) {
	switch {
	case e.unreachable:
		e.simulation.scheduleAfter(dialTimeout, func() {
			e.notifyHost(a, dispatch.AttemptFailed{
				Attempt: a.id,
				Failure: dispatch.Broken{},
			})
		})
	case e.crashed || e.attempts[a.key()] != a:
		a.silent = false
		e.sendEvent(a, dispatch.AttemptFailed{
			Attempt: a.id,
			Failure: dispatch.UnknownAttempt{},
		})
	case a.finished:
		a.silent = false
		e.sendEvent(a, dispatch.AttemptFinished{
			Attempt: a.id,
			Tokens:  a.request.arrival.outputTokens,
		})
	default:
		a.silent = false
		e.sendEvent(a, dispatch.AttemptAccepted{
			Attempt: a.id,
		})
		if a.producedTokens > 0 {
			e.sendEvent(a, dispatch.AttemptProgressed{
				Attempt: a.id,
				Tokens:  a.producedTokens,
			})
		}
	}
}

// crash breaks all connections and drops all attempts.
func (e *simulatedEndpoint) crash() {
	e.crashed = true
	aborted := append(slices.Clone(e.running), e.waiting...)
	e.running = nil
	e.waiting = nil
	clear(e.attempts)
	for _, a := range aborted {
		e.releaseAttempt(a)
		e.sendEvent(a, dispatch.AttemptFailed{
			Attempt: a.id,
			Failure: dispatch.Broken{},
		})
	}
}

// sendEvent sends a message on the attempt's connection. It is dropped if the
// connection is silent or the endpoint is unreachable.
func (e *simulatedEndpoint) sendEvent(a *attempt, event dispatch.Event) {
	if a.silent || e.unreachable {
		return
	}
	e.simulation.scheduleAfter(e.simulation.deployment.ZoneDelay, func() { e.notifyHost(a, event) })
}

func (e *simulatedEndpoint) notifyHost(a *attempt, event dispatch.Event) {
	if a.closed || a.host.failed {
		return
	}
	a.host.handleAttemptEvent(a, event)
}

// sendReport sends the endpoint's load and cache events to all hosts, where they
// arrive after the report lag.
func (e *simulatedEndpoint) sendReport() {
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
		event.Report.TokensPerSecond = float64(len(e.running)) / (settings.TokenTime.Seconds() * e.tokenTimeFactor() * e.slowdown)
		event.Report.PrefillTokensPerSecond = settings.PrefillTokensPerSecond / e.slowdown
	}
	update, cacheUpdateDropped := e.takeCacheUpdate()
	s.scheduleAfter(e.reportLag, func() {
		if e.unreachable {
			return
		}
		for _, h := range s.hosts {
			h.step(e.descriptor.Pool, event)
			if !cacheUpdateDropped && len(update.Changes) > 0 {
				h.step(e.descriptor.Pool, dispatch.CacheChanged{
					Update: update,
				})
			}
		}
	})
}

func (e *simulatedEndpoint) takeCacheUpdate() (endpoint.CacheUpdate, bool) {
	update := endpoint.CacheUpdate{
		Key: e.descriptor.Key,
	}
	if e.cache == nil {
		return update, true
	}
	update.FirstSequence, update.Changes = e.cache.takeChanges()
	return update, e.random.Float64() < e.simulation.deployment.Engines.CacheEventLoss
}
