package configuration

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"cactuswell/core/follow"
	"cactuswell/core/record"
	"cactuswell/io/node/nodev1"
	"cactuswell/io/node/nodev1/nodev1connect"
)

// Server serves other hosts. It implements nodev1connect.RecordsServiceHandler.
type Server struct {
	configuration *Configuration
}

// NewServer returns the server of a configuration.
func NewServer(c *Configuration) *Server {
	return &Server{
		configuration: c,
	}
}

// Handler returns the path prefix and the handler of the RecordsService, for the
// peer listener.
func (c *Configuration) Handler() (string, http.Handler) {
	return nodev1connect.NewRecordsServiceHandler(NewServer(c), connect.WithReadMaxBytes(maxRequestBytes))
}

// Push accepts records from a peer. A push is dropped if the queue is full; head
// comparison recovers the records.
func (s *Server) Push(
	_ context.Context, request *connect.Request[nodev1.PushRequest],
) (*connect.Response[nodev1.PushResponse], error) {
	c := s.configuration
	if request.Msg.GetStream() != string(record.StreamConfiguration) {
		return nil, connect.NewError(connect.CodeNotFound, &MessageError{Reason: "unknown stream"})
	}
	records, err := decodeRecords(request.Msg.GetRecords())
	if err != nil {
		c.counters.Add("malformedPushes", 1)
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if len(records) > 0 && records[len(records)-1].Offset >= c.NextOffset() {
		accepted := c.peerEvents.TryPush(follow.RecordsPushed{
			From:    request.Msg.GetFrom(),
			Records: records,
		})
		if !accepted {
			c.counters.Add("pushesRefused", 1)
		}
	}
	return connect.NewResponse(&nodev1.PushResponse{
		NextOffset: int64(c.NextOffset()),
	}), nil
}

// Fetch returns recent records.
func (s *Server) Fetch(
	_ context.Context, request *connect.Request[nodev1.FetchRequest],
) (*connect.Response[nodev1.FetchResponse], error) {
	if request.Msg.GetStream() != string(record.StreamConfiguration) {
		return nil, connect.NewError(connect.CodeNotFound, &MessageError{Reason: "unknown stream"})
	}
	current := s.configuration.current.Load()
	recent := current.recentRecords
	response := &nodev1.FetchResponse{
		OldestOffset: int64(current.state.NextOffset()) - int64(len(recent)),
		NextOffset:   int64(current.state.NextOffset()),
	}
	first := min(max(0, request.Msg.GetFrom()-response.OldestOffset), int64(len(recent)))
	limit := int64(min(max(1, request.Msg.GetLimit()), maxMessageRecords))
	response.Records = encodeRecords(recent[first:min(first+limit, int64(len(recent)))])
	return connect.NewResponse(response), nil
}

// FetchState returns a snapshot of the state.
func (s *Server) FetchState(
	context.Context, *connect.Request[nodev1.FetchStateRequest],
) (*connect.Response[nodev1.FetchStateResponse], error) {
	data, err := s.configuration.current.Load().snapshot()
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&nodev1.FetchStateResponse{
		Snapshot: data,
	}), nil
}

// Head returns the next offset and the digest of the state.
func (s *Server) Head(
	context.Context, *connect.Request[nodev1.HeadRequest],
) (*connect.Response[nodev1.HeadResponse], error) {
	c := s.configuration
	current := c.current.Load()
	response := &nodev1.HeadResponse{
		Name:        c.dependencies.Host,
		Incarnation: c.dependencies.Incarnation,
		NextOffset:  int64(current.state.NextOffset()),
		Ready:       current.reason == follow.ReasonNone,
		Digest:      current.state.Digest(),
		Confirmed:   !current.confirmedAt.IsZero(),
	}
	if response.GetConfirmed() {
		response.ConfirmedAgeMs = c.now().Sub(current.confirmedAt).Milliseconds() + 1
	}
	return connect.NewResponse(response), nil
}
