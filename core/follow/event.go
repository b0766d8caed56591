package follow

import (
	"time"

	"cactuswell/core/configuration"
	"cactuswell/core/record"
)

// Event is an input of the follower.
type Event interface {
	event()
}

// Record is one record of the configuration stream.
type Record struct {
	Offset record.Offset
	Data   []byte
	// DigestBefore is the digest of the state before the record. It is not set on
	// records read from the log.
	DigestBefore uint64
}

// Member is a live host other than this one.
type Member struct {
	Name string
	Zone string
}

// Started starts the follower.
type Started struct{}

// Tick wakes the follower at the time that NextWake returned.
type Tick struct{}

// MembersChanged holds the live hosts other than this one.
type MembersChanged struct {
	Members []Member
}

// LogRead is the response to a ReadLog.
type LogRead struct {
	Records      []Record
	OldestOffset record.Offset
	// NextOffset is the offset of the record that the log appends next.
	NextOffset record.Offset
}

// LogTruncated reports that the log no longer holds the offset that a ReadLog
// requested.
type LogTruncated struct {
	OldestOffset record.Offset
}

// LogReadFailed reports that a ReadLog or ReadSnapshots failed.
type LogReadFailed struct{}

// SnapshotsRead is the response to a ReadSnapshots. State is nil if the log
// holds no usable snapshot.
type SnapshotsRead struct {
	State *configuration.State
}

// RecordAppended reports that a record of this host was appended at an offset,
// or that an append was not acknowledged and the log is to be read from there.
type RecordAppended struct {
	Offset record.Offset
}

// RecordsPushed holds records that a peer pushed.
type RecordsPushed struct {
	From    string
	Records []Record
}

// HeadAdvertised is a peer's next offset, piggybacked on membership probes.
type HeadAdvertised struct {
	Peer       string
	NextOffset record.Offset
}

// HeadReceived is the response to a QueryHead.
type HeadReceived struct {
	Peer       string
	NextOffset record.Offset
	Digest     uint64
	// ConfirmedAt is the latest time at which the log, directly or through
	// others, had no newer record than the peer, or the zero time.
	ConfirmedAt time.Time
}

// RecordsFetched is the response to a FetchRecords. Records start at or before
// the requested offset unless the peer no longer holds it.
type RecordsFetched struct {
	Peer       string
	Records    []Record
	NextOffset record.Offset
}

// StateFetched is the response to a FetchState.
type StateFetched struct {
	Peer  string
	State *configuration.State
}

// PeerCallFailed reports that a QueryHead, FetchRecords or FetchState failed.
type PeerCallFailed struct {
	Peer string
}

func (Started) event()        {}
func (Tick) event()           {}
func (MembersChanged) event() {}
func (LogRead) event()        {}
func (LogTruncated) event()   {}
func (LogReadFailed) event()  {}
func (SnapshotsRead) event()  {}
func (RecordAppended) event() {}
func (RecordsPushed) event()  {}
func (HeadAdvertised) event() {}
func (HeadReceived) event()   {}
func (RecordsFetched) event() {}
func (StateFetched) event()   {}
func (PeerCallFailed) event() {}
