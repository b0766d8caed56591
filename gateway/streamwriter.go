package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactuswell/core/lineage"
	"cactuswell/io/keyedlog"
	"cactuswell/io/opaque"
)

// RecordPendingError reports that the store has not acknowledged the record of a stream in time.
type RecordPendingError struct {
	Key string
}

// Error returns a message with the key.
func (e *RecordPendingError) Error() string {
	return "the store has not acknowledged the record " + e.Key
}

// RecordInDoubtError reports that the record of a stream may be hidden by an earlier one, whose
// write has failed but may still take effect.
type RecordInDoubtError struct {
	Key string
}

// Error returns a message with the key.
func (e *RecordInDoubtError) Error() string {
	return "a failed write of an earlier version may still replace the record " + e.Key
}

// streamRecord is the record of one stream.
type streamRecord struct {
	records *streamRecords
	entry   *lineage.Entry
	// acknowledged is closed once the store has the record.
	acknowledged <-chan struct{}
}

var _ opaque.StreamRecord = (*streamRecord)(nil)

// Version implements opaque.StreamRecord.
func (r *streamRecord) Version() string { return r.entry.Version() }

// Await implements opaque.StreamRecord.
func (r *streamRecord) Await(ctx context.Context, limit time.Duration) error {
	expiry := r.records.gateway.timers.After(limit)
	defer expiry.Stop()
	select {
	case <-r.acknowledged:
	case <-ctx.Done():
		return ctx.Err()
	case <-expiry.C():
		return &RecordPendingError{Key: r.entry.Key()}
	}
	r.records.mu.Lock()
	defer r.records.mu.Unlock()
	if !r.entry.IsKept() {
		return &RecordInDoubtError{Key: r.entry.Key()}
	}
	return nil
}

// Record implements opaque.StreamVersions.
func (r *streamRecords) Record(service, requestID, version string, replaced opaque.StreamRecord) opaque.StreamRecord {
	now := r.gateway.timers.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	earlier, isRecorded := replaced.(*streamRecord)
	if !isRecorded && !r.tracker.MustRecord(now, service, version) {
		return nil
	}
	var replacedEntry *lineage.Entry
	if isRecorded {
		replacedEntry = earlier.entry
	}
	entry := r.outbox.Add(now, streamKey(requestID), version, r.tracker.Lifetime(service), replacedEntry)
	acknowledged := make(chan struct{})
	r.acknowledged[entry] = acknowledged
	r.signalWriter()
	return &streamRecord{
		records:      r,
		entry:        entry,
		acknowledged: acknowledged,
	}
}

func streamKey(requestID string) string {
	return fmt.Sprintf("%s%016x", streamKeyPrefix, xxhash.Sum64String(requestID))
}

func (r *streamRecords) signalWriter() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// runWriter writes records, one call at a time with all that have come meanwhile, until the store
// has acknowledged each.
func (r *streamRecords) runWriter(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		}
		for ctx.Err() == nil && !r.write(ctx) {
			delay := r.retryDelay()
			r.gateway.waitFor(ctx, delay/2+rand.N(delay/2))
		}
	}
}

func (r *streamRecords) retryDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outbox.RetryDelay(int(r.gateway.decisions.hostCount.Load()))
}

// write writes the waiting records, and drops the expired ones of this host with them. It reports
// false if the store has not acknowledged the write.
func (r *streamRecords) write(ctx context.Context) bool {
	entries, records := r.beginWrite()
	if len(entries) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := r.gateway.Roster.PutAll(ctx, streamTopic, records)
	r.endWrite(entries, err)
	return err == nil
}

func (r *streamRecords) beginWrite() ([]*lineage.Entry, []keyedlog.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.outbox.HasWaiting() {
		return nil, nil
	}
	begun := r.outbox.Begin(r.gateway.timers.Now())
	for _, entry := range begun.Abandoned {
		delete(r.acknowledged, entry)
	}
	records := make([]keyedlog.Record, 0, len(begun.Entries)+len(begun.Expired))
	for _, key := range begun.Expired {
		records = append(records, keyedlog.Record{Key: key})
	}
	for _, entry := range begun.Entries {
		records = append(records, keyedlog.Record{
			Key:   entry.Key(),
			Value: []byte(valuePrefix + entry.Version()),
		})
	}
	return begun.Entries, records
}

func (r *streamRecords) endWrite(entries []*lineage.Entry, err error) {
	r.gateway.meter.addToCounter("cactuswell_stream_versions_written_total", int64(len(entries)))
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.outbox.Fail()
		r.gateway.meter.addToCounter("cactuswell_stream_versions_unwritten_total", int64(len(entries)))
		r.gateway.trail.Failure("streamRecordsNotWritten").Int("records", int64(len(entries))).Err(err).Merge("")
		return
	}
	r.outbox.Acknowledge(r.gateway.timers.Now())
	for _, entry := range entries {
		if acknowledged, ok := r.acknowledged[entry]; ok {
			close(acknowledged)
			delete(r.acknowledged, entry)
		}
	}
}

// writeAgain writes all records of this host again, as the store may have lost them.
func (r *streamRecords) writeAgain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outbox.WriteAgain()
	r.signalWriter()
}

// recordState is what the choice of endpoints needs to know of the records of streams.
type recordState struct {
	// bases holds the base versions, and basesVersion counts their changes.
	bases        map[string]string
	basesVersion int
	// isOverdue is set while the store acknowledges records too late for streams to begin at other
	// versions.
	isOverdue bool
}

func (r *streamRecords) state(now time.Time) recordState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return recordState{
		bases:        r.bases,
		basesVersion: r.basesVersion,
		isOverdue:    r.outbox.IsOverdue(now),
	}
}
