// Package logservice is a small stand-in for the platform's log. It keeps streams in
// memory and supports fault injection at run time.
//
// # Usage
//
//	store := logservice.New(timers.Now, 1)
//	store.SetFaults(logservice.Faults{
//		LostAnswers: 0.2,
//	})
//	http.ListenAndServe(address, store.Handler())
//
// A Store implements the Log interface, so that tests can use it without network
// connections.
package logservice

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"cactuswell/core/record"
	"cactuswell/io/logservice"
)

// defaultReadLimit limits the records in one response if the reader sets no limit.
const defaultReadLimit = 1000

// Faults are the faults injected into the log. The zero value means no faults.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool `json:"down"`
	// DelayMs delays every call.
	DelayMs int64 `json:"delayMs"`
	// LostAnswers is the share of appends, from 0 to 1, that take effect although
	// their response is dropped.
	LostAnswers float64 `json:"lostAnswers"`
	// FailedAppends is the share of appends that fail without effect. The caller
	// cannot distinguish them from appends whose response is dropped.
	FailedAppends float64 `json:"failedAppends"`
	// AppendsPerSecond limits the rate of appends. Zero means no limit.
	AppendsPerSecond int `json:"appendsPerSecond"`
	// RetentionMs is how long a record is kept. Zero keeps it forever.
	RetentionMs int64 `json:"retentionMs"`
}

// Store is a stand-in log. It is safe for concurrent use.
type Store struct {
	now             func() time.Time
	mu              sync.Mutex
	random          *rand.Rand
	faults          Faults
	streams         map[record.Stream]*stream
	rateWindowStart time.Time
	appendsInWindow int
	appends         uint64
	reads           uint64
}

type stream struct {
	oldest  record.Offset
	records []storedRecord
	changed chan struct{}
}

type storedRecord struct {
	data []byte
	at   time.Time
}

// LostAnswerError is the cause of the error of an append whose response was dropped, or
// that was dropped itself.
type LostAnswerError struct{}

// Error describes the fault.
func (*LostAnswerError) Error() string { return "the answer was lost" }

// DownError is the cause of a call to a log that is down.
type DownError struct{}

// Error describes the fault.
func (*DownError) Error() string { return "the log is down" }

// New returns an empty store without faults. It reads the time from now and seeds its
// random numbers with seed.
func New(now func() time.Time, seed uint64) *Store {
	return &Store{
		now:     now,
		random:  rand.New(rand.NewPCG(seed, seed)),
		streams: make(map[record.Stream]*stream),
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Faults returns the injected faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the number of appends that took effect and the number of reads that
// the log served.
func (s *Store) Counts() (appends, reads uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends, s.reads
}

// Append implements logservice.Log.
func (s *Store) Append(ctx context.Context, name record.Stream, records [][]byte) (record.Offset, error) {
	if err := s.applyDelay(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Down:
		return 0, trace.Wrap(&logservice.UnavailableError{Cause: &DownError{}})
	case s.exceedsAppendRate():
		return 0, trace.Wrap(&logservice.RefusedError{
			Status:     429,
			RetryAfter: time.Second,
		})
	case s.random.Float64() < s.faults.FailedAppends:
		return 0, trace.Wrap(&logservice.UnavailableError{Cause: &LostAnswerError{}})
	}
	first := s.appendRecords(name, records)
	if s.random.Float64() < s.faults.LostAnswers {
		return 0, trace.Wrap(&logservice.UnavailableError{Cause: &LostAnswerError{}})
	}
	return first, nil
}

// Read implements logservice.Log.
func (s *Store) Read(
	ctx context.Context, name record.Stream, from record.Offset, options logservice.ReadOptions,
) (logservice.ReadResponse, error) {
	if err := s.applyDelay(ctx); err != nil {
		return logservice.ReadResponse{}, err
	}
	deadline := time.NewTimer(options.Wait)
	defer deadline.Stop()
	for {
		response, changed, err := s.readOnce(name, from, options.Limit)
		if err != nil || len(response.Records) > 0 || options.Wait <= 0 {
			return response, err
		}
		select {
		case <-ctx.Done():
			return logservice.ReadResponse{}, trace.Wrap(&logservice.UnavailableError{Cause: ctx.Err()})
		case <-deadline.C:
			return response, nil
		case <-changed:
		}
	}
}

func (s *Store) readOnce(
	name record.Stream, from record.Offset, limit int,
) (logservice.ReadResponse, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return logservice.ReadResponse{}, nil, trace.Wrap(&logservice.UnavailableError{Cause: &DownError{}})
	}
	s.reads++
	target := s.findOrCreateStream(name)
	s.expireRecords(target)
	response := logservice.ReadResponse{
		OldestOffset: target.oldest,
		NextOffset:   target.oldest + record.Offset(len(target.records)),
	}
	if from < target.oldest {
		return response, nil, trace.Wrap(&logservice.TruncatedError{Oldest: target.oldest})
	}
	if limit <= 0 {
		limit = defaultReadLimit
	}
	for offset := from; offset < response.NextOffset && len(response.Records) < limit; offset++ {
		response.Records = append(response.Records, logservice.StoredRecord{
			Offset: offset,
			Data:   target.records[offset-target.oldest].data,
		})
	}
	return response, target.changed, nil
}

func (s *Store) appendRecords(name record.Stream, records [][]byte) record.Offset {
	target := s.findOrCreateStream(name)
	s.expireRecords(target)
	first := target.oldest + record.Offset(len(target.records))
	now := s.now()
	for _, data := range records {
		target.records = append(target.records, storedRecord{
			data: data,
			at:   now,
		})
	}
	s.appends++
	close(target.changed)
	target.changed = make(chan struct{})
	return first
}

func (s *Store) findOrCreateStream(name record.Stream) *stream {
	target, ok := s.streams[name]
	if !ok {
		target = &stream{
			changed: make(chan struct{}),
		}
		s.streams[name] = target
	}
	return target
}

func (s *Store) expireRecords(target *stream) {
	if s.faults.RetentionMs <= 0 {
		return
	}
	cutoff := s.now().Add(-time.Duration(s.faults.RetentionMs) * time.Millisecond)
	expired := 0
	for expired < len(target.records) && target.records[expired].at.Before(cutoff) {
		expired++
	}
	target.oldest += record.Offset(expired)
	target.records = target.records[expired:]
}

func (s *Store) exceedsAppendRate() bool {
	if s.faults.AppendsPerSecond <= 0 {
		return false
	}
	now := s.now()
	if now.Sub(s.rateWindowStart) >= time.Second {
		s.rateWindowStart = now
		s.appendsInWindow = 0
	}
	s.appendsInWindow++
	return s.appendsInWindow > s.faults.AppendsPerSecond
}

func (s *Store) applyDelay(ctx context.Context) error {
	delay := time.Duration(s.Faults().DelayMs) * time.Millisecond
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return trace.Wrap(&logservice.UnavailableError{Cause: ctx.Err()})
	case <-timer.C:
		return nil
	}
}
