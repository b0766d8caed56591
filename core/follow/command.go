package follow

import (
	"time"

	"cactuswell/core/record"
)

// Command is an action that the follower requests.
type Command interface {
	command()
}

// ReadLog reads the records of the configuration stream from an offset on, with
// a long poll if Wait is positive. At most one ReadLog or ReadSnapshots is
// outstanding at a time.
type ReadLog struct {
	From record.Offset
	Wait time.Duration
}

// ReadSnapshots reads the newest usable snapshot in the log.
type ReadSnapshots struct{}

// QueryHead queries a peer's head. At most one QueryHead, FetchRecords or
// FetchState is outstanding at a time.
type QueryHead struct {
	Peer string
}

// FetchRecords fetches records from an offset on from a peer.
type FetchRecords struct {
	Peer string
	From record.Offset
}

// FetchState fetches a peer's state.
type FetchState struct {
	Peer string
}

// PushRecords pushes records to peers.
type PushRecords struct {
	Peers   []string
	Records []Record
}

// Alarm reports a condition to the operators.
type Alarm struct {
	Kind AlarmKind
	// Peer is the name of the peer concerned, if any.
	Peer string
	// OwnOffset is the follower's next offset, and OtherOffset the conflicting
	// offset of the log or the peer.
	OwnOffset   record.Offset
	OtherOffset record.Offset
}

// AlarmKind is a condition that is reported to the operators.
type AlarmKind string

// The alarms.
const (
	// AlarmLogReset means that the log's head is behind the applied offset.
	AlarmLogReset AlarmKind = "logReset"
	// AlarmLogReplaced means that the log holds another record at an applied
	// offset.
	AlarmLogReplaced AlarmKind = "logReplaced"
	// AlarmTruncatedWithoutSnapshot means that the log dropped records that no
	// snapshot includes.
	AlarmTruncatedWithoutSnapshot AlarmKind = "truncatedWithoutSnapshot"
	// AlarmNewerRecord means that a record has a newer format version.
	AlarmNewerRecord AlarmKind = "newerRecord"
	// AlarmDivergentPeer means that a peer has applied other records up to the
	// same offset.
	AlarmDivergentPeer AlarmKind = "divergentPeer"
)

func (ReadLog) command()       {}
func (ReadSnapshots) command() {}
func (QueryHead) command()     {}
func (FetchRecords) command()  {}
func (FetchState) command()    {}
func (PushRecords) command()   {}
func (Alarm) command()         {}
