// Package membership decides which hosts of the fleet are live, and spreads
// small news (leaving endpoints, applied stream offsets) among them.
//
// # Usage
//
//	machine := membership.New(membership.DefaultSettings(), self, random)
//	commands = machine.Step(now, membership.Started{}, commands[:0])
//	for _, command := range commands {
//		switch command := command.(type) {
//		case membership.SendProbe:
//			...
//		}
//	}
//	wake, ok := machine.NextWake()
//
// Each host probes a few neighbors: its successors on several rings, each a
// different hash order of the names. The neighbor monitor is that of Shukla and
// Raghuram, "Group Membership in Asynchronous Distributed Environments Using
// Logically Ordered Views" (1992), with several rings in place of one and
// without its agreement and commit tokens. A probe without an answer is first
// repeated on a fresh connection, then other hosts are asked to probe, then the
// member is suspected, and it is removed when it does not refute the suspicion
// in time. News rides on probes and answers.
//
// A view is a host's own estimate: it divides work and carries news, and no
// promise to a caller rests on it.
//
// A Machine is a state machine: typed events go in with their time and typed
// commands come out. It reads no clock, opens no socket and starts no
// goroutine. It is not safe for concurrent use.
package membership

import (
	"math/rand/v2"
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/record"
)

// Machine holds one host's view of the fleet.
type Machine struct {
	settings Settings
	random   *rand.Rand
	now      time.Time
	out      []Command
	started  bool
	wakeDue  time.Time

	table      *table
	self       *entry
	joined     bool
	superseded bool
	counters   Counters

	slots         []slot
	slotsStale    bool
	probes        []*probe
	nextID        CallID
	watched       []*entry
	suspects      []*entry
	reprobeAt     time.Time
	contested     []*entry
	contestedAt   time.Time
	eagerAt       time.Time
	eager         *tokenBucket
	eagerEndpoint *tokenBucket
	newsBytes     *tokenBucket
	// endpointWaits is set while news of an endpoint waits for an early round.
	endpointWaits bool

	queue *newsQueue
	// lastSent is the news in the message built last.
	lastSent  []newsItem
	endpoints *endpointTable
	heads     []StreamHead

	candidates     []candidate
	candidateTurn  int
	joinAt         time.Time
	joinDelay      time.Duration
	exchanges      []*exchange
	lastExchangeAt time.Time
	filling        bool
	exchangeFailed bool
	equalStreak    int
	equalDigest    uint64

	leaving        bool
	leaveUntil     time.Time
	leaveCompleted bool
	// leaveAnswers counts the neighbors that answered since the leave began.
	leaveAnswers int
}

// New returns the view of a host that knows only itself. The random source is
// used by this machine alone.
func New(settings Settings, self Member, random *rand.Rand) *Machine {
	m := &Machine{
		settings:      settings,
		random:        random,
		table:         newTable(settings.Neighbors),
		queue:         newNewsQueue(settings.MaxQueuedUpdates),
		endpoints:     newEndpointTable(settings.MaxLeavingEndpoints),
		joinDelay:     settings.JoinPeriod,
		eager:         newTokenBucket(settings.EagerRoundsPerSecond, settings.EagerRoundBurst),
		eagerEndpoint: newTokenBucket(settings.EagerEndpointRoundsPerSecond, settings.EagerRoundBurst),
		newsBytes:     newTokenBucket(settings.UpdateBytesPerSecond, settings.UpdateBurst),
		slotsStale:    true,
	}
	m.self = m.table.add(self.Name)
	m.self.member = self
	m.self.version = 1
	m.table.setStatus(m.self, Alive)
	for _, address := range settings.Seeds {
		if address != self.Address {
			m.candidates = append(m.candidates, candidate{
				address: address,
				seed:    true,
			})
		}
	}
	return m
}

// Step takes one event that happened at now, appends the commands that follow
// from it to commands, and returns the extended slice. Times must not go
// backwards.
func (m *Machine) Step(now time.Time, event Event, commands []Command) []Command {
	m.out = commands
	m.noticePause(now)
	m.now = now
	m.handle(event)
	m.advance()
	if wake, ok := m.NextWake(); ok {
		m.wakeDue = wake
	}
	out := m.out
	m.out = nil
	return out
}

// Self returns this host as its peers see it.
func (m *Machine) Self() Member {
	return m.self.member
}

// Live returns the live members, this host among them, in order of name.
func (m *Machine) Live() []Member {
	live := make([]Member, 0, m.table.liveCount)
	for _, e := range m.table.order {
		if e.live() {
			live = append(live, e.member)
		}
	}
	return live
}

// LiveCount returns the number of live members, this host among them.
func (m *Machine) LiveCount() int {
	return m.table.liveCount
}

// Superseded reports whether a newer process runs under this host's name.
func (m *Machine) Superseded() bool {
	return m.superseded
}

// IsEndpointLeaving reports whether the endpoint is known to be leaving.
func (m *Machine) IsEndpointLeaving(key endpoint.Key) bool {
	return m.endpoints.has(key)
}

// Counters returns what was counted since New.
func (m *Machine) Counters() Counters {
	return m.counters
}

// Dump returns the state for the operators' dump.
func (m *Machine) Dump() Dump {
	dump := Dump{
		Self:             m.self.dump(),
		Joined:           m.joined,
		Superseded:       m.superseded,
		LiveCount:        m.table.liveCount,
		LeavingEndpoints: len(m.endpoints.order),
		QueuedUpdates:    len(m.queue.items),
		Candidates:       len(m.candidates),
		Counters:         m.counters,
	}
	for _, s := range m.slots {
		dump.Neighbors = append(dump.Neighbors, s.target.member.Name)
	}
	for _, e := range m.table.order {
		dump.Members = append(dump.Members, e.dump())
	}
	return dump
}

// noticePause forgives what ran out while this process itself stood still: the
// silence of the others proves nothing then.
func (m *Machine) noticePause(now time.Time) {
	if !m.started || m.wakeDue.IsZero() {
		return
	}
	late := now.Sub(m.wakeDue)
	if late < m.settings.PauseThreshold {
		return
	}
	m.counters.Pauses++
	for _, p := range m.probes {
		m.answerRelay(p, false)
	}
	m.probes = nil
	m.exchanges = nil
	for _, e := range m.suspects {
		e.suspectUntil = e.suspectUntil.Add(late)
	}
	for i := range m.slots {
		m.slots[i].differsSince = m.wakeDue
	}
}

func (m *Machine) handle(event Event) {
	switch event := event.(type) {
	case Started:
		m.start()
	case Tick:
	case ProbeReceived:
		m.onProbeReceived(event)
	case ProbeAnswered:
		m.onProbeAnswered(event)
	case ProbeFailed:
		m.onProbeFailed(event)
	case IndirectProbeReceived:
		m.onIndirectProbeReceived(event)
	case IndirectProbeAnswered:
		m.onIndirectProbeAnswered(event)
	case IndirectProbeFailed:
		m.onIndirectProbeFailed(event)
	case ExchangeReceived:
		m.onExchangeReceived(event)
	case ExchangeAnswered:
		m.onExchangeAnswered(event)
	case ExchangeFailed:
		m.onExchangeFailed(event)
	case HostAnnounced:
		m.onHostAnnounced(event)
	case HostLeaveAnnounced:
		m.onHostLeaveAnnounced(event)
	case EndpointLeaving:
		m.learnEndpoint(event.Key)
	case HeadAdvanced:
		m.setHead(event.Stream, event.NextOffset)
	case LeaveRequested:
		m.startLeave()
	}
}

func (m *Machine) start() {
	m.started = true
	m.joinAt = m.now
	m.reprobeAt = m.now.Add(m.jitter(m.settings.ReprobePeriod))
}

// advance does everything whose time has come.
func (m *Machine) advance() {
	if !m.started {
		return
	}
	m.expireProbes()
	m.expireExchanges()
	m.expireSuspicions()
	if m.superseded {
		return
	}
	m.advanceLeave()
	m.refreshSlots()
	m.pushEagerly()
	m.startDueProbes()
	m.watchSuspects()
	m.reprobe()
	m.join()
}

// NextWake returns the time at which the machine wants TimePassed, unless an
// event comes before.
func (m *Machine) NextWake() (time.Time, bool) {
	if !m.started {
		return time.Time{}, false
	}
	var next earliest
	for _, p := range m.probes {
		next.add(p.deadline)
	}
	for _, x := range m.exchanges {
		next.add(x.deadline)
	}
	for _, e := range m.suspects {
		next.add(e.suspectUntil)
	}
	if m.superseded {
		return next.at, !next.at.IsZero()
	}
	for _, s := range m.slots {
		if !s.outstanding {
			next.add(s.at)
		}
	}
	for _, e := range m.watched {
		next.add(e.watchAt)
	}
	if len(m.contested) > 0 {
		next.add(m.contestedAt)
	}
	next.add(m.eagerAt)
	next.add(m.reprobeAt)
	switch {
	case !m.leaving:
		next.add(m.joinAt)
	case !m.leaveCompleted:
		next.add(m.leaveUntil)
	}
	return next.at, !next.at.IsZero()
}

// jitter returns a duration between 0.9 and 1.1 times period.
func (m *Machine) jitter(period time.Duration) time.Duration {
	return time.Duration(float64(period) * (0.9 + 0.2*m.random.Float64()))
}

func (m *Machine) emit(command Command) {
	m.out = append(m.out, command)
}

func (m *Machine) callID() CallID {
	m.nextID++
	return m.nextID
}

func (m *Machine) setHead(stream record.Stream, next record.Offset) {
	for i := range m.heads {
		if m.heads[i].Stream == stream {
			m.heads[i].NextOffset = next
			return
		}
	}
	if len(m.heads) == maxHeads {
		return
	}
	m.heads = append(m.heads, StreamHead{
		Stream:     stream,
		NextOffset: next,
	})
}

// earliest keeps the earliest of the times added; zero times are ignored.
type earliest struct {
	at time.Time
}

func (e *earliest) add(at time.Time) {
	if at.IsZero() {
		return
	}
	if e.at.IsZero() || at.Before(e.at) {
		e.at = at
	}
}
