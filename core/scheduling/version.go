package scheduling

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
	return !c.isBoundToVersion || e.entry.Version == c.version
}

// countUsableFor returns the number of endpoints that accept new work and may run the call.
func (s *Scheduler) countUsableFor(c *call) int {
	if !c.isBoundToVersion {
		return s.countUsable(c.pool)
	}
	return s.countVersion(c.pool, c.version)
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
