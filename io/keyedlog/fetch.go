package keyedlog

import (
	"context"
	"time"

	"cactuswell/core/replica"
	"cactuswell/io/progress"
)

const (
	// fetchSilence bounds the time in which nothing of a fetch from another host arrives, and
	// fetchTime the fetch as a whole, so that a host with a faulty link is given up for others.
	fetchSilence = 600 * time.Millisecond
	fetchTime    = 3 * time.Second
	// spareDelay is how long a source has for the changes before another one is asked as well. A slow
	// source is not given up: if the link of the receiving host is slow, the others are no faster.
	spareDelay = 400 * time.Millisecond
)

// OvertakenError is the error of a fetch that has not ended before another host delivered the changes.
type OvertakenError struct {
	Source string
}

// Error names the host that was faster.
func (e *OvertakenError) Error() string { return "overtaken by " + e.Source }

// fetch is a fetch of changes from another host.
type fetch struct {
	follower *Follower
	address  string
	after    replica.Position
	// done takes the result, unless the context is done before.
	done chan<- fetchResult
}

type fetchResult struct {
	source  string
	changes replica.Changes
	// isLater is set if there are changes.
	isLater bool
}

func (r *fetch) run(ctx context.Context) {
	limited, cancel := progress.WithLimits(ctx, r.follower.Timers, progress.Limits{
		Silence: fetchSilence,
		Total:   fetchTime,
	})
	defer cancel()
	changes, err := r.follower.Peers.Fetch(limited, r.address, r.follower.Topic, r.after)
	select {
	case r.done <- fetchResult{
		source:  r.address,
		changes: changes,
		isLater: err == nil && changes.End.After(r.after),
	}:
	case <-ctx.Done():
	}
}

// fetch gets the changes from another host, and from further ones as well while it is slow. It
// reports whether it got any.
func (f *Follower) fetch(ctx context.Context, address string) bool {
	f.isFetching.Store(true)
	defer f.isFetching.Store(false)
	fetching, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	after := f.end()
	done := make(chan fetchResult)
	var asked []string
	begin := func(address string) {
		asked = append(asked, address)
		r := &fetch{
			follower: f,
			address:  address,
			after:    after,
			done:     done,
		}
		go r.run(fetching)
	}
	begin(address)
	spareDue := f.Timers.After(spareDelay)
	defer spareDue.Stop()
	for failed := 0; failed < len(asked); {
		select {
		case <-ctx.Done():
			return false
		case <-spareDue.C():
			if spare, ok := f.planner.Spare(f.view(), asked); ok {
				begin(spare)
			}
			spareDue.Reset(f.Timers.Now().Add(spareDelay))
		case result := <-done:
			if result.isLater {
				cancel(&OvertakenError{Source: result.source})
				f.recordAvailable()
				f.apply(result.changes)
				return true
			}
			failed++
			f.planner.RecordFetchFailure(time.Now())
		}
	}
	return false
}
