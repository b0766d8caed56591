package operator

import (
	"context"

	"connectrpc.com/connect"

	core "cactuswell/core/configuration"
	"cactuswell/io/operator/operatorv1"
)

// ListEndpoints returns the endpoints that the host knows.
func (s *Server) ListEndpoints(
	ctx context.Context, _ *connect.Request[operatorv1.ListEndpointsRequest],
) (*connect.Response[operatorv1.ListEndpointsResponse], error) {
	endpoints, err := s.dependencies.Endpoints(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	response := &operatorv1.ListEndpointsResponse{}
	for _, endpoint := range endpoints {
		response.Endpoints = append(response.Endpoints, &operatorv1.Endpoint{
			Name:        endpoint.Name,
			Incarnation: endpoint.Incarnation,
			Address:     endpoint.Address,
			Zone:        endpoint.Zone,
			Pool:        endpoint.Pool,
			Kind:        endpoint.Kind,
			Health:      endpoint.Health,
			Running:     uint32(max(0, endpoint.Running)),
		})
	}
	return connect.NewResponse(response), nil
}

// ChangeEndpoint drains or resumes one incarnation of an endpoint. It returns when
// the change has been read back from the log.
func (s *Server) ChangeEndpoint(
	ctx context.Context, request *connect.Request[operatorv1.ChangeEndpointRequest],
) (*connect.Response[operatorv1.ChangeEndpointResponse], error) {
	outcome, err := s.publishChange(ctx, request.Msg.GetChangeId(), core.EndpointChange{
		Name:        request.Msg.GetName(),
		Incarnation: request.Msg.GetIncarnation(),
		Drained:     request.Msg.GetDrained(),
		Author:      request.Msg.GetAuthor(),
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&operatorv1.ChangeEndpointResponse{
		Offset: int64(outcome.Offset),
	}), nil
}
