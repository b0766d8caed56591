// Package placement decides what the model engines should hold: it compares the
// wanted document of the operators with the engines as they were observed and
// plans one safe move at a time.
//
// # Usage
//
//	wanted, err := placement.Parse(document)
//	plan := placement.Next(placement.Situation{
//		Model:   wanted.Models[0],
//		Engines: engines,
//		Target:  demand.Observe(now, busy, slots, wanted.Models[0]),
//		Store:   store,
//		Loads:   loads,
//		Now:     now,
//	})
//
// A plan is a function of the situation only, so that a new holder goes on where
// the last one stopped. The moves of an engine are: drain, load once it is
// empty, read back, take in. No move leaves fewer than the least copies live,
// takes the last copies of two zones, or takes the top tier's headroom.
package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Situation is what a plan is made from.
type Situation struct {
	Model   Model
	Engines []Engine
	// Target is the number of copies that the demand asks for.
	Target int
	Store  Store
	Loads  *Loads
	Now    time.Time
}

type planner struct {
	Situation
	plan    Plan
	engines []Engine
	// returning counts the engines that may serve again in a moment.
	returning int
}

// Next returns the pool's next move, if there is a safe one, and why nothing
// else is done.
func Next(situation Situation) Plan {
	p := &planner{
		Situation: situation,
		engines:   slices.Clone(situation.Engines),
	}
	p.plan = Plan{
		Pool:   situation.Model.Pool,
		Target: min(max(situation.Target, situation.Model.LeastCopies), situation.Model.MostCopies),
	}
	slices.SortFunc(p.engines, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Busy, b.Busy), cmp.Compare(a.Key.Name, b.Key.Name))
	})
	p.count()
	p.decide()
	return p.plan
}

func (p *planner) count() {
	for _, e := range p.engines {
		if e.mayReturn() {
			p.returning++
			p.because(e.Key.Name, "it did not answer, and is not taken for gone yet")
		}
		if !e.Live() {
			continue
		}
		p.plan.Live++
		if !e.Holds(p.Model) {
			p.plan.Outdated++
		}
	}
}

// decide tries the moves in the order of their need.
func (p *planner) decide() {
	for _, try := range []func() bool{p.takeIn, p.load, p.drainEmpty, p.replace, p.shrink} {
		if try() {
			return
		}
	}
	switch {
	case len(p.plan.Reasons) > 0:
	case p.plan.Live < p.plan.Target:
		p.because("", fmt.Sprintf("%d copies are wanted, and no engine is free to be one", p.plan.Target))
	default:
		p.because("", "all is as wanted")
	}
}

func (p *planner) urgent() bool {
	return p.plan.Live+p.returning < p.Model.LeastCopies
}

// wantsMore reports whether another copy should be live, for the demand or so
// that an outdated one can go.
func (p *planner) wantsMore() bool {
	expected := p.plan.Live + p.returning
	return expected < p.plan.Target || p.plan.Outdated > 0 && expected < p.Model.MostCopies
}

func (p *planner) takeIn() bool {
	for _, e := range p.engines {
		if !e.usable() || !e.Drained || !e.Holds(p.Model) {
			continue
		}
		if p.wantsMore() {
			return p.move(ActionTakeIn, e, "it holds what is wanted, as was read back")
		}
		p.because(e.Key.Name, "kept in reserve: enough copies are live")
	}
	if !p.urgent() {
		return false
	}
	for _, e := range p.engines {
		if e.usable() && e.Drained && e.Version != "" && e.Loading == "" {
			return p.move(ActionTakeIn, e, "fewer than the least copies are live, and it can serve at once")
		}
	}
	return false
}

func (p *planner) load() bool {
	if !p.wantsMore() {
		return false
	}
	loading := p.loading()
	if loading > 0 && !p.urgent() {
		p.because("", "one load at a time, since the least copies are live")
		return false
	}
	for _, e := range p.engines {
		if !e.usable() || !e.Drained || e.Loading != "" || e.Holds(p.Model) {
			continue
		}
		switch {
		case e.Busy > 0 || e.TopTier > 0:
			p.because(e.Key.Name, fmt.Sprintf("drained, with %d requests left", e.Busy))
		case !e.Settled:
			p.because(e.Key.Name, "its drain is not in force on every host yet")
		case !p.storeReady(e.Key.Name, p.urgent()):
		default:
			return p.move(ActionLoad, e, fmt.Sprintf("wanted is version %s", p.Model.Version))
		}
	}
	return false
}

// drainEmpty drains an engine that holds nothing, so that it can be loaded.
func (p *planner) drainEmpty() bool {
	for _, e := range p.engines {
		if e.usable() && !e.Drained && e.Version == "" && e.Loading == "" {
			return p.move(ActionDrain, e, "it holds nothing and must not be routed to")
		}
	}
	return false
}

// replace drains an outdated copy for a reload.
func (p *planner) replace() bool {
	if p.plan.Outdated == 0 {
		return false
	}
	if p.moving() {
		p.because("", "one copy at a time is changed")
		return false
	}
	if !p.storeReady("", false) {
		return false
	}
	return p.drainOne(func(e Engine) bool { return !e.Holds(p.Model) },
		fmt.Sprintf("it does not hold version %s with the wanted adapters and role", p.Model.Version))
}

// shrink drains a copy that the demand no longer asks for.
func (p *planner) shrink() bool {
	if p.plan.Outdated > 0 || p.plan.Live <= p.plan.Target {
		return false
	}
	return p.drainOne(func(Engine) bool { return true },
		fmt.Sprintf("%d copies are live and %d are wanted", p.plan.Live, p.plan.Target))
}

// drainOne drains the allowed candidate in the zone with the most copies.
func (p *planner) drainOne(candidate func(Engine) bool, reason string) bool {
	var best *Engine
	for i := range p.engines {
		e := &p.engines[i]
		if !e.Live() || !candidate(*e) {
			continue
		}
		if refused := p.refusesDrain(*e); refused != "" {
			p.because(e.Key.Name, refused)
			continue
		}
		if best == nil || p.liveIn(e.Zone) > p.liveIn(best.Zone) {
			best = e
		}
	}
	if best == nil {
		return false
	}
	return p.move(ActionDrain, *best, reason)
}

// refusesDrain says why a live engine must not be drained, or returns nothing.
func (p *planner) refusesDrain(e Engine) string {
	if p.plan.Live-1 < p.Model.LeastCopies {
		return fmt.Sprintf("%d copies are live and %d is the least", p.plan.Live, p.Model.LeastCopies)
	}
	if slices.Contains(p.Model.Zones, e.Zone) && p.liveIn(e.Zone) == 1 && p.emptyZones() > 0 {
		return fmt.Sprintf("it is the last copy in zone %s, and another zone has none", e.Zone)
	}
	free := 0
	for _, other := range p.engines {
		if !other.Live() {
			continue
		}
		if other.Key != e.Key {
			free += other.Slots
		}
		free -= other.TopTier
	}
	if free < p.Model.HeadroomSlots {
		return fmt.Sprintf("%d slots would be free of the top tier's work and %d is the least", free, p.Model.HeadroomSlots)
	}
	return ""
}

func (p *planner) liveIn(zone string) int {
	live := 0
	for _, e := range p.engines {
		if e.Zone == zone && e.Live() {
			live++
		}
	}
	return live
}

// emptyZones counts the zones to spread over that have no live copy.
func (p *planner) emptyZones() int {
	empty := 0
	for _, zone := range p.Model.Zones {
		if p.liveIn(zone) == 0 {
			empty++
		}
	}
	return empty
}

// moving reports whether an engine is between its drain and its taking in.
func (p *planner) moving() bool {
	if p.loading() > 0 {
		return true
	}
	for _, e := range p.engines {
		if e.usable() && e.Drained && !e.Holds(p.Model) && p.wantsMore() {
			return true
		}
	}
	return false
}

func (p *planner) loading() int {
	loading := 0
	for _, e := range p.engines {
		if e.usable() && e.Loading != "" {
			loading++
			p.because(e.Key.Name, "it is loading version "+e.Loading)
		}
	}
	return loading
}

func (p *planner) storeReady(name string, urgent bool) bool {
	switch {
	case !p.Store.Available:
		p.because(name, "the weight store does not answer, so nothing is drained or loaded")
		return false
	case !p.Loads.MayStart(p.Now, urgent):
		p.because(name, "the weight store's rate is taken by earlier or more urgent loads")
		return false
	}
	return true
}

func (p *planner) move(action Action, e Engine, reason string) bool {
	p.plan.Move = &Move{
		Action:   action,
		Endpoint: e.Key,
		Urgent:   p.urgent(),
		Reason:   reason,
	}
	return true
}

// because notes a reason once.
func (p *planner) because(name, text string) {
	reason := Reason{
		Endpoint: name,
		Text:     text,
	}
	if !slices.Contains(p.plan.Reasons, reason) {
		p.plan.Reasons = append(p.plan.Reasons, reason)
	}
}
