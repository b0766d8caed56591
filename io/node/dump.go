package node

import (
	"context"

	"github.com/gravitational/trace"

	"cactuswell/core/membership"
)

// Counters count what the node did besides the decisions.
type Counters struct {
	BytesSent        uint64 `json:"bytesSent"`
	BytesReceived    uint64 `json:"bytesReceived"`
	Dials            uint64 `json:"dials"`
	Accepts          uint64 `json:"accepts"`
	PeersPooled      int    `json:"peersPooled"`
	PeersEvicted     uint64 `json:"peersEvicted"`
	PeersRetired     uint64 `json:"peersRetired"`
	Malformed        uint64 `json:"malformed"`
	CallsRefused     uint64 `json:"callsRefused"`
	EventsDropped    uint64 `json:"eventsDropped"`
	AnnounceFailures uint64 `json:"announceFailures"`
	PollFailures     uint64 `json:"pollFailures"`
}

// Dump is the node's state for operators.
type Dump struct {
	Membership membership.Dump `json:"membership"`
	Counters   Counters        `json:"counters"`
}

// Counters returns what was counted since New.
func (n *Node) Counters() Counters {
	t := n.transport
	t.mu.Lock()
	defer t.mu.Unlock()
	return Counters{
		BytesSent:        n.traffic.sent.Load(),
		BytesReceived:    n.traffic.received.Load(),
		Dials:            n.traffic.dials.Load(),
		Accepts:          n.traffic.accepts.Load(),
		PeersPooled:      len(t.peers),
		PeersEvicted:     t.evicted,
		PeersRetired:     t.retired,
		Malformed:        n.malformed.Load(),
		CallsRefused:     n.callsRefused.Load(),
		EventsDropped:    n.eventsDropped.Load(),
		AnnounceFailures: n.announceFailures.Load(),
		PollFailures:     n.pollFailures.Load(),
	}
}

// Dump returns the node's state. The error is a *StoppedError or an
// *OverloadedError.
func (n *Node) Dump(ctx context.Context) (Dump, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	answer := make(chan membership.Dump, 1)
	ok := n.inbox.TryPush(envelope{
		query: func(machine *membership.Machine) {
			answer <- machine.Dump()
		},
	})
	if !ok {
		return Dump{}, trace.Wrap(&OverloadedError{})
	}
	select {
	case view := <-answer:
		return Dump{
			Membership: view,
			Counters:   n.Counters(),
		}, nil
	case <-ctx.Done():
		return Dump{}, trace.Wrap(&UnresponsiveError{})
	}
}
