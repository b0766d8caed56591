package claim

import (
	"time"

	"cactuswell/core/record"
)

// CallID identifies a call that waits for a decision on one host. Zero means no
// call.
type CallID uint64

// Event is an input of the state machine. It is implemented by the types of
// this file only.
type Event interface {
	isEvent()
}

// DecisionRequested requests a decision on whether a call may run on this host.
type DecisionRequested struct {
	Call CallID
	Team string
	// Key is empty for a call without a key.
	Key         string
	Fingerprint Fingerprint
	// Deadline is the time by which the call has to be decided.
	Deadline time.Time
}

// IssueRequested requests a new key for a later call.
type IssueRequested struct {
	Call CallID
	Team string
}

// DecisionCanceled reports that the caller no longer waits for the decision.
// The call is decided immediately.
type DecisionCanceled struct {
	Call CallID
}

// CallFinished reports the outcome of a granted call that was started.
type CallFinished struct {
	Grant   Grant
	Outcome Outcome
}

// CallAbandoned reports that a granted call was not started and never will be.
type CallAbandoned struct {
	Grant Grant
}

// StoredRecord is a record of the claim stream.
type StoredRecord struct {
	Offset record.Offset
	Data   []byte
}

// RecordsRead reports the result of a read of the claim stream from
// Machine.Position on.
type RecordsRead struct {
	// StartedAt is the time at which the read was sent.
	StartedAt time.Time
	Records   []StoredRecord
	// NextOffset is the offset that the next appended record will get.
	NextOffset record.Offset
}

// ReadTruncated reports that the log no longer retains the record at
// Machine.Position. OldestOffset is the offset of the oldest retained record.
type ReadTruncated struct {
	OldestOffset record.Offset
}

// AppendSucceeded reports that the records of an Append are in the log.
type AppendSucceeded struct{}

// AppendRefused reports that the log refused an Append, whose records are not
// in the log.
type AppendRefused struct {
	// RetryAfter is the delay that the log requested, or zero.
	RetryAfter time.Duration
}

// AppendResultUnknown reports that the result of an Append is not known: its
// records may be in the log or may still arrive there.
type AppendResultUnknown struct{}

// HostCountChanged reports how many hosts share the log's append rate.
type HostCountChanged struct {
	Hosts int
}

// ShutdownRequested reports that the host shuts down. No further call is
// granted, and the machine publishes which of the keys that it issued were
// used.
type ShutdownRequested struct{}

// Tick makes the machine do what is due by the time of the step.
type Tick struct{}

func (DecisionRequested) isEvent()   {}
func (IssueRequested) isEvent()      {}
func (DecisionCanceled) isEvent()    {}
func (CallFinished) isEvent()        {}
func (CallAbandoned) isEvent()       {}
func (RecordsRead) isEvent()         {}
func (ReadTruncated) isEvent()       {}
func (AppendSucceeded) isEvent()     {}
func (AppendRefused) isEvent()       {}
func (AppendResultUnknown) isEvent() {}
func (HostCountChanged) isEvent()    {}
func (ShutdownRequested) isEvent()   {}
func (Tick) isEvent()                {}
