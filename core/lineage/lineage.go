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
// base version. A store that has come back from an older copy of itself may have lost records, so
// that for the lifetime of a stream a missing one tells nothing.
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
//	before := tracker.End()
//	... read the store, which shows no record ...
//	version, err := tracker.Unrecorded(now, service, before, end)
//	if version, ok := tracker.ProposedBase(now, service); ok {
//		... write the base, and SetBase ...
//	}
//
// Neither a Tracker nor an Outbox reads a clock or is safe for concurrent use.
package lineage

import (
	"time"

	"cactuswell/core/replica"
	"cactuswell/set"
)

// Tracker holds what a host knows of the versions of services.
type Tracker struct {
	services map[string]*service
	// end is the latest end of the records that this host has seen, and eraSince the time since
	// which the store has lost none, or zero if it never has. eraSince is set if isEraKnown is.
	end        replica.Position
	eraSince   time.Time
	isEraKnown bool
}

// VersionUnknownError reports that the software version of a stream is not known.
type VersionUnknownError struct {
	Service string
	Reason  UnknownReason
}

// UnknownReason is why a missing record does not tell the version of a stream.
type UnknownReason string

// The reasons.
const (
	// UnknownBase means that the base version of the service is not known.
	UnknownBase UnknownReason = "the base version is not known"
	// UnknownEra means that the store may have lost records that streams still need.
	UnknownEra UnknownReason = "the store may have lost its record"
	// UnknownReturn means that no endpoint had the base version a short while ago, so that streams
	// of other versions may have begun without a record.
	UnknownReturn UnknownReason = "the base version has endpoints again"
	// UnknownEnd means that the read does not show records that the store has taken before.
	UnknownEnd UnknownReason = "the read of the store is out of date"
)

// Error returns a message with the service and the reason.
func (e *VersionUnknownError) Error() string {
	return "the software version of a stream of " + e.Service + " is not known: " + string(e.Reason)
}

type service struct {
	lifetime time.Duration
	base     string
	hasBase  bool
	// present holds the versions that endpoints have, as of the last time that there was one.
	present set.Set[string]
	// baseReturnedAt is when an endpoint had the base version again after none had had it, or
	// zero. isBaseUnread is set until the base is read after that.
	baseReturnedAt time.Time
	isBaseUnread   bool
	// only is the version of all endpoints since onlySince, if isUniform is set.
	only      string
	onlySince time.Time
	isUniform bool
}

// New returns a Tracker without services.
func New() *Tracker {
	return &Tracker{
		services: make(map[string]*service),
		end:      replica.Unknown(),
	}
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

// Observe records the versions of a service's endpoints. It reports whether an endpoint has the
// base version again after none has had it, so that the base is to be read again.
func (t *Tracker) Observe(now time.Time, name string, versions set.Set[string]) (hasReturned bool) {
	s := t.service(name)
	if versions.Len() == 0 {
		// Endpoints that are away for a moment change nothing.
		return false
	}
	hasReturned = s.hasBase && s.present.Len() > 0 && !s.present.Has(s.base) && versions.Has(s.base)
	if hasReturned {
		s.baseReturnedAt = now
		s.isBaseUnread = true
	}
	s.present = versions
	only, isUniform := versions.Values()[0], versions.Len() == 1
	if !isUniform || !s.isUniform || only != s.only {
		s.only, s.isUniform, s.onlySince = only, isUniform, now
	}
	return hasReturned
}

// SetBase sets the base version of a service, as a read of the store shows it. It is also called
// with the known base if the store has none.
func (t *Tracker) SetBase(name, version string) {
	s := t.service(name)
	if !s.hasBase || s.base != version {
		s.baseReturnedAt = time.Time{}
	}
	s.base, s.hasBase, s.isBaseUnread = version, true, false
}

// Base returns the base version of a service. It reports false if it is not known.
func (t *Tracker) Base(name string) (string, bool) {
	s, ok := t.services[name]
	if !ok {
		return "", false
	}
	return s.base, s.hasBase
}

// MustRecord reports whether a stream that begins at a version is to be recorded. After a time
// without endpoints of the base version that includes those that begin there: other hosts may
// have changed the base meanwhile.
func (t *Tracker) MustRecord(now time.Time, name, version string) bool {
	base, ok := t.Base(name)
	return !ok || base != version || t.services[name].hasReturned(now)
}

// IsBaseInDoubt reports whether other hosts may have changed the base version since this host has
// read it: no endpoint has it, or had it until lately.
func (t *Tracker) IsBaseInDoubt(now time.Time, name string) bool {
	s, ok := t.services[name]
	return !ok || !s.hasBase || !s.present.Has(s.base) || s.hasReturned(now)
}

// hasReturned reports whether streams may be left that began while no endpoint had the base
// version, or the base has not been read since.
func (s *service) hasReturned(now time.Time) bool {
	return s.isBaseUnread || !s.baseReturnedAt.IsZero() && now.Sub(s.baseReturnedAt) < s.lifetime
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

// ObserveEnd records the end of the records as of a read of the store.
func (t *Tracker) ObserveEnd(now time.Time, end replica.Position) {
	if t.end.After(end) {
		return
	}
	if t.isEraKnown && end.Era > t.end.Era {
		t.eraSince = now
	}
	t.end = end
}

// End returns the latest end of the records that this host has seen.
func (t *Tracker) End() replica.Position { return t.end }

// Era returns the store's era as of the last read.
func (t *Tracker) Era() int64 { return t.end.Era }

// SetEra records since when the store has had an era, as the store itself tells; the zero time
// means from its beginning. If the era is not that of the last read, the store has lost records
// since, and may have done so just now.
func (t *Tracker) SetEra(now time.Time, era int64, since time.Time) {
	isCurrent := era == t.end.Era
	switch {
	case t.isEraKnown && (!isCurrent || t.eraSince.Before(since)):
		return
	case !isCurrent:
		since = now
	}
	t.eraSince, t.isEraKnown = since, true
}

// EraSince returns since when the store has lost no records, or the zero time if it never has. It
// reports false if that is not known.
func (t *Tracker) EraSince() (time.Time, bool) { return t.eraSince, t.isEraKnown }

// Unrecorded returns the version of a stream of which a read of the store shows no record. before
// is the End when the read began, and end that which the read shows. The error is a
// *VersionUnknownError.
func (t *Tracker) Unrecorded(now time.Time, name string, before, end replica.Position) (string, error) {
	t.ObserveEnd(now, end)
	base, hasBase := t.Base(name)
	switch {
	case !hasBase:
		return "", &VersionUnknownError{
			Service: name,
			Reason:  UnknownBase,
		}
	case before.After(end):
		return "", &VersionUnknownError{
			Service: name,
			Reason:  UnknownEnd,
		}
	case t.services[name].hasReturned(now):
		return "", &VersionUnknownError{
			Service: name,
			Reason:  UnknownReturn,
		}
	case !t.isEraKnown, !t.eraSince.IsZero() && now.Sub(t.eraSince) < t.Lifetime(name):
		return "", &VersionUnknownError{
			Service: name,
			Reason:  UnknownEra,
		}
	}
	return base, nil
}
