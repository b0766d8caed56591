// Package supervisor runs the duties of a host as a tree. A duty that panics or
// returns an error is restarted with exponential backoff. Each restart is counted
// and logged, and the other duties continue to run.
//
// # Usage
//
//	tree := supervisor.New("host", logger)
//	tree.Add(supervisor.Duty{
//		Name: "timer",
//		Run:  timers.Run,
//	})
//	err := tree.Run(ctx)
//
// A tree's Run method is itself a duty, so that trees can be nested.
package supervisor

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-kit/log"
)

const (
	minRestartDelay = 50 * time.Millisecond
	maxRestartDelay = 5 * time.Second
	// delayResetPeriod is how long a duty must run before its restart delay is
	// reset.
	delayResetPeriod = 30 * time.Second
)

// Duty is the work of one goroutine. Run returns nil when its work is done or its
// context has ended; an error or a panic leads to a restart.
type Duty struct {
	Name string
	Run  func(ctx context.Context) error
	// BeforeRestart, if set, is called after a failure and before the restart, so
	// that the owner can fail the work that was in progress.
	BeforeRestart func()
}

// PanicError reports a duty that panicked.
type PanicError struct {
	Duty  string
	Value any
	Stack string
}

// Error describes the panic without the stack trace.
func (e *PanicError) Error() string {
	return fmt.Sprintf("duty %s panicked: %v", e.Duty, e.Value)
}

// Tree starts, restarts and stops a set of duties.
type Tree struct {
	name     string
	logger   log.Logger
	running  sync.WaitGroup
	mu       sync.Mutex
	pending  []Duty
	ctx      context.Context
	restarts map[string]int
}

// New returns an empty tree.
func New(name string, logger log.Logger) *Tree {
	return &Tree{
		name:     name,
		logger:   log.With(logger, "supervisor", name),
		restarts: make(map[string]int),
	}
}

// Add adds a duty to the tree. It starts immediately if the tree is running, and
// with the tree otherwise. A duty added after the tree has ended is not started.
func (t *Tree) Add(duty Duty) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx == nil {
		t.pending = append(t.pending, duty)
		return
	}
	t.start(duty)
}

// Run starts all duties and waits until they have ended, which they do when ctx
// ends. It must be called only once.
func (t *Tree) Run(ctx context.Context) error {
	t.mu.Lock()
	t.ctx = ctx
	for _, duty := range t.pending {
		t.start(duty)
	}
	t.pending = nil
	t.mu.Unlock()
	<-ctx.Done()
	t.running.Wait()
	return nil
}

// start runs a duty in a new goroutine. The caller must hold the lock.
func (t *Tree) start(duty Duty) {
	if t.ctx.Err() != nil {
		return
	}
	c := &child{
		tree: t,
		duty: duty,
	}
	t.running.Add(1)
	go c.run(t.ctx)
}

// Restarts returns the number of restarts by duty, without duties that were never
// restarted.
func (t *Tree) Restarts() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	restarts := make(map[string]int, len(t.restarts))
	for name, count := range t.restarts {
		restarts[name] = count
	}
	return restarts
}

func (t *Tree) countRestart(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restarts[name]++
}

type child struct {
	tree *Tree
	duty Duty
}

func (c *child) run(ctx context.Context) {
	defer c.tree.running.Done()
	delay := minRestartDelay
	for ctx.Err() == nil {
		started := time.Now()
		err := c.runOnce(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		if time.Since(started) > delayResetPeriod {
			delay = minRestartDelay
		}
		c.reportRestart(err, delay)
		if c.duty.BeforeRestart != nil {
			c.duty.BeforeRestart()
		}
		if !sleep(ctx, delay) {
			return
		}
		delay = min(2*delay, maxRestartDelay)
	}
}

func (c *child) runOnce(ctx context.Context) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &PanicError{
				Duty:  c.duty.Name,
				Value: value,
				Stack: string(debug.Stack()),
			}
		}
	}()
	return c.duty.Run(ctx)
}

func (c *child) reportRestart(err error, delay time.Duration) {
	c.tree.countRestart(c.duty.Name)
	stack := ""
	if panicked, ok := err.(*PanicError); ok { //nolint:errorlint // Only runOnce makes it, unwrapped.
		stack = panicked.Stack
	}
	_ = c.tree.logger.Log("level", "error", "event", "dutyRestarted", "duty", c.duty.Name,
		"error", err, "delay", delay, "stack", stack)
}

// sleep waits for delay. It reports false if ctx ended before.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
