package configuration

import (
	"context"
	"time"

	core "cactuswell/core/configuration"
	"cactuswell/io/logservice"
)

const (
	reasonStarting = "configuration was not read yet"

	// pollWait is how long the log may hold back the answer to a long poll.
	pollWait = 10 * time.Second
	// pollGrace is what a long poll may take beyond pollWait before its
	// connection is taken for silent.
	pollGrace = 2 * time.Second
	pollLimit = 500
	// retryDelay separates reads of a log that fails.
	retryDelay = 500 * time.Millisecond
)

// reader long-polls the log.
type reader struct {
	configuration *Configuration
	state         *core.State
	// caughtUp tells that the head of the stream was reached once. Until then
	// the log is not asked to hold back its answer.
	caughtUp bool
}

func (r *reader) run(ctx context.Context) error {
	log := r.configuration.dependencies.Log()
	for ctx.Err() == nil {
		if err := r.readOnce(ctx, log); err != nil {
			log = r.configuration.dependencies.Log()
			r.pause(ctx)
		}
	}
	return nil
}

func (r *reader) readOnce(ctx context.Context, log logservice.Log) error {
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollGrace)
	defer cancel()
	wait := pollWait
	if !r.caughtUp {
		wait = 0
	}
	response, err := log.Read(ctx, streamName, r.state.Next(), logservice.ReadOptions{
		Limit: pollLimit,
		Wait:  wait,
	})
	if err != nil {
		return err
	}
	for _, stored := range response.Records {
		r.state.Apply(stored.Offset, stored.Data)
	}
	r.caughtUp = r.state.Next() >= response.NextOffset
	r.configuration.publish(&view{
		state: r.state.Clone(),
		ready: r.caughtUp,
	})
	return nil
}

func (r *reader) pause(ctx context.Context) {
	wake := r.configuration.dependencies.Timers.After(retryDelay)
	defer wake.Stop()
	select {
	case <-ctx.Done():
	case <-wake.C():
	}
}
