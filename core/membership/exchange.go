package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactuswell/core/endpoint"
)

// maxExchangeRounds bounds the exchanges with one peer in a row.
const maxExchangeRounds = 24

// calmStreak times the number of neighbors is after how many answers in a row
// with an equal view the calm news still queued is taken to be known to all.
const calmStreak = 2

// candidate is an address that may lead to a member.
type candidate struct {
	name        string
	incarnation uint64
	address     string
	seed        bool
}

// exchange is a comparison of views under way.
type exchange struct {
	call    CallID
	address string
	round   int
	// filling is set for the exchanges by which a host that starts fills its
	// view: what it learns then is no news to others.
	filling  bool
	deadline time.Time
}

// digest stands for the live members and the leaving endpoints.
func (m *Machine) digest() uint64 {
	hash := xxhash.New()
	data := make([]byte, 0, 16*bucketCount)
	buckets := m.buckets()
	for i := range bucketCount {
		data = binary.BigEndian.AppendUint64(data, buckets.Members[i])
		data = binary.BigEndian.AppendUint64(data, buckets.Endpoints[i])
	}
	_, _ = hash.Write(data)
	return hash.Sum64()
}

func (m *Machine) buckets() Buckets {
	buckets := Buckets{
		Members: m.table.buckets,
	}
	if !m.endpoints.overflowed {
		buckets.Endpoints = m.endpoints.buckets
	}
	return buckets
}

// compare starts an exchange with a peer if the views have differed for some
// time.
func (m *Machine) compare(message Message, p *probe) {
	s := m.slotOf(p.target.Name)
	if message.Digest == m.digest() {
		m.noticeEqual(message.Digest)
		if s != nil {
			s.differsSince = time.Time{}
		}
		return
	}
	m.equalStreak = 0
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

// noticeEqual forgets calm news after enough answers in a row with one and the
// same view.
func (m *Machine) noticeEqual(digest uint64) {
	if m.equalDigest != digest {
		m.equalDigest = digest
		m.equalStreak = 0
	}
	m.equalStreak++
	if m.equalStreak >= calmStreak*m.settings.Neighbors {
		m.queue.dropCalm()
	}
}

func (m *Machine) startExchange(address string, round int) {
	busy := slices.ContainsFunc(m.exchanges, func(x *exchange) bool {
		return x.address == address
	})
	if busy || address == "" || address == m.self.member.Address {
		return
	}
	x := &exchange{
		call:     m.callID(),
		address:  address,
		round:    round,
		filling:  !m.joined || m.filling,
		deadline: m.now.Add(m.settings.ExchangeTimeout),
	}
	m.exchanges = append(m.exchanges, x)
	m.lastExchangeAt = m.now
	m.counters.Exchanges++
	m.emit(SendExchange{
		Call:            x.call,
		Address:         address,
		Timeout:         m.settings.ExchangeTimeout,
		FreshConnection: m.exchangeFailed,
		Message:         m.message(""),
		Self:            m.self.state(),
		Buckets:         m.buckets(),
	})
}

func (m *Machine) endExchange(call CallID) *exchange {
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

func (m *Machine) onExchangeFailed(event ExchangeFailed) {
	m.failExchange(event.Call)
}

func (m *Machine) failExchange(call CallID) {
	x := m.endExchange(call)
	if x == nil {
		return
	}
	m.counters.ExchangesFailed++
	m.lastExchangeAt = time.Time{}
	m.exchangeFailed = true
	if x.filling && x.round > 0 && x.round < maxExchangeRounds {
		m.startExchange(m.nextAddress(x), x.round+1)
	}
}

func (m *Machine) onExchangeReceived(event ExchangeReceived) {
	m.hear(event.Message)
	m.apply(event.Self)
	message := m.message(event.Message.From)
	whole := m.appendDifferences(&message.Updates, event.Buckets)
	m.emit(AnswerExchange{
		Reply:        event.Reply,
		Message:      message,
		Self:         m.self.state(),
		WholeBuckets: whole,
	})
	m.joined = true
}

// appendDifferences adds whole buckets in which the views differ, from a random
// one on, as long as there is room.
func (m *Machine) appendDifferences(news *Updates, theirs Buckets) WholeBuckets {
	var whole WholeBuckets
	ours := m.buckets()
	room := m.settings.ExchangeBytes
	first := m.random.IntN(bucketCount)
	for i := range bucketCount {
		bucket := uint32((first + i) % bucketCount)
		if ours.Endpoints[bucket] != theirs.Endpoints[bucket] && room > 0 {
			keys := m.endpoints.keys(bucket)
			news.LeavingEndpoints = append(news.LeavingEndpoints, keys...)
			whole.Endpoints = append(whole.Endpoints, bucket)
			room -= keysBytes(keys)
		}
		if ours.Members[bucket] != theirs.Members[bucket] && room > 0 {
			states := m.liveStates(bucket)
			news.Members = append(news.Members, states...)
			whole.Members = append(whole.Members, bucket)
			room -= statesBytes(states)
		}
	}
	return whole
}

func (m *Machine) liveStates(bucket uint32) []MemberState {
	var states []MemberState
	for _, e := range m.table.order {
		if e.bucket == bucket && e.live() {
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
		size += minKeyBytes + len(key.Name)
	}
	return size
}

func (m *Machine) onExchangeAnswered(event ExchangeAnswered) {
	x := m.endExchange(event.Call)
	before := m.digest()
	m.filling = x != nil && x.filling
	defer m.endFilling()
	m.apply(event.Self)
	m.hear(event.Message)
	if x == nil {
		return
	}
	m.exchangeFailed = false
	if !m.joined {
		m.enqueueMember(m.self, false)
	}
	m.joined = true
	m.joinDelay = m.settings.JoinPeriod
	m.offerMissing(event)
	after := m.digest()
	if after != event.Message.Digest && after != before && x.round < maxExchangeRounds {
		m.startExchange(m.nextAddress(x), x.round+1)
	}
}

// nextAddress returns whom to ask for the rest of a view. A host that starts
// asks a random member, as the seeds would otherwise serve whole views to all.
func (m *Machine) nextAddress(x *exchange) string {
	if others := m.chooseHelpers(""); x.filling && len(others) > 0 {
		return others[0].Address
	}
	return x.address
}

func (m *Machine) endFilling() {
	m.filling = false
}

// offerMissing queues what the peer's answer lacks.
func (m *Machine) offerMissing(event ExchangeAnswered) {
	known := make(map[string]uint64, len(event.Message.Updates.Members))
	for _, state := range event.Message.Updates.Members {
		known[state.Name] = state.Incarnation
	}
	for _, e := range m.table.order {
		if e.live() && slices.Contains(event.WholeBuckets.Members, e.bucket) && known[e.member.Name] < e.member.Incarnation {
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

// join tries addresses from the settings and from announcements: quickly while
// this host is alone, and now and then later, so that parts of a fleet that
// have forgotten each other meet again.
func (m *Machine) join() {
	if m.joinAt.After(m.now) || m.leaving {
		return
	}
	if m.table.liveCount > 1 {
		m.joinAt = m.now.Add(m.jitter(m.settings.ReprobePeriod))
		m.joinDelay = m.settings.JoinPeriod
		m.tryCandidates(1)
		return
	}
	m.joinAt = m.now.Add(m.jitter(m.joinDelay))
	m.joinDelay = min(2*m.joinDelay, m.settings.MaxJoinPeriod)
	m.tryCandidates(m.settings.IndirectProbes)
}

// tryCandidates starts exchanges with up to count addresses at which no member
// is known.
func (m *Machine) tryCandidates(count int) {
	live := m.liveAddresses()
	for range len(m.candidates) {
		if count == 0 {
			return
		}
		c := m.candidates[m.candidateTurn%len(m.candidates)]
		m.candidateTurn++
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
		if e.live() {
			addresses[e.member.Address] = struct{}{}
		}
	}
	return addresses
}

func (m *Machine) onHostAnnounced(event HostAnnounced) {
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
		m.joinAt = m.now
	}
}

func (m *Machine) onHostLeaveAnnounced(event HostLeaveAnnounced) {
	member := Member{
		Name:        event.Name,
		Incarnation: event.Incarnation,
	}
	m.dropCandidate(member)
	if e := m.table.get(event.Name); e == nil || e == m.self {
		return
	}
	m.apply(MemberState{
		Member:  member,
		Version: 1,
		Status:  Left,
	})
}

// dropCandidate forgets an announced address whose host is known now.
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
