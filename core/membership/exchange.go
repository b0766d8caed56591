package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactuswell/core/endpoint"
)

// maxExchangeRounds limits the consecutive exchanges of one synchronization.
const maxExchangeRounds = 24

// equalAnswersPerNeighbor times the number of neighbors is the number of
// consecutive answers with an equal view after which the queued updates that
// are not urgent are taken to be known to all.
const equalAnswersPerNeighbor = 2

// candidate is an address at which a member may be reached.
type candidate struct {
	name        string
	incarnation uint64
	address     string
	seed        bool
}

// exchange is a comparison of views in flight.
type exchange struct {
	call    CallID
	address string
	round   int
	// initialSync is set for the exchanges by which a starting host loads its
	// view: what it learns then is known to the others already.
	initialSync bool
	deadline    time.Time
}

// digest returns a hash of the live members and the leaving endpoints.
func (m *Machine) digest() uint64 {
	hash := xxhash.New()
	data := make([]byte, 0, 16*bucketCount)
	buckets := m.viewBuckets()
	for i := range bucketCount {
		data = binary.BigEndian.AppendUint64(data, buckets.Members[i])
		data = binary.BigEndian.AppendUint64(data, buckets.Endpoints[i])
	}
	_, _ = hash.Write(data)
	return hash.Sum64()
}

func (m *Machine) viewBuckets() Buckets {
	buckets := Buckets{
		Members: m.table.buckets,
	}
	if !m.endpoints.overflowed {
		buckets.Endpoints = m.endpoints.buckets
	}
	return buckets
}

// compareViews starts an exchange with a peer if the views have differed for
// MaxDivergence.
func (m *Machine) compareViews(message Message, p *probe) {
	s := m.slotOf(p.target.Name)
	if message.Digest == m.digest() {
		m.recordEqualDigest(message.Digest)
		if s != nil {
			s.differsSince = time.Time{}
		}
		return
	}
	m.equalDigestStreak = 0
	switch {
	case p.kind == deadProbe:
		m.startExchange(p.target.Address, 0)
	case s == nil:
	case s.differsSince.IsZero():
		s.differsSince = m.now
	case m.now.Sub(s.differsSince) >= m.settings.MaxDivergence &&
		m.now.Sub(m.lastExchangeAt) >= m.settings.MinExchangePeriod:
		m.startExchange(p.target.Address, 0)
	}
}

// recordEqualDigest counts consecutive answers with the same equal view, and
// drops the updates that are not urgent after enough of them.
func (m *Machine) recordEqualDigest(digest uint64) {
	if m.lastEqualDigest != digest {
		m.lastEqualDigest = digest
		m.equalDigestStreak = 0
	}
	m.equalDigestStreak++
	if m.equalDigestStreak >= equalAnswersPerNeighbor*m.settings.Neighbors {
		m.queue.dropNonUrgent()
	}
}

func (m *Machine) startExchange(address string, round int) {
	inFlight := slices.ContainsFunc(m.exchanges, func(x *exchange) bool {
		return x.address == address
	})
	if inFlight || address == "" || address == m.self.member.Address {
		return
	}
	x := &exchange{
		call:        m.newCallID(),
		address:     address,
		round:       round,
		initialSync: !m.joined || m.initialSync,
		deadline:    m.now.Add(m.settings.ExchangeTimeout),
	}
	m.exchanges = append(m.exchanges, x)
	m.lastExchangeAt = m.now
	m.counters.Exchanges++
	m.emit(SendExchange{
		Call:          x.call,
		Address:       address,
		Timeout:       m.settings.ExchangeTimeout,
		NewConnection: m.lastExchangeFailed,
		Message:       m.buildMessage(""),
		Self:          m.self.state(),
		Buckets:       m.viewBuckets(),
	})
}

func (m *Machine) removeExchange(call CallID) *exchange {
	at := slices.IndexFunc(m.exchanges, func(x *exchange) bool {
		return x.call == call
	})
	if at < 0 {
		return nil
	}
	x := m.exchanges[at]
	m.exchanges = slices.Delete(m.exchanges, at, at+1)
	return x
}

func (m *Machine) expireExchanges() {
	for _, x := range slices.Clone(m.exchanges) {
		if !x.deadline.After(m.now) {
			m.failExchange(x.call)
		}
	}
}

func (m *Machine) handleExchangeFailed(event ExchangeFailed) {
	m.failExchange(event.Call)
}

func (m *Machine) failExchange(call CallID) {
	x := m.removeExchange(call)
	if x == nil {
		return
	}
	m.counters.ExchangesFailed++
	m.lastExchangeAt = time.Time{}
	m.lastExchangeFailed = true
	if x.initialSync && x.round > 0 && x.round < maxExchangeRounds {
		m.startExchange(m.nextExchangeAddress(x), x.round+1)
	}
}

func (m *Machine) handleExchangeReceived(event ExchangeReceived) {
	m.applyMessage(event.Message)
	m.applyState(event.Self)
	message := m.buildMessage(event.Message.From)
	whole := m.appendDifferences(&message.Updates, event.Buckets)
	m.emit(AnswerExchange{
		Reply:        event.Reply,
		Message:      message,
		Self:         m.self.state(),
		WholeBuckets: whole,
	})
	m.joined = true
}

// appendDifferences adds in full the buckets in which the views differ,
// starting at a random one, as long as there is room.
func (m *Machine) appendDifferences(updates *Updates, theirs Buckets) WholeBuckets {
	var whole WholeBuckets
	ours := m.viewBuckets()
	room := m.settings.ExchangeBytes
	first := m.random.IntN(bucketCount)
	for i := range bucketCount {
		bucket := uint32((first + i) % bucketCount)
		if ours.Endpoints[bucket] != theirs.Endpoints[bucket] && room > 0 {
			keys := m.endpoints.keys(bucket)
			updates.LeavingEndpoints = append(updates.LeavingEndpoints, keys...)
			whole.Endpoints = append(whole.Endpoints, bucket)
			room -= keysBytes(keys)
		}
		if ours.Members[bucket] != theirs.Members[bucket] && room > 0 {
			states := m.liveStates(bucket)
			updates.Members = append(updates.Members, states...)
			whole.Members = append(whole.Members, bucket)
			room -= statesBytes(states)
		}
	}
	return whole
}

func (m *Machine) liveStates(bucket uint32) []MemberState {
	var states []MemberState
	for _, e := range m.table.order {
		if e.bucket == bucket && e.isLive() {
			states = append(states, e.state())
		}
	}
	return states
}

func statesBytes(states []MemberState) int {
	size := 0
	for _, state := range states {
		size += stateBytes(state)
	}
	return size
}

func keysBytes(keys []endpoint.Key) int {
	size := 0
	for _, key := range keys {
		size += keyOverheadBytes + len(key.Name)
	}
	return size
}

func (m *Machine) handleExchangeAnswered(event ExchangeAnswered) {
	x := m.removeExchange(event.Call)
	before := m.digest()
	m.initialSync = x != nil && x.initialSync
	defer m.clearInitialSync()
	m.applyState(event.Self)
	m.applyMessage(event.Message)
	if x == nil {
		return
	}
	m.lastExchangeFailed = false
	if !m.joined {
		m.enqueueMember(m.self, false)
	}
	m.joined = true
	m.joinDelay = m.settings.JoinPeriod
	m.enqueueMissing(event)
	after := m.digest()
	if after != event.Message.Digest && after != before && x.round < maxExchangeRounds {
		m.startExchange(m.nextExchangeAddress(x), x.round+1)
	}
}

// nextExchangeAddress returns the address for the next exchange. A starting
// host uses a random member, as the seeds would otherwise serve the whole view
// to all starting hosts.
func (m *Machine) nextExchangeAddress(x *exchange) string {
	if others := m.chooseHelpers(""); x.initialSync && len(others) > 0 {
		return others[0].Address
	}
	return x.address
}

func (m *Machine) clearInitialSync() {
	m.initialSync = false
}

// enqueueMissing queues updates about what the peer's answer lacks.
func (m *Machine) enqueueMissing(event ExchangeAnswered) {
	known := make(map[string]uint64, len(event.Message.Updates.Members))
	for _, state := range event.Message.Updates.Members {
		known[state.Name] = state.Incarnation
	}
	for _, e := range m.table.order {
		if e.isLive() && slices.Contains(event.WholeBuckets.Members, e.bucket) && known[e.member.Name] < e.member.Incarnation {
			m.enqueueMember(e, false)
		}
	}
	leaving := make(map[string]uint64, len(event.Message.Updates.LeavingEndpoints))
	for _, key := range event.Message.Updates.LeavingEndpoints {
		leaving[key.Name] = key.Incarnation
	}
	for _, bucket := range event.WholeBuckets.Endpoints {
		if bucket >= bucketCount {
			continue
		}
		for _, key := range m.endpoints.keys(bucket) {
			if leaving[key.Name] < key.Incarnation {
				m.enqueueEndpoint(key.Name)
			}
		}
	}
}

// joinIfDue tries addresses from the settings and from announcements: often
// while this host is alone, and rarely later, so that parts of a fleet that
// have removed each other find each other again.
func (m *Machine) joinIfDue() {
	if m.nextJoinAt.After(m.now) || m.leaving {
		return
	}
	if m.table.liveCount > 1 {
		m.nextJoinAt = m.now.Add(m.jitter(m.settings.ReprobePeriod))
		m.joinDelay = m.settings.JoinPeriod
		m.exchangeWithCandidates(1)
		return
	}
	m.nextJoinAt = m.now.Add(m.jitter(m.joinDelay))
	m.joinDelay = min(2*m.joinDelay, m.settings.MaxJoinPeriod)
	m.exchangeWithCandidates(m.settings.IndirectProbes)
}

// exchangeWithCandidates starts exchanges with up to count addresses at which
// no live member is known.
func (m *Machine) exchangeWithCandidates(count int) {
	live := m.liveAddresses()
	for range len(m.candidates) {
		if count == 0 {
			return
		}
		c := m.candidates[m.nextCandidate%len(m.candidates)]
		m.nextCandidate++
		if _, known := live[c.address]; known {
			continue
		}
		m.startExchange(c.address, 0)
		count--
	}
}

func (m *Machine) liveAddresses() map[string]struct{} {
	addresses := make(map[string]struct{}, m.table.liveCount)
	for _, e := range m.table.order {
		if e.isLive() {
			addresses[e.member.Address] = struct{}{}
		}
	}
	return addresses
}

func (m *Machine) handleHostAnnounced(event HostAnnounced) {
	member := event.Member
	if member.Name == m.self.member.Name || member.Address == "" {
		return
	}
	if e := m.table.get(member.Name); e != nil && e.member.Incarnation >= member.Incarnation {
		return
	}
	m.dropOlderCandidate(member)
	if len(m.candidates) >= m.settings.MaxCandidates {
		m.dropOldestCandidate()
	}
	m.candidates = append(m.candidates, candidate{
		name:        member.Name,
		incarnation: member.Incarnation,
		address:     member.Address,
	})
	if m.table.liveCount == 1 {
		m.nextJoinAt = m.now
	}
}

func (m *Machine) handleHostLeaveAnnounced(event HostLeaveAnnounced) {
	member := Member{
		Name:        event.Name,
		Incarnation: event.Incarnation,
	}
	m.dropCandidate(member)
	if e := m.table.get(event.Name); e == nil || e == m.self {
		return
	}
	m.applyState(MemberState{
		Member:  member,
		Version: 1,
		Status:  Left,
	})
}

// dropCandidate removes announced addresses of a host that is a member now.
func (m *Machine) dropCandidate(member Member) {
	m.candidates = slices.DeleteFunc(m.candidates, func(c candidate) bool {
		return !c.seed && c.name == member.Name && c.incarnation <= member.Incarnation
	})
}

func (m *Machine) dropOlderCandidate(member Member) {
	m.candidates = slices.DeleteFunc(m.candidates, func(c candidate) bool {
		return !c.seed && (c.name == member.Name || c.address == member.Address)
	})
}

func (m *Machine) dropOldestCandidate() {
	at := slices.IndexFunc(m.candidates, func(c candidate) bool {
		return !c.seed
	})
	if at >= 0 {
		m.candidates = slices.Delete(m.candidates, at, at+1)
	}
}
