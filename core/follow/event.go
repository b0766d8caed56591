package follow

import (
	"time"

	"cactuswell/core/configuration"
	"cactuswell/core/record"
)

// Event is something that happened outside the follower.
type Event interface {
	event()
}

// Record is one record of the configuration stream.
type Record struct {
	Offset record.Offset
	Data   []byte
	// DigestBefore is the digest of the state in front of the record. The log does
	// not give it.
	DigestBefore uint64
}

// Member is a live host other than this one.
type Member struct {
	Name string
	Zone string
}

// Started asks the follower to begin.
type Started struct{}

// Tick wakes the follower at the time that it asked for.
type Tick struct{}

// MembersChanged gives the live hosts other than this one.
type MembersChanged struct {
	Members []Member
}

// LogRead is the answer to a ReadLog.
type LogRead struct {
	Records      []Record
	OldestOffset record.Offset
	// NextOffset is the offset that the log's next record will take.
	NextOffset record.Offset
}

// LogTruncated says that the log no longer keeps the offset that a ReadLog
// asked for.
type LogTruncated struct {
	OldestOffset record.Offset
}

// LogReadFailed says that a ReadLog or ReadSnapshots had no usable answer.
type LogReadFailed struct{}

// SnapshotsRead is the answer to a ReadSnapshots. State is nil if the log keeps
// no usable snapshot.
type SnapshotsRead struct {
	State *configuration.State
}

// RecordAppended says that this host's own record took an offset.
type RecordAppended struct {
	Offset record.Offset
}

// RecordsPushed carries records that a peer handed down.
type RecordsPushed struct {
	From    string
	Records []Record
}

// HeadAdvertised is a peer's next offset as it rides on probes.
type HeadAdvertised struct {
	Peer       string
	NextOffset record.Offset
}

// HeadReceived is the answer to an AskHead.
type HeadReceived struct {
	Peer       string
	NextOffset record.Offset
	Digest     uint64
	// ConfirmedAt is the latest time at which the log, directly or through
	// others, had no record that the peer lacks. It is zero if there is none.
	ConfirmedAt time.Time
}

// RecordsFetched is the answer to a FetchRecords. Records begin at or before the
// offset asked for unless the peer no longer holds it.
type RecordsFetched struct {
	Peer       string
	Records    []Record
	NextOffset record.Offset
}

// StateFetched is the answer to a FetchState.
type StateFetched struct {
	Peer  string
	State *configuration.State
}

// PeerCallFailed says that an AskHead, FetchRecords or FetchState had no usable
// answer.
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
