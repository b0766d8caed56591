package placement

import (
	"context"
	"errors"
	"net/http"
	"time"

	core "cactuswell/core/configuration"
	"cactuswell/core/placement"
	"cactuswell/io/configuration"
	"cactuswell/io/engine"
)

// reconcile plans each pool's next move and makes it, if this host has the lease.
func (p *Placement) reconcile(ctx context.Context) {
	wanted, err := p.wanted()
	if err != nil {
		p.logFailure("placementDocument", err)
		return
	}
	if !p.beginRound() {
		return
	}
	p.mu.Lock()
	p.heldBack = ""
	p.mu.Unlock()
	var plans []placement.Plan
	for _, model := range wanted.Models {
		plans = append(plans, p.reconcilePool(ctx, model))
	}
	p.mu.Lock()
	p.plans = plans
	p.mu.Unlock()
}

// reconcilePool plans the next move of one pool, makes it and returns the plan.
func (p *Placement) reconcilePool(ctx context.Context, model placement.Model) placement.Plan {
	store, bytes := p.readStore(ctx, model)
	if p.loads == nil {
		p.loads = placement.NewLoads(p.dependencies.Timers.Now(), bytes, store.BytesPerSecond)
	}
	seen := p.observe(ctx, model.Pool)
	p.noteSilent(seen.engines)
	plan := placement.Next(placement.Situation{
		Model:   model,
		Engines: seen.engines,
		Target:  p.target(model, seen),
		Store:   store,
		Loads:   p.loads,
		Now:     p.dependencies.Timers.Now(),
	})
	if plan.Move != nil {
		p.carryOut(ctx, round{
			model: model,
			seen:  seen,
			move:  *plan.Move,
			rate:  store.BytesPerSecond,
			bytes: bytes,
		})
	}
	return plan
}

// beginRound reports whether this host has the lease, and forgets what it knew
// under an earlier one.
func (p *Placement) beginRound() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.machine == nil {
		return false
	}
	fencing, err := p.machine.MayOrder(p.instant(), true)
	if err != nil {
		p.plans = nil
		return false
	}
	if fencing != p.term {
		p.term = fencing
		p.loads = nil
		clear(p.demands)
		clear(p.inForce)
		clear(p.served)
	}
	return true
}

// noteSilent marks the engines that served a short while ago and do not answer.
func (p *Placement) noteSilent(engines []placement.Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.dependencies.Timers.Now()
	for i := range engines {
		e := &engines[i]
		if e.Live() {
			p.served[e.Key] = now
			continue
		}
		last, ok := p.served[e.Key]
		e.Suspect = !e.Reachable && ok && now.Sub(last) < p.dependencies.Settings.Grace
		if ok && !e.Suspect {
			delete(p.served, e.Key)
		}
	}
}

func (p *Placement) target(model placement.Model, seen observation) int {
	demand, ok := p.demands[model.Pool]
	if !ok {
		demand = placement.NewDemand(p.dependencies.Settings.Demand, countStanding(seen.engines))
		p.demands[model.Pool] = demand
	}
	return demand.Observe(p.dependencies.Timers.Now(), seen.busy, seen.slots, model)
}

// countStanding counts the engines that serve and those that were drained while
// they held something. A new holder starts with them, so that a copy that was
// between its drain and its taking in is not given up with the lease.
func countStanding(engines []placement.Engine) int {
	standing := 0
	for _, e := range engines {
		if e.Live() || e.Reachable && !e.Leaving && e.Drained && e.Version+e.Loading != "" {
			standing++
		}
	}
	return standing
}

// readStore returns the weight store's limit and the size of the model.
func (p *Placement) readStore(ctx context.Context, model placement.Model) (placement.Store, int64) {
	if p.dependencies.Store == nil {
		return placement.Store{}, 0
	}
	ctx, cancel := context.WithTimeout(ctx, p.dependencies.Settings.CallTimeout)
	defer cancel()
	limits, err := p.dependencies.Store.Limits(ctx)
	if err != nil {
		return placement.Store{}, 0
	}
	info, err := p.dependencies.Store.Describe(ctx, model.Pool, model.Version)
	if err != nil {
		return placement.Store{}, 0
	}
	return placement.Store{
		Available:      limits.BytesPerSecond > 0,
		BytesPerSecond: limits.BytesPerSecond,
	}, info.Bytes
}

// round is one move of a pool and what it was planned from.
type round struct {
	model placement.Model
	seen  observation
	move  placement.Move
	// rate is the weight store's in bytes a second; bytes is the load's size.
	rate  int64
	bytes int64
}

// carryOut sends the order of one move: it prepares it under the lease, reads
// the engine once more, looks at the lease again and sends.
func (p *Placement) carryOut(ctx context.Context, r round) {
	var target placement.Engine
	for _, e := range r.seen.engines {
		if e.Key == r.move.Endpoint {
			target = e
		}
	}
	p.mu.Lock()
	order, err := p.orders.Prepare(p.instant(), r.move, target.ChecksFencing)
	p.mu.Unlock()
	if err != nil {
		p.noteHeldBack(err)
		return
	}
	if !p.unchanged(ctx, target, r.seen) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, p.dependencies.Settings.Lease.LongestOrder)
	defer cancel()
	p.mu.Lock()
	err = p.orders.Send(p.instant(), order)
	p.mu.Unlock()
	if err != nil {
		p.noteHeldBack(err)
		return
	}
	err = p.send(ctx, r, order)
	if settled(err) {
		p.mu.Lock()
		p.orders.Answered(order)
		p.mu.Unlock()
	}
	p.report(r.move, order.ID, err)
}

// noteHeldBack notes why an order was not sent.
func (p *Placement) noteHeldBack(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heldBack = err.Error()
}

func (p *Placement) send(ctx context.Context, r round, order placement.Order) error {
	if r.move.Action != placement.ActionLoad {
		return p.sendDrain(ctx, r.move)
	}
	p.loads.Started(p.dependencies.Timers.Now(), r.bytes, r.rate)
	return p.sendLoad(ctx, r.model, order, r.seen.bases[r.move.Endpoint])
}

// unchanged reads the engine again and reports whether it is as planned with.
func (p *Placement) unchanged(ctx context.Context, target placement.Engine, seen observation) bool {
	ctx, cancel := context.WithTimeout(ctx, p.dependencies.Settings.CallTimeout)
	defer cancel()
	state, err := p.dependencies.Engines.State(ctx, seen.bases[target.Key])
	return err == nil && state.Incarnation == target.Key.Incarnation &&
		state.Version == target.Version && state.Loading == target.Loading
}

func (p *Placement) sendLoad(
	ctx context.Context, model placement.Model, order placement.Order, base string,
) error {
	_, err := p.dependencies.Engines.Order(ctx, base, engine.OrderRequest{
		ID:         order.ID,
		Fencing:    uint64(order.Fencing),
		DeadlineMs: p.dependencies.Settings.Lease.LongestOrder.Milliseconds(),
		Model:      model.Pool,
		Version:    model.Version,
		Adapters:   model.Adapters,
		Role:       model.Role,
	})
	return err
}

func (p *Placement) sendDrain(ctx context.Context, move placement.Move) error {
	_, err := p.dependencies.Configuration.Change(ctx, configuration.NewID(), core.EndpointChange{
		Name:        move.Endpoint.Name,
		Incarnation: move.Endpoint.Incarnation,
		Drained:     move.Action == placement.ActionDrain,
		Author:      core.AuthorPlacement,
	})
	return err
}

// settled reports whether an order has taken effect or never will.
func settled(err error) bool {
	var refused *engine.StatusError
	var rejected *core.RejectedError
	return err == nil || errors.As(err, &rejected) ||
		errors.As(err, &refused) && refused.Status == http.StatusConflict
}

// report remembers an order for operators.
func (p *Placement) report(move placement.Move, id string, err error) {
	one := OrderReport{
		At:   p.dependencies.Timers.Now().UTC().Truncate(time.Millisecond),
		ID:   id,
		Move: move,
	}
	if err != nil {
		one.Error = err.Error()
	}
	_ = p.dependencies.Logger.Log("level", "info", "event", "placementOrder", "order", id,
		"action", move.Action, "endpoint", move.Endpoint.Name, "reason", move.Reason, "error", one.Error)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recent = append(p.recent, one)
	p.recent = p.recent[max(0, len(p.recent)-maxRecent):]
}
