package placement

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"cactuswell/core/placement"
	"cactuswell/core/record"
)

// OrderReport is one order that this host gave.
type OrderReport struct {
	At   time.Time      `json:"at"`
	ID   string         `json:"id"`
	Move placement.Move `json:"move"`
	// Error is why the order failed, or may have failed.
	Error string `json:"error,omitempty"`
}

// Report is the state of placement as one host sees it.
type Report struct {
	Revision uint64 `json:"revision"`
	Author   string `json:"author,omitempty"`
	// Wanted is the document in force, Fault what is wrong with it.
	Wanted json.RawMessage `json:"wanted,omitempty"`
	Fault  string          `json:"fault,omitempty"`
	// Holder has the lease as far as this host has read.
	Holder  string        `json:"holder,omitempty"`
	Fencing record.Offset `json:"fencing,omitempty"`
	// Held reports whether this host has the lease now.
	Held bool `json:"held"`
	// HeldBack says why the latest planned order was not sent.
	HeldBack string `json:"heldBack,omitempty"`
	// Plans and Orders are this host's own, the latest last.
	Plans  []placement.Plan `json:"plans,omitempty"`
	Orders []OrderReport    `json:"orders,omitempty"`
}

// Show returns the Report as JSON.
func (p *Placement) Show(context.Context) ([]byte, error) {
	published := p.dependencies.Configuration.State().Placement()
	report := Report{
		Revision: published.Revision,
		Author:   published.Author,
	}
	if published.Revision > 0 {
		report.Wanted = json.RawMessage(published.Document)
	}
	if _, err := p.wanted(); err != nil {
		report.Fault = err.Error()
	}
	p.mu.Lock()
	if p.machine != nil {
		report.Holder, report.Fencing = p.machine.Holder()
		report.Held = p.machine.Valid(p.instant())
	}
	report.HeldBack = p.heldBack
	report.Plans = p.plans
	report.Orders = append(report.Orders, p.recent...)
	p.mu.Unlock()
	return encode(report)
}

// Plan observes the engines and returns what would be done next in each pool
// and why, as JSON. It changes nothing and needs no lease; the demand is that
// of the moment.
func (p *Placement) Plan(ctx context.Context) ([]byte, error) {
	wanted, err := p.wanted()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	plans := make([]placement.Plan, 0, len(wanted.Models))
	for _, model := range wanted.Models {
		store, _ := p.readStore(ctx, model)
		seen := p.observe(ctx, model.Pool)
		now := p.dependencies.Timers.Now()
		demand := placement.NewDemand(p.dependencies.Settings.Demand, countStanding(seen.engines))
		plans = append(plans, placement.Next(placement.Situation{
			Model:   model,
			Engines: seen.engines,
			Target:  demand.Observe(now, seen.busy, seen.slots, model),
			Store:   store,
			Loads:   &placement.Loads{},
			Now:     now,
		}))
	}
	return encode(plans)
}

func encode(value any) ([]byte, error) {
	data, err := json.MarshalIndent(value, "", "  ")
	return data, trace.Wrap(err)
}
