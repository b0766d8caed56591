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

// Server answers other hosts. It implements nodev1connect.RecordsServiceHandler.
type Server struct {
	configuration *Configuration
}

// NewServer returns the server of a configuration.
func NewServer(c *Configuration) *Server {
	return &Server{
		configuration: c,
	}
}

// Handler returns the path prefix and the handler of the RecordsService, for
// the listener that peers speak to.
func (c *Configuration) Handler() (string, http.Handler) {
	return nodev1connect.NewRecordsServiceHandler(NewServer(c), connect.WithReadMaxBytes(maxRequestBytes))
}

// Push takes records that a peer hands down. A push that finds no room is
// dropped, as heads are compared later.
func (s *Server) Push(
	_ context.Context, request *connect.Request[nodev1.PushRequest],
) (*connect.Response[nodev1.PushResponse], error) {
	c := s.configuration
	if request.Msg.GetStream() != string(record.StreamConfiguration) {
		return nil, connect.NewError(connect.CodeNotFound, &MessageError{Reason: "unknown stream"})
	}
	records, err := fromMessages(request.Msg.GetRecords())
	if err != nil {
		c.counts.Add("malformedPushes", 1)
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if len(records) > 0 && records[len(records)-1].Offset >= c.NextOffset() {
		accepted := c.heard.TryPush(follow.RecordsPushed{
			From:    request.Msg.GetFrom(),
			Records: records,
		})
		if !accepted {
			c.counts.Add("pushesRefused", 1)
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
	recent := current.recent
	response := &nodev1.FetchResponse{
		OldestOffset: int64(current.state.NextOffset()) - int64(len(recent)),
		NextOffset:   int64(current.state.NextOffset()),
	}
	first := min(max(0, request.Msg.GetFrom()-response.OldestOffset), int64(len(recent)))
	limit := int64(min(max(1, request.Msg.GetLimit()), maxMessageRecords))
	response.Records = toMessages(recent[first:min(first+limit, int64(len(recent)))])
	return connect.NewResponse(response), nil
}

// FetchState returns the snapshot of the reduced state.
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

// Head returns the applied offset.
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
