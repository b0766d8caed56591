// Package keyedlog is a stand-in for a log whose records have keys. It keeps its
// records in memory, and can be told to fail.
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
	"sync"
	"time"

	product "cactuswell/io/keyedlog"
)

// ErrDown is the failure of a log that is down.
var ErrDown = errors.New("the log is down")

// Log is a log in memory. It is safe for concurrent use.
type Log struct {
	mu     sync.Mutex
	topics map[string]*topic
	down   bool
	silent bool
	// changed is closed and replaced at each change.
	changed chan struct{}
	reads   int
	lists   int
	// pageSize is the number of keys in a page of a listing.
	pageSize int
}

type topic struct {
	first   int64
	records []product.Record
}

var _ product.Log = (*Log)(nil)

// defaultPageSize is that of the pages of a listing.
const defaultPageSize = 500

// New returns an empty log.
func New() *Log {
	return &Log{
		topics:   make(map[string]*topic),
		changed:  make(chan struct{}),
		pageSize: defaultPageSize,
	}
}

// SetPageSize sets the number of keys in a page of a listing.
func (l *Log) SetPageSize(keys int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pageSize = keys
}

// SetDown makes the log fail each call, or serve again.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.wake()
}

// SetUnresponsive makes the log answer no call until its caller gives up.
func (l *Log) SetUnresponsive(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = silent
	l.wake()
}

func (l *Log) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Append adds a record. A nil value drops the key.
func (l *Log) Append(name, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	t.records = append(t.records, product.Record{
		Key:     key,
		Value:   value,
		Deleted: value == nil,
		Offset:  t.first + int64(len(t.records)),
	})
	l.wake()
}

// Truncate drops the records of a topic; the newest of each key stays in listings.
func (l *Log) Truncate(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	newest := t.newest()
	t.first += int64(len(t.records))
	t.records = nil
	// What listings hold is kept as records before the first offset.
	l.topics[name+"/kept"] = &topic{records: newest}
	l.wake()
}

// CallCounts returns the number of reads and of pages of listings.
func (l *Log) CallCounts() (reads, lists int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads, l.lists
}

func (l *Log) topic(name string) *topic {
	t, ok := l.topics[name]
	if !ok {
		t = &topic{}
		l.topics[name] = t
	}
	return t
}

// newest returns the newest record of each key that has a value, in the order of
// the keys' first records.
func (t *topic) newest() []product.Record {
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

// ListNewest implements the product's Log.
func (l *Log) ListNewest(ctx context.Context, name, after string) (product.Listing, error) {
	if err := l.refuse(ctx); err != nil {
		return product.Listing{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lists++
	t := l.topic(name)
	all := &topic{records: append(append([]product.Record(nil), l.topic(name+"/kept").records...), t.records...)}
	newest := all.newest()
	from := 0
	for i, record := range newest {
		if after != "" && record.Key == after {
			from = i + 1
		}
	}
	page := newest[from:min(from+l.pageSize, len(newest))]
	listing := product.Listing{
		Records:   page,
		More:      from+len(page) < len(newest),
		EndOffset: t.first + int64(len(t.records)),
	}
	if len(page) > 0 {
		listing.NextAfter = page[len(page)-1].Key
	}
	return listing, nil
}

// Read implements the product's Log.
func (l *Log) Read(ctx context.Context, name string, from int64, wait time.Duration) ([]product.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+time.Hour)
	defer cancel()
	timeout := time.After(wait)
	for {
		if err := l.refuse(ctx); err != nil {
			return nil, err
		}
		l.mu.Lock()
		l.reads++
		t := l.topic(name)
		changed := l.changed
		switch {
		case from < t.first:
			l.mu.Unlock()
			return nil, &product.ExpiredError{
				Topic: name,
				From:  from,
			}
		case from < t.first+int64(len(t.records)):
			records := append([]product.Record(nil), t.records[from-t.first:]...)
			l.mu.Unlock()
			return records, nil
		}
		l.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timeout:
			return nil, nil
		case <-changed:
		}
	}
}

// Put sets a key, as hosts do.
func (l *Log) Put(ctx context.Context, name, key string, value []byte) error {
	if err := l.refuse(ctx); err != nil {
		return err
	}
	l.Append(name, key, value)
	return nil
}

// refuse returns an error if the log is down, and waits for the caller's end if
// it is silent.
func (l *Log) refuse(ctx context.Context) error {
	l.mu.Lock()
	down, silent := l.down, l.silent
	l.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if down {
		return ErrDown
	}
	return nil
}
