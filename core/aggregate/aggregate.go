// Package aggregate sums up what the hosts of one availability zone have given to
// which endpoint, so that a large fleet needs one message a zone, and not one a
// host.
//
// # Usage
//
//	zone := aggregate.New()
//	zone.Report(now, "host-1", full, work, placed)
//	work, placed := zone.Take(now, full)
//	zone.Expire(now, longest)
//
// A Zone reads no clock and is not safe for concurrent use.
package aggregate

import (
	"slices"
	"time"

	"cactuswell/core/scheduling"
)

// maxPlaced bounds the placements that wait to be taken.
const maxPlaced = 200

// Zone is the work of one zone's hosts.
type Zone struct {
	members map[string]*member
	sums    map[uint64]*sum
	dirty   bool
	placed  []scheduling.Placement
}

// member is what one host told last.
type member struct {
	work    map[uint64]scheduling.PeerLoad
	heardAt time.Time
}

// sum is the work of all members at one endpoint.
type sum struct {
	work  scheduling.PeerLoad
	at    time.Time
	dirty bool
}

// New returns a zone without members.
func New() *Zone {
	return &Zone{
		members: make(map[string]*member),
		sums:    make(map[uint64]*sum),
	}
}

// RecordReport takes what a host tells of itself: all of its work, or what changed.
func (z *Zone) RecordReport(now time.Time, host string, full bool, work []scheduling.PeerLoad, placed []scheduling.Placement) {
	m, ok := z.members[host]
	if !ok {
		m = &member{work: make(map[uint64]scheduling.PeerLoad)}
		z.members[host] = m
	}
	m.heardAt = now
	listed := make(map[uint64]bool, len(work))
	for _, w := range work {
		listed[w.Endpoint] = true
		z.replace(now, m, w)
	}
	if full {
		for endpoint := range m.work {
			if !listed[endpoint] {
				z.replace(now, m, scheduling.PeerLoad{Endpoint: endpoint})
			}
		}
	}
	for _, p := range placed {
		if len(z.placed) < maxPlaced {
			z.placed = append(z.placed, p)
			z.dirty = true
		}
	}
}

// replace puts a member's new work at an endpoint in place of the old one.
func (z *Zone) replace(now time.Time, m *member, w scheduling.PeerLoad) {
	before := m.work[w.Endpoint]
	if before == w {
		return
	}
	s, ok := z.sums[w.Endpoint]
	if !ok {
		s = &sum{work: scheduling.PeerLoad{Endpoint: w.Endpoint}}
		z.sums[w.Endpoint] = s
	}
	// What was to be read before has become less since.
	s.work.PrefillBacklog = max(s.work.PrefillBacklog-now.Sub(s.at), 0)
	s.work.PrefillBacklog = max(s.work.PrefillBacklog+w.PrefillBacklog-before.PrefillBacklog, 0)
	s.work.Running += w.Running - before.Running
	s.work.LatencySensitive += w.LatencySensitive - before.LatencySensitive
	s.at = now
	s.dirty = true
	z.dirty = true
	if w.Running == 0 && w.PrefillBacklog == 0 {
		delete(m.work, w.Endpoint)
		return
	}
	m.work[w.Endpoint] = w
}

// HasChanges reports whether there is news since Take was called.
func (z *Zone) HasChanges() bool { return z.dirty }

// Hosts returns the number of members.
func (z *Zone) Hosts() int { return len(z.members) }

// TakeTotals returns the sums: all that are not zero, or those that changed since the
// last call. It also returns the prompts placed since then.
func (z *Zone) TakeTotals(now time.Time, full bool) ([]scheduling.PeerLoad, []scheduling.Placement) {
	work := make([]scheduling.PeerLoad, 0, len(z.sums))
	for endpoint, s := range z.sums {
		idle := s.work.Running == 0
		if s.dirty || full && !idle {
			s.work.PrefillBacklog = max(s.work.PrefillBacklog-now.Sub(s.at), 0)
			s.at = now
			s.dirty = false
			work = append(work, s.work)
		}
		if idle {
			delete(z.sums, endpoint)
		}
	}
	slices.SortFunc(work, func(a, b scheduling.PeerLoad) int {
		if a.Endpoint < b.Endpoint {
			return -1
		}
		return 1
	})
	placed := z.placed
	z.placed = nil
	z.dirty = false
	return work, placed
}

// Expire forgets the members that were not heard for the given time.
func (z *Zone) Expire(now time.Time, longest time.Duration) {
	for host, m := range z.members {
		if now.Sub(m.heardAt) <= longest {
			continue
		}
		for _, w := range m.work {
			z.replace(now, m, scheduling.PeerLoad{Endpoint: w.Endpoint})
		}
		delete(z.members, host)
	}
}
