// Package keyedlog follows the topics of a log whose records have keys, the
// newest record of each key standing for its present value.
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
// A follower lists the newest records, and then reads on from the end of that
// listing by long polls. It begins anew with a listing when the records that it
// needs are gone. It tells its listener when the log stops answering and when it
// answers again.
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
	// listTimeout bounds one page of a listing.
	listTimeout = 1500 * time.Millisecond
	// answerSlack is how much longer than its wait a long poll may take.
	answerSlack = 900 * time.Millisecond
	// firstRetry and longestRetry bound the time between two tries while the log
	// does not answer: short, as a change must be in force soon after its return.
	firstRetry   = 100 * time.Millisecond
	longestRetry = 400 * time.Millisecond
)

// Record is one record of a topic.
type Record struct {
	Key   string
	Value []byte
	// Deleted says that the key has no value any more.
	Deleted bool
	Offset  int64
}

// Listing is a page of the newest record of each key.
type Listing struct {
	Records []Record
	// NextAfter is the key to go on after, if More is set.
	NextAfter string
	More      bool
	// EndOffset is the offset after the last record of the topic.
	EndOffset int64
}

// Log is the log service.
type Log interface {
	// ListNewest returns the page of a topic's newest records that follows a key, or
	// the first one.
	ListNewest(ctx context.Context, topic, after string) (Listing, error)
	// Read returns the records from an offset on. If there are none yet, it waits
	// for the given time. The error is a *GoneError if they are kept no more.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) ([]Record, error)
}

// ExpiredError says that the records to be read are kept no more.
type ExpiredError struct {
	Topic string
	From  int64
}

// Error names the topic and the offset.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("the records of %s from offset %d on are kept no more", e.Topic, e.From)
}

// Listener learns what a topic holds. Its methods are called by one goroutine.
type Listener interface {
	// HandleListing brings all keys that the topic holds.
	HandleListing(records []Record)
	// HandleRecords brings new records in their order.
	HandleRecords(records []Record)
	// HandleOutage says that the log does not answer.
	HandleOutage(err error)
	// HandleRecovery says that it answers again, after the given time.
	HandleRecovery(away time.Duration)
}

// Dependencies is what a follower is made from.
type Dependencies struct {
	Log      Log
	Topic    string
	Listener Listener
	Timers   *timer.Service
	// PollWait is the length of a long poll.
	PollWait time.Duration
	// MinReadInterval is the least time between two reads, so that many small records cost
	// few calls.
	MinReadInterval time.Duration
	// RecordCall is told of each call.
	RecordCall func(took time.Duration, err error)
}

// Follower follows one topic.
type Follower struct {
	Dependencies
	next     int64
	listed   bool
	lost     bool
	lostAt   time.Time
	failures int
}

// New returns a follower.
func New(dependencies Dependencies) *Follower {
	return &Follower{
		Dependencies: dependencies,
	}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.once(ctx)
	}
	return nil
}

// once makes one call, tells of it, and waits as long as it is due.
func (f *Follower) once(ctx context.Context) {
	began := time.Now()
	news, err := f.step(ctx)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		f.fail(err)
		f.sleep(ctx, f.retryDelay())
	default:
		f.succeed()
		if news {
			f.sleep(ctx, f.MinReadInterval-time.Since(began))
		}
	}
}

// step lists or reads once, and reports whether it brought records.
func (f *Follower) step(ctx context.Context) (bool, error) {
	if !f.listed {
		return true, f.list(ctx)
	}
	records, err := f.read(ctx)
	var gone *ExpiredError
	if errors.As(err, &gone) {
		f.listed = false
		return false, nil
	}
	if err != nil || len(records) == 0 {
		return false, err
	}
	f.next = records[len(records)-1].Offset + 1
	f.succeed()
	f.Listener.HandleRecords(records)
	return true, nil
}

func (f *Follower) read(ctx context.Context) ([]Record, error) {
	wait := f.PollWait
	if f.lost {
		// An answer at once shows that the log is back.
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()
	began := time.Now()
	records, err := f.Log.Read(ctx, f.Topic, f.next, wait)
	f.RecordCall(time.Since(began), err)
	return records, err
}

// list reads the newest record of each key. The end of the first page is where
// reading goes on, as later records may be missing in the pages.
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
	f.next = end
	f.listed = true
	f.succeed()
	f.Listener.HandleListing(records)
	return nil
}

func (f *Follower) listPage(ctx context.Context, after string) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	began := time.Now()
	page, err := f.Log.ListNewest(ctx, f.Topic, after)
	f.RecordCall(time.Since(began), err)
	return page, err
}

func (f *Follower) fail(err error) {
	f.failures++
	if f.lost {
		return
	}
	f.lost = true
	f.lostAt = time.Now()
	f.Listener.HandleOutage(err)
}

func (f *Follower) succeed() {
	f.failures = 0
	if !f.lost {
		return
	}
	f.lost = false
	f.Listener.HandleRecovery(time.Since(f.lostAt))
}

// retryDelay grows with the failures, and is spread so that hosts don't call
// together.
func (f *Follower) retryDelay() time.Duration {
	delay := min(firstRetry<<min(f.failures-1, 4), longestRetry)
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
