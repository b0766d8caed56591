package configuration

import (
	"context"

	"connectrpc.com/connect"

	"cactuswell/core/follow"
	"cactuswell/core/record"
	"cactuswell/io/node/nodev1"
	"cactuswell/ring"
)

// pushTask is a push to one peer.
type pushTask struct {
	peer    string
	request *nodev1.PushRequest
}

// pusher pushes records to one peer at a time. A failed push is not retried: the
// peer fetches the records after its next head comparison.
type pusher struct {
	configuration *Configuration
	tasks         *ring.Ring[pushTask]
	connections   *connections
}

func newPusher(c *Configuration, tasks *ring.Ring[pushTask]) *pusher {
	return &pusher{
		configuration: c,
		tasks:         tasks,
	}
}

func (p *pusher) run(ctx context.Context) error {
	p.connections = newConnections(p.configuration.dependencies.Dial, p.configuration.counters)
	defer p.connections.closeAll()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.tasks.Ready():
			for task, ok := p.tasks.Pop(); ok; task, ok = p.tasks.Pop() {
				p.push(ctx, task)
			}
		}
	}
}

func (p *pusher) push(ctx context.Context, task pushTask) {
	c := p.configuration
	peer, ok := c.findPeer(task.peer)
	if !ok {
		return
	}
	c.counters.Add("pushes", 1)
	err := p.connections.call(ctx, peer, func(ctx context.Context, conn Conn) error {
		_, err := conn.Push(ctx, connect.NewRequest(task.request))
		return err
	})
	if err != nil {
		c.counters.Add("pushesFailed", 1)
	}
}

func pushRequest(from string, records []follow.Record) *nodev1.PushRequest {
	return &nodev1.PushRequest{
		Stream:  string(record.StreamConfiguration),
		From:    from,
		First:   int64(records[0].Offset),
		Records: encodeRecords(records),
	}
}
