package membership

import (
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/record"
)

// Command is something that the machine's owner must do.
type Command interface {
	command()
}

// SendProbe asks a member whether it is alive. The owner answers with
// ProbeAnswered or ProbeFailed.
type SendProbe struct {
	Call    CallID
	To      Member
	Timeout time.Duration
	// FreshConnection asks for a new connection, as the old one may be silent.
	FreshConnection bool
	Message         Message
}

// SendIndirectProbe asks Helper to probe Target. The owner answers with
// IndirectProbeAnswered or IndirectProbeFailed.
type SendIndirectProbe struct {
	Call    CallID
	Helper  Member
	Target  Member
	Timeout time.Duration
}

// SendExchange compares views with the host at Address. The owner answers with
// ExchangeAnswered or ExchangeFailed.
type SendExchange struct {
	Call    CallID
	Address string
	Timeout time.Duration
	// FreshConnection asks for a new connection, as the old one may be silent.
	FreshConnection bool
	Message         Message
	Self            MemberState
	Buckets         Buckets
}

// AnswerProbe answers ProbeReceived.
type AnswerProbe struct {
	Reply   ReplyID
	Message Message
}

// AnswerIndirectProbe answers IndirectProbeReceived.
type AnswerIndirectProbe struct {
	Reply ReplyID
	Alive bool
}

// AnswerExchange answers ExchangeReceived.
type AnswerExchange struct {
	Reply        ReplyID
	Message      Message
	Self         MemberState
	WholeBuckets WholeBuckets
}

// MemberJoined says that a member is live now.
type MemberJoined struct {
	Member Member
}

// MemberSuspected says that a member may be dead. It still counts as live.
type MemberSuspected struct {
	Member Member
}

// MemberRemoved says that a member is not live any more.
type MemberRemoved struct {
	Member Member
	Reason RemovalReason
}

// RemovalReason says why a member is gone.
type RemovalReason int

// The reasons.
const (
	// RemovedDead is for a member that did not refute a suspicion.
	RemovedDead RemovalReason = iota + 1
	// RemovedLeft is for a member that said so itself.
	RemovedLeft
	// RemovedReplaced is for a member in whose place another process answers.
	RemovedReplaced
)

// String returns the reason in lower case.
func (r RemovalReason) String() string {
	switch r {
	case RemovedDead:
		return "dead"
	case RemovedLeft:
		return "left"
	case RemovedReplaced:
		return "replaced"
	}
	return "unknown"
}

// EndpointLeavingLearned says, once for each key, that an endpoint is leaving.
type EndpointLeavingLearned struct {
	Key endpoint.Key
}

// HeadReported says up to which offset a peer has applied a stream.
type HeadReported struct {
	Name        string
	Incarnation uint64
	Stream      record.Stream
	NextOffset  record.Offset
}

// IncarnationRaised says that the host took a higher incarnation when it
// joined, as peers knew a later one of its name.
type IncarnationRaised struct {
	Incarnation uint64
}

// Superseded says that a newer process runs under this host's name. The
// machine sends no more probes.
type Superseded struct {
	Incarnation uint64
}

// LeaveCompleted says that the host's leave was told to a neighbor, or that the time
// for it ran out.
type LeaveCompleted struct{}

func (SendProbe) command()              {}
func (SendIndirectProbe) command()      {}
func (SendExchange) command()           {}
func (AnswerProbe) command()            {}
func (AnswerIndirectProbe) command()    {}
func (AnswerExchange) command()         {}
func (MemberJoined) command()           {}
func (MemberSuspected) command()        {}
func (MemberRemoved) command()          {}
func (EndpointLeavingLearned) command() {}
func (HeadReported) command()           {}
func (IncarnationRaised) command()      {}
func (Superseded) command()             {}
func (LeaveCompleted) command()         {}
