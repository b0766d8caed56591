// Package engine is a small stand-in for a model engine: it runs a bounded
// number of sequences at once, produces tokens at a set rate, keeps a bounded
// prefix cache, and can be made to misbehave while it runs.
//
// # Usage
//
//	e := engine.New(engine.Settings{
//		Name:  "drafting-1",
//		Model: "drafting",
//		Slots: 8,
//	})
//	http.ListenAndServe(address, e.Handler())
//
// The answer to a prompt is fixed by the prompt, so that a caller can tell its
// own whole answer from any other: see Answer.
package engine

import (
	"container/heap"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactuswell/core/prefix"
	"cactuswell/standin/fault"
)

const (
	defaultSlots         = 8
	defaultTokenInterval = 10 * time.Millisecond
	defaultPrefillRate   = 20000.0
	defaultAnswerTokens  = 24
	defaultCacheBlocks   = 4096
	// attemptRetention is how long a finished attempt can still be resumed.
	attemptRetention = 30 * time.Second
)

// Settings say what an engine is and how fast.
type Settings struct {
	Name        string
	Incarnation uint64
	Model       string
	Version     string
	Slots       int
	// TokenInterval is the time between two tokens of one sequence.
	TokenInterval time.Duration
	// PrefillRate is how many prompt tokens are read each second.
	PrefillRate float64
	// AnswerTokens is about how long an answer is.
	AnswerTokens int
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// LoadTime is how long an ordered version is loaded. Zero loads it at once.
	LoadTime time.Duration
	// ChecksFencing makes the engine refuse orders with an old number.
	ChecksFencing bool
}

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	settings Settings
	switches *fault.Injector
	mu       sync.Mutex
	attempts map[string]*attempt
	waiting  waitingHeap
	running  int
	arrivals uint64
	cache    *cache
	state    modelState
	reports  []report
	produced uint64
}

// attempt is one sequence, waiting, running or done.
type attempt struct {
	engine   *Engine
	id       string
	priority int
	order    uint64
	prompt   string
	tokens   []string
	limited  bool
	index    int
	ctx      context.Context
	cancel   context.CancelFunc
	mu       sync.Mutex
	started  bool
	produced int
	finished bool
	changed  chan struct{}
	silenced bool
}

// New returns an idle engine without faults. Zero settings get defaults.
func New(settings Settings) *Engine {
	if settings.Incarnation == 0 {
		settings.Incarnation = 1
	}
	if settings.Slots == 0 {
		settings.Slots = defaultSlots
	}
	if settings.TokenInterval == 0 {
		settings.TokenInterval = defaultTokenInterval
	}
	if settings.PrefillRate == 0 {
		settings.PrefillRate = defaultPrefillRate
	}
	if settings.AnswerTokens == 0 {
		settings.AnswerTokens = defaultAnswerTokens
	}
	if settings.CacheBlocks == 0 {
		settings.CacheBlocks = defaultCacheBlocks
	}
	if settings.Version == "" {
		settings.Version = "v1"
	}
	return &Engine{
		settings: settings,
		switches: fault.New(),
		attempts: make(map[string]*attempt),
		cache:    newCache(settings.CacheBlocks),
		state: modelState{
			version: settings.Version,
		},
	}
}

// Name returns the engine's name.
func (e *Engine) Name() string { return e.settings.Name }

// Faults returns the engine's fault switches.
func (e *Engine) Faults() *fault.Injector { return e.switches }

// GeneratedTokens returns how many tokens the engine has generated.
func (e *Engine) GeneratedTokens() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.produced
}

// AcceptedAttempts returns how many attempts were begun.
func (e *Engine) AcceptedAttempts() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrivals
}

// ExpectedAnswer returns the tokens that an engine answers a prompt with, given its
// usual answer length, and whether the bound of maxTokens cut the answer off.
// The first token is the prompt's checksum.
func ExpectedAnswer(prompt string, answerTokens, maxTokens int) (tokens []string, limited bool) {
	sum := xxhash.Sum64String(prompt)
	length := max(1, answerTokens/2+int(sum%uint64(max(1, answerTokens))))
	if maxTokens > 0 && length > maxTokens {
		length = maxTokens
		limited = true
	}
	tokens = make([]string, length)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("t%d ", i)
	}
	tokens[0] = Checksum(prompt) + " "
	return tokens, limited
}

// Checksum returns the first word of the answer to prompt.
func Checksum(prompt string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(prompt))
}

// IsCompleteAnswer reports whether text is a whole answer, of the given number of tokens,
// to prompt and to no other.
func IsCompleteAnswer(prompt, text string, tokens int) bool {
	words := strings.Fields(text)
	if len(words) != tokens || tokens == 0 || words[0] != Checksum(prompt) {
		return false
	}
	for i, word := range words[1:] {
		if word != fmt.Sprintf("t%d", i+1) {
			return false
		}
	}
	return true
}

// submit enters an attempt, or refuses it while a version is loaded or if its
// id is already in use.
func (e *Engine) submit(id, prompt string, priority, maxTokens int) (*attempt, *refusal) {
	tokens, limited := ExpectedAnswer(prompt, e.settings.AnswerTokens, maxTokens)
	ctx, cancel := context.WithCancel(context.Background())
	a := &attempt{
		engine:   e,
		id:       id,
		priority: priority,
		prompt:   prompt,
		tokens:   tokens,
		limited:  limited,
		index:    -1,
		ctx:      ctx,
		cancel:   cancel,
		changed:  make(chan struct{}),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.attempts[id]; known {
		cancel()
		return nil, &refusal{
			status: http.StatusConflict,
			code:   "attemptKnown",
		}
	}
	if e.state.loading != nil {
		cancel()
		return nil, &refusal{
			status:     http.StatusServiceUnavailable,
			code:       "loading",
			notStarted: true,
		}
	}
	e.arrivals++
	a.order = e.arrivals
	e.attempts[id] = a
	heap.Push(&e.waiting, a)
	e.startWaiting()
	return a, nil
}

func (e *Engine) lookup(id string) (*attempt, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, ok := e.attempts[id]
	return a, ok
}

// startWaiting must be called with the lock held.
func (e *Engine) startWaiting() {
	for e.state.loading == nil && e.running < e.settings.Slots && len(e.waiting) > 0 {
		a := heap.Pop(&e.waiting).(*attempt)
		e.running++
		a.started = true
		go a.run()
	}
}

// withdraw cancels an attempt and says what became of it.
func (e *Engine) withdraw(a *attempt) (started bool, produced int) {
	e.mu.Lock()
	if a.index >= 0 {
		heap.Remove(&e.waiting, a.index)
	}
	started = a.started
	e.mu.Unlock()
	a.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	return started, a.produced
}

// run produces the attempt's tokens in one of the engine's slots.
func (a *attempt) run() {
	defer a.engine.release(a)
	cached := a.engine.cache.lookup(prefix.Hashes(a.prompt))
	toRead := max(0, prefix.Tokens(len(a.prompt))-cached*prefix.BlockBytes/prefix.BytesPerToken)
	prefill := time.Duration(float64(toRead) / a.engine.settings.PrefillRate * float64(time.Second))
	if !a.sleep(prefill) {
		return
	}
	a.engine.cache.store(prefix.Hashes(a.prompt))
	for range a.tokens {
		if !a.sleep(a.engine.settings.TokenInterval) {
			return
		}
		a.advance()
	}
	a.finish()
}

func (a *attempt) sleep(duration time.Duration) bool {
	timer := time.NewTimer(a.engine.switches.Current().ApplySlowdown(duration))
	defer timer.Stop()
	select {
	case <-a.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (a *attempt) advance() {
	a.engine.countToken()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.produced++
	a.wake()
}

func (a *attempt) finish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finished = true
	a.wake()
}

func (a *attempt) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// progress returns how far the attempt is and a channel closed at the next
// change.
func (a *attempt) progress() (produced int, finished bool, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.produced, a.finished, a.changed
}

func (e *Engine) countToken() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.produced++
}

// release frees the attempt's slot and forgets the attempt after a while.
func (e *Engine) release(a *attempt) {
	e.mu.Lock()
	e.running--
	e.startWaiting()
	e.mu.Unlock()
	time.AfterFunc(attemptRetention, func() { e.forget(a) })
}

func (e *Engine) forget(a *attempt) {
	a.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.attempts, a.id)
}

// waitingHeap orders waiting attempts by priority, then by arrival.
type waitingHeap []*attempt

func (h waitingHeap) Len() int { return len(h) }

func (h waitingHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].order < h[j].order
}

func (h waitingHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *waitingHeap) Push(value any) {
	a := value.(*attempt)
	a.index = len(*h)
	*h = append(*h, a)
}

func (h *waitingHeap) Pop() any {
	old := *h
	last := len(old) - 1
	a := old[last]
	old[last] = nil
	a.index = -1
	*h = old[:last]
	return a
}
