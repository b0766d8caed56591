package follow

import (
	"time"

	"cactuswell/core/record"
)

// Command is something that the follower wants done.
type Command interface {
	command()
}

// ReadLog asks for the records of the configuration stream from an offset on.
// The log may hold its answer back for Wait. At most one ReadLog or
// ReadSnapshots is unanswered at a time.
type ReadLog struct {
	From record.Offset
	Wait time.Duration
}

// ReadSnapshots asks for the newest usable snapshot that the log keeps.
type ReadSnapshots struct{}

// QueryHead asks a peer for its head. At most one AskHead, FetchRecords or
// FetchState is unanswered at a time.
type QueryHead struct {
	Peer string
}

// FetchRecords asks a peer for records from an offset on.
type FetchRecords struct {
	Peer string
	From record.Offset
}

// FetchState asks a peer for its reduced state.
type FetchState struct {
	Peer string
}

// PushRecords hands records down to peers.
type PushRecords struct {
	Peers   []string
	Records []Record
}

// Alarm tells the operators of a condition that the follower has met.
type Alarm struct {
	Kind AlarmKind
	// Peer names the peer concerned, if any.
	Peer string
	// OwnOffset is the follower's next offset and Other the one that it met.
	OwnOffset   record.Offset
	OtherOffset record.Offset
}

// AlarmKind names a condition for the operators.
type AlarmKind string

// The alarms.
const (
	// AlarmLogReset says that the log's head went back behind what was
	// applied.
	AlarmLogReset AlarmKind = "logReset"
	// AlarmLogReplaced says that the log holds another record at an offset
	// that was applied.
	AlarmLogReplaced AlarmKind = "logReplaced"
	// AlarmTruncatedWithoutSnapshot says that the log dropped records that no snapshot
	// covers.
	AlarmTruncatedWithoutSnapshot AlarmKind = "truncatedWithoutSnapshot"
	// AlarmNewerRecord says that a record is of a newer format.
	AlarmNewerRecord AlarmKind = "newerRecord"
	// AlarmDivergentPeer says that a peer reduced other records up to the same
	// offset.
	AlarmDivergentPeer AlarmKind = "divergentPeer"
)

func (ReadLog) command()       {}
func (ReadSnapshots) command() {}
func (QueryHead) command()     {}
func (FetchRecords) command()  {}
func (FetchState) command()    {}
func (PushRecords) command()   {}
func (Alarm) command()         {}
