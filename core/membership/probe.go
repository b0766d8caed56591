package membership

import (
	"slices"
	"time"
)

// probeKind says why a member is probed.
type probeKind int

const (
	// neighborProbe is part of the monitor graph.
	neighborProbe probeKind = iota
	// watchProbe gives a suspected member the chance to refute at once.
	watchProbe
	// deadProbe looks whether a member believed dead is back.
	deadProbe
	// relayProbe is made for a peer.
	relayProbe
)

// probeStage is how far a probe has come.
type probeStage int

const (
	directStage probeStage = iota
	freshStage
	indirectStage
)

// probe is a probe under way.
type probe struct {
	kind     probeKind
	stage    probeStage
	target   Member
	calls    []CallID
	deadline time.Time
	// refusals counts the helpers that had no answer either.
	refusals int
	helpers  int
	// contested is set if a peer believes the dead member live.
	contested bool
	reply     ReplyID
	// sent is the news on the call under way.
	sent []newsItem
}

// slot is one neighbor of this host in the monitor graph.
type slot struct {
	ring        int
	target      *entry
	at          time.Time
	outstanding bool
	// differsSince is since when the neighbor's view has differed from this
	// host's, or zero.
	differsSince time.Time
}

// refreshSlots chooses the neighbors anew after the view has changed: on each
// ring the next member that is not suspected. A suspected member is thus
// replaced at once, as in the paper, and its monitor still watches it.
func (m *Machine) refreshSlots() {
	if !m.slotsStale {
		return
	}
	m.slotsStale = false
	old := m.slots
	m.slots = nil
	for ring := range m.settings.Neighbors {
		if next := m.successor(ring); next != nil {
			m.slots = append(m.slots, m.newSlot(ring, next, old))
		}
	}
}

// successor returns the next member on a ring that is not a neighbor yet.
func (m *Machine) successor(ring int) *entry {
	var best *entry
	var bestDistance uint64
	for _, e := range m.table.order {
		if e == m.self || e.status != Alive || m.isNeighbor(e) {
			continue
		}
		distance := m.distance(e, ring)
		if best == nil || distance < bestDistance {
			best = e
			bestDistance = distance
		}
	}
	return best
}

// noticeAlive plans a new choice of neighbors if the member may be one.
func (m *Machine) noticeAlive(e *entry) {
	if len(m.slots) < m.settings.Neighbors {
		m.slotsStale = true
	}
	for _, s := range m.slots {
		if m.distance(e, s.ring) < m.distance(s.target, s.ring) {
			m.slotsStale = true
		}
	}
}

// noticeLost plans a new choice of neighbors if the member is one.
func (m *Machine) noticeLost(e *entry) {
	if m.isNeighbor(e) {
		m.slotsStale = true
	}
}

// distance returns how far a member follows this host on a ring.
func (m *Machine) distance(e *entry, ring int) uint64 {
	return e.ranks[ring] - m.self.ranks[ring]
}

func (m *Machine) isNeighbor(e *entry) bool {
	return slices.ContainsFunc(m.slots, func(s slot) bool {
		return s.target == e
	})
}

// newSlot keeps a neighbor's schedule, and gives a new one a time at random.
func (m *Machine) newSlot(ring int, target *entry, old []slot) slot {
	for _, s := range old {
		if s.target == target {
			s.ring = ring
			return s
		}
	}
	return slot{
		ring:   ring,
		target: target,
		at:     m.now.Add(time.Duration(m.random.Float64() * float64(m.settings.ProbePeriod))),
	}
}

func (m *Machine) startDueProbes() {
	for i := range m.slots {
		s := &m.slots[i]
		if s.outstanding || s.at.After(m.now) {
			continue
		}
		s.outstanding = true
		s.at = m.now.Add(m.jitter(m.settings.ProbePeriod))
		m.startProbe(&probe{
			kind:   neighborProbe,
			target: s.target.member,
		})
	}
}

// pushEagerly sends urgent news with an early round of probes.
func (m *Machine) pushEagerly() {
	if m.eagerAt.IsZero() || m.eagerAt.After(m.now) {
		return
	}
	bucket := m.eager
	if m.endpointWaits && bucket.level(m.now) < 1 {
		bucket = m.eagerEndpoint
	}
	if bucket.level(m.now) < 1 {
		m.counters.EagerDeferred++
		m.eagerAt = bucket.nextWhole(m.now)
		return
	}
	bucket.take(m.now, 1)
	m.counters.EagerRounds++
	m.eagerAt = time.Time{}
	m.endpointWaits = false
	for i := range m.slots {
		m.slots[i].at = m.now
	}
}

func (m *Machine) watchSuspects() {
	for _, e := range m.watched {
		if e.watchAt.After(m.now) {
			continue
		}
		e.watchAt = m.now.Add(m.jitter(m.settings.ProbePeriod))
		m.startProbe(&probe{
			kind:   watchProbe,
			stage:  freshStage,
			target: e.member,
		})
	}
}

// reprobe looks for members believed dead that are back, as after a partition.
func (m *Machine) reprobe() {
	if len(m.contested) > 0 && !m.contestedAt.After(m.now) {
		m.contestedAt = m.now.Add(m.jitter(m.settings.ContestedProbePeriod))
		e := m.contested[m.random.IntN(len(m.contested))]
		m.forgetContest(e)
		m.startDeadProbe(e, true)
	}
	if m.reprobeAt.After(m.now) {
		return
	}
	m.reprobeAt = m.now.Add(m.jitter(m.settings.ReprobePeriod))
	if e := m.randomDead(); e != nil {
		m.startDeadProbe(e, false)
	}
}

func (m *Machine) startDeadProbe(e *entry, contested bool) {
	m.counters.Reprobes++
	m.startProbe(&probe{
		kind:      deadProbe,
		stage:     freshStage,
		target:    e.member,
		contested: contested,
	})
}

func (m *Machine) randomDead() *entry {
	var dead []*entry
	for _, e := range m.table.order {
		if e.status == Dead && e.member.Address != "" {
			dead = append(dead, e)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	return dead[m.random.IntN(len(dead))]
}

func (m *Machine) startProbe(p *probe) {
	m.probes = append(m.probes, p)
	m.sendProbe(p)
}

func (m *Machine) sendProbe(p *probe) {
	call := m.callID()
	p.calls = []CallID{call}
	p.deadline = m.now.Add(m.settings.ProbeTimeout)
	m.counters.ProbesSent++
	if p.stage == freshStage {
		m.counters.FreshProbes++
	}
	message := m.message(p.target.Name)
	p.sent = m.lastSent
	m.emit(SendProbe{
		Call:            call,
		To:              p.target,
		Timeout:         m.settings.ProbeTimeout,
		FreshConnection: p.stage == freshStage,
		Message:         message,
	})
}

func (m *Machine) findProbe(call CallID) *probe {
	for _, p := range m.probes {
		if slices.Contains(p.calls, call) {
			return p
		}
	}
	return nil
}

func (m *Machine) endProbe(p *probe) {
	m.probes = slices.DeleteFunc(m.probes, func(other *probe) bool {
		return other == p
	})
	if p.kind != neighborProbe {
		return
	}
	if s := m.slotOf(p.target.Name); s != nil {
		s.outstanding = false
	}
}

// slotOf returns the slot of a neighbor, or nil.
func (m *Machine) slotOf(name string) *slot {
	for i := range m.slots {
		if m.slots[i].target.member.Name == name {
			return &m.slots[i]
		}
	}
	return nil
}

func (m *Machine) expireProbes() {
	for _, p := range slices.Clone(m.probes) {
		if !p.deadline.After(m.now) {
			m.failStage(p)
		}
	}
}

func (m *Machine) onProbeReceived(event ProbeReceived) {
	m.hear(event.Message)
	m.emit(AnswerProbe{
		Reply:   event.Reply,
		Message: m.message(event.Message.From),
	})
}

func (m *Machine) onProbeAnswered(event ProbeAnswered) {
	p := m.findProbe(event.Call)
	m.hear(event.Message)
	if p == nil {
		return
	}
	if event.Message.From != p.target.Name || event.Message.Incarnation > p.target.Incarnation {
		m.onReplaced(p)
		return
	}
	if event.Message.Incarnation < p.target.Incarnation {
		m.failStage(p)
		return
	}
	if p.stage == freshStage {
		m.counters.FreshAnswers++
	}
	m.succeed(p)
	if m.leaving && p.kind == neighborProbe {
		m.leaveAnswers++
	}
	m.compare(event.Message, p)
}

// onReplaced handles an answer from another process than the one probed: the
// one probed does not listen at its address any more.
func (m *Machine) onReplaced(p *probe) {
	m.answerRelay(p, false)
	m.endProbe(p)
	e := m.table.get(p.target.Name)
	if e != nil && e.member.Incarnation == p.target.Incarnation && e.status != Left {
		m.setGone(e, Dead, RemovedReplaced)
		e.member.Address = ""
		m.enqueueMember(e, true)
	}
	m.startExchange(p.target.Address, 0)
}

func (m *Machine) onProbeFailed(event ProbeFailed) {
	if p := m.findProbe(event.Call); p != nil {
		m.failStage(p)
	}
}

func (m *Machine) succeed(p *probe) {
	m.answerRelay(p, true)
	m.endProbe(p)
	if e := m.table.get(p.target.Name); e != nil {
		e.silentRounds = 0
	}
}

// failStage goes on to the next way to reach a silent member, or gives up.
func (m *Machine) failStage(p *probe) {
	m.counters.ProbesFailed++
	for _, item := range p.sent {
		m.queue.credit(item)
	}
	p.sent = nil
	switch {
	case p.kind == watchProbe || p.kind == deadProbe:
		m.endProbe(p)
		m.concludeDeadProbe(p)
	case p.stage == directStage:
		p.stage = freshStage
		m.sendProbe(p)
	case p.kind == relayProbe:
		m.answerRelay(p, false)
		m.endProbe(p)
	case p.stage == freshStage:
		m.askHelpers(p)
	default:
		m.conclude(p)
	}
}

// concludeDeadProbe tells anew that a member is dead, for those who believe it
// live.
func (m *Machine) concludeDeadProbe(p *probe) {
	e := m.table.get(p.target.Name)
	if p.contested && e != nil && e.status == Dead {
		m.enqueueMember(e, false)
	}
}

// askHelpers asks other members to probe a silent one.
func (m *Machine) askHelpers(p *probe) {
	p.stage = indirectStage
	p.calls = nil
	p.deadline = m.now.Add(m.settings.IndirectTimeout)
	for _, helper := range m.chooseHelpers(p.target.Name) {
		call := m.callID()
		p.calls = append(p.calls, call)
		m.counters.IndirectProbes++
		m.emit(SendIndirectProbe{
			Call:    call,
			Helper:  helper,
			Target:  p.target,
			Timeout: m.settings.IndirectTimeout,
		})
	}
	p.helpers = len(p.calls)
	if p.helpers == 0 {
		m.conclude(p)
	}
}

func (m *Machine) chooseHelpers(target string) []Member {
	var others []Member
	for _, e := range m.table.order {
		if e != m.self && e.status == Alive && e.member.Name != target {
			others = append(others, e.member)
		}
	}
	m.random.Shuffle(len(others), func(i, j int) {
		others[i], others[j] = others[j], others[i]
	})
	return others[:min(len(others), m.settings.IndirectProbes)]
}

func (m *Machine) onIndirectProbeAnswered(event IndirectProbeAnswered) {
	p := m.findProbe(event.Call)
	if p == nil {
		return
	}
	if event.Alive {
		m.counters.IndirectAnswers++
		m.succeed(p)
		return
	}
	p.refusals++
	m.dropHelper(p, event.Call)
}

func (m *Machine) onIndirectProbeFailed(event IndirectProbeFailed) {
	if p := m.findProbe(event.Call); p != nil {
		m.dropHelper(p, event.Call)
	}
}

func (m *Machine) dropHelper(p *probe, call CallID) {
	p.calls = slices.DeleteFunc(p.calls, func(other CallID) bool {
		return other == call
	})
	if len(p.calls) == 0 {
		m.conclude(p)
	}
}

// conclude suspects a member that nobody reached. If too few helpers answered,
// the fault may be this host's own, so it tries again first.
func (m *Machine) conclude(p *probe) {
	m.endProbe(p)
	e := m.table.get(p.target.Name)
	if e == nil || e.status != Alive || e.member.Incarnation != p.target.Incarnation {
		return
	}
	if p.refusals < min(m.settings.MinNegativeReports, p.helpers) {
		m.counters.InconclusiveRounds++
		e.silentRounds++
		if e.silentRounds < m.settings.MaxInconclusiveRounds {
			m.probeSoon(e)
			return
		}
	}
	m.suspect(e, true)
}

func (m *Machine) probeSoon(e *entry) {
	if s := m.slotOf(e.member.Name); s != nil {
		s.at = m.now
	}
}

func (m *Machine) onIndirectProbeReceived(event IndirectProbeReceived) {
	m.startProbe(&probe{
		kind:   relayProbe,
		target: event.Target,
		reply:  event.Reply,
	})
}

func (m *Machine) answerRelay(p *probe, alive bool) {
	if p.kind != relayProbe {
		return
	}
	m.emit(AnswerIndirectProbe{
		Reply: p.reply,
		Alive: alive,
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
