package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"cactuswell/core/directory"
	"cactuswell/core/scheduling"
)

// recomputeWindow is how long after its last use the prefill of a shared prefix counts
// as recomputation.
const recomputeWindow = 10 * time.Second

// engine is a model engine with continuous batching.
type engine struct {
	limiter
	fleet        *fleet
	entry        directory.Entry
	timeFactor   float64
	slowdown     float64
	down         bool
	unresponsive bool
	queue        []*attempt
	running      []*attempt
	stepping     bool
	// cache holds the cached prompt parts by prefix hash.
	cache        map[uint64]*cachedPart
	cachedTokens int
	// incarnation counts the crashes, so that steps of an earlier incarnation are
	// dropped.
	incarnation int
	busyTime    time.Duration
	// fetchesUntil is when all started fetches are finished.
	fetchesUntil time.Time
	// preemptions counts the preempted attempts, and misorderedPreemptions those of them
	// that were preempted while a less urgent attempt was running.
	preemptions           int
	misorderedPreemptions int
}

// cachedPart is a cached part of a prompt.
type cachedPart struct {
	tokens int
	usedAt time.Time
}

func (f *fleet) addEngine(i int) {
	timeFactor := 1.0
	if len(f.config.StepTimeFactors) > 0 {
		timeFactor = f.config.StepTimeFactors[i%len(f.config.StepTimeFactors)]
	}
	e := &engine{
		fleet: f,
		entry: directory.Entry{
			ID:      fmt.Sprintf("engine-%d", i),
			Born:    int64(1000 + i),
			Service: modelService,
			Address: fmt.Sprintf("10.9.%d.%d:80", i/250, i%250+1),
			Zone:    fmt.Sprintf("zone-%d", i%f.config.Zones),
			Slots:   f.config.Slots,
		},
		timeFactor: timeFactor,
		slowdown:   1,
		cache:      make(map[uint64]*cachedPart),
	}
	f.engines = append(f.engines, e)
	f.registerEndpoint(e.entry, e)
}

// load implements endpoint.
func (e *engine) load() scheduling.ReportedLoad {
	if e.fleet.config.PaceSpread == 0 {
		return scheduling.ReportedLoad{}
	}
	return scheduling.ReportedLoad{
		Known:   true,
		Running: len(e.running),
		Waiting: len(e.queue),
		Slots:   e.entry.Slots,
		Pace:    e.pace(),
	}
}

// pace returns the factor on the step times at the moment.
func (e *engine) pace() float64 {
	factor := e.timeFactor * e.slowdown
	if e.fleet.config.PaceSpread > 0 {
		interval := uint64(e.fleet.now.Sub(epoch) / paceInterval)
		random := rand.New(rand.NewPCG(interval, uint64(e.entry.Born)))
		factor *= math.Exp(e.fleet.config.PaceSpread * random.NormFloat64())
	}
	return factor
}

func (e *engine) isReachable() bool    { return !e.down }
func (e *engine) isUnresponsive() bool { return e.unresponsive }
func (e *engine) zoneIndex() int       { return int(e.entry.Zone[len(e.entry.Zone)-1] - '0') }

// applyFault slows the engine down or stops it. A stopped engine drops its attempts and
// its cache; hosts notice immediately if the engine refuses connections, and after
// unresponsiveTimeout if it leaves them unanswered.
func (e *engine) applyFault(fault Fault) {
	if fault.Slowdown > 0 {
		e.slowdown = fault.Slowdown
		return
	}
	e.down = true
	e.unresponsive = fault.Unresponsive
	e.incarnation++
	e.stepping = false
	interrupted := append(e.running, e.queue...)
	e.running, e.queue = nil, nil
	e.cache = make(map[uint64]*cachedPart)
	e.cachedTokens = 0
	for _, a := range interrupted {
		delay := time.Millisecond
		if fault.Unresponsive {
			delay = unresponsiveTimeout
		}
		e.fleet.scheduleAfter(delay, func() {
			a.finish(scheduling.Broken{
				PartlyDelivered: a.eventsSent > 0,
				EndpointDown:    a.eventsSent <= scheduling.MaxStartEvents,
				JustBegun:       a.eventsSent == 0 && a.hasBegun,
			})
		})
	}
}

// crash stops the engine for crashDowntime, because it began to answer a prompt that crashes
// engines.
func (e *engine) crash() {
	e.fleet.crashes = append(e.fleet.crashes, e.fleet.now.Sub(epoch))
	e.applyFault(Fault{})
	e.fleet.scheduleAfter(crashDowntime, e.clearFault)
}

func (e *engine) clearFault() {
	e.slowdown = 1
	e.down = false
	e.unresponsive = false
}

// fetchPrefix copies the part of the prompt prefix that is not cached here from the
// cache of another engine, and then queues the attempt. An engine runs one fetch at a
// time.
func (e *engine) fetchPrefix(a *attempt) {
	f := e.fleet
	missing := max(a.fetchSource.cachedPrefixTokens(a)-e.cachedPrefixTokens(a), 0)
	start := f.now
	if e.fetchesUntil.After(start) {
		start = e.fetchesUntil
	}
	e.fetchesUntil = start.Add(time.Duration(missing) * f.config.FetchTimePerThousandTokens / 1000)
	f.fetchedTokens += missing
	incarnation := e.incarnation
	f.scheduleAfter(e.fetchesUntil.Sub(f.now), func() {
		if a.finished || incarnation != e.incarnation {
			return
		}
		hashes := scheduling.PrefixHashes(a.caller.prompt)
		for i, part := range a.caller.prompt[:len(hashes)-1] {
			_, cachedHere := e.cache[hashes[i]]
			_, cachedAtSource := a.fetchSource.cache[hashes[i]]
			if !cachedHere && !cachedAtSource {
				break
			}
			if !cachedHere {
				e.addToCache(hashes[i], part.Tokens)
			}
		}
		e.accept(a)
	})
}

// cachedPrefixTokens returns the number of leading prompt tokens that are cached.
func (e *engine) cachedPrefixTokens(a *attempt) int {
	cached := 0
	for i, hash := range scheduling.PrefixHashes(a.caller.prompt) {
		if _, ok := e.cache[hash]; !ok {
			break
		}
		cached += a.caller.prompt[i].Tokens
	}
	return cached
}

// accept queues an attempt by priority, or declines it if the queue is full.
func (e *engine) accept(a *attempt) {
	config := e.fleet.config
	e.recordArrival(a)
	e.fleet.arrivals++
	e.fleet.recordCrashingArrival(a)
	if config.QueuePlaces > 0 && len(e.queue) >= config.QueuePlaces && len(e.running) >= config.Slots {
		e.fleet.declinedArrivals++
		a.finish(scheduling.Declined{})
		return
	}
	if e.isStrict(e.fleet.now) && len(e.running)+len(e.queue) >= config.Slots {
		a.finish(scheduling.Declined{})
		if e.decline(e.fleet.now) {
			e.crash()
		}
		return
	}
	e.queue = append(e.queue, a)
	sort.SliceStable(e.queue, func(i, j int) bool {
		return e.queue[i].priority < e.queue[j].priority
	})
	e.startStepping()
}

// cancel drops an attempt whose host has closed the connection.
func (e *engine) cancel(a *attempt) {
	e.queue = removeAttempt(e.queue, a)
	e.running = removeAttempt(e.running, a)
}

func removeAttempt(list []*attempt, a *attempt) []*attempt {
	for i, other := range list {
		if other == a {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

func (e *engine) startStepping() {
	if e.stepping || e.down || len(e.queue)+len(e.running) == 0 {
		return
	}
	e.stepping = true
	incarnation := e.incarnation
	e.fleet.scheduleAfter(e.fleet.config.Model.FirstStepDelay/4, func() { e.startStep(incarnation) })
}

// startStep runs one step of the batch: it admits queued attempts, decodes one token for
// each attempt whose prefill is done, and spends the prefill budget on the others in
// order.
func (e *engine) startStep(incarnation int) {
	if incarnation != e.incarnation {
		return
	}
	e.admitQueued()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	model := e.fleet.config.Model
	budget := model.ChunkTokens
	contextTokens, decoding := 0, 0
	var prefillTime time.Duration
	for _, a := range e.running {
		contextTokens += a.contextTokens
		if a.prefillRemaining == 0 {
			decoding++
			continue
		}
		if budget == 0 {
			continue
		}
		chunk := min(a.prefillRemaining, budget)
		budget -= chunk
		prefillTime += model.PrefillCompute(a.contextTokens, chunk)
		a.prefillRemaining -= chunk
		a.contextTokens += chunk
		a.prefillDone = a.prefillRemaining == 0
	}
	stepTime := time.Duration(float64(model.StepTime(decoding, contextTokens)+prefillTime) * e.pace())
	e.busyTime += stepTime
	e.fleet.scheduleAfter(stepTime, func() { e.finishStep(incarnation) })
}

// admitQueued moves queued attempts to the batch while slots are free, or can be freed by
// preempting less urgent attempts.
func (e *engine) admitQueued() {
	for len(e.queue) > 0 && (len(e.running) < e.entry.Slots || e.preemptFor(e.queue[0])) {
		a := e.queue[0]
		e.queue = e.queue[1:]
		a.contextTokens = e.cachePrompt(a)
		a.prefillRemaining = max(a.promptTokens()+a.generatedTokens-a.contextTokens, 1)
		e.running = append(e.running, a)
	}
}

// preemptFor moves the newest of the running attempts with the least urgent priority back
// to the queue. It reports false if that priority is not less urgent than a's.
func (e *engine) preemptFor(a *attempt) bool {
	victim := e.running[0]
	for _, other := range e.running[1:] {
		if other.priority >= victim.priority {
			victim = other
		}
	}
	if victim.priority <= a.priority {
		return false
	}
	e.running = removeAttempt(e.running, victim)
	e.preemptions++
	if slices.ContainsFunc(e.running, victim.caller.isMoreUrgentThan) {
		e.misorderedPreemptions++
	}
	index := sort.Search(len(e.queue), func(i int) bool { return e.queue[i].priority > victim.priority })
	e.queue = slices.Insert(e.queue, index, victim)
	return true
}

// cachePrompt adds all parts of the prompt to the cache and returns the number of
// leading tokens that were cached already.
func (e *engine) cachePrompt(a *attempt) int {
	f := e.fleet
	cached, contiguous := 0, true
	hashes := scheduling.PrefixHashes(a.caller.prompt)
	for i, part := range a.caller.prompt {
		hash := hashes[i]
		shared := i < len(a.caller.prompt)-1
		entry, ok := e.cache[hash]
		if ok {
			entry.usedAt = f.now
		}
		if ok && contiguous {
			cached += part.Tokens
		} else {
			contiguous = false
			f.prefilledTokens += part.Tokens
			if lastUsedAt, used := f.prefixUsedAt[hash]; shared && used && f.now.Sub(lastUsedAt) < recomputeWindow {
				f.recomputedTokens += part.Tokens
				a.caller.class.result.RecomputedTokens += part.Tokens
			}
			if !ok {
				e.addToCache(hash, part.Tokens)
			}
		}
		if shared {
			f.prefixUsedAt[hash] = f.now
		}
	}
	return cached
}

// addToCache adds a part to the cache and evicts the least recently used parts while the
// cache exceeds its capacity.
func (e *engine) addToCache(hash uint64, tokens int) {
	e.cache[hash] = &cachedPart{
		tokens: tokens,
		usedAt: e.fleet.now,
	}
	e.cachedTokens += tokens
	for e.cachedTokens > e.fleet.config.KVCacheTokens {
		var oldestHash uint64
		for otherHash, part := range e.cache {
			if candidate, ok := e.cache[oldestHash]; !ok || part.usedAt.Before(candidate.usedAt) ||
				part.usedAt.Equal(candidate.usedAt) && otherHash < oldestHash {
				oldestHash = otherHash
			}
		}
		e.cachedTokens -= e.cache[oldestHash].tokens
		delete(e.cache, oldestHash)
	}
}

// finishStep delivers the tokens of a step and starts the next one.
func (e *engine) finishStep(incarnation int) {
	if incarnation != e.incarnation {
		return
	}
	tokensPerEvent := e.fleet.config.Model.TokensPerEvent
	unfinished := e.running[:0:0]
	for _, a := range e.running {
		if a.prefillRemaining > 0 {
			unfinished = append(unfinished, a)
			continue
		}
		if a.caller.crashesEndpoints {
			a.hasBegun = true
			e.crash()
			return
		}
		a.generatedTokens++
		a.contextTokens++
		if a.generatedTokens == 1 || a.generatedTokens%tokensPerEvent == 1 {
			a.deliverEvent()
		}
		if a.generatedTokens < a.caller.eventCount*tokensPerEvent {
			unfinished = append(unfinished, a)
			continue
		}
		a.complete()
	}
	e.running = unfinished
	if len(e.running)+len(e.queue) == 0 {
		e.stepping = false
		return
	}
	e.startStep(incarnation)
}

// server is a server of the plain service.
type server struct {
	limiter
	fleet   *fleet
	entry   directory.Entry
	down    bool
	running []*attempt
	queue   []*attempt
}

// maxServerQueue is the number of calls that a server of the plain service queues at
// most.
const maxServerQueue = 24

func (f *fleet) addServer(i int) {
	s := &server{
		fleet: f,
		entry: directory.Entry{
			ID:      fmt.Sprintf("server-%d", i),
			Born:    int64(9000 + i),
			Service: plainService,
			Address: fmt.Sprintf("10.8.0.%d:80", i+1),
			Zone:    fmt.Sprintf("zone-%d", i%f.config.Zones),
			Slots:   f.config.ServerSlots,
		},
	}
	f.servers = append(f.servers, s)
	f.registerEndpoint(s.entry, s)
}

// load implements endpoint.
func (s *server) load() scheduling.ReportedLoad { return scheduling.ReportedLoad{} }

func (s *server) isReachable() bool    { return !s.down }
func (s *server) isUnresponsive() bool { return false }
func (s *server) zoneIndex() int       { return int(s.entry.Zone[len(s.entry.Zone)-1] - '0') }

// cancel drops an attempt whose host has closed the connection. One that runs goes on.
func (s *server) cancel(a *attempt) { s.queue = removeAttempt(s.queue, a) }

func (s *server) accept(a *attempt) {
	s.recordArrival(a)
	s.fleet.recordCrashingArrival(a)
	if len(s.running) < s.entry.Slots {
		s.run(a)
		return
	}
	if s.isStrict(s.fleet.now) {
		a.finish(scheduling.Declined{})
		if s.decline(s.fleet.now) {
			s.crash()
		}
		return
	}
	if len(s.queue) < maxServerQueue {
		s.queue = append(s.queue, a)
		return
	}
	a.finish(scheduling.Declined{})
}

func (s *server) run(a *attempt) {
	s.running = append(s.running, a)
	s.fleet.scheduleAfter(a.caller.serviceTime, func() {
		if !slices.Contains(s.running, a) {
			return
		}
		if a.caller.crashesEndpoints {
			s.crash()
			return
		}
		s.running = removeAttempt(s.running, a)
		a.complete()
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.run(next)
		}
	})
}

// crash stops the server for crashDowntime and breaks all its calls.
func (s *server) crash() {
	s.fleet.crashes = append(s.fleet.crashes, s.fleet.now.Sub(epoch))
	interrupted := append(s.running, s.queue...)
	s.running, s.queue = nil, nil
	s.down = true
	s.fleet.scheduleAfter(crashDowntime, func() { s.down = false })
	for _, a := range interrupted {
		s.fleet.scheduleAfter(time.Millisecond, func() { a.finish(scheduling.Broken{EndpointDown: true}) })
	}
}

func (f *fleet) recordCrashingArrival(a *attempt) {
	if a.caller.crashesEndpoints {
		f.crashingArrivals = append(f.crashingArrivals, f.now.Sub(epoch))
	}
}
