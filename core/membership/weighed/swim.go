package weighed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// swimPeriod gives a host as many probes a second as the chosen scheme.
	swimPeriod           = 2 * time.Second / 3
	swimProbeTimeout     = 500 * time.Millisecond
	swimIndirectTimeout  = 1200 * time.Millisecond
	swimHelpers          = 3
	swimSuspicionTimeout = 4 * time.Second
	swimNewsItems        = 8
	swimItemBytes        = 26
)

type swimStatus int

const (
	swimAlive swimStatus = iota
	swimSuspect
	swimDead
)

// swimNews is one piece of news about a host.
type swimNews struct {
	host    int
	version int
	status  swimStatus
}

// swimMember is what a host believes of another one.
type swimMember struct {
	version      int
	status       swimStatus
	suspectUntil time.Time
}

// swimProbe is a probe under way.
type swimProbe struct {
	id       int
	target   int
	deadline time.Time
	indirect bool
	// relayFor and relayID name the probe that a helper makes this one for.
	relayFor int
	relayID  int
}

// swim is a host that probes the others in random order, as in Das, Gupta and
// Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol" (2002), with suspicion.
type swim struct {
	environment Environment
	members     []swimMember
	order       []int
	next        int
	probeAt     time.Time
	probes      []*swimProbe
	lastID      int
	news        map[int]int
	removals    int
}

type swimPing struct {
	id   int
	news []swimNews
}

type swimAck struct {
	id   int
	news []swimNews
}

type swimPingRequest struct {
	id     int
	target int
	news   []swimNews
}

// NewSWIM returns a host of the random probing scheme. It knows all hosts from
// the start.
func NewSWIM(environment Environment) Scheme {
	return &swim{
		environment: environment,
		members:     make([]swimMember, environment.Hosts),
		news:        make(map[int]int),
	}
}

// Start implements Scheme.
func (s *swim) Start(now time.Time) {
	s.probeAt = now.Add(time.Duration(s.environment.Random.Int64N(int64(swimPeriod))))
}

// Receive implements Scheme.
func (s *swim) Receive(now time.Time, from int, payload any) {
	switch payload := payload.(type) {
	case swimPing:
		s.hear(now, payload.news)
		s.environment.Sender.Send(from, answerBytes+s.size(), swimAck{
			id:   payload.id,
			news: s.tell(),
		})
	case swimAck:
		s.hear(now, payload.news)
		s.acknowledge(payload.id)
	case swimPingRequest:
		s.hear(now, payload.news)
		s.probe(now, &swimProbe{
			target:   payload.target,
			relayFor: from,
			relayID:  payload.id,
		})
	}
}

func (s *swim) acknowledge(id int) {
	at := slices.IndexFunc(s.probes, func(p *swimProbe) bool { return p.id == id })
	if at < 0 {
		return
	}
	p := s.probes[at]
	s.probes = slices.Delete(s.probes, at, at+1)
	if p.relayID != 0 {
		s.environment.Sender.Send(p.relayFor, answerBytes+s.size(), swimAck{
			id:   p.relayID,
			news: s.tell(),
		})
	}
}

// Wake implements Scheme.
func (s *swim) Wake(now time.Time) {
	for _, p := range slices.Clone(s.probes) {
		if !p.deadline.After(now) {
			s.expire(now, p)
		}
	}
	for i := range s.members {
		member := &s.members[i]
		if member.status == swimSuspect && !member.suspectUntil.After(now) {
			s.set(now, i, member.version, swimDead)
		}
	}
	if !s.probeAt.After(now) {
		s.probeAt = now.Add(swimPeriod)
		if target, ok := s.nextTarget(); ok {
			s.probe(now, &swimProbe{
				target: target,
			})
		}
	}
}

// nextTarget goes through the members in an order that is shuffled each round.
func (s *swim) nextTarget() (int, bool) {
	for range 2 {
		for s.next < len(s.order) {
			target := s.order[s.next]
			s.next++
			if target != s.environment.Index && s.Live(target) {
				return target, true
			}
		}
		s.order = s.environment.Random.Perm(s.environment.Hosts)
		s.next = 0
	}
	return 0, false
}

func (s *swim) probe(now time.Time, p *swimProbe) {
	s.lastID++
	p.id = s.lastID
	p.deadline = now.Add(swimProbeTimeout)
	s.probes = append(s.probes, p)
	s.environment.Sender.Send(p.target, callBytes+s.size(), swimPing{
		id:   p.id,
		news: s.tell(),
	})
}

func (s *swim) expire(now time.Time, p *swimProbe) {
	if p.relayID == 0 && !p.indirect {
		p.indirect = true
		p.deadline = now.Add(swimIndirectTimeout)
		for _, helper := range s.helpers(p.target) {
			s.environment.Sender.Send(helper, callBytes+s.size(), swimPingRequest{
				id:     p.id,
				target: p.target,
				news:   s.tell(),
			})
		}
		return
	}
	s.probes = slices.DeleteFunc(s.probes, func(other *swimProbe) bool { return other == p })
	if p.relayID == 0 && s.members[p.target].status == swimAlive {
		s.set(now, p.target, s.members[p.target].version, swimSuspect)
	}
}

func (s *swim) helpers(target int) []int {
	var helpers []int
	for _, i := range s.environment.Random.Perm(s.environment.Hosts) {
		if i != target && i != s.environment.Index && s.Live(i) && len(helpers) < swimHelpers {
			helpers = append(helpers, i)
		}
	}
	return helpers
}

func (s *swim) set(now time.Time, host, version int, status swimStatus) {
	member := &s.members[host]
	if status == swimDead && member.status != swimDead {
		s.removals++
	}
	member.version = version
	member.status = status
	member.suspectUntil = now.Add(swimSuspicionTimeout)
	s.news[host] = 0
}

// hear takes in news: a higher version wins, and the worse status for the same.
func (s *swim) hear(now time.Time, news []swimNews) {
	for _, item := range news {
		if item.host == s.environment.Index {
			s.refute(now, item)
			continue
		}
		member := s.members[item.host]
		if member.status == swimDead {
			continue
		}
		if item.version > member.version || item.version == member.version && item.status > member.status {
			s.set(now, item.host, item.version, item.status)
		}
	}
}

func (s *swim) refute(now time.Time, item swimNews) {
	own := s.members[s.environment.Index]
	if item.status != swimAlive && item.version >= own.version {
		s.set(now, s.environment.Index, item.version+1, swimAlive)
	}
}

// tell returns the news that was passed on least often.
func (s *swim) tell() []swimNews {
	hosts := make([]int, 0, len(s.news))
	for host := range s.news {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b int) int {
		return cmp.Or(cmp.Compare(s.news[a], s.news[b]), cmp.Compare(a, b))
	})
	limit := int(math.Ceil(3 * math.Log2(float64(len(s.members)+1))))
	var news []swimNews
	for _, host := range hosts[:min(len(hosts), swimNewsItems)] {
		news = append(news, swimNews{
			host:    host,
			version: s.members[host].version,
			status:  s.members[host].status,
		})
		s.news[host]++
		if s.news[host] >= limit {
			delete(s.news, host)
		}
	}
	return news
}

// size returns what the identity and the news of the next message take.
func (s *swim) size() int {
	const identity = 28
	return identity + swimItemBytes*min(len(s.news), swimNewsItems)
}

// NextWake implements Scheme.
func (s *swim) NextWake() (time.Time, bool) {
	next := s.probeAt
	for _, p := range s.probes {
		if p.deadline.Before(next) {
			next = p.deadline
		}
	}
	for _, member := range s.members {
		if member.status == swimSuspect && member.suspectUntil.Before(next) {
			next = member.suspectUntil
		}
	}
	return next, true
}

// Live implements Scheme.
func (s *swim) Live(host int) bool {
	return s.members[host].status != swimDead
}

// Removals implements Scheme.
func (s *swim) Removals() int {
	return s.removals
}
