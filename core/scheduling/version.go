package scheduling

import "slices"

// bindVersion binds a resumable stream that has begun to the software version of its endpoint.
// What two versions write does not fit together, and endpoints do not check it.
func bindVersion(c *call, e *endpoint) {
	if c.isBoundToVersion || !c.spec.Route.Resumable {
		return
	}
	c.version = e.entry.Version
	c.isBoundToVersion = true
}

// isCompatible reports whether an endpoint may run the call, as far as its software version
// matters.
func (c *call) isCompatible(e *endpoint) bool {
	switch {
	case c.isBoundToVersion:
		return e.entry.Version == c.version
	case c.beginsAtBase:
		return e.entry.Version == c.pool.base
	}
	return true
}

// requiresRecord reports whether a stream that begins at a version without a record would be taken
// for one of another version that has endpoints, and go on there.
func (s *Scheduler) requiresRecord(c *call, version string) bool {
	p := c.pool
	switch {
	case c.isBoundToVersion, !c.spec.Route.Resumable:
		return false
	case !p.hasBase:
		return slices.ContainsFunc(p.endpoints, func(e *endpoint) bool { return e.entry.Version != version })
	}
	return p.base != version && s.countVersion(p, p.base) > 0
}

// restrictVersions lets a stream begin only at the base version while its version cannot be
// recorded, unless that version has no endpoint.
func (s *Scheduler) restrictVersions(c *call) {
	p := c.pool
	c.beginsAtBase = s.recordsOverdue && !c.isBoundToVersion && c.spec.Route.Resumable && p.hasBase && s.countVersion(p, p.base) > 0
}

func (s *Scheduler) handleRecordsChanged(event RecordsChanged) {
	s.recordsOverdue = event.IsOverdue
	s.bases = event.Bases
	for _, p := range s.poolsInOrder {
		p.base, p.hasBase = s.bases[p.name]
	}
	for _, p := range s.poolsInOrder {
		s.dispatchWaiting(p)
	}
}

// countUsableFor returns the number of endpoints that accept new work and may run the call.
func (s *Scheduler) countUsableFor(c *call) int {
	s.restrictVersions(c)
	switch {
	case c.isBoundToVersion:
		return s.countVersion(c.pool, c.version)
	case c.beginsAtBase:
		return s.countVersion(c.pool, c.pool.base)
	}
	return s.countUsable(c.pool)
}

// countVersion returns the number of endpoints of a software version that accept new work.
func (s *Scheduler) countVersion(p *pool, version string) int {
	usable := 0
	for _, e := range p.endpoints {
		if !e.leaving && e.entry.Version == version {
			usable++
		}
	}
	return usable
}

// hasVersion reports whether a call that waits can still get an endpoint of its version.
func (s *Scheduler) hasVersion(c *call) bool {
	return !c.isBoundToVersion || s.countVersion(c.pool, c.version) > 0
}
