package scheduling

import "time"

// maxQuiet bounds how long an endpoint is left alone because it asked for it.
const maxQuiet = time.Minute

// isQuiet reports whether the endpoint has asked not to be sent calls now.
func (e *endpoint) isQuiet(now time.Time) bool { return now.Before(e.quietUntil) }

// handleLeavingAnswered records that an endpoint told this host that it is leaving.
// The endpoint gets no new calls from now on, whether or not its entry says the same.
func (s *Scheduler) handleLeavingAnswered(key Key) {
	e := s.byKey[key]
	if e == nil || e.toldLeaving {
		return
	}
	e.toldLeaving = true
	s.recordNotice(e)
	s.markLeaving(e)
}

// recordQuiet records that an endpoint asked this host not to send it calls. It serves
// endpoints that shed load: each further call would cost them work and be declined.
func (s *Scheduler) recordQuiet(e *endpoint, quietFor time.Duration) {
	if quietFor <= 0 {
		return
	}
	until := s.now.Add(min(quietFor, maxQuiet))
	if !until.After(e.quietUntil) {
		return
	}
	e.quietUntil = until
	s.recordNotice(e)
}

// recordNotice makes the next reports to other hosts list what the endpoint has told.
func (s *Scheduler) recordNotice(e *endpoint) {
	e.noticesLeft = ReportsPerChange
	s.dirty = true
}

func (s *Scheduler) markLeaving(e *endpoint) {
	e.leaving = true
	p := s.ensurePool(e.entry.Service)
	p.partitions.rank(p.endpoints)
}

// applyNotices applies what endpoints have told another host. An endpoint that asked
// that host for quiet is avoided by this one as well while others have capacity.
func (s *Scheduler) applyNotices(notices []Notice) {
	for _, notice := range notices {
		e := s.byHash[notice.Endpoint]
		if e == nil {
			continue
		}
		if notice.Leaving && !e.leaving {
			s.markLeaving(e)
		}
		if until := s.now.Add(min(notice.QuietFor, maxQuiet)); notice.QuietFor > 0 && until.After(e.fullUntil) {
			e.fullUntil = until
		}
	}
}

// TakeNotices returns what endpoints have told this host: all that still holds, or what
// is new.
func (s *Scheduler) TakeNotices(now time.Time, complete bool) []Notice {
	var notices []Notice
	for _, e := range s.endpoints {
		stillHolds := e.toldLeaving || e.isQuiet(now)
		if e.noticesLeft == 0 && (!complete || !stillHolds) {
			continue
		}
		e.noticesLeft = max(e.noticesLeft-1, 0)
		notices = append(notices, Notice{
			Endpoint: e.keyHash,
			Leaving:  e.toldLeaving,
			QuietFor: max(e.quietUntil.Sub(now), 0),
		})
	}
	return notices
}

// KeyOf returns the key of an endpoint by its hash.
func (s *Scheduler) KeyOf(endpoint uint64) (Key, bool) {
	e := s.byHash[endpoint]
	if e == nil {
		return Key{}, false
	}
	return e.key, true
}

// quietLeft returns the time until the first endpoint of a pool may be sent calls again,
// or zero if one may be sent calls now.
func (s *Scheduler) quietLeft(p *pool) time.Duration {
	shortest := time.Duration(-1)
	for _, e := range p.endpoints {
		if e.leaving {
			continue
		}
		if left := max(e.quietUntil.Sub(s.now), 0); shortest < 0 || left < shortest {
			shortest = left
		}
	}
	return max(shortest, 0)
}

// staysClosed reports whether all endpoints of a call's pool have asked for quiet, or have a
// limit that leaves nothing to this host, for longer than the call may be queued.
func (s *Scheduler) staysClosed(c *call) bool {
	shortest := time.Duration(-1)
	for _, e := range c.pool.endpoints {
		if e.leaving {
			continue
		}
		left := max(e.quietUntil.Sub(s.now), s.creditWait(e), 0)
		if shortest < 0 || left < shortest {
			shortest = left
		}
	}
	return shortest > 0 && !s.now.Add(shortest).Before(c.queueUntil)
}
