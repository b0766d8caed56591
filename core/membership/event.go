package membership

import (
	"cactuswell/core/endpoint"
	"cactuswell/core/record"
)

// CallID names a call that this host made to a peer.
type CallID uint64

// ReplyID names a call that a peer made to this host; the owner of the machine
// chooses it.
type ReplyID uint64

// Event is something that happened to a host.
type Event interface {
	event()
}

// Started begins the host's life. It is the first event.
type Started struct{}

// Tick says that the time named by NextWake has come.
type Tick struct{}

// ProbeReceived is a peer's probe. It is answered by AnswerProbe in the same
// step.
type ProbeReceived struct {
	Reply   ReplyID
	Message Message
}

// ProbeAnswered is the answer to SendProbe.
type ProbeAnswered struct {
	Call    CallID
	Message Message
}

// ProbeFailed says that SendProbe had no answer.
type ProbeFailed struct {
	Call CallID
}

// IndirectProbeReceived asks this host to probe Target for a peer. It is
// answered by AnswerIndirectProbe in this step or a later one.
type IndirectProbeReceived struct {
	Reply  ReplyID
	Target Member
}

// IndirectProbeAnswered is the answer to SendIndirectProbe.
type IndirectProbeAnswered struct {
	Call  CallID
	Alive bool
}

// IndirectProbeFailed says that SendIndirectProbe had no answer.
type IndirectProbeFailed struct {
	Call CallID
}

// ExchangeReceived is a peer's wish to compare views. It is answered by
// AnswerExchange in the same step.
type ExchangeReceived struct {
	Reply   ReplyID
	Message Message
	Self    MemberState
	Buckets Buckets
}

// ExchangeAnswered is the answer to SendExchange.
type ExchangeAnswered struct {
	Call         CallID
	Message      Message
	Self         MemberState
	WholeBuckets WholeBuckets
}

// ExchangeFailed says that SendExchange had no answer.
type ExchangeFailed struct {
	Call CallID
}

// HostAnnounced is a start announcement from the log. It only names an address
// to try: the announced host may be long gone.
type HostAnnounced struct {
	Member Member
}

// HostLeaveAnnounced is a host's own announcement in the log that it left.
type HostLeaveAnnounced struct {
	Name        string
	Incarnation uint64
}

// EndpointLeaving says that an endpoint is leaving, by any source.
type EndpointLeaving struct {
	Key endpoint.Key
}

// HeadAdvanced says up to which offset this host has applied a stream.
type HeadAdvanced struct {
	Stream     record.Stream
	NextOffset record.Offset
}

// LeaveRequested starts the host's graceful leave, which ends with LeaveDone.
type LeaveRequested struct{}

func (Started) event()               {}
func (Tick) event()                  {}
func (ProbeReceived) event()         {}
func (ProbeAnswered) event()         {}
func (ProbeFailed) event()           {}
func (IndirectProbeReceived) event() {}
func (IndirectProbeAnswered) event() {}
func (IndirectProbeFailed) event()   {}
func (ExchangeReceived) event()      {}
func (ExchangeAnswered) event()      {}
func (ExchangeFailed) event()        {}
func (HostAnnounced) event()         {}
func (HostLeaveAnnounced) event()    {}
func (EndpointLeaving) event()       {}
func (HeadAdvanced) event()          {}
func (LeaveRequested) event()        {}
