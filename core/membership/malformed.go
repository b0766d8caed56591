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

// MalformedNewsError reports that a message from a peer cannot be used.
type MalformedNewsError struct {
	Reason string
}

// Error returns the reason.
func (e *MalformedNewsError) Error() string {
	return "malformed membership news: " + e.Reason
}

// Validate checks a message received from a peer. The error is a
// *MalformedNewsError.
func (m Message) Validate() error {
	if m.From == "" || len(m.From) > maxNameBytes || m.Incarnation == 0 || m.Incarnation > maxIncarnation {
		return &MalformedNewsError{Reason: "bad sender"}
	}
	return m.News.Validate()
}

// Validate checks updates received from a peer. The error is a
// *MalformedNewsError.
func (n News) Validate() error {
	if len(n.Members)+len(n.LeavingEndpoints) > maxUpdates {
		return &MalformedNewsError{Reason: "too many items"}
	}
	if len(n.Heads) > maxHeads {
		return &MalformedNewsError{Reason: "too many stream heads"}
	}
	for _, state := range n.Members {
		if err := state.Validate(); err != nil {
			return err
		}
	}
	for _, key := range n.LeavingEndpoints {
		if key.Name == "" || len(key.Name) > maxNameBytes {
			return &MalformedNewsError{Reason: "bad endpoint name"}
		}
	}
	for _, head := range n.Heads {
		if head.Stream == "" || len(head.Stream) > maxNameBytes || head.NextOffset < 0 {
			return &MalformedNewsError{Reason: "bad stream head"}
		}
	}
	return nil
}

// Validate checks a state received from a peer. The error is a
// *MalformedNewsError.
func (s State) Validate() error {
	switch {
	case s.Name == "" || len(s.Name) > maxNameBytes:
		return &MalformedNewsError{Reason: "bad member name"}
	case len(s.Address) > maxNameBytes || len(s.Zone) > maxNameBytes:
		return &MalformedNewsError{Reason: "address or zone too long"}
	case s.Incarnation == 0 || s.Incarnation > maxIncarnation || s.Version > maxVersion:
		return &MalformedNewsError{Reason: "bad incarnation or version"}
	case s.Status < Alive || s.Status > Left:
		return &MalformedNewsError{Reason: fmt.Sprintf("unknown status %d", s.Status)}
	case s.Status == Alive && s.Address == "":
		return &MalformedNewsError{Reason: "live member without address"}
	}
	return nil
}
