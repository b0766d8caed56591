// Package progress bounds calls by the time in which nothing of their answer arrives, so that a
// large answer over a slow link is not given up while it comes.
//
// # Usage
//
//	ctx, stop := progress.WithLimits(ctx, timers, progress.Limits{
//		Silence: 600 * time.Millisecond,
//		Total:   3 * time.Second,
//	})
//	defer stop()
//	progress.Mark(ctx) // with each part of the answer
//
// Package httpjson marks the progress of its calls.
package progress

import (
	"context"
	"fmt"
	"time"

	"cactuswell/timer"
)

// Limits bound a call.
type Limits struct {
	// Silence is the longest time without progress.
	Silence time.Duration
	// Total bounds the call whatever its progress.
	Total time.Duration
}

// StalledError is the cause of the end of a context whose call made no progress.
type StalledError struct {
	Silence time.Duration
}

// Error names the time without progress.
func (e *StalledError) Error() string { return fmt.Sprintf("no progress for %s", e.Silence) }

// TotalError is the cause of the end of a context whose call took too long in total.
type TotalError struct {
	Total time.Duration
}

// Error names the bound.
func (e *TotalError) Error() string { return fmt.Sprintf("not complete within %s", e.Total) }

// watch ends a context beyond its limits.
type watch struct {
	limits Limits
	timers *timer.Service
	cancel context.CancelCauseFunc
	// marked is signaled with progress.
	marked chan struct{}
}

// watchKey is the key of a context's watch.
type watchKey struct{}

// WithLimits returns a context that ends when limits are exceeded: its cause is a *StalledError or
// a *TotalError then. The function that it returns releases it.
func WithLimits(ctx context.Context, timers *timer.Service, limits Limits) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watch{
		limits: limits,
		timers: timers,
		cancel: cancel,
		marked: make(chan struct{}, 1),
	}
	go w.run(ctx)
	return context.WithValue(ctx, watchKey{}, w), func() { cancel(context.Canceled) }
}

// Mark records progress of a call. It does nothing for a context without limits.
func Mark(ctx context.Context) {
	w, ok := ctx.Value(watchKey{}).(*watch)
	if !ok {
		return
	}
	select {
	case w.marked <- struct{}{}:
	default:
	}
}

// Cause returns why a call with limits failed: what has ended its context, or else its own error.
func Cause(ctx context.Context, err error) error {
	if err == nil || ctx.Err() == nil {
		return err
	}
	return context.Cause(ctx)
}

func (w *watch) run(ctx context.Context) {
	silence := w.timers.After(w.limits.Silence)
	defer silence.Stop()
	total := w.timers.After(w.limits.Total)
	defer total.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.marked:
			silence.Reset(w.timers.Now().Add(w.limits.Silence))
		case <-silence.C():
			w.cancel(&StalledError{Silence: w.limits.Silence})
		case <-total.C():
			w.cancel(&TotalError{Total: w.limits.Total})
		}
	}
}
