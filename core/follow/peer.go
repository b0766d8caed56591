package follow

import (
	"time"

	"cactuswell/core/record"
)

// peerState is the follower's view of its peers.
type peerState struct {
	// callPending is true while a call to a peer is outstanding.
	callPending bool
	// nextComparisonAt is the time of the next head comparison.
	nextComparisonAt    time.Time
	consecutiveFailures int
	comparisonRound     int
	// queried holds the peers that answered or failed since the start, up to
	// startupPeerQueries.
	queried map[string]bool
	// anyResponse is true once a peer has answered since the start.
	anyResponse bool
	// highestHead is the highest known head, headPeer the peer that reported it,
	// and laggingSince the time since which the state is behind it.
	highestHead  record.Offset
	headPeer     string
	laggingSince time.Time
	divergent    map[string]bool
}

// queryPeer fetches missing records from the peer that has them, or compares
// heads with a peer if a comparison is due. During the start it compares heads
// without delay until enough peers were queried.
func (f *Follower) queryPeer(now time.Time) {
	if f.peers.callPending || len(f.members) == 0 {
		f.postponeComparison(now)
		return
	}
	if f.isBehind() && f.isLive(f.peers.headPeer) {
		f.postponeComparison(now)
		f.fetchFrom(f.peers.headPeer)
		return
	}
	if now.Before(f.peers.nextComparisonAt) && f.queriedEnoughPeers() {
		return
	}
	f.peers.callPending = true
	jitter := time.Duration(f.random.Int64N(int64(RepairInterval * 2 / 5)))
	f.peers.nextComparisonAt = now.Add(RepairInterval*4/5 + jitter)
	f.emit(QueryHead{
		Peer: f.choosePeer(),
	})
}

// postponeComparison reschedules a comparison that is due.
func (f *Follower) postponeComparison(now time.Time) {
	if !f.peers.nextComparisonAt.After(now) {
		f.peers.nextComparisonAt = now.Add(RepairInterval)
	}
}

// choosePeer rotates between the parent in the tree, a random peer of the zone
// and a random peer of any zone. During the start it chooses peers that were not
// queried yet.
func (f *Follower) choosePeer() string {
	if !f.queriedEnoughPeers() {
		return f.chooseUnqueriedPeer()
	}
	f.peers.comparisonRound++
	switch f.peers.comparisonRound % 3 {
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

func (f *Follower) chooseUnqueriedPeer() string {
	var unqueried []string
	for _, member := range f.members {
		if !f.peers.queried[member.Name] {
			unqueried = append(unqueried, member.Name)
		}
	}
	return unqueried[f.random.IntN(len(unqueried))]
}

func (f *Follower) queriedEnoughPeers() bool {
	if len(f.peers.queried) >= startupPeerQueries {
		return true
	}
	for _, member := range f.members {
		if !f.peers.queried[member.Name] {
			return false
		}
	}
	return true
}

// fetchFrom requests records, or the complete state if this host has none.
func (f *Follower) fetchFrom(peer string) {
	f.peers.callPending = true
	if f.state.NextOffset() == 0 {
		f.emit(FetchState{Peer: peer})
		return
	}
	f.emit(FetchRecords{
		Peer: peer,
		From: f.state.NextOffset(),
	})
}

func (f *Follower) isBehind() bool {
	return f.peers.highestHead > f.state.NextOffset()
}

func (f *Follower) handleAdvertisedHead(now time.Time, peer string, next record.Offset) {
	if next <= f.state.NextOffset() || next <= f.peers.highestHead || f.peers.divergent[peer] {
		return
	}
	if !f.isBehind() {
		f.peers.laggingSince = now
	}
	f.peers.highestHead = next
	f.peers.headPeer = peer
}

func (f *Follower) clearHead() {
	f.peers.highestHead = 0
	f.peers.headPeer = ""
}

func (f *Follower) handleHeadResponse(now time.Time, event HeadReceived) {
	f.recordPeerResponse(event.Peer)
	if digest, known := f.digestAt(event.NextOffset); known {
		if digest != event.Digest {
			f.markDivergent(event.Peer, event.NextOffset)
			return
		}
		delete(f.peers.divergent, event.Peer)
	}
	if event.NextOffset > f.state.NextOffset() {
		f.handleAdvertisedHead(now, event.Peer, event.NextOffset)
		return
	}
	f.recordPeerUpToDate(now, event.Peer)
	if event.NextOffset == f.state.NextOffset() {
		f.recordConfirmation(event.ConfirmedAt)
	}
}

// markDivergent records that a peer has followed another stream. Its records are
// not applied until its digest agrees again.
func (f *Follower) markDivergent(peer string, next record.Offset) {
	if !f.peers.divergent[peer] {
		f.raiseAlarm(AlarmDivergentPeer, peer, next)
	}
	f.peers.divergent[peer] = true
	if f.peers.headPeer == peer {
		f.clearHead()
	}
}

// digestAt returns the digest that the state had when its next offset was next,
// if that is still known.
func (f *Follower) digestAt(next record.Offset) (uint64, bool) {
	if next == f.state.NextOffset() {
		return f.state.Digest(), true
	}
	for _, recent := range f.recentRecords {
		if recent.Offset == next {
			return recent.DigestBefore, true
		}
	}
	return 0, false
}

// recordPeerUpToDate records that a peer has no newer record.
func (f *Follower) recordPeerUpToDate(now time.Time, peer string) {
	if f.peers.headPeer == peer {
		f.clearHead()
	}
	if !f.isBehind() {
		f.recordContact(now)
	}
}

func (f *Follower) handlePushedRecords(now time.Time, event RecordsPushed) {
	if f.peers.divergent[event.From] || f.applyFromPeer(event.From, event.Records) {
		return
	}
	last := event.Records[len(event.Records)-1]
	f.handleAdvertisedHead(now, event.From, last.Offset+1)
}

func (f *Follower) handleFetchedRecords(now time.Time, event RecordsFetched) {
	f.recordPeerResponse(event.Peer)
	before := f.state.NextOffset()
	if !f.applyFromPeer(event.Peer, event.Records) || (len(event.Records) == 0 && event.NextOffset > before) {
		f.peers.callPending = true
		f.emit(FetchState{Peer: event.Peer})
		return
	}
	f.finishFetch(now, event.Peer, before, event.NextOffset)
}

func (f *Follower) handleFetchedState(now time.Time, event StateFetched) {
	f.recordPeerResponse(event.Peer)
	before := f.state.NextOffset()
	f.adoptState(event.State)
	f.finishFetch(now, event.Peer, before, event.State.NextOffset())
}

// finishFetch evaluates a fetch. It clears headPeer if the peer did not deliver
// the records of its reported head, so that the next comparison tries another
// peer.
func (f *Follower) finishFetch(now time.Time, peer string, before, next record.Offset) {
	switch {
	case f.peers.divergent[peer]:
	case next <= f.state.NextOffset():
		f.recordPeerUpToDate(now, peer)
	case f.state.NextOffset() == before:
		f.peers.headPeer = ""
	}
}

func (f *Follower) recordPeerResponse(peer string) {
	f.peers.callPending = false
	f.peers.anyResponse = true
	f.peers.consecutiveFailures = 0
	f.markQueried(peer)
}

func (f *Follower) handlePeerFailure(now time.Time, event PeerCallFailed) {
	f.peers.callPending = false
	f.peers.consecutiveFailures++
	f.peers.nextComparisonAt = now.Add(min(time.Duration(f.peers.consecutiveFailures)*peerRetryStep, maxPeerRetryDelay))
	f.markQueried(event.Peer)
	if f.peers.headPeer == event.Peer {
		// The highest head is kept, so that the host still counts as lagging;
		// the records are fetched from another peer.
		f.peers.headPeer = ""
	}
}

func (f *Follower) markQueried(peer string) {
	if len(f.peers.queried) < startupPeerQueries {
		f.peers.queried[peer] = true
	}
}
