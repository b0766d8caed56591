// Package operator serves the operators of the system, and is the command
// line's client of that service.
//
// # Usage
//
// At a host:
//
//	server := operator.New(operator.Dependencies{
//		Configuration: config,
//		Dump:          host.DumpJSON,
//		Explain:       host.ExplainJSON,
//		Endpoints:     host.Endpoints,
//	})
//	mux.Handle(server.Handler())
//
// At the command line:
//
//	client := operator.NewClient("http://127.0.0.1:7100", httpClient)
//	change, err := client.SetProfile(ctx, spec, baseRevision, author)
//	err = client.AwaitInForce(ctx, change.Offset)
//
// A change is answered once it was read back from the log. The client repeats a
// call that had no answer under the same change id, which has no second effect.
package operator

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"cactuswell/core/record"
	"cactuswell/io/configuration"
	"cactuswell/io/operator/operatorv1"
	"cactuswell/io/operator/operatorv1/operatorv1connect"
)

// maxMessageBytes bounds what the server reads of one call.
const maxMessageBytes = 1 << 20

// changeTimeout bounds how long a change may wait to be read back.
const changeTimeout = 30 * time.Second

// Dependencies are what a Server is made of.
type Dependencies struct {
	Configuration *configuration.Configuration
	// Dump returns the host's state as JSON.
	Dump func(ctx context.Context) ([]byte, error)
	// Explain returns what is known of a request as JSON. It reports false if
	// nothing is known.
	Explain func(ctx context.Context, requestID string) ([]byte, bool, error)
	// Endpoints returns the endpoints that the host knows.
	Endpoints func(ctx context.Context) ([]Endpoint, error)
}

// Endpoint is one endpoint as operators see it.
type Endpoint struct {
	Name        string
	Incarnation uint64
	Address     string
	Zone        string
	Pool        string
	Kind        string
	Health      string
	Running     int
}

// Server serves the OperatorService.
type Server struct {
	dependencies Dependencies
}

// New returns a server over the dependencies.
func New(dependencies Dependencies) *Server {
	return &Server{
		dependencies: dependencies,
	}
}

// Handler returns the path prefix and the handler, for the listener that
// operators speak to.
func (s *Server) Handler() (string, http.Handler) {
	return operatorv1connect.NewOperatorServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes))
}

// InForce says which live hosts have applied an offset.
func (s *Server) InForce(
	ctx context.Context, request *connect.Request[operatorv1.InForceRequest],
) (*connect.Response[operatorv1.InForceResponse], error) {
	result := s.dependencies.Configuration.QueryInForce(ctx, record.Offset(request.Msg.GetOffset()))
	return connect.NewResponse(&operatorv1.InForceResponse{
		Applied: result.Applied,
		Lagging: result.Lagging,
	}), nil
}

// Dump returns the host's state as JSON.
func (s *Server) Dump(
	ctx context.Context, _ *connect.Request[operatorv1.DumpRequest],
) (*connect.Response[operatorv1.DumpResponse], error) {
	data, err := s.dependencies.Dump(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&operatorv1.DumpResponse{
		Json: string(data),
	}), nil
}

// Explain returns what is known of one request.
func (s *Server) Explain(
	ctx context.Context, request *connect.Request[operatorv1.ExplainRequest],
) (*connect.Response[operatorv1.ExplainResponse], error) {
	id := request.Msg.GetRequestId()
	data, known, err := s.dependencies.Explain(ctx, id)
	switch {
	case err != nil:
		return nil, connect.NewError(connect.CodeInternal, err)
	case !known:
		return nil, connect.NewError(connect.CodeNotFound, &NotFoundError{
			Kind: "request",
			Name: id,
		})
	}
	return connect.NewResponse(&operatorv1.ExplainResponse{
		Json: string(data),
	}), nil
}
