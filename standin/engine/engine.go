// Package engine is a small stand-in for a model engine. It runs a limited number of
// sequences concurrently, generates tokens at a fixed rate, has a limited prefix
// cache, and supports fault injection at run time.
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
// The answer is a function of the prompt, so that a caller can check that it received
// the complete answer to its own prompt.
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
	// attemptRetention is how long an attempt can be resumed after its end.
	attemptRetention = 30 * time.Second
)

// Settings holds the identity, capacity and speed of an engine.
type Settings struct {
	Name        string
	Incarnation uint64
	Model       string
	Version     string
	Slots       int
	// TokenInterval is the time between two tokens of one sequence.
	TokenInterval time.Duration
	// PrefillRate is the number of prompt tokens per second in prefill.
	PrefillRate float64
	// AnswerTokens is the typical length of an answer.
	AnswerTokens int
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// LoadTime is the time to load an ordered model version. Zero loads it
	// immediately.
	LoadTime time.Duration
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
}

// Engine is a stand-in engine. It is safe for concurrent use.
type Engine struct {
	settings         Settings
	faultSwitches    *fault.Injector
	mu               sync.Mutex
	attempts         map[string]*attempt
	queue            attemptHeap
	running          int
	acceptedAttempts uint64
	cache            *cache
	state            modelState
	loadSamples      []loadSample
	generatedTokens  uint64
}

// attempt is one sequence, which is queued, running or finished.
type attempt struct {
	engine         *Engine
	id             string
	priority       int
	sequence       uint64
	prompt         string
	tokens         []string
	truncated      bool
	heapIndex      int
	ctx            context.Context
	cancel         context.CancelFunc
	mu             sync.Mutex
	started        bool
	producedTokens int
	finished       bool
	changed        chan struct{}
	silenced       bool
}

// New returns an idle engine without faults. Zero values in settings are replaced by
// defaults.
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
		settings:      settings,
		faultSwitches: fault.New(),
		attempts:      make(map[string]*attempt),
		cache:         newCache(settings.CacheBlocks),
		state: modelState{
			version: settings.Version,
		},
	}
}

// Name returns the engine's name.
func (e *Engine) Name() string { return e.settings.Name }

// Faults returns the engine's fault switches.
func (e *Engine) Faults() *fault.Injector { return e.faultSwitches }

// GeneratedTokens returns the number of tokens that the engine has generated.
func (e *Engine) GeneratedTokens() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generatedTokens
}

// AcceptedAttempts returns the number of attempts that the engine has accepted.
func (e *Engine) AcceptedAttempts() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.acceptedAttempts
}

// ExpectedAnswer returns the tokens of an engine's answer to prompt, given the engine's typical
// answer length, and whether maxTokens truncated the answer. Zero maxTokens means no
// limit. The first token is the prompt's checksum.
func ExpectedAnswer(prompt string, answerTokens, maxTokens int) (tokens []string, limited bool) {
	checksum := xxhash.Sum64String(prompt)
	length := max(1, answerTokens/2+int(checksum%uint64(max(1, answerTokens))))
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

// Checksum returns the checksum of prompt, which is the first word of the answer.
func Checksum(prompt string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(prompt))
}

// IsCompleteAnswer reports whether text is the complete answer to prompt with the given number of
// tokens.
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

// submit queues an attempt. It refuses the attempt if its id is already in use or while
// a model version is being loaded.
func (e *Engine) submit(id, prompt string, priority, maxTokens int) (*attempt, *refusal) {
	tokens, limited := ExpectedAnswer(prompt, e.settings.AnswerTokens, maxTokens)
	ctx, cancel := context.WithCancel(context.Background())
	a := &attempt{
		engine:    e,
		id:        id,
		priority:  priority,
		prompt:    prompt,
		tokens:    tokens,
		truncated: limited,
		heapIndex: -1,
		ctx:       ctx,
		cancel:    cancel,
		changed:   make(chan struct{}),
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
	e.acceptedAttempts++
	a.sequence = e.acceptedAttempts
	e.attempts[id] = a
	heap.Push(&e.queue, a)
	e.startQueued()
	return a, nil
}

func (e *Engine) findAttempt(id string) (*attempt, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, ok := e.attempts[id]
	return a, ok
}

// startQueued starts queued attempts while slots are free, unless a model version is
// being loaded. The caller must hold e.mu.
func (e *Engine) startQueued() {
	for e.state.loading == nil && e.running < e.settings.Slots && len(e.queue) > 0 {
		a := heap.Pop(&e.queue).(*attempt)
		e.running++
		a.started = true
		go a.run()
	}
}

// cancelAttempt cancels an attempt, and returns whether it was started and how many
// tokens it has generated.
func (e *Engine) cancelAttempt(a *attempt) (started bool, produced int) {
	e.mu.Lock()
	if a.heapIndex >= 0 {
		heap.Remove(&e.queue, a.heapIndex)
	}
	started = a.started
	e.mu.Unlock()
	a.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	return started, a.producedTokens
}

// run generates the attempt's tokens in one of the engine's slots.
func (a *attempt) run() {
	defer a.engine.releaseSlot(a)
	cached := a.engine.cache.lookup(prefix.Hashes(a.prompt))
	uncachedTokens := max(0, prefix.Tokens(len(a.prompt))-cached*prefix.BlockBytes/prefix.BytesPerToken)
	prefill := time.Duration(float64(uncachedTokens) / a.engine.settings.PrefillRate * float64(time.Second))
	if !a.sleep(prefill) {
		return
	}
	a.engine.cache.insert(prefix.Hashes(a.prompt))
	for range a.tokens {
		if !a.sleep(a.engine.settings.TokenInterval) {
			return
		}
		a.produceToken()
	}
	a.markFinished()
}

func (a *attempt) sleep(duration time.Duration) bool {
	timer := time.NewTimer(a.engine.faultSwitches.Current().ApplySlowdown(duration))
	defer timer.Stop()
	select {
	case <-a.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (a *attempt) produceToken() {
	a.engine.recordToken()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.producedTokens++
	a.notifyWaiters()
}

func (a *attempt) markFinished() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finished = true
	a.notifyWaiters()
}

func (a *attempt) notifyWaiters() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// progress returns the number of generated tokens, whether the attempt is finished, and
// a channel that is closed at the next change.
func (a *attempt) progress() (produced int, finished bool, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.producedTokens, a.finished, a.changed
}

func (e *Engine) recordToken() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.generatedTokens++
}

// releaseSlot frees the attempt's slot, and removes the attempt after attemptRetention.
func (e *Engine) releaseSlot(a *attempt) {
	e.mu.Lock()
	e.running--
	e.startQueued()
	e.mu.Unlock()
	time.AfterFunc(attemptRetention, func() { e.removeAttempt(a) })
}

func (e *Engine) removeAttempt(a *attempt) {
	a.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.attempts, a.id)
}

// attemptHeap orders queued attempts by priority, then by arrival. It implements
// heap.Interface.
type attemptHeap []*attempt

func (h attemptHeap) Len() int { return len(h) }

func (h attemptHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].sequence < h[j].sequence
}

func (h attemptHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

func (h *attemptHeap) Push(value any) {
	a := value.(*attempt)
	a.heapIndex = len(*h)
	*h = append(*h, a)
}

func (h *attemptHeap) Pop() any {
	old := *h
	last := len(old) - 1
	a := old[last]
	old[last] = nil
	a.heapIndex = -1
	*h = old[:last]
	return a
}
