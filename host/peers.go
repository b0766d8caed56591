package host

import (
	"context"

	"cactuswell/core/membership"
	"cactuswell/core/record"
	"cactuswell/io/configuration"
	"cactuswell/io/node"
)

// livePeers lists the live hosts other than this one for the configuration.
type livePeers struct {
	node *node.Node
}

// Live returns the live hosts other than this one.
func (l livePeers) Live() []configuration.Peer {
	members := l.node.Live()
	self := l.node.Self().Name
	peers := make([]configuration.Peer, 0, len(members))
	for _, member := range members {
		if member.Name == self {
			continue
		}
		peers = append(peers, configuration.Peer{
			Name:    member.Name,
			Zone:    member.Zone,
			Address: member.Address,
		})
	}
	return peers
}

// handleAdvertisedHead passes the next offset that a peer has reached in the
// configuration stream to the configuration.
func (h *Host) handleAdvertisedHead(head membership.HeadAdvertised) {
	if head.Stream == record.StreamConfiguration {
		h.configuration.HandleAdvertisedHead(head.Name, head.NextOffset)
	}
}

// headPublisher is the duty that publishes to the fleet up to which offset this
// host has applied the configuration stream.
type headPublisher struct {
	configuration *configuration.Configuration
	node          *node.Node
}

// run publishes every new offset until ctx ends.
func (w *headPublisher) run(ctx context.Context) error {
	published := record.Offset(-1)
	for {
		changed := w.configuration.Changed()
		if offset := w.configuration.NextOffset(); offset != published {
			published = offset
			w.node.SetHead(record.StreamConfiguration, offset)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}
