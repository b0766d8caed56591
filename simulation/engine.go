package simulation

import (
	"fmt"
	"sort"
	"time"

	"cactuswell/core/directory"
	"cactuswell/core/scheduling"
)

// rereadWindow is for how long after its last use a part counts as read again if
// another engine reads it.
const rereadWindow = 10 * time.Second

// engine is a model engine with continuous batching.
type engine struct {
	fleet    *fleet
	entry    directory.Entry
	speed    float64
	slow     float64
	down     bool
	silent   bool
	waiting  []*attempt
	running  []*attempt
	stepping bool
	// memory holds the parts that are kept, by their chain, with their last use.
	memory map[uint64]*kept
	used   int
	// life counts the restarts, so that steps of an earlier life are dropped.
	life int
	busy time.Duration
	// fetchesTill is when the fetches under way are over.
	fetchesTill time.Time
}

type kept struct {
	tokens int
	usedAt time.Time
}

func (f *fleet) addEngine(i int) {
	speed := 1.0
	if len(f.config.StepTimeFactors) > 0 {
		speed = f.config.StepTimeFactors[i%len(f.config.StepTimeFactors)]
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
		speed:  speed,
		slow:   1,
		memory: make(map[uint64]*kept),
	}
	f.engines = append(f.engines, e)
	f.addEntry(e.entry, e)
}

func (e *engine) reachable() bool { return !e.down }
func (e *engine) dark() bool      { return e.silent }
func (e *engine) zone() int       { return int(e.entry.Zone[len(e.entry.Zone)-1] - '0') }

// befall makes the engine slow, or takes it down.
func (e *engine) befall(fault Fault) {
	if fault.Slowdown > 0 {
		e.slow = fault.Slowdown
		return
	}
	e.down = true
	e.silent = fault.Unresponsive
	e.life++
	e.stepping = false
	lost := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	e.memory = make(map[uint64]*kept)
	e.used = 0
	for _, a := range lost {
		delay := time.Millisecond
		if fault.Unresponsive {
			delay = darkTimeout
		}
		e.fleet.after(delay, func() {
			a.finish(scheduling.Broken{PartlyDelivered: a.eventsSent > 0})
		})
	}
}

func (e *engine) recover() {
	e.slow = 1
	e.down = false
	e.silent = false
}

// fetch takes what it lacks of a prompt from another engine's memory, and admits the
// attempt then. Fetches of an engine run one after another.
func (e *engine) fetch(a *attempt) {
	f := e.fleet
	missing := max(a.source.leading(a)-e.leading(a), 0)
	begin := f.now
	if e.fetchesTill.After(begin) {
		begin = e.fetchesTill
	}
	e.fetchesTill = begin.Add(time.Duration(missing) * f.config.FetchTimePerThousand / 1000)
	f.fetched += missing
	life := e.life
	f.after(e.fetchesTill.Sub(f.now), func() {
		if a.over || life != e.life {
			return
		}
		chains := scheduling.PrefixHashes(a.caller.prompt)
		for i, part := range a.caller.prompt[:len(chains)-1] {
			_, known := e.memory[chains[i]]
			_, there := a.source.memory[chains[i]]
			if !known && !there {
				break
			}
			if !known {
				e.keep(chains[i], part.Tokens)
			}
		}
		e.take(a)
	})
}

// leading returns the number of a prompt's leading tokens that are in memory.
func (e *engine) leading(a *attempt) int {
	held := 0
	for i, chain := range scheduling.PrefixHashes(a.caller.prompt) {
		if _, ok := e.memory[chain]; !ok {
			break
		}
		held += a.caller.prompt[i].Tokens
	}
	return held
}

// take admits an attempt to the queue.
func (e *engine) take(a *attempt) {
	e.waiting = append(e.waiting, a)
	sort.SliceStable(e.waiting, func(i, j int) bool {
		return e.waiting[i].priority < e.waiting[j].priority
	})
	e.wake()
}

// abandon drops an attempt whose host closed its connection.
func (e *engine) abandon(a *attempt) {
	e.waiting = without(e.waiting, a)
	e.running = without(e.running, a)
}

func without(list []*attempt, a *attempt) []*attempt {
	for i, other := range list {
		if other == a {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

func (e *engine) wake() {
	if e.stepping || e.down || len(e.waiting)+len(e.running) == 0 {
		return
	}
	e.stepping = true
	life := e.life
	e.fleet.after(e.fleet.config.Model.FirstStepDelay/4, func() { e.step(life) })
}

// step runs one step of the batch.
func (e *engine) step(life int) {
	if life != e.life {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	model := e.fleet.config.Model
	budget := model.ChunkTokens
	context, decoding := 0, 0
	var reading time.Duration
	for _, a := range e.running {
		context += a.inMemory
		if a.toRead == 0 {
			decoding++
			continue
		}
		if budget == 0 {
			continue
		}
		chunk := min(a.toRead, budget)
		budget -= chunk
		reading += model.PrefillCompute(a.inMemory, chunk)
		a.toRead -= chunk
		a.inMemory += chunk
		a.justRead = a.toRead == 0
	}
	took := time.Duration(float64(model.StepTime(decoding, context)+reading) * e.speed * e.slow)
	e.busy += took
	e.fleet.after(took, func() { e.endStep(life) })
}

// admit starts waiting attempts as long as there are slots.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.entry.Slots {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		a.inMemory = e.lookUp(a)
		a.toRead = max(a.promptTokens()-a.inMemory, 1)
		e.running = append(e.running, a)
	}
}

// lookUp returns the leading tokens that are in memory, and keeps all parts.
func (e *engine) lookUp(a *attempt) int {
	f := e.fleet
	held, whole := 0, true
	chains := scheduling.PrefixHashes(a.caller.prompt)
	for i, part := range a.caller.prompt {
		chain := chains[i]
		shared := i < len(a.caller.prompt)-1
		known, ok := e.memory[chain]
		if ok {
			known.usedAt = f.now
		}
		if ok && whole {
			held += part.Tokens
		} else {
			whole = false
			f.read += part.Tokens
			if last, used := f.usedAt[chain]; shared && used && f.now.Sub(last) < rereadWindow {
				f.reread += part.Tokens
				a.caller.class.counts.RecomputedTokens += part.Tokens
			}
			if !ok {
				e.keep(chain, part.Tokens)
			}
		}
		if shared {
			f.usedAt[chain] = f.now
		}
	}
	return held
}

// keep puts a part into memory; the least recently used parts yield.
func (e *engine) keep(chain uint64, tokens int) {
	e.memory[chain] = &kept{
		tokens: tokens,
		usedAt: e.fleet.now,
	}
	e.used += tokens
	for e.used > e.fleet.config.MemoryTokens {
		var oldest uint64
		for other, k := range e.memory {
			if first, ok := e.memory[oldest]; !ok || k.usedAt.Before(first.usedAt) ||
				k.usedAt.Equal(first.usedAt) && other < oldest {
				oldest = other
			}
		}
		e.used -= e.memory[oldest].tokens
		delete(e.memory, oldest)
	}
}

// endStep hands out the tokens of a step.
func (e *engine) endStep(life int) {
	if life != e.life {
		return
	}
	stride := e.fleet.config.Model.TokensPerEvent
	left := e.running[:0:0]
	for _, a := range e.running {
		if a.toRead > 0 {
			left = append(left, a)
			continue
		}
		a.tokens++
		a.inMemory++
		if a.tokens == 1 || a.tokens%stride == 1 {
			a.event()
		}
		if a.tokens < a.caller.events*stride {
			left = append(left, a)
			continue
		}
		a.complete()
	}
	e.running = left
	if len(e.running)+len(e.waiting) == 0 {
		e.stepping = false
		return
	}
	e.step(life)
}

// server is a server of the plain service.
type server struct {
	fleet   *fleet
	entry   directory.Entry
	running int
	waiting []*attempt
}

// serverQueue is the number of calls that a server of the plain service queues.
const serverQueue = 24

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
	f.addEntry(s.entry, s)
}

func (s *server) reachable() bool    { return true }
func (s *server) dark() bool         { return false }
func (s *server) zone() int          { return int(s.entry.Zone[len(s.entry.Zone)-1] - '0') }
func (s *server) abandon(a *attempt) { s.waiting = without(s.waiting, a) }

func (s *server) take(a *attempt) {
	if s.running < s.entry.Slots {
		s.serve(a)
		return
	}
	if len(s.waiting) < serverQueue {
		s.waiting = append(s.waiting, a)
		return
	}
	a.finish(scheduling.Declined{})
}

func (s *server) serve(a *attempt) {
	s.running++
	s.fleet.after(a.caller.work, func() {
		s.running--
		a.complete()
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.serve(next)
		}
	})
}
