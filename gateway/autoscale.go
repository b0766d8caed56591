package gateway

import (
	"context"
	"time"

	"cactuswell/io/control"
)

// autoscaler orders endpoints while this host holds the lease on the singleton duties.
type autoscaler struct{}

func newAutoscaler(*Gateway) *autoscaler { return &autoscaler{} }

// step makes the orders that are due.
func (*autoscaler) step(context.Context, control.Fence, time.Time) error { return nil }
