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
	// appendTimeout is the timeout of one append. After a timeout the records
	// may be in the log.
	appendTimeout = 2 * time.Second
	// readTimeout is the timeout of one read, in addition to the time for which
	// the log may delay its response.
	readTimeout = 2 * time.Second
)

type appendRequest struct {
	instance uint64
	records  [][]byte
}

type readRequest struct {
	// ctx is canceled when the decider needs another read immediately.
	ctx      context.Context
	instance uint64
	position record.Offset
	wait     time.Duration
	// backoff is the backoff before the read.
	backoff time.Duration
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
		case <-w.claims.appendRequests.Ready():
			for next, ok := w.claims.appendRequests.Pop(); ok; next, ok = w.claims.appendRequests.Pop() {
				w.claims.logResults.TryPush(logResult{
					instance: next.instance,
					event:    w.append(ctx, next),
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
		return claim.AppendResultUnknown{}
	}
}

// handleWriterRestart is called after a restart of the writer duty. It reports
// to the decider that the result of an append may be unknown.
func (c *Claims) handleWriterRestart() {
	c.logResults.TryPush(logResult{
		instance: c.instance.Load(),
		event:    claim.AppendResultUnknown{},
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
		case <-f.claims.readRequests.Ready():
			for next, ok := f.claims.readRequests.Pop(); ok; next, ok = f.claims.readRequests.Pop() {
				f.claims.logResults.TryPush(f.read(next))
			}
		}
	}
}

func (f *follower) read(next readRequest) logResult {
	f.waitBackoff(next)
	ctx, cancel := context.WithTimeout(next.ctx, next.wait+readTimeout)
	defer cancel()
	startedAt := f.claims.deps.Timers.Now()
	response, err := f.claims.deps.Log.Read(ctx, record.StreamClaims, next.position, logservice.ReadOptions{
		Limit: maxRecordsPerRead,
		Wait:  next.wait,
	})
	result := logResult{
		instance: next.instance,
		isRead:   true,
	}
	var truncated *logservice.TruncatedError
	switch {
	case errors.As(err, &truncated):
		result.event = claim.ReadTruncated{OldestOffset: truncated.Oldest}
	case err != nil && next.ctx.Err() != nil:
		// The decider canceled this read, as it needs another one immediately.
	case err != nil:
		result.err = err
	case hasGap(next.position, response):
		result.err = &GapError{Position: next.position}
	default:
		result.event = recordsRead(startedAt, response)
	}
	return result
}

// hasGap reports whether records are missing from the response. They could be
// claims, and nothing may be decided beyond a gap, so the whole response is
// discarded.
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

// GapError reports that records are missing from the response to a read. Position is
// the offset from which the log was read.
type GapError struct {
	Position record.Offset
}

// Error returns a message with the offset from which the log was read.
func (e *GapError) Error() string {
	return fmt.Sprintf("log left out records after offset %d", e.Position)
}

func (f *follower) waitBackoff(next readRequest) {
	if next.backoff <= 0 {
		return
	}
	timer := f.claims.deps.Timers.After(next.backoff)
	defer timer.Stop()
	select {
	case <-next.ctx.Done():
	case <-timer.C():
	}
}

func recordsRead(startedAt time.Time, response logservice.ReadResponse) claim.Event {
	records := make([]claim.StoredRecord, 0, len(response.Records))
	for _, stored := range response.Records {
		records = append(records, claim.StoredRecord{
			Offset: stored.Offset,
			Data:   stored.Data,
		})
	}
	return claim.RecordsRead{
		StartedAt:  startedAt,
		Records:    records,
		NextOffset: response.NextOffset,
	}
}

// handleFollowerRestart is called after a restart of the follower duty. It
// reports to the decider that the read in flight has failed.
func (c *Claims) handleFollowerRestart() {
	c.logResults.TryPush(logResult{
		instance: c.instance.Load(),
		isRead:   true,
		err:      &InterruptedReadError{},
	})
}

// InterruptedReadError reports that the follower duty was restarted during a
// read.
type InterruptedReadError struct{}

// Error returns a fixed message.
func (*InterruptedReadError) Error() string { return "the follower was restarted during a read" }
