// Package keyedlog follows the topics of a log of keyed records. The newest record
// of a key holds the key's current value.
//
// # Usage
//
//	follower := keyedlog.New(keyedlog.Dependencies{
//		Log:      log,
//		Topic:    "configuration",
//		Listener: listener,
//		...
//	})
//	tree.Add(supervisor.Duty{Name: "follower", Run: follower.Run})
//
// A follower lists the newest record of each key and then reads the records after
// that listing with long polls. It lists again when the records that it would read
// next are no longer retained. It notifies its listener when the log becomes
// unavailable and when it is available again.
package keyedlog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"cactuswell/timer"
)

const (
	// listPageTimeout bounds the request for one page of a listing.
	listPageTimeout = 1500 * time.Millisecond
	// pollSlack is how much longer than its wait a long poll may take.
	pollSlack = 900 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff while the log is
	// unavailable, before jitter. They are short, since a change must take effect
	// soon after the log has recovered.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Record is one record of a topic.
type Record struct {
	Key   string
	Value []byte
	// Deleted reports whether the record deletes its key.
	Deleted bool
	Offset  int64
}

// Listing is a page of a listing of the newest record of each key.
type Listing struct {
	Records []Record
	// NextAfter is the key to pass for the next page, if More is set.
	NextAfter string
	More      bool
	// EndOffset is the offset after the last record of the topic.
	EndOffset int64
}

// Log is a client of the log service.
type Log interface {
	// ListNewest lists the newest record of each key of a topic. It returns the page
	// after the given key, or the first page if the key is empty.
	ListNewest(ctx context.Context, topic, after string) (Listing, error)
	// Read returns the records from an offset on. If there are none yet, it waits
	// for them up to the given time. The error is an *ExpiredError if records from that
	// offset on are no longer retained.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) ([]Record, error)
}

// ExpiredError is the error for a read of records that are no longer retained.
type ExpiredError struct {
	Topic string
	From  int64
}

// Error names the topic and the offset.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("records of topic %s from offset %d on are no longer retained", e.Topic, e.From)
}

// Listener handles the contents of a topic. Its methods are called by one goroutine.
type Listener interface {
	// HandleListing receives a complete listing of the topic's keys.
	HandleListing(records []Record)
	// HandleRecords receives new records, in order.
	HandleRecords(records []Record)
	// HandleOutage is called when the log becomes unavailable.
	HandleOutage(err error)
	// HandleRecovery is called when the log is available again, after an outage of the
	// given duration.
	HandleRecovery(outage time.Duration)
}

// Dependencies holds the settings and collaborators of a Follower.
type Dependencies struct {
	Log      Log
	Topic    string
	Listener Listener
	Timers   *timer.Service
	// PollWait is the duration of a long poll.
	PollWait time.Duration
	// MinReadInterval is the minimum time between two reads that return records, so
	// that many small records need few calls.
	MinReadInterval time.Duration
	// RecordCall is called after each call to the log, with its duration and its
	// error.
	RecordCall func(took time.Duration, err error)
}

// Follower follows one topic.
type Follower struct {
	Dependencies
	nextOffset       int64
	listed           bool
	unavailable      bool
	unavailableSince time.Time
	failures         int
}

// New creates a follower.
func New(dependencies Dependencies) *Follower {
	return &Follower{
		Dependencies: dependencies,
	}
}

// Run follows the topic until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.runOnce(ctx)
	}
	return nil
}

// runOnce lists or reads once, records the success or failure, and waits until the
// next call is due.
func (f *Follower) runOnce(ctx context.Context) {
	startedAt := time.Now()
	hasRecords, err := f.step(ctx)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		f.recordFailure(err)
		f.sleep(ctx, f.retryDelay())
	default:
		f.recordSuccess()
		if hasRecords {
			f.sleep(ctx, f.MinReadInterval-time.Since(startedAt))
		}
	}
}

// step lists or reads once, and reports whether it listed or received records.
func (f *Follower) step(ctx context.Context) (bool, error) {
	if !f.listed {
		return true, f.list(ctx)
	}
	records, err := f.read(ctx)
	var expired *ExpiredError
	if errors.As(err, &expired) {
		f.listed = false
		return false, nil
	}
	if err != nil || len(records) == 0 {
		return false, err
	}
	f.nextOffset = records[len(records)-1].Offset + 1
	f.recordSuccess()
	f.Listener.HandleRecords(records)
	return true, nil
}

func (f *Follower) read(ctx context.Context) ([]Record, error) {
	wait := f.PollWait
	if f.unavailable {
		// Without a wait, the answer shows immediately that the log is available again.
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+pollSlack)
	defer cancel()
	startedAt := time.Now()
	records, err := f.Log.Read(ctx, f.Topic, f.nextOffset, wait)
	f.RecordCall(time.Since(startedAt), err)
	return records, err
}

// list lists the newest record of each key. Reading continues at the end offset of
// the first page, since the pages may miss records that were appended after it.
func (f *Follower) list(ctx context.Context) error {
	var records []Record
	end := int64(-1)
	after := ""
	for {
		page, err := f.listPage(ctx, after)
		if err != nil {
			return err
		}
		if end < 0 {
			end = page.EndOffset
		}
		records = append(records, page.Records...)
		if !page.More {
			break
		}
		after = page.NextAfter
	}
	f.nextOffset = end
	f.listed = true
	f.recordSuccess()
	f.Listener.HandleListing(records)
	return nil
}

func (f *Follower) listPage(ctx context.Context, after string) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, listPageTimeout)
	defer cancel()
	startedAt := time.Now()
	page, err := f.Log.ListNewest(ctx, f.Topic, after)
	f.RecordCall(time.Since(startedAt), err)
	return page, err
}

func (f *Follower) recordFailure(err error) {
	f.failures++
	if f.unavailable {
		return
	}
	f.unavailable = true
	f.unavailableSince = time.Now()
	f.Listener.HandleOutage(err)
}

func (f *Follower) recordSuccess() {
	f.failures = 0
	if !f.unavailable {
		return
	}
	f.unavailable = false
	f.Listener.HandleRecovery(time.Since(f.unavailableSince))
}

// retryDelay returns the delay before the next attempt, an exponential backoff with
// jitter so that hosts don't retry at the same time.
func (f *Follower) retryDelay() time.Duration {
	delay := min(minRetryDelay<<min(f.failures-1, 4), maxRetryDelay)
	return delay/2 + rand.N(delay)
}

func (f *Follower) sleep(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	wake := f.Timers.After(delay)
	defer wake.Stop()
	select {
	case <-ctx.Done():
	case <-wake.C():
	}
}
