package claim

import (
	"slices"

	"cactuswell/core/record"
)

const (
	// maxKeysUsedSpan is the maximum number of sequences that one keysUsed
	// record covers.
	maxKeysUsedSpan = 8192
	// maxKeysUsedRecords is the maximum number of keysUsed records that are
	// stored. A key whose record was evicted has an unknown outcome and is not
	// run.
	maxKeysUsedRecords = 512
)

// stoppedIssuers stores the keysUsed records of hosts that shut down: which of
// their issued keys were used and which were not.
type stoppedIssuers struct {
	records map[Issuer][]keysUsedBody
	queue   fifo[Issuer]
}

// issuedState is what is known about a key that another host issued.
type issuedState int

const (
	// issuedNotPublished means that no keysUsed record covers the key.
	issuedNotPublished issuedState = iota
	issuedUsed
	issuedUnused
)

func newStoppedIssuers() *stoppedIssuers {
	return &stoppedIssuers{
		records: make(map[Issuer][]keysUsedBody),
	}
}

// add stores a record, unless the reader may have missed claims of its keys:
// the stream was read only from floor on, and the record's ReadFromOffset is
// before that.
func (s *stoppedIssuers) add(body keysUsedBody, floor record.Offset) error {
	if body.To < body.From || body.To-body.From > maxKeysUsedSpan || !IsValidHost(body.Issuer.Host) ||
		!slices.IsSorted(body.Used) {
		return &record.MalformedError{Reason: "keysUsed out of bounds"}
	}
	if body.ReadFromOffset < floor {
		return nil
	}
	for _, known := range s.records[body.Issuer] {
		if known.From == body.From && known.To == body.To {
			return nil
		}
	}
	s.records[body.Issuer] = append(s.records[body.Issuer], body)
	s.queue.push(body.Issuer)
	if s.queue.len() > maxKeysUsedRecords {
		oldest, _ := s.queue.pop()
		s.removeOldest(oldest)
	}
	return nil
}

// lookup returns the state of a key. If any record lists the key as used, it is
// used.
func (s *stoppedIssuers) lookup(key IssuedKey) issuedState {
	state := issuedNotPublished
	for _, body := range s.records[key.Issuer] {
		if key.Sequence < body.From || key.Sequence >= body.To {
			continue
		}
		if _, used := slices.BinarySearch(body.Used, key.Sequence); used {
			return issuedUsed
		}
		state = issuedUnused
	}
	return state
}

// removeBefore removes the records whose keys may have been claimed before
// floor.
func (s *stoppedIssuers) removeBefore(floor record.Offset) {
	for {
		oldest, ok := s.queue.peek()
		if !ok || s.records[oldest][0].ReadFromOffset >= floor {
			return
		}
		s.queue.pop()
		s.removeOldest(oldest)
	}
}

func (s *stoppedIssuers) len() int { return s.queue.len() }

func (s *stoppedIssuers) removeOldest(issuer Issuer) {
	remaining := s.records[issuer][1:]
	if len(remaining) == 0 {
		delete(s.records, issuer)
		return
	}
	s.records[issuer] = remaining
}
