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

// repairer calls peers for the follower.
type repairer struct {
	configuration *Configuration
	connections   *connections
}

func newRepairer(c *Configuration) *repairer {
	return &repairer{
		configuration: c,
	}
}

func (r *repairer) run(ctx context.Context) error {
	c := r.configuration
	r.connections = newConnections(c.dependencies.Dial, c.counts)
	defer r.connections.closeAll()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.repair.Ready():
			for command, ok := c.repair.Pop(); ok; command, ok = c.repair.Pop() {
				c.results.TryPush(r.answer(ctx, command))
			}
		}
	}
}

// answerLost tells the follower that the command that was being carried out has
// no answer.
func (r *repairer) answerLost() {
	r.configuration.results.TryPush(follow.PeerCallFailed{})
}

func (r *repairer) answer(ctx context.Context, command follow.Command) follow.Event {
	switch command := command.(type) {
	case follow.QueryHead:
		return r.call(ctx, command.Peer, func(ctx context.Context, conn Conn) (follow.Event, error) {
			return r.askHead(ctx, conn, command.Peer)
		})
	case follow.FetchRecords:
		return r.call(ctx, command.Peer, func(ctx context.Context, conn Conn) (follow.Event, error) {
			return fetchRecords(ctx, conn, command)
		})
	case follow.FetchState:
		return r.call(ctx, command.Peer, func(ctx context.Context, conn Conn) (follow.Event, error) {
			return fetchState(ctx, conn, command.Peer)
		})
	}
	return follow.PeerCallFailed{}
}

func (r *repairer) call(
	ctx context.Context, name string, do func(context.Context, Conn) (follow.Event, error),
) follow.Event {
	failed := follow.PeerCallFailed{Peer: name}
	peer, ok := r.configuration.peer(name)
	if !ok {
		return failed
	}
	var event follow.Event
	err := r.connections.call(ctx, peer, func(ctx context.Context, conn Conn) (err error) {
		event, err = do(ctx, conn)
		return err
	})
	if err != nil {
		r.configuration.counts.Add("peerCallsFailed", 1)
		return failed
	}
	return event
}

func (r *repairer) askHead(ctx context.Context, conn Conn, peer string) (follow.Event, error) {
	// The age is counted from before the call, so that the peer's word is never
	// taken for newer than it is.
	sent := r.configuration.now()
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
	records, err := fromMessages(response.Msg.GetRecords())
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
