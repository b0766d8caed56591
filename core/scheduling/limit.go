package scheduling

import (
	"slices"
	"time"

	"cactuswell/core/quota"
)

const (
	// toldMemory is how long after an endpoint has told this host its limit complete reports
	// list it.
	toldMemory = 3 * time.Second
	// demandMaxAge is how long the demand that a peer has reported counts.
	demandMaxAge = 2 * time.Second
)

// MaxLimitReports bounds the limits in a report; further ones are in the next report.
const MaxLimitReports = 48

// LimitReport is what a host, or the hosts of a zone, know of an endpoint's limit.
type LimitReport struct {
	// Endpoint is the hash of the endpoint's key.
	Endpoint uint64
	// Limit is the limit that the endpoint named in its newest known answer, and Age the
	// time since that answer.
	Limit Limit
	Age   time.Duration
	// Sent is the number of requests of the host, or of all hosts of the zone, within
	// quota.Window.
	Sent int
}

// CallDemand is the number of calls for a service that callers have recently made on a host, or
// on several.
type CallDemand struct {
	// Service is the hash of the service's name.
	Service uint64
	Calls   int
	Hosts   int
}

// limitState is what a host knows of an endpoint's limit.
type limitState struct {
	Limit
	// heardAt is when the newest known answer came, and toldAt when one came to this host.
	heardAt time.Time
	toldAt  time.Time
	share   *quota.Share
	// turns shares the requests to a brittle endpoint among hosts that have less than one of
	// its slots each, and shutUntil is until when this host leaves it alone.
	turns     *quota.Share
	shutUntil time.Time
	// sent holds the times of this host's requests within quota.Window. Those before the
	// limit was named do not count.
	sent []time.Time
	// reportsLeft is the number of reports that still list the limit, because it or sent
	// has changed. reportedSent is what the last one listed.
	reportsLeft  int
	reportedSent int
	// peers holds the requests that the peers have reported.
	peers map[string]peerSent
	// checkedAt is when the share was last asked, and isOpen its answer.
	checkedAt time.Time
	isOpen    bool
}

// demandPart is a host's part of the demand for a service at a time.
type demandPart struct {
	at     time.Time
	part   float64
	rivals int
	// partAtReports is the part if each peer's calls are compared with those that this host had
	// when the peer reported them. Calls of now against older ones of all others would make the
	// parts of all hosts exceed the whole while the demand rises.
	partAtReports float64
}

// peerSent is the number of requests that a peer has reported.
type peerSent struct {
	sent         int
	includesSelf bool
	reportedAt   time.Time
}

// peerDemand is the demand for a service that a peer has reported.
type peerDemand struct {
	CallDemand
	includesSelf bool
	reportedAt   time.Time
	// ratio is that of the calls of the report's hosts, without this host, to this host's calls
	// when the report came, in 1/ratioUnit.
	ratio int
}

// ratioUnit is the unit of ratios. They are integers because a sum of floating-point numbers would
// depend on the order of the peers.
const ratioUnit = 1 << 20

// recordLimit records the limit that an endpoint named in an answer to this host, or that it
// named none.
func (s *Scheduler) recordLimit(e *endpoint, limit Limit) {
	if limit.IsMalformed {
		return
	}
	e.limit.heardAt = s.now
	if limit.applies() {
		e.limit.toldAt = s.now
	}
	s.setLimit(e, limit)
}

// setLimit changes an endpoint's limit.
func (s *Scheduler) setLimit(e *endpoint, limit Limit) {
	l := &e.limit
	if limit == l.Limit {
		return
	}
	sentLately := l.sentLately(s.now)
	switch {
	case !limit.IsNamed:
		l.share = nil
	case l.share == nil:
		l.share = quota.New(s.now, limit.PerSecond, s.random.Float64())
		l.sent = nil
	default:
		l.share.SetRate(limit.PerSecond)
	}
	if !limit.IsBrittle {
		l.turns = nil
	}
	l.Limit = limit
	s.markLimitDirty(e)
	s.commands = append(s.commands, EndpointLimitChanged{
		Key:        e.key,
		Service:    e.entry.Service,
		Limit:      limit,
		SentLately: sentLately,
	})
}

// markLimitDirty makes the next reports list the endpoint's limit.
func (s *Scheduler) markLimitDirty(e *endpoint) {
	if !slices.Contains(s.limited, e) {
		s.limited = append(s.limited, e)
	}
	e.limit.reportsLeft = ReportsPerChange
	s.dirty = true
}

// recordLimitedSend records a request to the endpoint.
func (s *Scheduler) recordLimitedSend(e *endpoint) {
	l := &e.limit
	l.sentLately(s.now)
	l.sent = append(l.sent, s.now)
	if l.share != nil {
		l.share.RecordSent(s.now)
		l.checkedAt = time.Time{}
	}
	if l.turns != nil {
		l.turns.RecordSent(s.now)
	}
	if l.applies() {
		s.markLimitDirty(e)
	}
}

// sentLately returns the number of this host's requests within quota.Window.
func (l *limitState) sentLately(now time.Time) int {
	l.sent = slices.DeleteFunc(l.sent, func(at time.Time) bool { return now.Sub(at) >= quota.Window })
	return len(l.sent)
}

// sentByAll returns the number of requests of all hosts within quota.Window, as far as it is
// known.
func (l *limitState) sentByAll(now time.Time) int {
	total := l.sentLately(now)
	for _, p := range l.peers {
		if now.Sub(p.reportedAt) >= quota.Window {
			continue
		}
		total += p.sent
		if p.includesSelf {
			total -= min(l.reportedSent, p.sent)
		}
	}
	return total
}

// allowsLimit reports whether an endpoint's limit allows a request of this host.
//
// It serves endpoints in need that name a rate for all hosts together, under more load than
// they take.
func (s *Scheduler) allowsLimit(e *endpoint) bool {
	l := &e.limit
	if l.share == nil {
		return true
	}
	// All queued calls ask at the same time.
	if !l.checkedAt.Equal(s.now) {
		part, rivals := s.partOfDemand(s.ensurePool(e.entry.Service))
		l.checkedAt = s.now
		l.isOpen = l.share.Allows(s.now, quota.View{
			Sent:   l.sentByAll(s.now),
			Part:   part,
			Rivals: rivals,
		})
	}
	return l.isOpen
}

// creditWait returns the time until this host has credit for a request to an endpoint with a
// limit, or zero if the limit allows one now or it has credit.
func (s *Scheduler) creditWait(e *endpoint) time.Duration {
	if s.allowsLimit(e) {
		return 0
	}
	part, _ := s.partOfDemand(s.ensurePool(e.entry.Service))
	return e.limit.share.Wait(s.now, part)
}

// partOfDemand returns this host's part of the calls that callers make for the service, and the
// number of other hosts with such calls. Hosts that have not told their calls count like this
// one.
func (s *Scheduler) partOfDemand(p *pool) (part float64, rivals int) {
	if p.part.at.Equal(s.now) {
		return p.part.part, p.part.rivals
	}
	own := p.budget.FirstAttempts(s.now) + 1
	total, known, ratio := own, 1, ratioUnit
	for _, demand := range p.callDemands {
		if s.now.Sub(demand.reportedAt) >= demandMaxAge {
			continue
		}
		total += demand.Calls
		known += demand.Hosts
		ratio += demand.ratio
		if demand.includesSelf {
			total -= min(p.reportedCalls, demand.Calls)
			known -= min(1, demand.Hosts)
		}
	}
	unknown := max(s.Hosts()-known, 0)
	total += unknown * own
	ratio += unknown * ratioUnit
	p.part = demandPart{
		at:     s.now,
		part:   float64(own) / float64(total),
		rivals: known - 1 + unknown,

		partAtReports: ratioUnit / float64(ratio),
	}
	return p.part.part, p.part.rivals
}

// hasLimits reports whether an endpoint of the pool names a limit.
func (p *pool) hasLimits() bool {
	return slices.ContainsFunc(p.endpoints, func(e *endpoint) bool { return e.limit.applies() })
}

// isLimited reports whether all endpoints of the pool that take new work have a limit that
// allows no request of this host.
func (s *Scheduler) isLimited(p *pool) bool {
	usable := 0
	for _, e := range p.endpoints {
		if e.leaving {
			continue
		}
		usable++
		if s.allowsLimit(e) {
			return false
		}
	}
	return usable > 0
}

// TakeLimits returns what this host reports on limits: what has changed, and in a complete
// report all limits that it was told lately or has requests under, with the demand for the
// services that have limits.
func (s *Scheduler) TakeLimits(now time.Time, complete bool) ([]LimitReport, []CallDemand) {
	if len(s.limited) == 0 {
		return nil, nil
	}
	var reports []LimitReport
	for _, e := range s.limited {
		l := &e.limit
		isListed := complete && l.applies() && (l.sentLately(now) > 0 || l.reportedSent > 0 || now.Sub(l.toldAt) <= toldMemory)
		if l.reportsLeft == 0 && !isListed || len(reports) == MaxLimitReports {
			continue
		}
		l.reportsLeft = max(l.reportsLeft-1, 0)
		l.reportedSent = l.sentLately(now)
		reports = append(reports, LimitReport{
			Endpoint: e.keyHash,
			Limit:    l.Limit,
			Age:      now.Sub(l.heardAt),
			Sent:     l.reportedSent,
		})
	}
	s.limited = slices.DeleteFunc(s.limited, func(e *endpoint) bool {
		return !e.limit.applies() && e.limit.reportsLeft == 0
	})
	if !complete {
		return reports, nil
	}
	var demands []CallDemand
	for _, p := range s.poolsInOrder {
		if !p.hasLimits() {
			continue
		}
		p.reportedCalls = p.budget.FirstAttempts(now) + 1
		demands = append(demands, CallDemand{
			Service: hashID(p.name),
			Calls:   p.reportedCalls,
			Hosts:   1,
		})
	}
	return reports, demands
}

// applyLimits applies what a peer reports on limits. Of two answers of an endpoint, the newer
// one counts.
func (s *Scheduler) applyLimits(event PeerReported) {
	for _, report := range event.Limits {
		e := s.byHash[report.Endpoint]
		if e == nil {
			continue
		}
		if e.limit.peers == nil {
			e.limit.peers = make(map[string]peerSent)
		}
		e.limit.peers[event.Peer] = peerSent{
			sent:         report.Sent,
			includesSelf: event.IncludesSelf,
			reportedAt:   s.now,
		}
		if heardAt := s.now.Add(-report.Age); heardAt.After(e.limit.heardAt) {
			e.limit.heardAt = heardAt
			s.setLimit(e, report.Limit)
		}
	}
	for _, demand := range event.CallDemands {
		for _, p := range s.poolsInOrder {
			if hashID(p.name) != demand.Service {
				continue
			}
			if p.callDemands == nil {
				p.callDemands = make(map[string]peerDemand)
			}
			others := demand.Calls
			if event.IncludesSelf {
				others -= min(p.reportedCalls, demand.Calls)
			}
			p.callDemands[event.Peer] = peerDemand{
				CallDemand:   demand,
				includesSelf: event.IncludesSelf,
				reportedAt:   s.now,
				ratio:        others * ratioUnit / (p.budget.FirstAttempts(s.now) + 1),
			}
		}
	}
}

// removePeerLimits removes what a peer has reported on limits.
func (s *Scheduler) removePeerLimits(peer string) {
	for _, e := range s.endpoints {
		delete(e.limit.peers, peer)
	}
	for _, p := range s.poolsInOrder {
		delete(p.callDemands, peer)
	}
}
