package claim

import (
	"time"

	"cactuswell/core/record"
)

// CallID numbers the calls that wait for a decision on one host. Zero stands
// for none.
type CallID uint64

// Event is something that happened to the claims of a host. The types of this
// file are all there are.
type Event interface {
	isEvent()
}

// DecisionRequested asks whether a call may run here.
type DecisionRequested struct {
	Call CallID
	Team string
	// Key is empty for a call without a key.
	Key         string
	Fingerprint Fingerprint
	// Deadline is when the caller must have a decision.
	Deadline time.Time
}

// IssueRequested asks for a key for a call that comes later.
type IssueRequested struct {
	Call CallID
	Team string
}

// DecisionCanceled says that the caller no longer waits for a decision. The call
// is decided at once.
type DecisionCanceled struct {
	Call CallID
}

// CallFinished brings the outcome of a call that was started.
type CallFinished struct {
	Grant   Grant
	Outcome Outcome
}

// CallAbandoned says that a granted call was not started and never will be.
type CallAbandoned struct {
	Grant Grant
}

// StoredRecord is a record of the claim stream.
type StoredRecord struct {
	Offset record.Offset
	Data   []byte
}

// RecordsRead brings the answer to a read of the claim stream from
// Machine.Position on.
type RecordsRead struct {
	// StartedAt is when the read was sent.
	StartedAt time.Time
	Records   []StoredRecord
	// NextOffset is the offset that the next append will take.
	NextOffset record.Offset
}

// ReadTruncated says that the log no longer keeps the records from
// Machine.Position on; the oldest it keeps is Oldest.
type ReadTruncated struct {
	OldestOffset record.Offset
}

// AppendSucceeded says that the records of an Append are in the log.
type AppendSucceeded struct{}

// AppendRefused says that the records of an Append are not in the log.
type AppendRefused struct {
	// RetryAfter is how long the log asked us to wait, or zero.
	RetryAfter time.Duration
}

// AppendUncertain says that the records of an Append may be in the log, or may
// still get there.
type AppendUncertain struct{}

// HostCountChanged says how many hosts share the log's rate of appends.
type HostCountChanged struct {
	Hosts int
}

// ShutdownRequested says that the host stops: no further call is granted, and the
// keys that it has issued and not used are published.
type ShutdownRequested struct{}

// Tick says only that time has passed.
type Tick struct{}

func (DecisionRequested) isEvent() {}
func (IssueRequested) isEvent()    {}
func (DecisionCanceled) isEvent()  {}
func (CallFinished) isEvent()      {}
func (CallAbandoned) isEvent()     {}
func (RecordsRead) isEvent()       {}
func (ReadTruncated) isEvent()     {}
func (AppendSucceeded) isEvent()   {}
func (AppendRefused) isEvent()     {}
func (AppendUncertain) isEvent()   {}
func (HostCountChanged) isEvent()  {}
func (ShutdownRequested) isEvent() {}
func (Tick) isEvent()              {}
