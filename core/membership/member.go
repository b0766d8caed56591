package membership

import (
	"cactuswell/core/endpoint"
	"cactuswell/core/record"
)

// Status says what is believed of a member.
type Status uint32

// The statuses, as they stand on the wire.
const (
	Alive   Status = 1
	Suspect Status = 2
	Dead    Status = 3
	Left    Status = 4
)

// String returns the status in lower case.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}

// Member is one life of a host.
type Member struct {
	Name string
	// Incarnation is the process's start time in milliseconds since 1970, or
	// more if peers knew a later process of the same name.
	Incarnation uint64
	// Address is the IP:port of the peer listener.
	Address string
	Zone    string
}

// MemberState is a member together with what is believed of it. For one incarnation
// only the member itself raises Version.
type MemberState struct {
	Member
	Version uint32
	Status  Status
}

// StreamHead is the offset after the last record of a stream that a host has
// applied.
type StreamHead struct {
	Stream     record.Stream
	NextOffset record.Offset
}

// Updates is what hosts tell one another.
type Updates struct {
	Members          []MemberState
	LeavingEndpoints []endpoint.Key
	// Heads are the sender's own.
	Heads []StreamHead
}

// Message is what every call and answer between hosts carries.
type Message struct {
	From        string
	Incarnation uint64
	// Digest stands for the sender's whole view; views with the same live
	// members and leaving endpoints have the same digest.
	Digest  uint64
	Updates Updates
}
