// Package keyedlog follows the topics of a log of keyed records. The newest record
// of a key holds the key's current value.
//
// # Usage
//
//	follower := keyedlog.New(keyedlog.Dependencies{
//		Log:      log,
//		Topic:    "configuration",
//		Listener: listener,
//		Peers:    peers,
//		...
//	})
//	tree.Add(supervisor.Duty{Name: "follower", Run: follower.Run})
//
// A follower keeps a copy of its topic. A few hosts of a fleet read the log: they list
// the newest record of each key and then read the records after that listing with long
// polls. The others get the changes from hosts whose copy is ahead (see package
// replica, which decides). A follower lists again when the records that it would read
// next are no longer retained, and when the log's era has risen, as the log has come
// back from an older copy then. It notifies its listener when neither the log nor a
// host that reads it answers, and when one does again.
package keyedlog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cactuswell/core/replica"
	"cactuswell/io/progress"
	"cactuswell/timer"
)

const (
	// listPageSilence bounds the time in which nothing of a page of a listing arrives.
	listPageSilence = 1500 * time.Millisecond
	// pollSlack is how much longer than its wait a long poll may bring nothing.
	pollSlack = 900 * time.Millisecond
	// transferTime bounds the time in which an answer of the log arrives: about that of
	// 8 MB, the largest one, over a link of 10 Mbit/s.
	transferTime = 8 * time.Second
	// maxListingBytes bounds a listing, and recordOverhead is what a record takes besides
	// its key and its value.
	maxListingBytes = 64 << 20
	recordOverhead  = 64
)

// Record is one record of a topic.
type Record = replica.Record

// Listing is a page of a listing of the newest record of each key.
type Listing struct {
	Records []Record
	// NextAfter is the key to pass for the next page, if More is set.
	NextAfter string
	More      bool
	// EndOffset is the offset after the last record of the topic.
	EndOffset int64
	// Era is the log's era. See replica.Position.
	Era int64
	// Unreadable is the number of records that cannot be decoded and are left out.
	Unreadable int
}

// Advances reports whether the page after this one differs from this one, which follows
// the given key.
func (l *Listing) Advances(after string) bool {
	return l.NextAfter != "" && l.NextAfter != after
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	// Unreadable is the number of records that cannot be decoded and are left out, and End the
	// offset after the last record of the read, whether it can be decoded or not. End is zero
	// if it follows from Records.
	Unreadable int
	End        int64
	// Era is the log's era. Records of a later era than the reader's do not continue
	// what it has read before.
	Era int64
}

// Log is a client of the log service.
type Log interface {
	// ListNewest lists the newest record of each key of a topic. It returns the page
	// after the given key, or the first page if the key is empty.
	ListNewest(ctx context.Context, topic, after string) (Listing, error)
	// Read returns the records from an offset on. If there are none yet, it waits
	// for them up to the given time. The error is an *ExpiredError if the log does not
	// have records from that offset on: they are no longer retained, or the log has come
	// back from an older copy.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error)
}

// Appended is the result of a conditional append.
type Appended struct {
	// Offset is that of the first record, and End the offset after the last one.
	Offset int64
	End    int64
	// Era is the log's era.
	Era int64
}

// ConditionError is the error for a conditional append that was not executed, as the topic does
// not end at the given offset.
type ConditionError struct {
	Topic string
	At    int64
	// End is where the topic ends, and Era the log's era.
	End int64
	Era int64
}

// Error names the topic and the offsets.
func (e *ConditionError) Error() string {
	return fmt.Sprintf("topic %s ends at offset %d, not at %d", e.Topic, e.End, e.At)
}

// ExpiredError is the error for a read of records that the log does not have.
type ExpiredError struct {
	Topic string
	From  int64
}

// Error names the topic and the offset.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("records of topic %s from offset %d on are not available", e.Topic, e.From)
}

// MalformedError is the error for a read whose result cannot be divided into records.
type MalformedError struct {
	Topic  string
	From   int64
	Reason string
}

// Error names the topic, the offset and the reason.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed read of topic %s from offset %d on: %s", e.Topic, e.From, e.Reason)
}

// EndlessListingError is the error for a listing whose pages do not end.
type EndlessListingError struct {
	Topic string
	// Records is the number of records that were listed.
	Records int
}

// Error names the topic and the number of records.
func (e *EndlessListingError) Error() string {
	return fmt.Sprintf("the listing of topic %s does not end after %d records", e.Topic, e.Records)
}

// NoReaderError is the error while no host that reads the log is heard of.
type NoReaderError struct {
	Topic string
}

// Error names the topic.
func (e *NoReaderError) Error() string {
	return "no other host reads topic " + e.Topic
}

// Listener handles the contents of a topic. Its methods are called by one goroutine.
type Listener interface {
	// HandleListing receives a complete listing of the topic's keys.
	HandleListing(records []Record)
	// HandleRecords receives new records, in order.
	HandleRecords(records []Record)
	// HandleRewind is called before the first listing of a later era than the one
	// before: what was written lately may be missing from it, and is written again.
	HandleRewind(before, after replica.Position)
	// HandleOutage is called when the log becomes unavailable.
	HandleOutage(err error)
	// HandleRecovery is called when the log is available again, after an outage of the
	// given duration.
	HandleRecovery(outage time.Duration)
}

// Peers is access to the copies of the other hosts of a fleet.
type Peers interface {
	// View returns what is known of the others' copies, for a host whose own copy ends
	// at the given position.
	View(topic string, own replica.Position) replica.View
	// Fetch returns the changes after a position from the host at an address.
	Fetch(ctx context.Context, address, topic string, after replica.Position) (replica.Changes, error)
	// Publish tells the other hosts where the copy ends, and whether this host currently
	// reads the log with success. The log has last answered at readAt.
	Publish(topic string, end replica.Position, reads bool, readAt time.Time)
}

// AbandonedPollError is the error of a read that was abandoned because another host
// has records that it has not delivered.
type AbandonedPollError struct {
	Topic string
	After time.Duration
}

// Error names the topic and the time that the read took.
func (e *AbandonedPollError) Error() string {
	return fmt.Sprintf("read of topic %s abandoned after %s: other hosts have newer records", e.Topic, e.After)
}

// Dependencies holds the settings and collaborators of a Follower.
type Dependencies struct {
	Log      Log
	Topic    string
	Listener Listener
	Timers   *timer.Service
	// Peers may be nil, for a host that knows no others.
	Peers Peers
	// MinReadInterval is the minimum time between two steps that deliver records, so
	// that many small records need few calls.
	MinReadInterval time.Duration
	// MaxValueBytes bounds the values of the topic, if it is positive. Larger ones are omitted,
	// so that they do not make the copy too large for other hosts to fetch.
	MaxValueBytes int
	// RecordCall is called after each call to the log, with its duration and its
	// error.
	RecordCall func(took time.Duration, err error)
	// RecordUnreadable is called with the number of records of a read or of a page of a listing
	// that cannot be decoded, if there are any.
	RecordUnreadable func(count int)
	// RecordReadFailure is called when a read of the log fails while other hosts read it,
	// which is no outage. The error is an *AbandonedPollError if the read was abandoned.
	RecordReadFailure func(err error)
	// RecordStandIn is called, if it is set, when the host reads because the log seems to
	// answer none of the readers.
	RecordStandIn func()
}

// Follower follows one topic.
type Follower struct {
	Dependencies
	planner *replica.Planner
	// reads is set while the last read of the log succeeded and the host keeps reading.
	reads bool
	// readAt is when the log last answered.
	readAt           time.Time
	unavailable      bool
	unavailableSince time.Time
	// wake is signaled when another host's position has changed.
	wake chan struct{}

	// behindSince is the planner's BehindSince in Unix nanoseconds, or zero.
	behindSince atomic.Int64
	// isFetching is set while changes are fetched from another host.
	isFetching atomic.Bool

	mu    sync.Mutex
	table *replica.Table
}

// New creates a follower.
func New(dependencies Dependencies) *Follower {
	return &Follower{
		Dependencies: dependencies,
		planner:      replica.NewPlanner(time.Now()),
		wake:         make(chan struct{}, 1),
		table:        replica.New(),
	}
}

// Wake makes the follower look at the other hosts' positions again. It never blocks.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// ChangesAfter returns the changes after a position, for another host. It reports
// false if the follower has nothing later.
func (f *Follower) ChangesAfter(position replica.Position) (replica.Changes, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.table.End().After(position) {
		return replica.Changes{}, false
	}
	return f.table.Since(position), true
}

// Record returns the newest record of a key of the copy.
func (f *Follower) Record(key string) (Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Record(key)
}

// Previous returns the record before the newest one of a key, if the copy has kept it.
func (f *Follower) Previous(key string) (Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Previous(key)
}

// Large returns the newest record of the copy with a large value, and false if there is none.
func (f *Follower) Large() (Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Large()
}

// BehindFor returns for how long another host has been known to have later records, or
// zero.
func (f *Follower) BehindFor() time.Duration {
	if since := f.behindSince.Load(); since != 0 {
		return time.Since(time.Unix(0, since))
	}
	return 0
}

// IsFetching reports whether changes are being fetched from another host.
func (f *Follower) IsFetching() bool { return f.isFetching.Load() }

// Run follows the topic until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.runOnce(ctx)
	}
	return nil
}

// runOnce executes the next step, and waits until the one after it is due.
func (f *Follower) runOnce(ctx context.Context) {
	startedAt := time.Now()
	view := f.view()
	delivered := false
	step := f.planner.Next(startedAt, view)
	f.recordBehind()
	switch step := step.(type) {
	case replica.Wait:
		f.recordIdle(view)
		f.sleep(ctx, step.For, true)
	case replica.Fetch:
		delivered = f.fetch(ctx, step.Address)
	case replica.Read:
		if step.StandsIn && f.RecordStandIn != nil {
			f.RecordStandIn()
		}
		delivered = f.readLog(ctx, step.PollWait)
	}
	if delivered {
		f.sleep(ctx, f.MinReadInterval-time.Since(startedAt), false)
	}
}

func (f *Follower) view() replica.View {
	f.recordBehind()
	if f.Peers == nil {
		return replica.View{
			IsSolo:     true,
			IsComplete: true,
			Reader:     replica.Reader{Count: 1},
		}
	}
	return f.Peers.View(f.Topic, f.end())
}

func (f *Follower) recordBehind() {
	since := int64(0)
	if at := f.planner.BehindSince(); !at.IsZero() {
		since = at.UnixNano()
	}
	f.behindSince.Store(since)
}

func (f *Follower) end() replica.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.End()
}

// readLog lists or reads once, and reports whether it delivered records.
func (f *Follower) readLog(ctx context.Context, wait time.Duration) bool {
	if !f.reads {
		// The others learn at once that this host reads, not only at the end of a poll.
		wait = 0
	}
	changes, err := f.readChanges(ctx, wait)
	var abandoned *AbandonedPollError
	switch {
	case ctx.Err() != nil:
		return false
	case errors.As(err, &abandoned):
		// The read may still be answered, so the log does not count as unavailable.
		f.RecordReadFailure(err)
		return false
	case err != nil:
		view := f.view()
		f.planner.RecordReadFailure(time.Now(), view, rand.Float64())
		f.publish(false)
		if view.Readers > 0 {
			f.RecordReadFailure(err)
		} else {
			f.recordUnavailable(err)
		}
		return false
	}
	f.readAt = time.Now()
	f.planner.RecordRead(f.readAt)
	f.recordAvailable()
	if !changes.End.After(f.end()) {
		f.publish(true)
		return false
	}
	f.reads = true
	f.apply(changes)
	return true
}

// readChanges lists the topic if there is no copy or its records do not continue the
// copy, and reads the records after the copy otherwise.
func (f *Follower) readChanges(ctx context.Context, wait time.Duration) (replica.Changes, error) {
	end := f.end()
	if !end.IsKnown() {
		return f.list(ctx)
	}
	batch, err := f.poll(ctx, end, wait)
	if err == nil && batch.Era > end.Era {
		err = &ExpiredError{
			Topic: f.Topic,
			From:  end.Offset,
		}
	}
	var expired *ExpiredError
	var malformed *MalformedError
	if errors.As(err, &expired) || errors.As(err, &malformed) {
		return f.listPast(ctx, end, err)
	}
	if err != nil {
		return replica.Changes{}, err
	}
	f.recordUnreadable(batch.Unreadable)
	f.omitLargeValues(batch.Records)
	if len(batch.Records) > 0 {
		end.Offset = batch.Records[len(batch.Records)-1].Offset + 1
	}
	end.Offset = max(end.Offset, batch.End)
	return replica.Changes{
		End:     end,
		Records: batch.Records,
	}, nil
}

// listPast lists the topic, as its records do not continue the copy or cannot be read. It returns
// the read's error if the listing does not get past the copy.
func (f *Follower) listPast(ctx context.Context, end replica.Position, readErr error) (replica.Changes, error) {
	changes, err := f.list(ctx)
	if err != nil {
		return replica.Changes{}, err
	}
	if !changes.End.After(end) {
		return replica.Changes{}, readErr
	}
	var malformed *MalformedError
	if errors.As(readErr, &malformed) {
		f.RecordReadFailure(readErr)
	}
	return changes, nil
}

// omitLargeValues omits the values beyond MaxValueBytes.
func (f *Follower) omitLargeValues(records []Record) {
	for i := range records {
		if size := len(records[i].Value); f.MaxValueBytes > 0 && size > f.MaxValueBytes {
			records[i].Value = nil
			records[i].Omitted = size
		}
	}
}

func (f *Follower) recordUnreadable(count int) {
	if count > 0 {
		f.RecordUnreadable(count)
	}
}

// apply applies changes to the copy and passes them to the listener.
func (f *Follower) apply(changes replica.Changes) {
	f.mu.Lock()
	before := f.table.End()
	if changes.Whole {
		f.table.Replace(changes.End, changes.Records)
	} else {
		f.table.Apply(changes.End, changes.Records)
	}
	f.mu.Unlock()
	f.planner.RecordCopy()
	f.publish(f.reads)
	if before.IsKnown() && changes.End.Era > before.Era {
		f.Listener.HandleRewind(before, changes.End)
	}
	if changes.Whole {
		f.Listener.HandleListing(changes.Records)
		return
	}
	f.Listener.HandleRecords(changes.Records)
}

func (f *Follower) publish(reads bool) {
	f.reads = reads
	if f.Peers != nil {
		f.Peers.Publish(f.Topic, f.end(), reads, f.readAt)
	}
}

// list lists the newest record of each key. Reading continues at the end offset of
// the first page, since the pages may miss records that were appended after it. The error
// is an *EndlessListingError if the pages do not advance or exceed maxListingBytes.
func (f *Follower) list(ctx context.Context) (replica.Changes, error) {
	changes := replica.Changes{
		Whole: true,
		End:   replica.Unknown(),
	}
	after := ""
	size := 0
	for {
		page, err := f.listPage(ctx, after)
		if err != nil {
			return replica.Changes{}, err
		}
		if changes.End.IsKnown() && page.Era != changes.End.Era {
			return replica.Changes{}, &ExpiredError{
				Topic: f.Topic,
				From:  changes.End.Offset,
			}
		}
		if !changes.End.IsKnown() {
			changes.End = replica.Position{
				Era:    page.Era,
				Offset: page.EndOffset,
			}
		}
		f.omitLargeValues(page.Records)
		changes.Records = append(changes.Records, page.Records...)
		for _, record := range page.Records {
			size += len(record.Key) + len(record.Value) + recordOverhead
		}
		if !page.More {
			return changes, nil
		}
		if !page.Advances(after) || size > maxListingBytes {
			return replica.Changes{}, &EndlessListingError{
				Topic:   f.Topic,
				Records: len(changes.Records),
			}
		}
		after = page.NextAfter
	}
}

func (f *Follower) listPage(ctx context.Context, after string) (Listing, error) {
	ctx, cancel := progress.WithLimits(ctx, f.Timers, progress.Limits{
		Silence: listPageSilence,
		Total:   listPageSilence + transferTime,
	})
	defer cancel()
	startedAt := time.Now()
	page, err := f.Log.ListNewest(ctx, f.Topic, after)
	err = progress.Cause(ctx, err)
	f.RecordCall(time.Since(startedAt), err)
	f.recordUnreadable(page.Unreadable)
	return page, err
}

// recordIdle records what the other hosts say of the log while this one does not read
// it.
func (f *Follower) recordIdle(view replica.View) {
	if f.reads && !view.Reader.IsReader() {
		f.publish(false)
	}
	switch {
	case view.Readers > 0:
		f.recordAvailable()
	case f.planner.HearsOfNoReader(time.Now()):
		f.recordUnavailable(&NoReaderError{Topic: f.Topic})
	}
}

func (f *Follower) recordUnavailable(err error) {
	if f.unavailable {
		return
	}
	f.unavailable = true
	f.unavailableSince = time.Now()
	f.Listener.HandleOutage(err)
}

func (f *Follower) recordAvailable() {
	if !f.unavailable {
		return
	}
	f.unavailable = false
	f.Listener.HandleRecovery(time.Since(f.unavailableSince))
}

// sleep waits, at most until another host's position changes if isWakeable is set.
func (f *Follower) sleep(ctx context.Context, delay time.Duration, isWakeable bool) {
	if delay <= 0 {
		return
	}
	timeout := f.Timers.After(delay)
	defer timeout.Stop()
	var wake <-chan struct{}
	if isWakeable {
		wake = f.wake
	}
	select {
	case <-ctx.Done():
	case <-timeout.C():
	case <-wake:
	}
}
