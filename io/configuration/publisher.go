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
	// appendTimeout bounds one append.
	appendTimeout = 3 * time.Second
	// reappendDelay is how long a record whose append had no answer may stay
	// unseen before it is appended again.
	reappendDelay = 2 * time.Second
)

// UnknownOutcomeError says that it could not be learnt in time whether a change was
// accepted. Asking again under the same id is harmless.
type UnknownOutcomeError struct {
	ID    string
	Cause error
}

// Error names the id.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of change %s is unknown: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// NotReadyError says that the host cannot publish yet, and that nothing was
// appended.
type NotReadyError struct {
	Reason string
}

// Error names the reason.
func (e *NotReadyError) Error() string {
	return "configuration is not ready: " + e.Reason
}

// IDReusedError says that another change was made under the same id. The
// change asked for was not made.
type IDReusedError struct {
	ID string
}

// Error names the id.
func (e *IDReusedError) Error() string {
	return fmt.Sprintf("change id %s was used for another change", e.ID)
}

// NewID returns an id for a change.
func NewID() string {
	return rand.Text()
}

// PublishChange publishes a change under an id and returns its outcome once the record
// was read back and reduced. A host that starts publishes once it is as far as
// the stream. The same id may be given again, with the same change, to learn the
// outcome of an earlier call; a repeated record has no effect.
//
// The error is a *core.ConflictError, *core.StaleError or *core.RejectedError
// of a change without effect, an *UnknownError, a *NotReadyError, an
// *IDReusedError, or one of core.Encode.
func (c *Configuration) PublishChange(ctx context.Context, id string, change core.Change) (core.Outcome, error) {
	if outcome, ok := c.State().Outcome(id); ok {
		return c.resolve(outcome, change)
	}
	if err := c.awaitStart(ctx); err != nil {
		return core.Outcome{}, trace.Wrap(err)
	}
	change = core.WithAsOf(change, c.NextOffset())
	data, err := core.Encode(id, c.dependencies.Host, c.now().UnixMilli(), change)
	if err != nil {
		return core.Outcome{}, trace.Wrap(err)
	}
	cause := c.appendOnce(ctx, data)
	for ctx.Err() == nil {
		if outcome, ok := c.await(ctx, id, cause == nil); ok {
			return c.resolve(outcome, change)
		}
		cause = c.appendOnce(ctx, data)
	}
	return core.Outcome{}, trace.Wrap(&UnknownOutcomeError{
		ID:    id,
		Cause: errors.Join(ctx.Err(), cause),
	})
}

// awaitStart waits until the host knows the head of the stream.
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

// appendOnce appends the record and lets the follower look for it, also when
// the answer was lost.
func (c *Configuration) appendOnce(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	c.counts.Add("appends", 1)
	log := c.dependencies.NewLogClient()
	defer leave(log)
	offset, err := log.Append(ctx, record.StreamConfiguration, [][]byte{data})
	var refused *logservice.RefusedError
	switch {
	case errors.As(err, &refused):
		return err
	case err != nil:
		c.counts.Add("appendsUnanswered", 1)
		offset = c.NextOffset()
	}
	c.heard.TryPush(follow.RecordAppended{Offset: offset})
	return err
}

// await waits until the record with the id is reduced. It reports false when ctx
// ends, or when the append had no answer and the stream was read to its end
// since without the record, so that it is to be appended again.
func (c *Configuration) await(ctx context.Context, id string, answered bool) (core.Outcome, bool) {
	began := c.now()
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
			if !answered && c.current.Load().confirmedAt.After(began) {
				return core.Outcome{}, false
			}
		case <-current.changed:
		}
	}
}

func (c *Configuration) resolve(outcome core.Outcome, change core.Change) (core.Outcome, error) {
	if outcome.Fingerprint != core.Fingerprint(change) {
		return outcome, trace.Wrap(&IDReusedError{ID: outcome.ID})
	}
	return outcome, trace.Wrap(c.State().Err(outcome))
}
