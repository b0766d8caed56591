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
	// Before is the digest of the state in front of the record. The log does
	// not give it.
	Before uint64
}

// Member is a live host other than this one.
type Member struct {
	Name string
	Zone string
}

// Started asks the follower to begin.
type Started struct{}

// TimePassed wakes the follower at the time that it asked for.
type TimePassed struct{}

// MembersChanged gives the live hosts other than this one.
type MembersChanged struct {
	Members []Member
}

// LogAnswered is the answer to a ReadLog.
type LogAnswered struct {
	Records []Record
	Oldest  record.Offset
	// Next is the offset that the log's next record will take.
	Next record.Offset
}

// LogTruncated says that the log no longer keeps the offset that a ReadLog
// asked for.
type LogTruncated struct {
	Oldest record.Offset
}

// LogFailed says that a ReadLog or ReadSnapshots had no usable answer.
type LogFailed struct{}

// SnapshotsRead is the answer to a ReadSnapshots. State is nil if the log keeps
// no usable snapshot.
type SnapshotsRead struct {
	State *configuration.State
}

// Appended says that this host's own record took an offset.
type Appended struct {
	Offset record.Offset
}

// Pushed carries records that a peer handed down.
type Pushed struct {
	From    string
	Records []Record
}

// HeadHeard is a peer's next offset as it rides on probes.
type HeadHeard struct {
	Peer string
	Next record.Offset
}

// HeadAnswered is the answer to an AskHead.
type HeadAnswered struct {
	Peer   string
	Next   record.Offset
	Digest uint64
	// ConfirmedAt is the latest time at which the log, directly or through
	// others, had no record that the peer lacks. It is zero if there is none.
	ConfirmedAt time.Time
}

// Fetched is the answer to a FetchRecords. Records begin at or before the
// offset asked for unless the peer no longer holds it.
type Fetched struct {
	Peer    string
	Records []Record
	Next    record.Offset
}

// StateFetched is the answer to a FetchState.
type StateFetched struct {
	Peer  string
	State *configuration.State
}

// PeerFailed says that an AskHead, FetchRecords or FetchState had no usable
// answer.
type PeerFailed struct {
	Peer string
}

func (Started) event()        {}
func (TimePassed) event()     {}
func (MembersChanged) event() {}
func (LogAnswered) event()    {}
func (LogTruncated) event()   {}
func (LogFailed) event()      {}
func (SnapshotsRead) event()  {}
func (Appended) event()       {}
func (Pushed) event()         {}
func (HeadHeard) event()      {}
func (HeadAnswered) event()   {}
func (Fetched) event()        {}
func (StateFetched) event()   {}
func (PeerFailed) event()     {}
