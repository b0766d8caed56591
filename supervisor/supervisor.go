// Package supervisor runs the duties of a host as a tree. A duty that panics
// or returns an error is restarted after a growing delay; the event is counted
// and logged, and the other duties go on.
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
	firstRestartDelay = 50 * time.Millisecond
	maxRestartDelay   = 5 * time.Second
	// healthyPeriod is how long a duty must run for its restart delay to be
	// forgotten.
	healthyPeriod = 30 * time.Second
)

// Duty is one goroutine's work. Run returns nil when its work is done or its
// context has ended; any other return, or a panic, leads to a restart.
type Duty struct {
	Name string
	Run  func(ctx context.Context) error
	// Restarted, if set, is called after a failure and before the restart, so
	// that the owner can answer for the work that was lost.
	BeforeRestart func()
}

// PanicError is the failure of a duty that panicked.
type PanicError struct {
	Duty  string
	Value any
	Stack string
}

// Error describes the panic without its stack.
func (e *PanicError) Error() string {
	return fmt.Sprintf("duty %s panicked: %v", e.Duty, e.Value)
}

// Tree starts, restarts and stops a set of duties.
type Tree struct {
	name     string
	logger   log.Logger
	group    sync.WaitGroup
	mu       sync.Mutex
	waiting  []Duty
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

// Add puts a duty into the tree. It is started at once if the tree runs, and
// with the tree otherwise. A duty added after the tree has ended is not started.
func (t *Tree) Add(duty Duty) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx == nil {
		t.waiting = append(t.waiting, duty)
		return
	}
	t.start(duty)
}

// Run starts every duty and waits until all have ended, which they do when ctx
// ends. It must be called once.
func (t *Tree) Run(ctx context.Context) error {
	t.mu.Lock()
	t.ctx = ctx
	for _, duty := range t.waiting {
		t.start(duty)
	}
	t.waiting = nil
	t.mu.Unlock()
	<-ctx.Done()
	t.group.Wait()
	return nil
}

// start must be called with the lock held.
func (t *Tree) start(duty Duty) {
	if t.ctx.Err() != nil {
		return
	}
	c := &child{
		tree: t,
		duty: duty,
	}
	t.group.Add(1)
	go c.run(t.ctx)
}

// Restarts returns the number of restarts of each duty that had any.
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
	defer c.tree.group.Done()
	delay := firstRestartDelay
	for ctx.Err() == nil {
		started := time.Now()
		err := c.runOnce(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		if time.Since(started) > healthyPeriod {
			delay = firstRestartDelay
		}
		c.report(err, delay)
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

func (c *child) report(err error, delay time.Duration) {
	c.tree.countRestart(c.duty.Name)
	stack := ""
	if panicked, ok := err.(*PanicError); ok { //nolint:errorlint // Only runOnce makes it, unwrapped.
		stack = panicked.Stack
	}
	_ = c.tree.logger.Log("level", "error", "event", "dutyRestarted", "duty", c.duty.Name,
		"error", err, "delay", delay, "stack", stack)
}

// sleep waits for delay and reports whether ctx was still live at its end.
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
