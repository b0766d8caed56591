package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"cactuswell/core/membership"
	"cactuswell/io/httpbody"
	"cactuswell/io/node/nodev1"
	"cactuswell/io/node/nodev1/nodev1connect"
)

const (
	// answerTimeout is the timeout of a peer's call whose own deadline is
	// later.
	answerTimeout = 3 * time.Second
	// maxPeerMessageBytes limits one message of the membership protocol.
	maxPeerMessageBytes = 1 << 20
	// minCompressedBytes is the size from which responses are compressed.
	minCompressedBytes = 2048
	// peerReadHeaderTimeout and peerIdleTimeout are timeouts of the peer
	// listener's connections.
	peerReadHeaderTimeout = 5 * time.Second
	peerIdleTimeout       = 2 * time.Minute
	// peerBodyTimeout bounds the time in which the body of a request must arrive.
	peerBodyTimeout = 10 * time.Second
	// maxPeerStreams limits the concurrent calls on one connection.
	maxPeerStreams = 250
)

// OverloadedError reports that too many membership events wait.
type OverloadedError struct{}

// Error implements error.
func (*OverloadedError) Error() string { return "membership duty is overloaded" }

// Handler returns the path and the handler of the membership service for the
// peer listener.
func (n *Node) Handler() (string, http.Handler) {
	path, handler := nodev1connect.NewMembershipServiceHandler(&server{
		node: n,
	}, connect.WithReadMaxBytes(maxPeerMessageBytes), connect.WithCompressMinBytes(minCompressedBytes))
	return path, withoutDate(handler)
}

// withoutDate omits the Date header from responses, as no peer reads it.
func withoutDate(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		handler.ServeHTTP(w, r)
	})
}

// Listener returns a listener whose connections count in the node's Counters.
func (n *Node) Listener(listener net.Listener) net.Listener {
	return &countingListener{
		Listener: listener,
		traffic:  &n.traffic,
	}
}

// Server returns a server for the peer listener that uses HTTP/2, in cleartext
// if the node has no TLS configuration.
func (n *Node) Server(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	if n.deps.TLS != nil {
		protocols.SetHTTP2(true)
	} else {
		protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Server{
		Handler:           httpbody.Handler(handler, peerBodyTimeout),
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

// server answers the calls of peers through the membership duty.
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
		return nil, s.rejectMalformed(err)
	}
	answer, err := s.queryMembership(ctx, membership.ProbeReceived{
		Message: message,
	})
	if err != nil {
		return nil, err
	}
	command, ok := answer.(membership.AnswerProbe)
	if !ok {
		return nil, unexpectedAnswer()
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
		return nil, s.rejectMalformed(err)
	}
	answer, err := s.queryMembership(ctx, membership.IndirectProbeReceived{
		Target: target.Member,
	})
	if err != nil {
		return nil, err
	}
	command, ok := answer.(membership.AnswerIndirectProbe)
	if !ok {
		return nil, unexpectedAnswer()
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
		return nil, s.rejectMalformed(err)
	}
	answer, err := s.queryMembership(ctx, event)
	if err != nil {
		return nil, err
	}
	command, ok := answer.(membership.AnswerExchange)
	if !ok {
		return nil, unexpectedAnswer()
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

// exchangeFromWire decodes and validates the request for an exchange; the error
// is a *membership.MalformedMessageError.
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

// queryMembership queues the event of a peer's call for the membership duty and
// waits for the answer.
func (s *server) queryMembership(ctx context.Context, event membership.Event) (membership.Command, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	answer := make(chan membership.Command, 1)
	ok := s.node.inbox.TryPush(inboxItem{
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

func (s *server) rejectMalformed(err error) error {
	s.node.malformed.Add(1)
	var malformed *membership.MalformedMessageError
	if errors.As(err, &malformed) {
		return connect.NewError(connect.CodeInvalidArgument, malformed)
	}
	return connect.NewError(connect.CodeInternal, err)
}

// UnexpectedAnswerError reports that the membership duty answered a call with
// the wrong type of command.
type UnexpectedAnswerError struct{}

// Error implements error.
func (*UnexpectedAnswerError) Error() string { return "unexpected answer of the membership duty" }

func unexpectedAnswer() error {
	return connect.NewError(connect.CodeInternal, &UnexpectedAnswerError{})
}
