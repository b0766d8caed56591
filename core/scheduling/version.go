package scheduling

import (
	"slices"
	"time"
)

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
	return !slices.Contains(c.unsettled, e.entry.Version)
}

// knownVersion is a software version that endpoints of a pool have.
type knownVersion struct {
	endpoints int
	// seenAt is when the first of them was known.
	seenAt time.Time
}

func (p *pool) addVersion(now time.Time, version string) {
	known, ok := p.versions[version]
	if !ok {
		known.seenAt = now
	}
	known.endpoints++
	p.versions[version] = known
}

func (p *pool) removeVersion(version string) {
	known := p.versions[version]
	known.endpoints--
	if known.endpoints <= 0 {
		delete(p.versions, version)
		return
	}
	p.versions[version] = known
}

// settlingVersions returns the versions other than the base that some hosts may not know of yet, if the base
// has endpoints. A host that does not know of the version would let a stream that began there go on at the
// base.
func (s *Scheduler) settlingVersions(now time.Time, p *pool) []string {
	if len(p.versions) < 2 || !p.hasBase || s.countVersion(p, p.base) == 0 {
		return nil
	}
	var versions []string
	for version, known := range p.versions {
		if version != p.base && now.Sub(known.seenAt) < s.settings.VersionSettleTime {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions
}

// UnsettledVersions returns the number of versions, of all services, at which no resumable stream begins yet.
func (s *Scheduler) UnsettledVersions(now time.Time) int {
	count := 0
	for _, p := range s.poolsInOrder {
		count += len(s.settlingVersions(now, p))
	}
	return count
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
// recorded, and not at a version that some hosts may not know of, unless the base version has no
// endpoint.
func (s *Scheduler) restrictVersions(c *call) {
	p := c.pool
	c.beginsAtBase, c.unsettled = false, nil
	if c.isBoundToVersion || !c.spec.Route.Resumable {
		return
	}
	c.beginsAtBase = s.recordsOverdue && p.hasBase && s.countVersion(p, p.base) > 0
	c.unsettled = s.settlingVersions(s.now, p)
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
