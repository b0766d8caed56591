package membership

import (
	"cactuswell/core/endpoint"
	"cactuswell/core/record"
)

// CallID identifies a call from this host to a peer.
type CallID uint64

// ReplyID identifies a call from a peer to this host. The caller of the machine
// chooses it.
type ReplyID uint64

// Event is an input to the machine.
type Event interface {
	event()
}

// Started starts the host. It is the first event.
type Started struct{}

// Tick reports that the time returned by NextWake has come.
type Tick struct{}

// ProbeReceived is a probe from a peer. AnswerProbe answers it in the same
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

// ProbeFailed reports that SendProbe got no answer.
type ProbeFailed struct {
	Call CallID
}

// IndirectProbeReceived is a peer's request to probe Target.
// AnswerIndirectProbe answers it in the same step or a later one.
type IndirectProbeReceived struct {
	Reply  ReplyID
	Target Member
}

// IndirectProbeAnswered is the answer to SendIndirectProbe.
type IndirectProbeAnswered struct {
	Call  CallID
	Alive bool
}

// IndirectProbeFailed reports that SendIndirectProbe got no answer.
type IndirectProbeFailed struct {
	Call CallID
}

// ExchangeReceived is a peer's request to compare views. AnswerExchange answers
// it in the same step.
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

// ExchangeFailed reports that SendExchange got no answer.
type ExchangeFailed struct {
	Call CallID
}

// HostAnnounced is a start announcement from the log. It only supplies an
// address to try: the host may have stopped long ago.
type HostAnnounced struct {
	Member Member
}

// HostLeaveAnnounced is a host's own announcement in the log that it has left.
type HostLeaveAnnounced struct {
	Name        string
	Incarnation uint64
}

// EndpointLeaving reports that an endpoint is leaving, from any source.
type EndpointLeaving struct {
	Key endpoint.Key
}

// HeadAdvanced reports the offset up to which this host has applied a stream.
type HeadAdvanced struct {
	Stream     record.Stream
	NextOffset record.Offset
}

// LeaveRequested starts the graceful leave of this host, which ends with
// LeaveCompleted.
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
