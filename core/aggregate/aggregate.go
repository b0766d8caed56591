// Package aggregate adds up the load that the hosts of one availability zone put on
// each endpoint, so that a large fleet exchanges one message per zone and not one
// per host.
//
// # Usage
//
//	zone := aggregate.New()
//	zone.RecordReport(now, "host-1", complete, loads, placements)
//	loads, placements := zone.TakeTotals(complete)
//	zone.Expire(now, maxAge)
//
// A Zone reads no clock and is not safe for concurrent use.
package aggregate

import (
	"cmp"
	"slices"
	"time"

	"cactuswell/core/quarantine"
	"cactuswell/core/quota"
	"cactuswell/core/scheduling"
	"cactuswell/core/speed"
)

// maxPendingPlacements bounds the placements that wait for the next TakeTotals.
const maxPendingPlacements = 200

const (
	// noticeMaxAge is how long a notice is kept after a member last reported it: a few
	// complete reports.
	noticeMaxAge = 2 * time.Second
	// noticeSlack is the difference up to which two ends of a quiet time are the same,
	// as members report the time that is left.
	noticeSlack = 100 * time.Millisecond
	// speedsPerSecond bounds the observations of endpoints' speeds that a zone reports in a
	// second.
	speedsPerSecond = 16
)

// Zone holds the total load of one zone's hosts.
type Zone struct {
	members    map[string]*member
	totals     map[uint64]*total
	dirty      bool
	placements scheduling.PlacementQueue
	notices    map[uint64]*notice
	findings   quarantine.Outbox
	limits     map[uint64]*limit
	speeds     *speed.Outbox
	// limitReports counts the reports on limits.
	limitReports int
}

// limit is what the members know of an endpoint's limit.
type limit struct {
	endpoint uint64
	limit    scheduling.Limit
	heardAt  time.Time
	// sent holds the requests of each member.
	sent        map[string]memberSent
	reportsLeft int
	// reported is the number of requests that the last report listed, and lastReport the
	// number of that report.
	reported   int
	lastReport int
}

type memberSent struct {
	sent       int
	reportedAt time.Time
}

// notice is what an endpoint has told one of the members.
type notice struct {
	leaving    bool
	quietUntil time.Time
	recordedAt time.Time
	// reportsLeft is the number of reports that still list the notice, because it is new.
	reportsLeft int
}

// member holds the last reported load of one host by endpoint.
type member struct {
	loads      map[uint64]scheduling.PeerLoad
	reportedAt time.Time
	demands    []scheduling.Demand
	// callDemands is the demand for the services that have limits.
	callDemands []scheduling.CallDemand
}

// total is the load of all members at one endpoint.
type total struct {
	load scheduling.PeerLoad
	// reportsLeft is the number of reports that still list the load, because it has
	// changed.
	reportsLeft int
}

// New returns a zone without members.
func New() *Zone {
	return &Zone{
		members: make(map[string]*member),
		totals:  make(map[uint64]*total),
		notices: make(map[uint64]*notice),
		limits:  make(map[uint64]*limit),
		speeds:  speed.NewOutbox(speedsPerSecond, false),
	}
}

// RecordReport records the load that a host reports: all of it, or only the
// changes.
func (z *Zone) RecordReport(now time.Time, host string, complete bool, loads []scheduling.PeerLoad, placements []scheduling.Placement) {
	m, ok := z.members[host]
	if !ok {
		m = &member{loads: make(map[uint64]scheduling.PeerLoad)}
		z.members[host] = m
	}
	m.reportedAt = now
	listed := make(map[uint64]bool, len(loads))
	for _, load := range loads {
		listed[load.Endpoint] = true
		z.replaceLoad(m, load)
	}
	if complete {
		for endpoint := range m.loads {
			if !listed[endpoint] {
				z.replaceLoad(m, scheduling.PeerLoad{Endpoint: endpoint})
			}
		}
	}
	for _, p := range placements {
		z.placements.Add(p, maxPendingPlacements)
		z.dirty = true
	}
}

// RecordNotices records what endpoints have told a host.
func (z *Zone) RecordNotices(now time.Time, notices []scheduling.Notice) {
	for _, received := range notices {
		n, ok := z.notices[received.Endpoint]
		if !ok {
			n = &notice{}
			z.notices[received.Endpoint] = n
		}
		n.recordedAt = now
		until := now.Add(received.QuietFor)
		if ok && n.leaving == received.Leaving && !until.After(n.quietUntil.Add(noticeSlack)) {
			continue
		}
		n.leaving = n.leaving || received.Leaving
		n.quietUntil = until
		n.reportsLeft = scheduling.ReportsPerChange
		z.dirty = true
	}
}

// RecordFindings records what a host has found about prompts that crash endpoints.
func (z *Zone) RecordFindings(now time.Time, findings []quarantine.Finding) {
	for _, finding := range findings {
		z.findings.Add(now, finding)
	}
}

// RecordLimits records what a host, which has reported its load before, knows of the limits of
// endpoints. A complete report lists the demand for all services that have limits.
func (z *Zone) RecordLimits(now time.Time, host string, complete bool, reports []scheduling.LimitReport, demands []scheduling.CallDemand) {
	for _, report := range reports {
		l, ok := z.limits[report.Endpoint]
		if !ok {
			l = &limit{
				endpoint: report.Endpoint,
				sent:     make(map[string]memberSent),
			}
			z.limits[report.Endpoint] = l
		}
		if heardAt := now.Add(-report.Age); heardAt.After(l.heardAt) {
			l.heardAt = heardAt
			l.limit = report.Limit
		}
		l.sent[host] = memberSent{
			sent:       report.Sent,
			reportedAt: now,
		}
		l.reportsLeft = scheduling.ReportsPerChange
		z.dirty = true
	}
	if m := z.members[host]; m != nil && complete {
		m.callDemands = demands
	}
}

// TakeLimits returns what has changed lately about the limits of endpoints: the requests of all
// members, and in a complete report also their demand. If there are more limits than a report
// may list, those that were listed longest ago come first.
func (z *Zone) TakeLimits(now time.Time, complete bool) ([]scheduling.LimitReport, []scheduling.CallDemand) {
	var due []*limit
	for endpoint, l := range z.limits {
		if l.reportsLeft == 0 && l.reported == 0 && l.total(now) == 0 {
			delete(z.limits, endpoint)
			continue
		}
		if l.reportsLeft > 0 || complete {
			due = append(due, l)
		}
	}
	slices.SortFunc(due, func(a, b *limit) int {
		return cmp.Or(cmp.Compare(a.lastReport, b.lastReport), cmp.Compare(a.endpoint, b.endpoint))
	})
	z.limitReports++
	var reports []scheduling.LimitReport
	for _, l := range due[:min(len(due), scheduling.MaxLimitReports)] {
		l.reportsLeft = max(l.reportsLeft-1, 0)
		l.reported = l.total(now)
		l.lastReport = z.limitReports
		reports = append(reports, scheduling.LimitReport{
			Endpoint: l.endpoint,
			Limit:    l.limit,
			Age:      now.Sub(l.heardAt),
			Sent:     l.reported,
		})
	}
	if !complete {
		return reports, nil
	}
	return reports, z.callDemands()
}

// total returns the requests of all members that have reported them within quota.Window.
func (l *limit) total(now time.Time) int {
	total := 0
	for host, m := range l.sent {
		if now.Sub(m.reportedAt) >= quota.Window {
			delete(l.sent, host)
			continue
		}
		total += m.sent
	}
	return total
}

func (z *Zone) callDemands() []scheduling.CallDemand {
	totals := make(map[uint64]scheduling.CallDemand)
	for _, m := range z.members {
		for _, demand := range m.callDemands {
			t := totals[demand.Service]
			t.Service = demand.Service
			t.Calls += demand.Calls
			t.Hosts += demand.Hosts
			totals[demand.Service] = t
		}
	}
	demands := make([]scheduling.CallDemand, 0, len(totals))
	for _, t := range totals {
		demands = append(demands, t)
	}
	slices.SortFunc(demands, func(a, b scheduling.CallDemand) int { return cmp.Compare(a.Service, b.Service) })
	return demands
}

// TakeFindings returns what the members have found lately, and in a complete report the
// quarantines that they still report.
func (z *Zone) TakeFindings(now time.Time, complete bool) []quarantine.Finding {
	return z.findings.Take(now, complete)
}

// RecordSpeeds records a host's observations of the speed of endpoints.
func (z *Zone) RecordSpeeds(now time.Time, observations []speed.Observation) {
	for _, o := range observations {
		z.speeds.Add(now, o)
	}
}

// TakeSpeeds returns the members' observations of the speed of endpoints, as far as they differ
// from what was reported before.
func (z *Zone) TakeSpeeds(now time.Time) []speed.Observation { return z.speeds.Take(now) }

// RecordDemands records the demand that callers make on a host, which has reported its
// load before.
func (z *Zone) RecordDemands(host string, demands []scheduling.Demand) {
	if m := z.members[host]; m != nil && demands != nil {
		m.demands = demands
	}
}

// Demands returns the demand that callers make on all members.
func (z *Zone) Demands() []scheduling.Demand {
	totals := make(map[uint64]scheduling.Demand)
	for _, m := range z.members {
		for _, demand := range m.demands {
			t := totals[demand.Service]
			t.Service = demand.Service
			t.LatencySensitive += demand.LatencySensitive
			t.Other += demand.Other
			totals[demand.Service] = t
		}
	}
	demands := make([]scheduling.Demand, 0, len(totals))
	for _, t := range totals {
		demands = append(demands, t)
	}
	slices.SortFunc(demands, func(a, b scheduling.Demand) int { return cmp.Compare(a.Service, b.Service) })
	return demands
}

// TakeNotices returns what endpoints have told the members: all that the members still
// report, or what is new.
func (z *Zone) TakeNotices(now time.Time, complete bool) []scheduling.Notice {
	var notices []scheduling.Notice
	for endpoint, n := range z.notices {
		if complete && now.Sub(n.recordedAt) > noticeMaxAge {
			delete(z.notices, endpoint)
			continue
		}
		if n.reportsLeft == 0 && !complete {
			continue
		}
		n.reportsLeft = max(n.reportsLeft-1, 0)
		notices = append(notices, scheduling.Notice{
			Endpoint: endpoint,
			Leaving:  n.leaving,
			QuietFor: max(n.quietUntil.Sub(now), 0),
		})
	}
	slices.SortFunc(notices, func(a, b scheduling.Notice) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return notices
}

// replaceLoad replaces a member's previous load at an endpoint.
func (z *Zone) replaceLoad(m *member, load scheduling.PeerLoad) {
	previous := m.loads[load.Endpoint]
	if previous == load {
		return
	}
	t, ok := z.totals[load.Endpoint]
	if !ok {
		t = &total{load: scheduling.PeerLoad{Endpoint: load.Endpoint}}
		z.totals[load.Endpoint] = t
	}
	t.load.PendingPrefill += load.PendingPrefill - previous.PendingPrefill
	t.load.Running += load.Running - previous.Running
	t.load.LatencySensitive += load.LatencySensitive - previous.LatencySensitive
	t.reportsLeft = scheduling.ReportsPerChange
	z.dirty = true
	if load.Running == 0 && load.PendingPrefill == 0 {
		delete(m.loads, load.Endpoint)
		return
	}
	m.loads[load.Endpoint] = load
}

// HasChanges reports whether there are changes since the last call of TakeTotals, or whether
// findings or limits wait to be reported.
func (z *Zone) HasChanges() bool {
	return z.dirty || !z.findings.IsEmpty() || z.hasPendingLimits()
}

func (z *Zone) hasPendingLimits() bool {
	for _, l := range z.limits {
		if l.reportsLeft > 0 {
			return true
		}
	}
	return false
}

// Hosts returns the number of members.
func (z *Zone) Hosts() int { return len(z.members) }

// TakeTotals returns the totals: all that are not zero, or those that changed lately.
// It also returns the prompts placed lately.
func (z *Zone) TakeTotals(complete bool) ([]scheduling.PeerLoad, []scheduling.Placement) {
	loads := make([]scheduling.PeerLoad, 0, len(z.totals))
	for endpoint, t := range z.totals {
		idle := t.load.Running == 0
		if t.reportsLeft > 0 || complete && !idle {
			t.reportsLeft = max(t.reportsLeft-1, 0)
			loads = append(loads, t.load)
		}
		if idle && t.reportsLeft == 0 {
			delete(z.totals, endpoint)
		}
	}
	slices.SortFunc(loads, func(a, b scheduling.PeerLoad) int {
		if a.Endpoint < b.Endpoint {
			return -1
		}
		return 1
	})
	z.dirty = false
	return loads, z.placements.Take()
}

// Expire removes the members that have not reported for longer than maxAge.
func (z *Zone) Expire(now time.Time, maxAge time.Duration) {
	for host, m := range z.members {
		if now.Sub(m.reportedAt) <= maxAge {
			continue
		}
		for _, load := range m.loads {
			z.replaceLoad(m, scheduling.PeerLoad{Endpoint: load.Endpoint})
		}
		delete(z.members, host)
	}
}
