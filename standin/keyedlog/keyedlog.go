// Package keyedlog is a stand-in for a log service whose records have keys. It stores
// its records in memory and can be set to fail.
//
// # Usage
//
//	log := keyedlog.New()
//	log.Append("configuration", "newest", value)
//	log.SetDown(true)
package keyedlog

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	product "cactuswell/io/keyedlog"
)

// ErrDown is the error of calls to a log that is down.
var ErrDown = errors.New("the log is down")

// Log is an in-memory log. It is safe for concurrent use.
type Log struct {
	mu           sync.Mutex
	topics       map[string]*topic
	down         bool
	unresponsive bool
	// changed is closed and replaced at each change, to wake waiting reads.
	changed   chan struct{}
	readCount int
	listCount int
	// appendCount counts the conditional appends.
	appendCount int
	// pageSize is the maximum number of keys in a page of a listing.
	pageSize int
	// era counts the calls of Rewind.
	era int64
}

type topic struct {
	firstOffset int64
	records     []product.Record
}

var _ product.Log = (*Log)(nil)

const defaultPageSize = 500

// New returns an empty log.
func New() *Log {
	return &Log{
		topics:   make(map[string]*topic),
		changed:  make(chan struct{}),
		pageSize: defaultPageSize,
	}
}

// SetPageSize sets the maximum number of keys in a page of a listing.
func (l *Log) SetPageSize(keys int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pageSize = keys
}

// SetDown makes all calls fail, or work again.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.notifyWaiters()
}

// SetUnresponsive makes all calls hang until their context ends, or work again.
func (l *Log) SetUnresponsive(unresponsive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unresponsive = unresponsive
	l.notifyWaiters()
}

func (l *Log) notifyWaiters() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Append adds a record. A nil value deletes the key.
func (l *Log) Append(topicName, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendLocked(topicName, key, value)
}

// AppendAll adds records of a key at once, so that no read returns only some of them.
func (l *Log) AppendAll(topicName, key string, values ...[]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, value := range values {
		l.appendLocked(topicName, key, value)
	}
}

// appendLocked adds a record. The caller must hold l.mu.
func (l *Log) appendLocked(topicName, key string, value []byte) {
	t := l.topic(topicName)
	t.records = append(t.records, product.Record{
		Key:     key,
		Value:   value,
		Deleted: value == nil,
		Offset:  t.firstOffset + int64(len(t.records)),
	})
	l.notifyWaiters()
}

// Truncate drops the records of a topic, so that they cannot be read by offset. The
// newest record of each key stays in listings.
func (l *Log) Truncate(topicName string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(topicName)
	newest := t.newestRecords()
	t.firstOffset += int64(len(t.records))
	t.records = nil
	// The records for listings are stored under a separate topic name.
	l.topics[topicName+"/kept"] = &topic{records: newest}
	l.notifyWaiters()
}

// Rewind takes the log back to an older copy of itself, from which the last records of a
// topic are missing. Their offsets are given out again.
func (l *Log) Rewind(topicName string, lost int) {
	l.RewindTopics(map[string]int{topicName: lost})
}

// RewindTopics is like Rewind, for the given number of lost records of each topic.
func (l *Log) RewindTopics(lost map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, n := range lost {
		t := l.topic(name)
		t.records = t.records[:max(len(t.records)-n, 0)]
	}
	l.era++
	l.notifyWaiters()
}

// CallCounts returns the number of reads and of listed pages.
func (l *Log) CallCounts() (reads, lists int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readCount, l.listCount
}

func (l *Log) topic(topicName string) *topic {
	t, ok := l.topics[topicName]
	if !ok {
		t = &topic{}
		l.topics[topicName] = t
	}
	return t
}

// newestRecords returns the newest record of each key that has a value, ordered by the
// first record of the key.
func (t *topic) newestRecords() []product.Record {
	index := make(map[string]int)
	var newest []product.Record
	for _, record := range t.records {
		if i, ok := index[record.Key]; ok {
			newest[i] = record
			continue
		}
		index[record.Key] = len(newest)
		newest = append(newest, record)
	}
	kept := newest[:0]
	for _, record := range newest {
		if !record.Deleted {
			kept = append(kept, record)
		}
	}
	return kept
}

// ListNewest implements Log of the product.
func (l *Log) ListNewest(ctx context.Context, topicName, after string) (product.Listing, error) {
	return l.listNewest(ctx, topicName, after, 0)
}

// listNewest is like ListNewest, but without the last records of the topic.
func (l *Log) listNewest(ctx context.Context, topicName, after string, missing int) (product.Listing, error) {
	if err := l.checkAvailable(ctx); err != nil {
		return product.Listing{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listCount++
	t := l.topic(topicName)
	records := t.records[:max(len(t.records)-missing, 0)]
	combined := &topic{records: append(append([]product.Record(nil), l.topic(topicName+"/kept").records...), records...)}
	newest := combined.newestRecords()
	slices.SortFunc(newest, func(a, b product.Record) int { return strings.Compare(a.Key, b.Key) })
	from := 0
	for from < len(newest) && newest[from].Key <= after {
		from++
	}
	page := newest[from:min(from+l.pageSize, len(newest))]
	listing := product.Listing{
		Records:   page,
		More:      from+len(page) < len(newest),
		EndOffset: t.firstOffset + int64(len(records)),
		Era:       l.era,
	}
	if len(page) > 0 {
		listing.NextAfter = page[len(page)-1].Key
	}
	return listing, nil
}

// Read implements Log of the product.
func (l *Log) Read(ctx context.Context, topicName string, from int64, wait time.Duration) (product.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+time.Hour)
	defer cancel()
	timeout := time.After(wait)
	for {
		if err := l.checkAvailable(ctx); err != nil {
			return product.Batch{}, err
		}
		l.mu.Lock()
		l.readCount++
		t := l.topic(topicName)
		changed := l.changed
		end := t.firstOffset + int64(len(t.records))
		batch := product.Batch{Era: l.era}
		switch {
		case from < t.firstOffset, from > end:
			l.mu.Unlock()
			return product.Batch{}, &product.ExpiredError{
				Topic: topicName,
				From:  from,
			}
		case from < end:
			batch.Records = append([]product.Record(nil), t.records[from-t.firstOffset:]...)
			l.mu.Unlock()
			return batch, nil
		}
		l.mu.Unlock()
		select {
		case <-ctx.Done():
			return product.Batch{}, ctx.Err()
		case <-timeout:
			return batch, nil
		case <-changed:
		}
	}
}

// Put sets a key. Hosts write with it.
func (l *Log) Put(ctx context.Context, topicName, key string, value []byte) error {
	if err := l.checkAvailable(ctx); err != nil {
		return err
	}
	l.Append(topicName, key, value)
	return nil
}

// PutAll sets keys. Hosts write with it.
func (l *Log) PutAll(ctx context.Context, topicName string, records []product.Record) error {
	if err := l.checkAvailable(ctx); err != nil {
		return err
	}
	for _, record := range records {
		l.Append(topicName, record.Key, record.Value)
	}
	return nil
}

// checkAvailable returns an error if the log is down. If the log is unresponsive, it
// waits until the context ends.
func (l *Log) checkAvailable(ctx context.Context) error {
	l.mu.Lock()
	down, unresponsive := l.down, l.unresponsive
	l.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return ctx.Err()
	}
	if down {
		return ErrDown
	}
	return nil
}

// AppendAt adds records if the topic ends at the given offset. Hosts write with it.
func (l *Log) AppendAt(ctx context.Context, topicName string, at int64, records []product.Record) (product.Appended, error) {
	if err := l.checkAvailable(ctx); err != nil {
		return product.Appended{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendCount++
	t := l.topic(topicName)
	if end := t.firstOffset + int64(len(t.records)); end != at {
		return product.Appended{}, &product.ConditionError{
			Topic: topicName,
			At:    at,
			End:   end,
			Era:   l.era,
		}
	}
	for _, record := range records {
		value := record.Value
		if len(value) == 0 {
			value = nil
		}
		l.appendLocked(topicName, record.Key, value)
	}
	return product.Appended{
		Offset: at,
		End:    at + int64(len(records)),
		Era:    l.era,
	}, nil
}

// AppendCount returns the number of conditional appends that were received.
func (l *Log) AppendCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendCount
}
