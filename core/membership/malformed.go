package membership

import "fmt"

const (
	// maxHeads bounds the stream heads of one message.
	maxHeads = 4
	// maxNameBytes bounds names, zones, addresses and streams in news.
	maxNameBytes = 128
	// maxIncarnation and maxVersion bound what a peer may claim, so that this
	// host can always raise its own above it.
	maxIncarnation = 1 << 62
	maxVersion     = 1 << 30
	// maxNewsItems bounds the items of one message.
	maxNewsItems = 2048
)

// MalformedMessageError says that a message from a peer cannot be used.
type MalformedMessageError struct {
	Reason string
}

// Error names the reason.
func (e *MalformedMessageError) Error() string {
	return "malformed membership news: " + e.Reason
}

// Validate checks a message that came from a peer. The error is a
// *MalformedNewsError.
func (m Message) Validate() error {
	if m.From == "" || len(m.From) > maxNameBytes || m.Incarnation == 0 || m.Incarnation > maxIncarnation {
		return &MalformedMessageError{Reason: "bad sender"}
	}
	return m.Updates.Validate()
}

// Validate checks news that came from a peer. The error is a
// *MalformedNewsError.
func (n Updates) Validate() error {
	if len(n.Members)+len(n.LeavingEndpoints) > maxNewsItems {
		return &MalformedMessageError{Reason: "too many items"}
	}
	if len(n.Heads) > maxHeads {
		return &MalformedMessageError{Reason: "too many stream heads"}
	}
	for _, state := range n.Members {
		if err := state.Validate(); err != nil {
			return err
		}
	}
	for _, key := range n.LeavingEndpoints {
		if key.Name == "" || len(key.Name) > maxNameBytes {
			return &MalformedMessageError{Reason: "bad endpoint name"}
		}
	}
	for _, head := range n.Heads {
		if head.Stream == "" || len(head.Stream) > maxNameBytes || head.NextOffset < 0 {
			return &MalformedMessageError{Reason: "bad stream head"}
		}
	}
	return nil
}

// Validate checks a state that came from a peer. The error is a
// *MalformedNewsError.
func (s MemberState) Validate() error {
	switch {
	case s.Name == "" || len(s.Name) > maxNameBytes:
		return &MalformedMessageError{Reason: "bad member name"}
	case len(s.Address) > maxNameBytes || len(s.Zone) > maxNameBytes:
		return &MalformedMessageError{Reason: "address or zone too long"}
	case s.Incarnation == 0 || s.Incarnation > maxIncarnation || s.Version > maxVersion:
		return &MalformedMessageError{Reason: "bad incarnation or version"}
	case s.Status < Alive || s.Status > Left:
		return &MalformedMessageError{Reason: fmt.Sprintf("unknown status %d", s.Status)}
	case s.Status == Alive && s.Address == "":
		return &MalformedMessageError{Reason: "live member without address"}
	}
	return nil
}
