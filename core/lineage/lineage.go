// Package lineage tracks the software versions of the endpoints of services, so that a stream
// that is taken up again goes on at the version that began it, whichever hosts are left.
//
// A service has a base version, which the fleet's store keeps. Only streams that begin at another
// version are recorded one by one: a stream without a record has the base version. The base
// changes once all endpoints have had another version for longer than a stream lasts, so that
// no stream is left that began at the old one without a record.
//
// That a record is missing tells the version only because no caller gets an event of a stream
// whose record the store has not acknowledged: while it acknowledges none, streams begin at the
// base version.
//
// # Usage
//
//	tracker := lineage.New()
//	tracker.SetLifetime(service, lifetime)
//	tracker.Observe(now, service, versions)
//	if tracker.MustRecord(service, version) {
//		entry := outbox.Add(now, key, version, tracker.Lifetime(service), nil)
//		... write it before the caller gets the first event, and see entry.IsKept() ...
//	}
//	if version, ok := tracker.ProposedBase(now, service); ok {
//		... write the base, and SetBase ...
//	}
//
// Neither a Tracker nor an Outbox reads a clock or is safe for concurrent use.
package lineage

import (
	"time"

	"cactuswell/set"
)

// Tracker holds what a host knows of the versions of services.
type Tracker struct {
	services map[string]*service
}

type service struct {
	lifetime time.Duration
	base     string
	hasBase  bool
	// only is the version of all endpoints since onlySince, if isUniform is set.
	only      string
	onlySince time.Time
	isUniform bool
}

// New returns a Tracker without services.
func New() *Tracker {
	return &Tracker{services: make(map[string]*service)}
}

func (t *Tracker) service(name string) *service {
	s, ok := t.services[name]
	if !ok {
		s = &service{}
		t.services[name] = s
	}
	return s
}

// SetLifetime sets the longest time from the beginning of a stream of a service until its caller
// takes it up again for the last time. Services without one have no streams to track.
func (t *Tracker) SetLifetime(name string, lifetime time.Duration) {
	t.service(name).lifetime = lifetime
}

// Lifetime returns the longest time for which a stream of a service may be taken up again.
func (t *Tracker) Lifetime(name string) time.Duration { return t.service(name).lifetime }

// Observe records the versions of a service's endpoints.
func (t *Tracker) Observe(now time.Time, name string, versions set.Set[string]) {
	s := t.service(name)
	if versions.Len() == 0 {
		// Endpoints that are away for a moment change nothing.
		return
	}
	only, isUniform := versions.Values()[0], versions.Len() == 1
	if isUniform && s.isUniform && only == s.only {
		return
	}
	s.only, s.isUniform, s.onlySince = only, isUniform, now
}

// SetBase sets the base version of a service, as the store has it.
func (t *Tracker) SetBase(name, version string) {
	s := t.service(name)
	s.base, s.hasBase = version, true
}

// Base returns the base version of a service. It reports false if it is not known.
func (t *Tracker) Base(name string) (string, bool) {
	s, ok := t.services[name]
	if !ok {
		return "", false
	}
	return s.base, s.hasBase
}

// MustRecord reports whether a stream that begins at a version is to be recorded.
func (t *Tracker) MustRecord(name, version string) bool {
	base, ok := t.Base(name)
	return !ok || base != version
}

// IsSettled reports whether all streams that callers may take up again have the base version.
func (t *Tracker) IsSettled(now time.Time, name string) bool {
	s, ok := t.services[name]
	return ok && s.hasBase && s.isUniform && s.only == s.base && s.hasLasted(now)
}

func (s *service) hasLasted(now time.Time) bool {
	return now.Sub(s.onlySince) >= s.lifetime
}

// ProposedBase returns the version that is to become the base of a service. It reports false if
// the base is to stay. The first base of a service waits for nothing: without one, streams at
// all versions are recorded.
func (t *Tracker) ProposedBase(now time.Time, name string) (string, bool) {
	s, ok := t.services[name]
	switch {
	case !ok, s.lifetime == 0, !s.isUniform:
		return "", false
	case !s.hasBase:
		return s.only, true
	case s.base == s.only, !s.hasLasted(now):
		return "", false
	}
	return s.only, true
}

// Services returns the names of the services that have streams to track.
func (t *Tracker) Services() []string {
	var names []string
	for name, s := range t.services {
		if s.lifetime > 0 {
			names = append(names, name)
		}
	}
	return names
}
