package configuration

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	core "cactuswell/core/configuration"
	"cactuswell/core/follow"
	"cactuswell/core/record"
	"cactuswell/io/logservice"
)

const (
	// appendTimeout limits one append.
	appendTimeout = 3 * time.Second
	// reappendDelay is how long a record whose append was not acknowledged may be
	// missing from the stream before it is appended again.
	reappendDelay = 2 * time.Second
)

// UnknownOutcomeError reports that the outcome of a change could not be
// determined in time. Retrying under the same id is safe.
type UnknownOutcomeError struct {
	ID    string
	Cause error
}

// Error returns the id and the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of change %s is unknown: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// NotReadyError reports that the host cannot publish yet. Nothing was appended.
type NotReadyError struct {
	Reason string
}

// Error returns the reason.
func (e *NotReadyError) Error() string {
	return "configuration is not ready: " + e.Reason
}

// IDReusedError reports that the id was used for another change. The requested
// change was not made.
type IDReusedError struct {
	ID string
}

// Error returns the id.
func (e *IDReusedError) Error() string {
	return fmt.Sprintf("change id %s was used for another change", e.ID)
}

// NewID returns a random id for a change.
func NewID() string {
	return rand.Text()
}

// PublishChange publishes a change under an id and returns its outcome once the
// record was read back and applied. A starting host first waits until it has
// caught up with the stream. A call with the same id and the same change
// returns the outcome of the earlier call; a duplicate record has no effect.
//
// The error is a *core.ConflictError, *core.StaleError or *core.RejectedError
// of a change without effect, an *UnknownOutcomeError, a *NotReadyError, an
// *IDReusedError, or an error of core.Encode.
func (c *Configuration) PublishChange(ctx context.Context, id string, change core.Change) (core.Outcome, error) {
	if outcome, ok := c.State().Outcome(id); ok {
		return c.checkOutcome(outcome, change)
	}
	if err := c.awaitStart(ctx); err != nil {
		return core.Outcome{}, trace.Wrap(err)
	}
	change = core.WithAsOf(change, c.NextOffset())
	data, err := core.Encode(id, c.dependencies.Host, c.now().UnixMilli(), change)
	if err != nil {
		return core.Outcome{}, trace.Wrap(err)
	}
	appendErr := c.appendOnce(ctx, data)
	for ctx.Err() == nil {
		if outcome, ok := c.awaitOutcome(ctx, id, appendErr == nil); ok {
			return c.checkOutcome(outcome, change)
		}
		appendErr = c.appendOnce(ctx, data)
	}
	return core.Outcome{}, trace.Wrap(&UnknownOutcomeError{
		ID:    id,
		Cause: errors.Join(ctx.Err(), appendErr),
	})
}

// awaitStart waits until the host has caught up with the stream.
func (c *Configuration) awaitStart(ctx context.Context) error {
	for {
		current := c.current.Load()
		if current.reason != follow.ReasonStarting {
			return nil
		}
		select {
		case <-ctx.Done():
			return &NotReadyError{Reason: string(current.reason)}
		case <-current.changed:
		}
	}
}

// appendOnce appends the record and makes the follower read it, also if the
// append was not acknowledged.
func (c *Configuration) appendOnce(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	c.counters.Add("appends", 1)
	log := c.dependencies.NewLogClient()
	defer closeIdle(log)
	offset, err := log.Append(ctx, record.StreamConfiguration, [][]byte{data})
	var refused *logservice.RefusedError
	switch {
	case errors.As(err, &refused):
		return err
	case err != nil:
		c.counters.Add("appendsUnanswered", 1)
		offset = c.NextOffset()
	}
	c.peerEvents.TryPush(follow.RecordAppended{Offset: offset})
	return err
}

// awaitOutcome waits until the record with the id is applied. It reports false
// if ctx is done, or if the append was not acknowledged and the stream has
// since been read to its end without the record, which is then to be appended
// again.
func (c *Configuration) awaitOutcome(ctx context.Context, id string, answered bool) (core.Outcome, bool) {
	start := c.now()
	wake := c.dependencies.Timers.Every(reappendDelay)
	defer wake.Stop()
	for {
		current := c.current.Load()
		if outcome, ok := current.state.Outcome(id); ok {
			return outcome, true
		}
		select {
		case <-ctx.Done():
			return core.Outcome{}, false
		case <-wake.C():
			if !answered && c.current.Load().confirmedAt.After(start) {
				return core.Outcome{}, false
			}
		case <-current.changed:
		}
	}
}

func (c *Configuration) checkOutcome(outcome core.Outcome, change core.Change) (core.Outcome, error) {
	if outcome.Fingerprint != core.Fingerprint(change) {
		return outcome, trace.Wrap(&IDReusedError{ID: outcome.ID})
	}
	return outcome, trace.Wrap(c.State().Err(outcome))
}
