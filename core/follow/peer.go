package follow

import (
	"time"

	"cactuswell/core/record"
)

// peerState is what the follower knows of its peers.
type peerState struct {
	// busy tells that a call to a peer is unanswered.
	busy bool
	// nextAt is when heads are compared next.
	nextAt   time.Time
	failures int
	round    int
	// asked holds the peers that answered or failed since the start.
	asked map[string]bool
	// answered tells that some peer gave its head since the start.
	answered bool
	// head is the highest offset heard of, with the peer that named it and the
	// time since which the follower is behind it.
	head      record.Offset
	headFrom  string
	headSince time.Time
	divergent map[string]bool
}

// askPeer compares heads with a peer when it is time, and at once while peers
// are still to be asked after the start.
func (f *Follower) askPeer(now time.Time) {
	if f.peer.busy || len(f.members) == 0 {
		f.delayComparison(now)
		return
	}
	if f.behind() && f.isLive(f.peer.headFrom) {
		f.delayComparison(now)
		f.fetchFrom(f.peer.headFrom)
		return
	}
	if now.Before(f.peer.nextAt) && f.askedEnough() {
		return
	}
	f.peer.busy = true
	jitter := time.Duration(f.random.Int64N(int64(RepairInterval * 2 / 5)))
	f.peer.nextAt = now.Add(RepairInterval*4/5 + jitter)
	f.emit(QueryHead{
		Peer: f.choosePeer(),
	})
}

// delayComparison puts off a comparison that is due.
func (f *Follower) delayComparison(now time.Time) {
	if !f.peer.nextAt.After(now) {
		f.peer.nextAt = now.Add(RepairInterval)
	}
}

// choosePeer takes in turn the parent in the tree, a random peer of the zone
// and a random peer of any zone. After the start it takes peers that were not
// asked yet.
func (f *Follower) choosePeer() string {
	if !f.askedEnough() {
		return f.unaskedPeer()
	}
	f.peer.round++
	switch f.peer.round % 3 {
	case 0:
		if parent, ok := f.zoneTree.parent(); ok {
			return parent
		}
	case 1:
		if name := f.zoneTree.names[f.random.IntN(len(f.zoneTree.names))]; name != f.settings.Self.Name {
			return name
		}
	}
	return f.members[f.random.IntN(len(f.members))].Name
}

func (f *Follower) unaskedPeer() string {
	var unasked []string
	for _, member := range f.members {
		if !f.peer.asked[member.Name] {
			unasked = append(unasked, member.Name)
		}
	}
	return unasked[f.random.IntN(len(unasked))]
}

func (f *Follower) askedEnough() bool {
	if len(f.peer.asked) >= peersAtStart {
		return true
	}
	for _, member := range f.members {
		if !f.peer.asked[member.Name] {
			return false
		}
	}
	return true
}

// fetchFrom asks for records, or for the whole state if this host has none.
func (f *Follower) fetchFrom(peer string) {
	f.peer.busy = true
	if f.state.NextOffset() == 0 {
		f.emit(FetchState{Peer: peer})
		return
	}
	f.emit(FetchRecords{
		Peer: peer,
		From: f.state.NextOffset(),
	})
}

func (f *Follower) behind() bool {
	return f.peer.head > f.state.NextOffset()
}

func (f *Follower) headHeard(now time.Time, peer string, next record.Offset) {
	if next <= f.state.NextOffset() || next <= f.peer.head || f.peer.divergent[peer] {
		return
	}
	if !f.behind() {
		f.peer.headSince = now
	}
	f.peer.head = next
	f.peer.headFrom = peer
}

func (f *Follower) forgetHead() {
	f.peer.head = 0
	f.peer.headFrom = ""
}

func (f *Follower) headAnswered(now time.Time, event HeadReceived) {
	f.peerAnswered(event.Peer)
	if digest, known := f.digestAt(event.NextOffset); known {
		if digest != event.Digest {
			f.foundDivergent(event.Peer, event.NextOffset)
			return
		}
		delete(f.peer.divergent, event.Peer)
	}
	if event.NextOffset > f.state.NextOffset() {
		f.headHeard(now, event.Peer, event.NextOffset)
		return
	}
	f.noNewerAt(now, event.Peer)
	if event.NextOffset == f.state.NextOffset() {
		f.confirm(event.ConfirmedAt)
	}
}

// foundDivergent notes a peer that has followed another stream. Nothing is taken
// from it until it agrees again.
func (f *Follower) foundDivergent(peer string, next record.Offset) {
	if !f.peer.divergent[peer] {
		f.alarm(AlarmDivergentPeer, peer, next)
	}
	f.peer.divergent[peer] = true
	if f.peer.headFrom == peer {
		f.forgetHead()
	}
}

// digestAt returns the digest of the state as it was in front of an offset, if
// that is still known.
func (f *Follower) digestAt(next record.Offset) (uint64, bool) {
	if next == f.state.NextOffset() {
		return f.state.Digest(), true
	}
	for _, one := range f.recent {
		if one.Offset == next {
			return one.DigestBefore, true
		}
	}
	return 0, false
}

// noNewerAt notes that a peer has nothing newer.
func (f *Follower) noNewerAt(now time.Time, peer string) {
	if f.peer.headFrom == peer {
		f.forgetHead()
	}
	if !f.behind() {
		f.caughtUpWith(now)
	}
}

func (f *Follower) pushed(now time.Time, event RecordsPushed) {
	if f.peer.divergent[event.From] || f.applyOf(event.From, event.Records) {
		return
	}
	last := event.Records[len(event.Records)-1]
	f.headHeard(now, event.From, last.Offset+1)
}

func (f *Follower) fetched(now time.Time, event RecordsFetched) {
	f.peerAnswered(event.Peer)
	before := f.state.NextOffset()
	if !f.applyOf(event.Peer, event.Records) || (len(event.Records) == 0 && event.NextOffset > before) {
		f.peer.busy = true
		f.emit(FetchState{Peer: event.Peer})
		return
	}
	f.fetchEnded(now, event.Peer, before, event.NextOffset)
}

func (f *Follower) stateFetched(now time.Time, event StateFetched) {
	f.peerAnswered(event.Peer)
	before := f.state.NextOffset()
	f.adopt(event.State)
	f.fetchEnded(now, event.Peer, before, event.State.NextOffset())
}

// fetchEnded gives up on a peer that has not what it named, so that the next
// comparison tries another one.
func (f *Follower) fetchEnded(now time.Time, peer string, before, next record.Offset) {
	switch {
	case f.peer.divergent[peer]:
	case next <= f.state.NextOffset():
		f.noNewerAt(now, peer)
	case f.state.NextOffset() == before:
		f.peer.headFrom = ""
	}
}

func (f *Follower) peerAnswered(peer string) {
	f.peer.busy = false
	f.peer.answered = true
	f.peer.failures = 0
	f.noteAsked(peer)
}

func (f *Follower) peerFailed(now time.Time, event PeerCallFailed) {
	f.peer.busy = false
	f.peer.failures++
	f.peer.nextAt = now.Add(min(time.Duration(f.peer.failures)*peerRetryStep, maxPeerRetryDelay))
	f.noteAsked(event.Peer)
	if f.peer.headFrom == event.Peer {
		// The head stays known, so that the host goes on saying that it is
		// behind; another peer is asked for it.
		f.peer.headFrom = ""
	}
}

func (f *Follower) noteAsked(peer string) {
	if len(f.peer.asked) < peersAtStart {
		f.peer.asked[peer] = true
	}
}
