package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"cactuswell/core/membership"
	"cactuswell/io/node/nodev1"
	"cactuswell/io/node/nodev1/nodev1connect"
)

const (
	// answerTimeout bounds a peer's call whose own deadline is later.
	answerTimeout = 3 * time.Second
	// maxPeerMessageBytes bounds one message of the membership protocol.
	maxPeerMessageBytes = 1 << 20
	// minCompressedBytes is the size from which answers are compressed.
	minCompressedBytes = 2048
	// peerReadHeaderTimeout and peerIdleTimeout bound the peer listener's
	// connections.
	peerReadHeaderTimeout = 5 * time.Second
	peerIdleTimeout       = 2 * time.Minute
	// maxPeerStreams bounds the calls under way on one connection.
	maxPeerStreams = 250
)

// OverloadedError says that the host has too many membership events waiting.
type OverloadedError struct{}

// Error describes the fault.
func (*OverloadedError) Error() string { return "membership duty is overloaded" }

// Handler returns the path and the handler of the membership service, to be
// mounted on the peer listener.
func (n *Node) Handler() (string, http.Handler) {
	path, handler := nodev1connect.NewMembershipServiceHandler(&server{
		node: n,
	}, connect.WithReadMaxBytes(maxPeerMessageBytes), connect.WithCompressMinBytes(minCompressedBytes))
	return path, withoutDate(handler)
}

// withoutDate leaves the Date header out of answers, as no peer reads it.
func withoutDate(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		handler.ServeHTTP(w, r)
	})
}

// Listener returns a listener whose connections are counted in Bytes.
func (n *Node) Listener(listener net.Listener) net.Listener {
	return &countingListener{
		Listener: listener,
		traffic:  &n.traffic,
	}
}

// Server returns a server for the peer listener that speaks HTTP/2, in
// cleartext if the node has no TLS configuration.
func (n *Node) Server(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	if n.deps.TLS != nil {
		protocols.SetHTTP2(true)
	} else {
		protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Server{
		Handler:           handler,
		TLSConfig:         n.deps.TLS.Clone(),
		ReadHeaderTimeout: peerReadHeaderTimeout,
		IdleTimeout:       peerIdleTimeout,
		MaxHeaderBytes:    maxPeerHeaderBytes,
		Protocols:         protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxPeerStreams,
		},
	}
}

// server answers peers' calls by way of the membership duty.
type server struct {
	node *Node
}

// Probe implements nodev1connect.MembershipServiceHandler.
func (s *server) Probe(
	ctx context.Context, request *connect.Request[nodev1.ProbeRequest],
) (*connect.Response[nodev1.ProbeResponse], error) {
	message, err := messageFromWire(
		request.Msg.GetFrom(), request.Msg.GetFromIncarnation(), request.Msg.GetDigest(), request.Msg.GetNews())
	if err != nil {
		return nil, s.refuse(err)
	}
	answer, err := s.ask(ctx, membership.ProbeReceived{
		Message: message,
	})
	if err != nil {
		return nil, err
	}
	command, ok := answer.(membership.AnswerProbe)
	if !ok {
		return nil, unexpected()
	}
	return connect.NewResponse(&nodev1.ProbeResponse{
		Name:        command.Message.From,
		Incarnation: command.Message.Incarnation,
		Digest:      command.Message.Digest,
		News:        updatesToWire(command.Message.Updates),
	}), nil
}

// ProbeIndirectly implements nodev1connect.MembershipServiceHandler.
func (s *server) ProbeIndirectly(
	ctx context.Context, request *connect.Request[nodev1.ProbeIndirectlyRequest],
) (*connect.Response[nodev1.ProbeIndirectlyResponse], error) {
	target := membership.MemberState{
		Member: membership.Member{
			Name:        request.Msg.GetTarget(),
			Incarnation: request.Msg.GetTargetIncarnation(),
			Address:     request.Msg.GetTargetAddress(),
		},
		Version: 1,
		Status:  membership.Alive,
	}
	if err := target.Validate(); err != nil {
		return nil, s.refuse(err)
	}
	answer, err := s.ask(ctx, membership.IndirectProbeReceived{
		Target: target.Member,
	})
	if err != nil {
		return nil, err
	}
	command, ok := answer.(membership.AnswerIndirectProbe)
	if !ok {
		return nil, unexpected()
	}
	return connect.NewResponse(&nodev1.ProbeIndirectlyResponse{
		Alive: command.Alive,
	}), nil
}

// Exchange implements nodev1connect.MembershipServiceHandler.
func (s *server) Exchange(
	ctx context.Context, request *connect.Request[nodev1.ExchangeRequest],
) (*connect.Response[nodev1.ExchangeResponse], error) {
	event, err := exchangeFromWire(request.Msg)
	if err != nil {
		return nil, s.refuse(err)
	}
	answer, err := s.ask(ctx, event)
	if err != nil {
		return nil, err
	}
	command, ok := answer.(membership.AnswerExchange)
	if !ok {
		return nil, unexpected()
	}
	return connect.NewResponse(&nodev1.ExchangeResponse{
		Name:                 command.Message.From,
		Incarnation:          command.Message.Incarnation,
		Digest:               command.Message.Digest,
		News:                 updatesToWire(command.Message.Updates),
		Self:                 stateToWire(command.Self),
		WholeMemberBuckets:   command.WholeBuckets.Members,
		WholeEndpointBuckets: command.WholeBuckets.Endpoints,
	}), nil
}

// exchangeFromWire returns a checked event; the error is a
// *membership.MalformedNewsError.
func exchangeFromWire(request *nodev1.ExchangeRequest) (membership.ExchangeReceived, error) {
	message, err := messageFromWire(
		request.GetFrom(), request.GetFromIncarnation(), request.GetDigest(), request.GetNews())
	if err != nil {
		return membership.ExchangeReceived{}, err
	}
	self := stateFromWire(request.GetSelf())
	if err := self.Validate(); err != nil {
		return membership.ExchangeReceived{}, err
	}
	buckets, err := bucketsFromWire(request.GetMemberBuckets(), request.GetEndpointBuckets())
	if err != nil {
		return membership.ExchangeReceived{}, err
	}
	return membership.ExchangeReceived{
		Message: message,
		Self:    self,
		Buckets: buckets,
	}, nil
}

// ask hands a peer's call to the membership duty and waits for the answer.
func (s *server) ask(ctx context.Context, event membership.Event) (membership.Command, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	answer := make(chan membership.Command, 1)
	ok := s.node.inbox.TryPush(envelope{
		event:  event,
		answer: answer,
	})
	if !ok {
		return nil, connect.NewError(connect.CodeResourceExhausted, &OverloadedError{})
	}
	select {
	case command := <-answer:
		return command, nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}

func (s *server) refuse(err error) error {
	s.node.malformed.Add(1)
	var malformed *membership.MalformedMessageError
	if errors.As(err, &malformed) {
		return connect.NewError(connect.CodeInvalidArgument, malformed)
	}
	return connect.NewError(connect.CodeInternal, err)
}

// UnexpectedAnswerError says that the membership duty answered a call with the
// wrong kind of command.
type UnexpectedAnswerError struct{}

// Error describes the fault.
func (*UnexpectedAnswerError) Error() string { return "unexpected answer of the membership duty" }

func unexpected() error {
	return connect.NewError(connect.CodeInternal, &UnexpectedAnswerError{})
}
