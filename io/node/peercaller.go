package node

import (
	"context"
	"sync/atomic"

	"connectrpc.com/connect"

	"cactuswell/core/membership"
	"cactuswell/io/node/nodev1"
	"cactuswell/io/node/nodev1/nodev1connect"
	"cactuswell/ring"
)

const (
	// peerCallerCount is the number of calls to peers that can be in flight at
	// once.
	peerCallerCount = 16
	// peerCallerBacklog is the number of calls that can wait for one
	// peerCaller.
	peerCallerBacklog = 8
)

// peerCaller is a duty that makes membership calls to peers, one at a time.
type peerCaller struct {
	node  *Node
	calls *ring.Ring[membership.Command]
	busy  atomic.Bool
}

func newPeerCaller(n *Node) *peerCaller {
	return &peerCaller{
		node:  n,
		calls: ring.New[membership.Command](peerCallerBacklog),
	}
}

// callCount returns the number of calls that wait or run.
func (c *peerCaller) callCount() int {
	count := c.calls.Len()
	if c.busy.Load() {
		count++
	}
	return count
}

func (c *peerCaller) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.calls.Ready():
			c.drainCalls(ctx)
		}
	}
}

func (c *peerCaller) drainCalls(ctx context.Context) {
	c.busy.Store(true)
	defer c.busy.Store(false)
	for command, ok := c.calls.Pop(); ok && ctx.Err() == nil; command, ok = c.calls.Pop() {
		c.node.enqueueEvent(c.call(ctx, command))
	}
}

// call makes one call and returns the resulting event. For other commands
// it makes no call and returns a Tick, which has no effect of its own.
func (c *peerCaller) call(ctx context.Context, command membership.Command) membership.Event {
	switch command := command.(type) {
	case membership.SendProbe:
		return c.probe(ctx, command)
	case membership.SendIndirectProbe:
		return c.probeIndirectly(ctx, command)
	case membership.SendExchange:
		return c.exchange(ctx, command)
	}
	return membership.Tick{}
}

func (c *peerCaller) probe(ctx context.Context, command membership.SendProbe) membership.Event {
	failed := membership.ProbeFailed{Call: command.Call}
	if command.NewConnection {
		c.node.transport.Redial(command.To.Address)
	}
	ctx, cancel := context.WithTimeout(ctx, command.Timeout)
	defer cancel()
	response, err := c.client(command.To.Address).Probe(ctx, connect.NewRequest(&nodev1.ProbeRequest{
		From:            command.Message.From,
		FromIncarnation: command.Message.Incarnation,
		To:              command.To.Name,
		Digest:          command.Message.Digest,
		News:            updatesToWire(command.Message.Updates),
	}))
	if err != nil {
		return failed
	}
	answer := response.Msg
	message, err := messageFromWire(answer.GetName(), answer.GetIncarnation(), answer.GetDigest(), answer.GetNews())
	if err != nil {
		c.node.malformed.Add(1)
		return failed
	}
	return membership.ProbeAnswered{
		Call:    command.Call,
		Message: message,
	}
}

func (c *peerCaller) probeIndirectly(ctx context.Context, command membership.SendIndirectProbe) membership.Event {
	ctx, cancel := context.WithTimeout(ctx, command.Timeout)
	defer cancel()
	self := c.node.Self()
	request := &nodev1.ProbeIndirectlyRequest{
		From:              self.Name,
		FromIncarnation:   self.Incarnation,
		Target:            command.Target.Name,
		TargetAddress:     command.Target.Address,
		TargetIncarnation: command.Target.Incarnation,
	}
	response, err := c.client(command.Helper.Address).ProbeIndirectly(ctx, connect.NewRequest(request))
	if err != nil {
		return membership.IndirectProbeFailed{Call: command.Call}
	}
	return membership.IndirectProbeAnswered{
		Call:  command.Call,
		Alive: response.Msg.GetAlive(),
	}
}

func (c *peerCaller) exchange(ctx context.Context, command membership.SendExchange) membership.Event {
	failed := membership.ExchangeFailed{Call: command.Call}
	if command.NewConnection {
		c.node.transport.Redial(command.Address)
	}
	ctx, cancel := context.WithTimeout(ctx, command.Timeout)
	defer cancel()
	response, err := c.client(command.Address).Exchange(ctx, connect.NewRequest(&nodev1.ExchangeRequest{
		From:            command.Message.From,
		FromIncarnation: command.Message.Incarnation,
		Digest:          command.Message.Digest,
		News:            updatesToWire(command.Message.Updates),
		Self:            stateToWire(command.Self),
		MemberBuckets:   command.Buckets.Members[:],
		EndpointBuckets: command.Buckets.Endpoints[:],
	}))
	if err != nil {
		return failed
	}
	event, err := exchangeAnswerFromWire(command.Call, response.Msg)
	if err != nil {
		c.node.malformed.Add(1)
		return failed
	}
	return event
}

// exchangeAnswerFromWire decodes and validates the response to an exchange; the
// error is a *membership.MalformedMessageError.
func exchangeAnswerFromWire(
	call membership.CallID, answer *nodev1.ExchangeResponse,
) (membership.ExchangeAnswered, error) {
	message, err := messageFromWire(answer.GetName(), answer.GetIncarnation(), answer.GetDigest(), answer.GetNews())
	if err != nil {
		return membership.ExchangeAnswered{}, err
	}
	self := stateFromWire(answer.GetSelf())
	if err := self.Validate(); err != nil {
		return membership.ExchangeAnswered{}, err
	}
	return membership.ExchangeAnswered{
		Call:    call,
		Message: message,
		Self:    self,
		WholeBuckets: membership.WholeBuckets{
			Members:   answer.GetWholeMemberBuckets(),
			Endpoints: answer.GetWholeEndpointBuckets(),
		},
	}, nil
}

func (c *peerCaller) client(address string) nodev1connect.MembershipServiceClient {
	return nodev1connect.NewMembershipServiceClient(c.node.client, c.node.transport.BaseURL(address),
		connect.WithReadMaxBytes(maxPeerMessageBytes))
}
