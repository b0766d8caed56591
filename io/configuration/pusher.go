package configuration

import (
	"context"

	"connectrpc.com/connect"

	"cactuswell/core/follow"
	"cactuswell/core/record"
	"cactuswell/io/node/nodev1"
	"cactuswell/ring"
)

// pushTask is one push to one peer.
type pushTask struct {
	peer    string
	request *nodev1.PushRequest
}

// pusher hands records down to one peer at a time. A push that failed is not
// repeated: the peer finds the records when it compares heads.
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
	p.connections = newConnections(p.configuration.dependencies.Dial, p.configuration.counts)
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
	peer, ok := c.peer(task.peer)
	if !ok {
		return
	}
	c.counts.Add("pushes", 1)
	err := p.connections.call(ctx, peer, func(ctx context.Context, conn Conn) error {
		_, err := conn.Push(ctx, connect.NewRequest(task.request))
		return err
	})
	if err != nil {
		c.counts.Add("pushesFailed", 1)
	}
}

func pushRequest(from string, records []follow.Record) *nodev1.PushRequest {
	return &nodev1.PushRequest{
		Stream:  string(record.StreamConfiguration),
		From:    from,
		First:   int64(records[0].Offset),
		Records: toMessages(records),
	}
}
