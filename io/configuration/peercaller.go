package configuration

import (
	"context"
	"time"

	"connectrpc.com/connect"

	core "cactuswell/core/configuration"
	"cactuswell/core/follow"
	"cactuswell/core/record"
	"cactuswell/io/node/nodev1"
)

// peerCaller executes the follower's calls to peers.
type peerCaller struct {
	configuration *Configuration
	connections   *connections
}

func newPeerCaller(c *Configuration) *peerCaller {
	return &peerCaller{
		configuration: c,
	}
}

func (p *peerCaller) run(ctx context.Context) error {
	c := p.configuration
	p.connections = newConnections(c.dependencies.Dial, c.counters)
	defer p.connections.closeAll()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.peerCommands.Ready():
			for command, ok := c.peerCommands.Pop(); ok; command, ok = c.peerCommands.Pop() {
				c.results.TryPush(p.execute(ctx, command))
			}
		}
	}
}

// reportUnanswered reports to the follower that the command in execution failed.
func (p *peerCaller) reportUnanswered() {
	p.configuration.results.TryPush(follow.PeerCallFailed{})
}

func (p *peerCaller) execute(ctx context.Context, command follow.Command) follow.Event {
	switch command := command.(type) {
	case follow.QueryHead:
		return p.call(ctx, command.Peer, func(ctx context.Context, conn Conn) (follow.Event, error) {
			return p.queryHead(ctx, conn, command.Peer)
		})
	case follow.FetchRecords:
		return p.call(ctx, command.Peer, func(ctx context.Context, conn Conn) (follow.Event, error) {
			return fetchRecords(ctx, conn, command)
		})
	case follow.FetchState:
		return p.call(ctx, command.Peer, func(ctx context.Context, conn Conn) (follow.Event, error) {
			return fetchState(ctx, conn, command.Peer)
		})
	}
	return follow.PeerCallFailed{}
}

func (p *peerCaller) call(
	ctx context.Context, name string, do func(context.Context, Conn) (follow.Event, error),
) follow.Event {
	failed := follow.PeerCallFailed{Peer: name}
	peer, ok := p.configuration.findPeer(name)
	if !ok {
		return failed
	}
	var event follow.Event
	err := p.connections.call(ctx, peer, func(ctx context.Context, conn Conn) (err error) {
		event, err = do(ctx, conn)
		return err
	})
	if err != nil {
		p.configuration.counters.Add("peerCallsFailed", 1)
		return failed
	}
	return event
}

func (p *peerCaller) queryHead(ctx context.Context, conn Conn, peer string) (follow.Event, error) {
	// The age is subtracted from the time before the call, so that the peer's
	// confirmation never appears newer than it is.
	sent := p.configuration.now()
	response, err := conn.Head(ctx, connect.NewRequest(&nodev1.HeadRequest{}))
	if err != nil {
		return nil, err
	}
	event := follow.HeadReceived{
		Peer:       peer,
		NextOffset: record.Offset(response.Msg.GetNextOffset()),
		Digest:     response.Msg.GetDigest(),
	}
	if response.Msg.GetConfirmed() {
		age := time.Duration(max(0, response.Msg.GetConfirmedAgeMs())) * time.Millisecond
		event.ConfirmedAt = sent.Add(-age)
	}
	return event, nil
}

func fetchRecords(ctx context.Context, conn Conn, command follow.FetchRecords) (follow.Event, error) {
	response, err := conn.Fetch(ctx, connect.NewRequest(&nodev1.FetchRequest{
		Stream: string(record.StreamConfiguration),
		From:   int64(command.From),
		Limit:  pollLimit,
	}))
	if err != nil {
		return nil, err
	}
	records, err := decodeRecords(response.Msg.GetRecords())
	if err != nil {
		return nil, err
	}
	return follow.RecordsFetched{
		Peer:       command.Peer,
		Records:    records,
		NextOffset: record.Offset(response.Msg.GetNextOffset()),
	}, nil
}

func fetchState(ctx context.Context, conn Conn, peer string) (follow.Event, error) {
	response, err := conn.FetchState(ctx, connect.NewRequest(&nodev1.FetchStateRequest{}))
	if err != nil {
		return nil, err
	}
	state, err := core.DecodeSnapshot(response.Msg.GetSnapshot())
	if err != nil {
		return nil, err
	}
	return follow.StateFetched{
		Peer:  peer,
		State: state,
	}, nil
}
