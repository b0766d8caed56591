// Package operator implements the service for operators at a host and the command
// line's client of that service.
//
// # Usage
//
// At a host:
//
//	server := operator.New(operator.Dependencies{
//		Configuration: config,
//		Dump:          dumpJSON,
//		Explain:       explainJSON,
//		Endpoints:     listEndpoints,
//	})
//	mux.Handle(server.Handler())
//
// At the command line:
//
//	client := operator.NewClient("http://127.0.0.1:7100", httpClient)
//	change, err := client.SetProfile(ctx, spec, baseRevision, author)
//	err = client.AwaitInForce(ctx, change.Offset)
//
// The server responds to a change when it has been read back from the log. The client
// retries a call without a response under the same change ID, so the change takes
// effect only once.
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

// maxMessageBytes is the maximum size of a request message.
const maxMessageBytes = 1 << 20

// changeTimeout is the maximum time to publish a change and read it back.
const changeTimeout = 30 * time.Second

// Dependencies holds the dependencies of a Server.
type Dependencies struct {
	Configuration *configuration.Configuration
	// Dump returns the host's state as JSON.
	Dump func(ctx context.Context) ([]byte, error)
	// Explain returns what is known about a request as JSON, or false if the
	// request is unknown.
	Explain func(ctx context.Context, requestID string) ([]byte, bool, error)
	// Endpoints returns the endpoints that the host knows.
	Endpoints func(ctx context.Context) ([]Endpoint, error)
}

// Endpoint describes one endpoint to operators.
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

// New returns a server with the given dependencies.
func New(dependencies Dependencies) *Server {
	return &Server{
		dependencies: dependencies,
	}
}

// Handler returns the path prefix and the handler of the service, for the operator
// listener.
func (s *Server) Handler() (string, http.Handler) {
	return operatorv1connect.NewOperatorServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes))
}

// InForce returns which live hosts have applied an offset and which have not.
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

// Explain returns what is known about one request as JSON.
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
