package placement

import (
	"fmt"

	"cactuswell/core/endpoint"
	"cactuswell/core/lease"
	"cactuswell/core/record"
)

// Order is a move that may be sent under a lease.
type Order struct {
	// ID names the term of the lease and the order's number in it.
	ID      string
	Move    Move
	Fencing record.Offset
	// ChecksFencing reports whether the endpoint refuses an older number.
	ChecksFencing bool
}

// OutstandingError says that the last order to an endpoint may still take
// effect.
type OutstandingError struct {
	Endpoint string
}

// Error names the endpoint.
func (e *OutstandingError) Error() string {
	return fmt.Sprintf("the last order to %q may still take effect", e.Endpoint)
}

// Orders gives orders under a lease, one at a time to each endpoint. It is used
// by one goroutine.
type Orders struct {
	lease    *lease.Machine
	settings lease.Settings
	sent     map[endpoint.Key]sentOrder
	number   uint64
}

type sentOrder struct {
	id string
	at lease.Instant
}

// NewOrders returns the orders of a host that follows leases with the machine.
func NewOrders(machine *lease.Machine, settings lease.Settings) *Orders {
	return &Orders{
		lease:    machine,
		settings: settings,
		sent:     make(map[endpoint.Key]sentOrder),
	}
}

// Prepare returns the order for a move. The caller then reads the endpoint's
// state and gives the order up if it is not the one of the plan. Drains and
// takings in are records that carry no fencing number, so they wait like orders
// to an endpoint that does not check.
// The error is a *lease.LapsedError, a *lease.WaitingError or an
// *OutstandingError.
func (o *Orders) Prepare(now lease.Instant, move Move, checksFencing bool) (Order, error) {
	checks := checksFencing && move.Action == ActionLoad
	fencing, err := o.lease.MayOrder(now, checks)
	if err != nil {
		return Order{}, err
	}
	if sent, ok := o.sent[move.Endpoint]; ok && now.AtLeast(sent.at) <= o.settings.LongestOrder+o.settings.Margin {
		return Order{}, &OutstandingError{Endpoint: move.Endpoint.Name}
	}
	o.number++
	return Order{
		ID:            fmt.Sprintf("%d-%d", fencing, o.number),
		Move:          move,
		Fencing:       fencing,
		ChecksFencing: checks,
	}, nil
}

// Send must be called right before the order leaves the host. It looks at the
// lease on both clocks once more and notes the order. The error is that of
// Prepare.
func (o *Orders) Send(now lease.Instant, order Order) error {
	fencing, err := o.lease.MayOrder(now, order.ChecksFencing)
	if err != nil {
		return err
	}
	if fencing != order.Fencing {
		return &lease.LapsedError{Pool: order.Move.Endpoint.Name}
	}
	o.sent[order.Move.Endpoint] = sentOrder{
		id: order.ID,
		at: now,
	}
	return nil
}

// Answered notes that an order has taken effect or never will.
func (o *Orders) Answered(order Order) {
	if o.sent[order.Move.Endpoint].id == order.ID {
		delete(o.sent, order.Move.Endpoint)
	}
}
