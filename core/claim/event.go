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

// BeginRequested asks whether a call may run here.
type BeginRequested struct {
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

// BeginCanceled says that the caller no longer waits for a decision. The call
// is decided at once.
type BeginCanceled struct {
	Call CallID
}

// Finished brings the outcome of a call that was started.
type Finished struct {
	Grant   Grant
	Outcome Outcome
}

// Abandoned says that a granted call was not started and never will be.
type Abandoned struct {
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
	// Began is when the read was sent.
	Began   time.Time
	Records []StoredRecord
	// Next is the offset that the next append will take.
	Next record.Offset
}

// ReadTruncated says that the log no longer keeps the records from
// Machine.Position on; the oldest it keeps is Oldest.
type ReadTruncated struct {
	Oldest record.Offset
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

// HostsCounted says how many hosts share the log's rate of appends.
type HostsCounted struct {
	Hosts int
}

// LeaveRequested says that the host stops: no further call is granted, and the
// keys that it has issued and not used are published.
type LeaveRequested struct{}

// TimePassed says only that time has passed.
type TimePassed struct{}

func (BeginRequested) isEvent()  {}
func (IssueRequested) isEvent()  {}
func (BeginCanceled) isEvent()   {}
func (Finished) isEvent()        {}
func (Abandoned) isEvent()       {}
func (RecordsRead) isEvent()     {}
func (ReadTruncated) isEvent()   {}
func (AppendSucceeded) isEvent() {}
func (AppendRefused) isEvent()   {}
func (AppendUncertain) isEvent() {}
func (HostsCounted) isEvent()    {}
func (LeaveRequested) isEvent()  {}
func (TimePassed) isEvent()      {}
