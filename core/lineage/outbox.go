package lineage

import "time"

// overdueAfter is the time without an acknowledgement after which the store counts as taking no
// records: several times as long as it usually takes for one.
const overdueAfter = 100 * time.Millisecond

// The delay until a write that failed is repeated doubles from minRetryDelay to maxRetryDelay, or to
// retrySpread for each host of the fleet if that is longer: hosts that repeat their writes leave
// most of the store's rate to others.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	retrySpread   = 5 * time.Millisecond
)

// Entry is a record of a stream on its way to the store.
type Entry struct {
	key      string
	version  string
	lifetime time.Duration
	addedAt  time.Time
	// writtenAt is when the store has acknowledged the record, or zero.
	writtenAt time.Time
	// replaces is the record of the same stream that was added before, or nil.
	replaces *Entry
	// isInDoubt is set once a write of the record has failed: it may still take effect.
	isInDoubt bool
}

// Key returns the key of the record.
func (e *Entry) Key() string { return e.key }

// Version returns the version of the stream.
func (e *Entry) Version() string { return e.version }

// IsKept reports whether whoever reads the store from now on finds this version of the stream. A
// write of an earlier version that failed may still take effect, and hide it.
func (e *Entry) IsKept() bool {
	if e.writtenAt.IsZero() {
		return false
	}
	for earlier := e.replaces; earlier != nil; earlier = earlier.replaces {
		if earlier.isInDoubt && earlier.version != e.version {
			return false
		}
	}
	return true
}

// Outbox holds the records that a host writes to the store, one call at a time, and for how long
// it has to answer for them: until the streams can no longer be taken up.
type Outbox struct {
	waiting []*Entry
	// inFlight holds the records of the write in progress.
	inFlight []*Entry
	// retryDelay is the delay after the last write if that failed, or zero.
	retryDelay time.Duration
	// written holds the records that the store has acknowledged, oldest first, and expired the
	// keys of those that it is to drop.
	written []*Entry
	expired []string
}

// NewOutbox returns an Outbox without records.
func NewOutbox() *Outbox { return &Outbox{} }

// Add adds a record. It replaces the given one of the same stream, unless that is nil.
func (o *Outbox) Add(now time.Time, key, version string, lifetime time.Duration, replaces *Entry) *Entry {
	e := &Entry{
		key:      key,
		version:  version,
		lifetime: lifetime,
		addedAt:  now,
		replaces: replaces,
	}
	o.waiting = append(o.waiting, e)
	return e
}

// IsOverdue reports whether a record has been waiting for its acknowledgement for so long that the
// store must be taken to accept none.
func (o *Outbox) IsOverdue(now time.Time) bool {
	for _, unacknowledged := range [][]*Entry{o.inFlight, o.waiting} {
		if len(unacknowledged) > 0 && now.Sub(unacknowledged[0].addedAt) >= overdueAfter {
			return true
		}
	}
	return false
}

// HasWaiting reports whether a write is due.
func (o *Outbox) HasWaiting() bool { return len(o.waiting) > 0 }

// Write is a write of records to the store.
type Write struct {
	Entries []*Entry
	// Expired holds the keys of the records that the store is to drop, as their streams can no
	// longer be taken up.
	Expired []string
	// Abandoned holds the records that are not written any more: they have waited for so long
	// themselves.
	Abandoned []*Entry
}

// Begin begins a write of the records that are waiting. It keeps the last one however long it has
// waited, as its acknowledgement shows that the store takes records again.
func (o *Outbox) Begin(now time.Time) Write {
	var w Write
	for i, e := range o.waiting {
		if now.Sub(e.addedAt) >= e.lifetime && i < len(o.waiting)-1 {
			w.Abandoned = append(w.Abandoned, e)
			continue
		}
		o.inFlight = append(o.inFlight, e)
	}
	o.waiting = nil
	for len(o.written) > 0 && now.Sub(o.written[0].writtenAt) >= 2*o.written[0].lifetime {
		o.expired = append(o.expired, o.written[0].key)
		o.written = o.written[1:]
	}
	w.Entries, w.Expired = o.inFlight, o.expired
	return w
}

// Acknowledge ends the write in progress after the store has taken it.
func (o *Outbox) Acknowledge(now time.Time) {
	for _, e := range o.inFlight {
		e.writtenAt = now
	}
	o.written = append(o.written, o.inFlight...)
	o.inFlight, o.expired = nil, nil
	o.retryDelay = 0
}

// Fail ends the write in progress without an acknowledgement. Its records are due again.
func (o *Outbox) Fail() {
	for _, e := range o.inFlight {
		e.isInDoubt = true
	}
	o.waiting = append(o.inFlight, o.waiting...)
	o.inFlight = nil
}

// RetryDelay returns the delay until the next write after one that failed, in a fleet of the given
// size. A random half of it is to be left out, so that the hosts spread their writes.
func (o *Outbox) RetryDelay(hosts int) time.Duration {
	longest := max(maxRetryDelay, time.Duration(hosts)*retrySpread)
	o.retryDelay = min(max(2*o.retryDelay, minRetryDelay), longest)
	return o.retryDelay
}

// WriteAgain makes all records due again that the store has acknowledged, as it has lost some.
func (o *Outbox) WriteAgain() {
	again := make([]*Entry, 0, len(o.written)+len(o.waiting))
	for _, e := range o.written {
		again = append(again, &Entry{
			key:      e.key,
			version:  e.version,
			lifetime: e.lifetime,
			addedAt:  e.addedAt,
		})
	}
	o.waiting = append(again, o.waiting...)
	o.written = nil
}
