package claims

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cactuswell/core/claim"
	"cactuswell/core/record"
	"cactuswell/io/logservice"
)

const (
	// appendTimeout bounds one append. After it, the records may be in the log.
	appendTimeout = 2 * time.Second
	// readTimeout bounds one read beyond the time that the log may hold it back.
	readTimeout = 2 * time.Second
)

type appendRequest struct {
	life    uint64
	records [][]byte
}

type readRequest struct {
	// ctx ends when the decider wants another read at once.
	ctx      context.Context
	life     uint64
	position record.Offset
	wait     time.Duration
	// delay is how long to wait before the read.
	delay time.Duration
}

// writer is the duty that appends to the claim stream.
type writer struct {
	claims *Claims
}

func (w *writer) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.claims.appends.Ready():
			for next, ok := w.claims.appends.Pop(); ok; next, ok = w.claims.appends.Pop() {
				w.claims.results.TryPush(result{
					life:  next.life,
					event: w.append(ctx, next),
				})
			}
		}
	}
}

func (w *writer) append(ctx context.Context, next appendRequest) claim.Event {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := w.claims.deps.Log.Append(ctx, record.StreamClaims, next.records)
	var refused *logservice.RefusedError
	switch {
	case err == nil:
		return claim.AppendSucceeded{}
	case errors.As(err, &refused):
		return claim.AppendRefused{RetryAfter: refused.RetryAfter}
	default:
		return claim.AppendUncertain{}
	}
}

// writerRestarted tells the decider that an append may have been lost.
func (c *Claims) writerRestarted() {
	c.results.TryPush(result{
		life:  c.life.Load(),
		event: claim.AppendUncertain{},
	})
}

// follower is the duty that reads the claim stream.
type follower struct {
	claims *Claims
}

func (f *follower) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.claims.reads.Ready():
			for next, ok := f.claims.reads.Pop(); ok; next, ok = f.claims.reads.Pop() {
				f.claims.results.TryPush(f.read(next))
			}
		}
	}
}

func (f *follower) read(next readRequest) result {
	f.pause(next)
	ctx, cancel := context.WithTimeout(next.ctx, next.wait+readTimeout)
	defer cancel()
	began := f.claims.deps.Timers.Now()
	response, err := f.claims.deps.Log.Read(ctx, record.StreamClaims, next.position, logservice.ReadOptions{
		Limit: readBatch,
		Wait:  next.wait,
	})
	answer := result{
		life: next.life,
		read: true,
	}
	var truncated *logservice.TruncatedError
	switch {
	case errors.As(err, &truncated):
		answer.event = claim.ReadTruncated{OldestOffset: truncated.Oldest}
	case err != nil && next.ctx.Err() != nil:
		// The decider ended this read, as it wants another one at once.
	case err != nil:
		answer.err = err
	case hasGap(next.position, response):
		answer.err = &GapError{Position: next.position}
	default:
		answer.event = recordsRead(began, response)
	}
	return answer
}

// hasGap reports whether the log left out records. They could be claims, so
// nothing may be decided beyond them.
func hasGap(position record.Offset, response logservice.ReadResponse) bool {
	if len(response.Records) == 0 {
		return response.NextOffset > position
	}
	for _, stored := range response.Records {
		if stored.Offset != position {
			return true
		}
		position++
	}
	return false
}

// GapError says that the log answered a read without some of the records.
type GapError struct {
	Position record.Offset
}

// Error names where the read began.
func (e *GapError) Error() string {
	return fmt.Sprintf("log left out records after offset %d", e.Position)
}

func (f *follower) pause(next readRequest) {
	if next.delay <= 0 {
		return
	}
	alarm := f.claims.deps.Timers.After(next.delay)
	defer alarm.Stop()
	select {
	case <-next.ctx.Done():
	case <-alarm.C():
	}
}

func recordsRead(began time.Time, response logservice.ReadResponse) claim.Event {
	records := make([]claim.StoredRecord, 0, len(response.Records))
	for _, stored := range response.Records {
		records = append(records, claim.StoredRecord{
			Offset: stored.Offset,
			Data:   stored.Data,
		})
	}
	return claim.RecordsRead{
		StartedAt:  began,
		Records:    records,
		NextOffset: response.NextOffset,
	}
}

// followerRestarted tells the decider that a read was lost.
func (c *Claims) followerRestarted() {
	c.results.TryPush(result{
		life: c.life.Load(),
		read: true,
		err:  &InterruptedReadError{},
	})
}

// InterruptedReadError says that the follower duty was restarted during a read.
type InterruptedReadError struct{}

// Error describes the fault.
func (*InterruptedReadError) Error() string { return "the follower was restarted during a read" }
