package membership

import (
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/record"
)

// Command is an action or notification for the caller of the machine.
type Command interface {
	command()
}

// SendProbe asks a member whether it is alive. The result is reported as
// ProbeAnswered or ProbeFailed.
type SendProbe struct {
	Call    CallID
	To      Member
	Timeout time.Duration
	// NewConnection requests a new connection, as the old one may be silent.
	NewConnection bool
	Message       Message
}

// SendIndirectProbe asks Helper to probe Target. The result is reported as
// IndirectProbeAnswered or IndirectProbeFailed.
type SendIndirectProbe struct {
	Call    CallID
	Helper  Member
	Target  Member
	Timeout time.Duration
}

// SendExchange compares views with the host at Address. The result is reported
// as ExchangeAnswered or ExchangeFailed.
type SendExchange struct {
	Call    CallID
	Address string
	Timeout time.Duration
	// NewConnection requests a new connection, as the old one may be silent.
	NewConnection bool
	Message       Message
	Self          MemberState
	Buckets       Buckets
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

// MemberJoined reports that a member is live now.
type MemberJoined struct {
	Member Member
}

// MemberSuspected reports that a member may be dead. It still counts as live.
type MemberSuspected struct {
	Member Member
}

// MemberRemoved reports that a member is no longer live.
type MemberRemoved struct {
	Member Member
	Reason RemovalReason
}

// RemovalReason is the reason why a member was removed.
type RemovalReason int

// The reasons for a removal.
const (
	// RemovedDead is the reason for a member that did not refute a suspicion.
	RemovedDead RemovalReason = iota + 1
	// RemovedLeft is the reason for a member that announced its leave.
	RemovedLeft
	// RemovedReplaced is the reason for a member whose name or address another
	// process uses now.
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

// EndpointLeavingLearned reports, once for each key, that an endpoint is
// leaving.
type EndpointLeavingLearned struct {
	Key endpoint.Key
}

// HeadAdvertised reports the offset up to which a peer has applied a stream.
type HeadAdvertised struct {
	Name        string
	Incarnation uint64
	Stream      record.Stream
	NextOffset  record.Offset
}

// IncarnationRaised reports that this host took a higher incarnation while it
// joined, as peers knew a later one of its name.
type IncarnationRaised struct {
	Incarnation uint64
}

// Superseded reports that a newer process runs under this host's name. The
// machine sends no more probes.
type Superseded struct {
	Incarnation uint64
}

// LeaveCompleted reports that the neighbors have answered since the leave
// started, or that LeaveTimeout has passed.
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
func (HeadAdvertised) command()         {}
func (IncarnationRaised) command()      {}
func (Superseded) command()             {}
func (LeaveCompleted) command()         {}
