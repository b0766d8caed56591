package membership

import "fmt"

const (
	// maxHeads limits the stream heads in one message.
	maxHeads = 4
	// maxNameBytes limits the length of names, zones, addresses and streams.
	maxNameBytes = 128
	// maxIncarnation and maxVersion limit the values that a peer may send, so
	// that this host can always raise its own above them.
	maxIncarnation = 1 << 62
	maxVersion     = 1 << 30
	// maxUpdates limits the updates in one message.
	maxUpdates = 2048
)

// MalformedMessageError reports that a message from a peer cannot be used.
type MalformedMessageError struct {
	Reason string
}

// Error returns the reason.
func (e *MalformedMessageError) Error() string {
	return "malformed membership news: " + e.Reason
}

// Validate checks a message received from a peer. The error is a
// *MalformedMessageError.
func (m Message) Validate() error {
	if m.From == "" || len(m.From) > maxNameBytes || m.Incarnation == 0 || m.Incarnation > maxIncarnation {
		return &MalformedMessageError{Reason: "bad sender"}
	}
	return m.Updates.Validate()
}

// Validate checks updates received from a peer. The error is a
// *MalformedMessageError.
func (n Updates) Validate() error {
	if len(n.Members)+len(n.LeavingEndpoints) > maxUpdates {
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

// Validate checks a state received from a peer. The error is a
// *MalformedMessageError.
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
