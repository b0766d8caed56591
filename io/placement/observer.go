package placement

import (
	"context"
	"sync"
	"time"

	core "cactuswell/core/configuration"
	"cactuswell/core/endpoint"
	"cactuswell/core/placement"
	"cactuswell/core/record"
)

// maxReads bounds the engines that are read at a time.
const maxReads = 64

// observation is one look at the engines of a pool.
type observation struct {
	engines []placement.Engine
	bases   map[endpoint.Key]string
	busy    int
	slots   int
}

// observe reads the engines of a pool.
func (p *Placement) observe(ctx context.Context, pool string) observation {
	survey := p.newSurvey(pool)
	drains := p.drains()
	var group sync.WaitGroup
	for range min(maxReads, len(survey.known)) {
		group.Add(1)
		go survey.run(ctx, &group)
	}
	group.Wait()
	seen := observation{
		engines: survey.engines,
		bases:   make(map[endpoint.Key]string),
	}
	for i := range seen.engines {
		e := &seen.engines[i]
		seen.bases[e.Key] = survey.known[i].BaseURL
		p.applyDrain(ctx, e, drains, survey.reportedAt[i])
		if e.Live() {
			seen.busy += e.Busy
			seen.slots = max(seen.slots, e.Slots)
		}
	}
	return seen
}

// drains returns the drains in the configuration by what they drain.
func (p *Placement) drains() map[endpoint.Key]core.Drain {
	drains := make(map[endpoint.Key]core.Drain)
	for _, drain := range p.dependencies.Configuration.State().Drains() {
		drains[endpoint.Key{
			Name:        drain.Name,
			Incarnation: drain.Incarnation,
		}] = drain
	}
	return drains
}

// readEngine reads one engine and returns when its load report was true.
func (p *Placement) readEngine(ctx context.Context, one Endpoint) (placement.Engine, time.Time) {
	ctx, cancel := context.WithTimeout(ctx, p.dependencies.Settings.CallTimeout)
	defer cancel()
	e := placement.Engine{
		Key:           one.Descriptor.Key,
		Zone:          one.Descriptor.Zone,
		ChecksFencing: one.Descriptor.ChecksFencing,
		Leaving:       one.Leaving,
	}
	asked := p.dependencies.Timers.Now()
	state, err := p.dependencies.Engines.State(ctx, one.BaseURL)
	if err != nil || state.Incarnation != e.Key.Incarnation {
		return e, time.Time{}
	}
	report, err := p.dependencies.Engines.Load(ctx, one.BaseURL)
	if err != nil || report.Incarnation != e.Key.Incarnation {
		return e, time.Time{}
	}
	e.Reachable = true
	e.Leaving = e.Leaving || report.Leaving
	e.Version = state.Version
	e.Loading = state.Loading
	e.Adapters = state.Adapters
	e.Role = state.Role
	e.Busy = report.Running + report.Queued
	// The report does not tell the tiers apart.
	e.TopTier = e.Busy
	e.Slots = report.Slots
	return e, asked.Add(-time.Duration(report.AgeMs) * time.Millisecond)
}

// applyDrain notes whose drain an engine is under and whether it has settled.
func (p *Placement) applyDrain(
	ctx context.Context, e *placement.Engine, drains map[endpoint.Key]core.Drain, reportedAt time.Time,
) {
	drain, drained := drains[e.Key]
	switch {
	case !drained:
		p.forgetInForce(e.Key)
		return
	case drain.Author != core.AuthorPlacement:
		e.Leaving = true
		return
	}
	e.Drained = true
	since := p.inForceSince(ctx, e.Key, drain)
	e.Settled = !since.IsZero() && !reportedAt.Before(since.Add(p.dependencies.Settings.Settle))
}

// drainInForce says since when one drain is known to be in force on every live
// host.
type drainInForce struct {
	// offset is the drain's own, as an engine may be drained more than once.
	offset record.Offset
	since  time.Time
}

// inForceSince returns since when a drain is known to be in force on every live
// host, or zero.
func (p *Placement) inForceSince(ctx context.Context, key endpoint.Key, drain core.Drain) time.Time {
	p.mu.Lock()
	known, ok := p.inForce[key]
	p.mu.Unlock()
	if ok && known.offset == drain.Offset {
		return known.since
	}
	ctx, cancel := context.WithTimeout(ctx, p.dependencies.Settings.CallTimeout)
	defer cancel()
	result := p.dependencies.Configuration.InForce(ctx, drain.Offset)
	if len(result.Lagging) > 0 {
		return time.Time{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.dependencies.Timers.Now()
	p.inForce[key] = drainInForce{
		offset: drain.Offset,
		since:  now,
	}
	return now
}

func (p *Placement) forgetInForce(key endpoint.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inForce, key)
}
