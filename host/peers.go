package host

import (
	"context"

	"cactuswell/core/membership"
	"cactuswell/core/record"
	"cactuswell/io/configuration"
	"cactuswell/io/node"
)

// livePeers gives the configuration the live hosts other than this one.
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

// headHeard passes on how far a peer has followed the configuration.
func (h *Host) headHeard(heard membership.HeadReported) {
	if heard.Stream == record.StreamConfiguration {
		h.configuration.HandleAdvertisedHead(heard.Name, heard.NextOffset)
	}
}

// headWatch is the duty that tells the fleet how far this host has followed the
// configuration.
type headWatch struct {
	configuration *configuration.Configuration
	node          *node.Node
}

// run follows the configuration until ctx ends.
func (w *headWatch) run(ctx context.Context) error {
	told := record.Offset(-1)
	for {
		changed := w.configuration.Changed()
		if applied := w.configuration.NextOffset(); applied != told {
			told = applied
			w.node.SetHead(record.StreamConfiguration, applied)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}
