package peer

import (
	"cmp"
	"slices"
	"time"

	"cactuswell/core/replica"
)

// ranking is what the hosts that are known and live imply for relays, readers and hellos.
// It is computed again only after one of them has changed, as each message and each check
// of a host asks for it.
type ranking struct {
	// relays holds the first candidate of each zone other than this host.
	relays map[string]*peerHost
	// isRelay reports whether this host is the relay of its zone, and reader is its position
	// among the readers of the store.
	isRelay bool
	reader  replica.Reader
	// candidates is the number of other candidates, and before the number of those that
	// precede this host.
	candidates int
	before     int
	// byRank holds all other hosts in the order in which they get hellos.
	byRank []*peerHost
	// expiresAt is when the next host that has sent no message is no longer a candidate,
	// or zero.
	expiresAt time.Time
}

// ranking returns the current ranking. The caller must hold m.mu.
func (m *Mesh) ranking(now time.Time) *ranking {
	current := m.currentRanking
	if current == nil || !current.expiresAt.IsZero() && !now.Before(current.expiresAt) {
		current = m.newRanking(now)
		m.currentRanking = current
		m.rankingCount++
	}
	return current
}

func (m *Mesh) newRanking(now time.Time) *ranking {
	self := m.self()
	r := &ranking{
		relays: make(map[string]*peerHost),
		byRank: make([]*peerHost, 0, len(m.hosts)),
	}
	members := make([]replica.Member, 0, len(m.hosts))
	for _, h := range m.hosts {
		r.byRank = append(r.byRank, h)
		if !h.isCandidate(now) {
			continue
		}
		if !h.alive {
			expiresAt := h.addedAt.Add(silenceTimeout)
			if r.expiresAt.IsZero() || expiresAt.Before(r.expiresAt) {
				r.expiresAt = expiresAt
			}
		}
		members = append(members, h.member)
		if h.member.Compare(self) < 0 {
			r.before++
		}
		if relay := r.relays[h.zone]; relay == nil || h.member.Compare(relay.member) < 0 {
			r.relays[h.zone] = h
		}
	}
	slices.SortFunc(r.byRank, func(a, b *peerHost) int { return cmp.Compare(a.member.Rank, b.member.Rank) })
	relay := r.relays[m.Zone]
	r.isRelay = relay == nil || self.Compare(relay.member) < 0
	r.reader = replica.ReaderOf(self, members)
	r.candidates = len(members)
	return r
}
