package membership

import (
	"slices"
	"time"
)

// probeKind is the reason why a member is probed.
type probeKind int

const (
	// neighborProbe is a periodic probe of the monitor graph.
	neighborProbe probeKind = iota
	// watchProbe gives a suspected member a direct chance to refute the
	// suspicion.
	watchProbe
	// deadProbe checks whether a member believed dead is reachable again.
	deadProbe
	// requestedProbe is made on request of a peer.
	requestedProbe
)

// probeStage is the current step of a probe.
type probeStage int

const (
	directStage probeStage = iota
	newConnectionStage
	indirectStage
)

// probe is a probe in flight.
type probe struct {
	kind     probeKind
	stage    probeStage
	target   Member
	calls    []CallID
	deadline time.Time
	// negativeReports counts the helpers that reported no answer either.
	negativeReports int
	helperCount     int
	// contested is set if a peer reports the dead member as live.
	contested bool
	reply     ReplyID
	// sentUpdates holds the updates in the call in flight.
	sentUpdates []queuedUpdate
}

// neighborSlot is one neighbor of this host in the monitor graph.
type neighborSlot struct {
	ring         int
	target       *entry
	nextProbeAt  time.Time
	probePending bool
	// differsSince is the time since which the neighbor's view has differed
	// from this host's, or zero.
	differsSince time.Time
}

// refreshSlots chooses the neighbors again after the view has changed: on each
// ring the next member that is not suspected. A suspected member is thus
// replaced immediately, as in the paper, and this host still watches it.
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

// invalidateSlotsOnAlive marks the neighbors stale if the member would become
// one.
func (m *Machine) invalidateSlotsOnAlive(e *entry) {
	if len(m.slots) < m.settings.Neighbors {
		m.slotsStale = true
	}
	for _, s := range m.slots {
		if m.distance(e, s.ring) < m.distance(s.target, s.ring) {
			m.slotsStale = true
		}
	}
}

// invalidateSlotsOnLoss marks the neighbors stale if the member is one of them.
func (m *Machine) invalidateSlotsOnLoss(e *entry) {
	if m.isNeighbor(e) {
		m.slotsStale = true
	}
}

// distance returns how far a member is after this host on a ring.
func (m *Machine) distance(e *entry, ring int) uint64 {
	return e.ranks[ring] - m.self.ranks[ring]
}

func (m *Machine) isNeighbor(e *entry) bool {
	return slices.ContainsFunc(m.slots, func(s neighborSlot) bool {
		return s.target == e
	})
}

// newSlot returns the old slot of a neighbor with its schedule, or a new one
// with a random time for the first probe.
func (m *Machine) newSlot(ring int, target *entry, old []neighborSlot) neighborSlot {
	for _, s := range old {
		if s.target == target {
			s.ring = ring
			return s
		}
	}
	return neighborSlot{
		ring:        ring,
		target:      target,
		nextProbeAt: m.now.Add(time.Duration(m.random.Float64() * float64(m.settings.ProbePeriod))),
	}
}

func (m *Machine) startDueProbes() {
	for i := range m.slots {
		s := &m.slots[i]
		if s.probePending || s.nextProbeAt.After(m.now) {
			continue
		}
		s.probePending = true
		s.nextProbeAt = m.now.Add(m.jitter(m.settings.ProbePeriod))
		m.startProbe(&probe{
			kind:   neighborProbe,
			target: s.target.member,
		})
	}
}

// startEagerRound makes all neighbors due for a probe to send urgent updates.
func (m *Machine) startEagerRound() {
	if m.eagerRoundAt.IsZero() || m.eagerRoundAt.After(m.now) {
		return
	}
	bucket := m.eagerBucket
	if m.endpointUpdateWaiting && bucket.available(m.now) < 1 {
		bucket = m.eagerEndpointBucket
	}
	if bucket.available(m.now) < 1 {
		m.counters.EagerRoundsDeferred++
		m.eagerRoundAt = bucket.nextTokenAt(m.now)
		return
	}
	bucket.take(m.now, 1)
	m.counters.EagerRounds++
	m.eagerRoundAt = time.Time{}
	m.endpointUpdateWaiting = false
	for i := range m.slots {
		m.slots[i].nextProbeAt = m.now
	}
}

func (m *Machine) probeWatchedSuspects() {
	for _, e := range m.watchedSuspects {
		if e.nextWatchProbeAt.After(m.now) {
			continue
		}
		e.nextWatchProbeAt = m.now.Add(m.jitter(m.settings.ProbePeriod))
		m.startProbe(&probe{
			kind:   watchProbe,
			stage:  newConnectionStage,
			target: e.member,
		})
	}
}

// probeDeadMembers probes members considered dead, to find those that are
// reachable again, as after a network partition.
func (m *Machine) probeDeadMembers() {
	if len(m.contested) > 0 && !m.nextContestedProbeAt.After(m.now) {
		m.nextContestedProbeAt = m.now.Add(m.jitter(m.settings.ContestedProbePeriod))
		e := m.contested[m.random.IntN(len(m.contested))]
		m.clearContested(e)
		m.startDeadProbe(e, true)
	}
	if m.nextReprobeAt.After(m.now) {
		return
	}
	m.nextReprobeAt = m.now.Add(m.jitter(m.settings.ReprobePeriod))
	if e := m.randomDead(); e != nil {
		m.startDeadProbe(e, false)
	}
}

func (m *Machine) startDeadProbe(e *entry, contested bool) {
	m.counters.Reprobes++
	m.startProbe(&probe{
		kind:      deadProbe,
		stage:     newConnectionStage,
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
	call := m.newCallID()
	p.calls = []CallID{call}
	p.deadline = m.now.Add(m.settings.ProbeTimeout)
	m.counters.ProbesSent++
	if p.stage == newConnectionStage {
		m.counters.NewConnectionProbes++
	}
	message := m.buildMessage(p.target.Name)
	p.sentUpdates = m.lastSentUpdates
	m.emit(SendProbe{
		Call:          call,
		To:            p.target,
		Timeout:       m.settings.ProbeTimeout,
		NewConnection: p.stage == newConnectionStage,
		Message:       message,
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

func (m *Machine) removeProbe(p *probe) {
	m.probes = slices.DeleteFunc(m.probes, func(other *probe) bool {
		return other == p
	})
	if p.kind != neighborProbe {
		return
	}
	if s := m.slotOf(p.target.Name); s != nil {
		s.probePending = false
	}
}

// slotOf returns the slot of the named neighbor, or nil.
func (m *Machine) slotOf(name string) *neighborSlot {
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
			m.handleStageFailure(p)
		}
	}
}

func (m *Machine) handleProbeReceived(event ProbeReceived) {
	m.applyMessage(event.Message)
	m.emit(AnswerProbe{
		Reply:   event.Reply,
		Message: m.buildMessage(event.Message.From),
	})
}

func (m *Machine) handleProbeAnswered(event ProbeAnswered) {
	p := m.findProbe(event.Call)
	m.applyMessage(event.Message)
	if p == nil {
		return
	}
	if event.Message.From != p.target.Name || event.Message.Incarnation > p.target.Incarnation {
		m.handleReplaced(p)
		return
	}
	if event.Message.Incarnation < p.target.Incarnation {
		m.handleStageFailure(p)
		return
	}
	if p.stage == newConnectionStage {
		m.counters.NewConnectionAnswers++
	}
	m.completeProbe(p)
	if m.leaving && p.kind == neighborProbe {
		m.leaveAnswerCount++
	}
	m.compareViews(event.Message, p)
}

// handleReplaced handles an answer from another process than the one probed:
// that one no longer listens at its address.
func (m *Machine) handleReplaced(p *probe) {
	m.answerRequestedProbe(p, false)
	m.removeProbe(p)
	e := m.table.get(p.target.Name)
	if e != nil && e.member.Incarnation == p.target.Incarnation && e.status != Left {
		m.removeMember(e, Dead, RemovedReplaced)
		e.member.Address = ""
		m.enqueueMember(e, true)
	}
	m.startExchange(p.target.Address, 0)
}

func (m *Machine) handleProbeFailed(event ProbeFailed) {
	if p := m.findProbe(event.Call); p != nil {
		m.handleStageFailure(p)
	}
}

func (m *Machine) completeProbe(p *probe) {
	m.answerRequestedProbe(p, true)
	m.removeProbe(p)
	if e := m.table.get(p.target.Name); e != nil {
		e.inconclusiveRounds = 0
	}
}

// handleStageFailure starts the next stage of a probe without an answer, or
// ends the probe.
func (m *Machine) handleStageFailure(p *probe) {
	m.counters.ProbesFailed++
	for _, item := range p.sentUpdates {
		m.queue.undoTransmission(item)
	}
	p.sentUpdates = nil
	switch {
	case p.kind == watchProbe || p.kind == deadProbe:
		m.removeProbe(p)
		m.enqueueContestedDeath(p)
	case p.stage == directStage:
		p.stage = newConnectionStage
		m.sendProbe(p)
	case p.kind == requestedProbe:
		m.answerRequestedProbe(p, false)
		m.removeProbe(p)
	case p.stage == newConnectionStage:
		m.sendIndirectProbes(p)
	default:
		m.concludeUnreachable(p)
	}
}

// enqueueContestedDeath sends again that a member is dead, for peers that
// believe it live.
func (m *Machine) enqueueContestedDeath(p *probe) {
	e := m.table.get(p.target.Name)
	if p.contested && e != nil && e.status == Dead {
		m.enqueueMember(e, false)
	}
}

// sendIndirectProbes asks other members to probe a member that does not answer.
func (m *Machine) sendIndirectProbes(p *probe) {
	p.stage = indirectStage
	p.calls = nil
	p.deadline = m.now.Add(m.settings.IndirectTimeout)
	for _, helper := range m.chooseHelpers(p.target.Name) {
		call := m.newCallID()
		p.calls = append(p.calls, call)
		m.counters.IndirectProbes++
		m.emit(SendIndirectProbe{
			Call:    call,
			Helper:  helper,
			Target:  p.target,
			Timeout: m.settings.IndirectTimeout,
		})
	}
	p.helperCount = len(p.calls)
	if p.helperCount == 0 {
		m.concludeUnreachable(p)
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

func (m *Machine) handleIndirectProbeAnswered(event IndirectProbeAnswered) {
	p := m.findProbe(event.Call)
	if p == nil {
		return
	}
	if event.Alive {
		m.counters.IndirectAnswers++
		m.completeProbe(p)
		return
	}
	p.negativeReports++
	m.removeHelperCall(p, event.Call)
}

func (m *Machine) handleIndirectProbeFailed(event IndirectProbeFailed) {
	if p := m.findProbe(event.Call); p != nil {
		m.removeHelperCall(p, event.Call)
	}
}

func (m *Machine) removeHelperCall(p *probe, call CallID) {
	p.calls = slices.DeleteFunc(p.calls, func(other CallID) bool {
		return other == call
	})
	if len(p.calls) == 0 {
		m.concludeUnreachable(p)
	}
}

// concludeUnreachable suspects a member that nobody reached. If too few helpers
// answered, the cause may be this host's own network, so it probes again first.
func (m *Machine) concludeUnreachable(p *probe) {
	m.removeProbe(p)
	e := m.table.get(p.target.Name)
	if e == nil || e.status != Alive || e.member.Incarnation != p.target.Incarnation {
		return
	}
	if p.negativeReports < min(m.settings.MinNegativeReports, p.helperCount) {
		m.counters.InconclusiveRounds++
		e.inconclusiveRounds++
		if e.inconclusiveRounds < m.settings.MaxInconclusiveRounds {
			m.probeWithoutDelay(e)
			return
		}
	}
	m.suspect(e, true)
}

func (m *Machine) probeWithoutDelay(e *entry) {
	if s := m.slotOf(e.member.Name); s != nil {
		s.nextProbeAt = m.now
	}
}

func (m *Machine) handleIndirectProbeReceived(event IndirectProbeReceived) {
	m.startProbe(&probe{
		kind:   requestedProbe,
		target: event.Target,
		reply:  event.Reply,
	})
}

func (m *Machine) answerRequestedProbe(p *probe, alive bool) {
	if p.kind != requestedProbe {
		return
	}
	m.emit(AnswerIndirectProbe{
		Reply: p.reply,
		Alive: alive,
	})
}

func latestOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
