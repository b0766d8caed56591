package gateway

import (
	"context"
	"time"

	"cactuswell/io/control"
)

// Autoscaler orders endpoints while its host holds the lease.
type Autoscaler struct{ a *autoscaler }

// NewAutoscaler returns the autoscaler of a host that makes calls to the given API.
func NewAutoscaler(g *Gateway, api control.Client) Autoscaler {
	g.Control = api
	return Autoscaler{a: newAutoscaler(g)}
}

// Step makes one step.
func (a Autoscaler) Step(ctx context.Context, fence control.Fence, now time.Time) error {
	return a.a.step(ctx, fence, now)
}
