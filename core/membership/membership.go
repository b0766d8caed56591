// Package membership implements the membership protocol of the fleet: it detects
// which hosts are live and disseminates small updates (leaving endpoints, applied
// stream offsets) among them.
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
// Each host probes a few neighbors: its successors on several rings, each of
// which orders the names by a different hash. The neighbor monitoring is that of
// Shukla and Raghuram, "Group Membership in Asynchronous Distributed Environments
// Using Logically Ordered Views" (1992), with several rings instead of one and
// without its agreement and commit tokens. A probe without an answer is retried
// on a new connection, then other hosts are asked to probe the member, then it
// is suspected, and it is removed if it does not refute the suspicion in time.
// Updates are piggybacked on probes and answers.
//
// A view is one host's estimate. It is used to divide work and to disseminate
// updates; no guarantee to a caller depends on it.
//
// A Machine is a state machine: it takes typed events with their time and returns
// typed commands. It reads no clock, opens no socket and starts no goroutine. It
// is not safe for concurrent use.
package membership

import (
	"math/rand/v2"
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/record"
)

// Machine is one host's membership state: its view of the fleet, the calls in
// flight and the updates to send.
type Machine struct {
	settings     Settings
	random       *rand.Rand
	now          time.Time
	emitted      []Command
	started      bool
	expectedWake time.Time

	table      *table
	self       *entry
	joined     bool
	superseded bool
	counters   Counters

	slots                []neighborSlot
	slotsStale           bool
	probes               []*probe
	lastCallID           CallID
	watchedSuspects      []*entry
	suspects             []*entry
	nextReprobeAt        time.Time
	contested            []*entry
	nextContestedProbeAt time.Time
	eagerRoundAt         time.Time
	eagerBucket          *tokenBucket
	eagerEndpointBucket  *tokenBucket
	updateBytesBucket    *tokenBucket
	// endpointUpdateWaiting is set while an update about an endpoint waits for
	// an eager probe round.
	endpointUpdateWaiting bool

	queue *updateQueue
	// lastSentUpdates holds the updates in the message built last.
	lastSentUpdates []queuedUpdate
	endpoints       *endpointTable
	heads           []StreamHead

	candidates         []candidate
	nextCandidate      int
	nextJoinAt         time.Time
	joinDelay          time.Duration
	exchanges          []*exchange
	lastExchangeAt     time.Time
	initialSync        bool
	lastExchangeFailed bool
	equalDigestStreak  int
	lastEqualDigest    uint64

	leaving        bool
	leaveDeadline  time.Time
	leaveCompleted bool
	// leaveAnswerCount counts the neighbors that have answered a probe since
	// the leave started.
	leaveAnswerCount int
}

// New returns the machine of a host that knows only itself. The random source
// must not be shared with other users.
func New(settings Settings, self Member, random *rand.Rand) *Machine {
	m := &Machine{
		settings:            settings,
		random:              random,
		table:               newTable(settings.Neighbors),
		queue:               newUpdateQueue(settings.MaxQueuedUpdates),
		endpoints:           newEndpointTable(settings.MaxLeavingEndpoints),
		joinDelay:           settings.JoinPeriod,
		eagerBucket:         newTokenBucket(settings.EagerRoundsPerSecond, settings.EagerRoundBurst),
		eagerEndpointBucket: newTokenBucket(settings.EagerEndpointRoundsPerSecond, settings.EagerRoundBurst),
		updateBytesBucket:   newTokenBucket(settings.UpdateBytesPerSecond, settings.UpdateBurst),
		slotsStale:          true,
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

// Step processes one event that happened at now, appends the resulting commands
// to commands, and returns the extended slice. Times must not go backwards.
func (m *Machine) Step(now time.Time, event Event, commands []Command) []Command {
	m.emitted = commands
	m.compensatePause(now)
	m.now = now
	m.handleEvent(event)
	m.runDueActions()
	if wake, ok := m.NextWake(); ok {
		m.expectedWake = wake
	}
	emitted := m.emitted
	m.emitted = nil
	return emitted
}

// Self returns this host as its peers see it.
func (m *Machine) Self() Member {
	return m.self.member
}

// Live returns the live members, this host among them, in order of name.
func (m *Machine) Live() []Member {
	live := make([]Member, 0, m.table.liveCount)
	for _, e := range m.table.order {
		if e.isLive() {
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

// Counters returns the event counts since New.
func (m *Machine) Counters() Counters {
	return m.counters
}

// Dump returns a snapshot of the state for operators.
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

// compensatePause discards calls and extends deadlines that expired while this
// process was paused: the missing answers of others prove nothing then.
func (m *Machine) compensatePause(now time.Time) {
	if !m.started || m.expectedWake.IsZero() {
		return
	}
	delay := now.Sub(m.expectedWake)
	if delay < m.settings.PauseThreshold {
		return
	}
	m.counters.Pauses++
	for _, p := range m.probes {
		m.answerRequestedProbe(p, false)
	}
	m.probes = nil
	m.exchanges = nil
	for _, e := range m.suspects {
		e.suspectUntil = e.suspectUntil.Add(delay)
	}
	for i := range m.slots {
		m.slots[i].differsSince = m.expectedWake
	}
}

func (m *Machine) handleEvent(event Event) {
	switch event := event.(type) {
	case Started:
		m.start()
	case Tick:
	case ProbeReceived:
		m.handleProbeReceived(event)
	case ProbeAnswered:
		m.handleProbeAnswered(event)
	case ProbeFailed:
		m.handleProbeFailed(event)
	case IndirectProbeReceived:
		m.handleIndirectProbeReceived(event)
	case IndirectProbeAnswered:
		m.handleIndirectProbeAnswered(event)
	case IndirectProbeFailed:
		m.handleIndirectProbeFailed(event)
	case ExchangeReceived:
		m.handleExchangeReceived(event)
	case ExchangeAnswered:
		m.handleExchangeAnswered(event)
	case ExchangeFailed:
		m.handleExchangeFailed(event)
	case HostAnnounced:
		m.handleHostAnnounced(event)
	case HostLeaveAnnounced:
		m.handleHostLeaveAnnounced(event)
	case EndpointLeaving:
		m.recordLeavingEndpoint(event.Key)
	case HeadAdvanced:
		m.setHead(event.Stream, event.NextOffset)
	case LeaveRequested:
		m.startLeave()
	}
}

func (m *Machine) start() {
	m.started = true
	m.nextJoinAt = m.now
	m.nextReprobeAt = m.now.Add(m.jitter(m.settings.ReprobePeriod))
}

// runDueActions runs all actions that are due.
func (m *Machine) runDueActions() {
	if !m.started {
		return
	}
	m.expireProbes()
	m.expireExchanges()
	m.expireSuspicions()
	if m.superseded {
		return
	}
	m.completeLeaveIfDue()
	m.refreshSlots()
	m.startEagerRound()
	m.startDueProbes()
	m.probeWatchedSuspects()
	m.probeDeadMembers()
	m.joinIfDue()
}

// NextWake returns the time at which the machine needs a Tick event,
// unless another event comes before.
func (m *Machine) NextWake() (time.Time, bool) {
	if !m.started {
		return time.Time{}, false
	}
	var next earliestTime
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
		if !s.probePending {
			next.add(s.nextProbeAt)
		}
	}
	for _, e := range m.watchedSuspects {
		next.add(e.nextWatchProbeAt)
	}
	if len(m.contested) > 0 {
		next.add(m.nextContestedProbeAt)
	}
	next.add(m.eagerRoundAt)
	next.add(m.nextReprobeAt)
	switch {
	case !m.leaving:
		next.add(m.nextJoinAt)
	case !m.leaveCompleted:
		next.add(m.leaveDeadline)
	}
	return next.at, !next.at.IsZero()
}

// jitter returns a duration between 0.9 and 1.1 times period.
func (m *Machine) jitter(period time.Duration) time.Duration {
	return time.Duration(float64(period) * (0.9 + 0.2*m.random.Float64()))
}

func (m *Machine) emit(command Command) {
	m.emitted = append(m.emitted, command)
}

func (m *Machine) newCallID() CallID {
	m.lastCallID++
	return m.lastCallID
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

// earliestTime keeps the earliest of the times added and ignores zero times.
type earliestTime struct {
	at time.Time
}

func (e *earliestTime) add(at time.Time) {
	if at.IsZero() {
		return
	}
	if e.at.IsZero() || at.Before(e.at) {
		e.at = at
	}
}
