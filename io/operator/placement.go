package operator

import (
	"context"
	"encoding/json"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	core "cactuswell/core/configuration"
	"cactuswell/core/placement"
	"cactuswell/core/record"
	"cactuswell/io/configuration"
	"cactuswell/io/operator/operatorv1"
)

// ShowPlacement returns the wanted placement, its holder and its orders.
func (s *Server) ShowPlacement(
	ctx context.Context, _ *connect.Request[operatorv1.ShowPlacementRequest],
) (*connect.Response[operatorv1.ShowPlacementResponse], error) {
	duty, err := s.placement()
	if err != nil {
		return nil, err
	}
	data, err := duty.Show(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&operatorv1.ShowPlacementResponse{
		Json:     string(data),
		Revision: s.dependencies.Configuration.State().Placement().Revision,
	}), nil
}

// PlanPlacement returns what would be done next and why.
func (s *Server) PlanPlacement(
	ctx context.Context, _ *connect.Request[operatorv1.PlanPlacementRequest],
) (*connect.Response[operatorv1.PlanPlacementResponse], error) {
	duty, err := s.placement()
	if err != nil {
		return nil, err
	}
	data, err := duty.Plan(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&operatorv1.PlanPlacementResponse{
		Json: string(data),
	}), nil
}

// placement returns the duty, or an error that the caller is told if the host
// has none.
func (s *Server) placement() (Placement, error) {
	if s.dependencies.Placement == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, &NotFoundError{
			What: "duty",
			Name: "placement",
		})
	}
	return s.dependencies.Placement, nil
}

// ChangePlacement checks the wanted placement, publishes it and returns once it
// was read back.
func (s *Server) ChangePlacement(
	ctx context.Context, request *connect.Request[operatorv1.ChangePlacementRequest],
) (*connect.Response[operatorv1.ChangePlacementResponse], error) {
	document := []byte(request.Msg.GetDocument())
	if _, err := placement.Parse(document); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	outcome, err := s.change(ctx, request.Msg.GetChangeId(), core.PlacementChange{
		BaseRevision: request.Msg.GetBaseRevision(),
		Document:     json.RawMessage(document),
		Author:       request.Msg.GetAuthor(),
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&operatorv1.ChangePlacementResponse{
		Revision: outcome.Revision,
		Offset:   int64(outcome.Offset),
	}), nil
}

// SetPlacement replaces the wanted placement. The base is the revision that the
// document was made from, or zero if there is none. The error is a
// *ConflictError if the base is no longer current.
func (c *Client) SetPlacement(ctx context.Context, document string, base uint64, author string) (Accepted, error) {
	request := &operatorv1.ChangePlacementRequest{
		ChangeId:     configuration.NewID(),
		BaseRevision: base,
		Document:     document,
		Author:       author,
	}
	response, err := repeat(ctx, func(ctx context.Context) (*connect.Response[operatorv1.ChangePlacementResponse], error) {
		return c.service.ChangePlacement(ctx, connect.NewRequest(request))
	})
	if err != nil {
		return Accepted{}, trace.Wrap(fromConnect("placement", err))
	}
	return Accepted{
		Revision: response.Msg.GetRevision(),
		Offset:   record.Offset(response.Msg.GetOffset()),
	}, nil
}
