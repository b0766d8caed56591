package membership

import (
	"cactuswell/core/endpoint"
	"cactuswell/core/record"
)

// Status is the state of a member in a host's view.
type Status uint32

// The values are part of the wire format.
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

// Member identifies one incarnation of a host.
type Member struct {
	Name string
	// Incarnation is the process's start time in milliseconds since 1970, or a
	// higher number if peers knew a later process of the same name.
	Incarnation uint64
	// Address is the IP:port of the peer listener.
	Address string
	Zone    string
}

// MemberState is a member with its state in a host's view. Within one
// incarnation only the member itself raises Version.
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

// Updates holds the updates that hosts send to each other.
type Updates struct {
	Members          []MemberState
	LeavingEndpoints []endpoint.Key
	// Heads are those of the sender itself.
	Heads []StreamHead
}

// Message is the common content of the calls and answers between hosts.
type Message struct {
	From        string
	Incarnation uint64
	// Digest is a hash of the sender's whole view; views with the same live
	// members and leaving endpoints have the same digest.
	Digest  uint64
	Updates Updates
}
