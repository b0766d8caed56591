// Package follow implements the state machine by which a host follows the
// configuration stream: where it reads from, which peers it pushes records to,
// how it handles gaps, truncation and a log that is unavailable or was reset,
// and whether the host is ready to serve.
//
// # Usage
//
//	follower := follow.New(settings, configuration.New(), random)
//	commands = follower.Step(now, follow.Started{}, commands[:0])
//	for _, command := range commands {
//		...
//	}
//	wake := follower.NextWake()
//
// A few hosts of each zone (the readers), chosen by rendezvous hashing over the
// live members, long-poll the log. Each host pushes records that are new to it
// down a tree of its zone's hosts, and compares heads with a peer each
// RepairInterval. Records missing because a push failed are fetched from the
// peer that has them.
//
// The applied offset never decreases: a record, snapshot or peer's state behind
// it has no effect. A follower owns its state, reads no clock and starts no
// goroutine. It is used by one duty only.
package follow

import (
	"math/rand/v2"
	"time"

	"cactuswell/core/configuration"
	"cactuswell/core/record"
)

const (
	// LongPollWait is the wait time of a long poll of the log.
	LongPollWait = 2 * time.Second
	// RepairInterval is the interval of head comparisons with peers.
	RepairInterval = time.Second
	// DefaultMaxLag is how long a host may be known to lag, or have no contact
	// with the log or a peer, before it becomes not ready.
	DefaultMaxLag = 30 * time.Second
	// DefaultMaxConfirmationAge is how long a host may go without confirmation by
	// the log, directly or through peers, before it becomes not ready.
	DefaultMaxConfirmationAge = time.Hour

	// fallbackAge is the age of the latest confirmation after which a host that
	// is not a reader polls the log itself. Each rank in the zone's rendezvous
	// order up to maxFallbackRank adds fallbackStagger.
	fallbackAge     = 3 * time.Second
	fallbackStagger = 500 * time.Millisecond
	maxFallbackRank = 20

	minRetryDelay          = 250 * time.Millisecond
	maxReaderRetryDelay    = 2 * time.Second
	maxNonReaderRetryDelay = 10 * time.Second
	// blockedRetryDelay is the delay between reads of a stream whose next record
	// has a newer format version.
	blockedRetryDelay = 10 * time.Second

	// peerRetryStep is added to the delay after each consecutive failed call to
	// peers, up to maxPeerRetryDelay.
	peerRetryStep     = 100 * time.Millisecond
	maxPeerRetryDelay = time.Second

	// startStagger is how long a starting host that is not a reader waits, for
	// each rank in the zone's rendezvous order, before it reads the log itself.
	startStagger    = 50 * time.Millisecond
	maxStartStagger = 5 * time.Second

	// startupPeerQueries is the number of peers with which a starting host
	// compares heads.
	startupPeerQueries = 3

	maxRecentRecords = 256
	maxRecentBytes   = 1 << 20
)

// Settings hold a follower's own identity and its readiness limits.
type Settings struct {
	Self Member
	// MaxLag and MaxConfirmationAge default to DefaultMaxLag and
	// DefaultMaxConfirmationAge if they are zero.
	MaxLag             time.Duration
	MaxConfirmationAge time.Duration
}

// Follower is the state machine. It is not safe for concurrent use.
type Follower struct {
	settings Settings
	// now is the time of the latest event.
	now    time.Time
	random *rand.Rand
	state  *configuration.State
	// stateChanged is true if the state changed since the last TakeStateChanged.
	stateChanged  bool
	recentRecords []Record
	recentBytes   int

	members  []Member
	zoneTree tree
	// hadPeers is true once another live host has been known.
	hadPeers bool

	log   logState
	peers peerState
	// started is true once the state was compared with the log or with the peers
	// that could be reached.
	started   bool
	startedAt time.Time
	// contactAt is the latest time at which the log or a peer answered and had no
	// newer record.
	contactAt time.Time
	// confirmedAt is the latest time at which the log, directly or through
	// peers, had no newer record.
	confirmedAt time.Time
	// blockedAt is the time at which a record of a newer version blocked the
	// state.
	blockedAt time.Time
	alarms    map[AlarmKind]uint64
	commands  []Command
}

// New returns a follower that is idle until Started. It continues from the
// given state and takes ownership of it.
func New(settings Settings, state *configuration.State, random *rand.Rand) *Follower {
	if settings.MaxLag == 0 {
		settings.MaxLag = DefaultMaxLag
	}
	if settings.MaxConfirmationAge == 0 {
		settings.MaxConfirmationAge = DefaultMaxConfirmationAge
	}
	return &Follower{
		settings: settings,
		random:   random,
		state:    state,
		zoneTree: newTree(settings.Self, nil),
		peers: peerState{
			queried:   make(map[string]bool),
			divergent: make(map[string]bool),
		},
		alarms: make(map[AlarmKind]uint64),
	}
}

// Step handles one event and appends the resulting commands.
func (f *Follower) Step(now time.Time, event Event, commands []Command) []Command {
	f.commands = commands
	f.now = now
	before := f.state.NextOffset()
	switch event := event.(type) {
	case Started:
		f.startedAt = now
		f.contactAt = now
	case Tick:
	case MembersChanged:
		f.handleMembersChanged(event)
	case LogRead:
		f.handleLogRead(now, event)
	case LogTruncated:
		f.handleLogTruncated(now, event)
	case LogReadFailed:
		f.handleLogFailure(now)
	case SnapshotsRead:
		f.handleSnapshotsRead(now, event)
	case RecordAppended:
		f.log.targetOffset = max(f.log.targetOffset, event.Offset+1)
	case RecordsPushed:
		f.handlePushedRecords(now, event)
	case HeadAdvertised:
		f.handleAdvertisedHead(now, event.Peer, event.NextOffset)
	case HeadReceived:
		f.handleHeadResponse(now, event)
	case RecordsFetched:
		f.handleFetchedRecords(now, event)
	case StateFetched:
		f.handleFetchedState(now, event)
	case PeerCallFailed:
		f.handlePeerFailure(now, event)
	}
	f.pushNewRecords(before)
	f.updateStarted(now)
	f.requestLogRead(now)
	f.queryPeer(now)
	commands = f.commands
	f.commands = nil
	return commands
}

// NextWake returns the time by which the follower needs a Tick.
func (f *Follower) NextWake() time.Time {
	wake := f.peers.nextComparisonAt
	if !f.log.readPending && f.log.retryAt.After(f.now) && f.log.retryAt.Before(wake) {
		wake = f.log.retryAt
	}
	return wake
}

// State returns the state, which the caller must not modify or retain; use Clone
// to retain a copy.
func (f *Follower) State() *configuration.State { return f.state }

// RecentRecords returns the latest records, which the caller must not modify.
func (f *Follower) RecentRecords() []Record { return f.recentRecords }

// ConfirmedAt returns the latest time at which the log, directly or through
// peers, had no newer record than the state, or the zero time.
func (f *Follower) ConfirmedAt() time.Time { return f.confirmedAt }

// IsReader reports whether this host is one of its zone's readers of the log.
func (f *Follower) IsReader() bool { return f.zoneTree.isReader() }

// Alarms returns how often each alarm was raised.
func (f *Follower) Alarms() map[AlarmKind]uint64 { return f.alarms }

// TakeStateChanged reports whether the state changed since the last call.
func (f *Follower) TakeStateChanged() bool {
	changed := f.stateChanged
	f.stateChanged = false
	return changed
}

func (f *Follower) emit(command Command) {
	f.commands = append(f.commands, command)
}

func (f *Follower) raiseAlarm(kind AlarmKind, peer string, other record.Offset) {
	f.alarms[kind]++
	f.emit(Alarm{
		Kind:        kind,
		Peer:        peer,
		OwnOffset:   f.state.NextOffset(),
		OtherOffset: other,
	})
}

func (f *Follower) handleMembersChanged(event MembersChanged) {
	f.members = event.Members
	f.zoneTree = newTree(f.settings.Self, event.Members)
	f.hadPeers = f.hadPeers || len(event.Members) > 0
	if f.peers.headPeer != "" && !f.isLive(f.peers.headPeer) {
		f.clearHead()
	}
	for peer := range f.peers.divergent {
		if !f.isLive(peer) {
			delete(f.peers.divergent, peer)
		}
	}
}

func (f *Follower) isLive(name string) bool {
	for _, member := range f.members {
		if member.Name == name {
			return true
		}
	}
	return false
}

// applyFromPeer applies records from a peer, unless the digest shows that the
// peer has applied other records before them. It reports false if the records
// leave a gap.
func (f *Follower) applyFromPeer(peer string, records []Record) bool {
	for _, next := range records {
		if next.Offset == f.state.NextOffset() && next.DigestBefore != f.state.Digest() {
			f.markDivergent(peer, next.Offset)
			return true
		}
	}
	return f.apply(records)
}

// apply applies the records that continue the state. It reports false if they
// leave a gap.
func (f *Follower) apply(records []Record) bool {
	for _, next := range records {
		wasBlocked := f.state.BlockedBy() != nil
		next.DigestBefore = f.state.Digest()
		switch f.state.Apply(next.Offset, next.Data).Verdict {
		case configuration.VerdictAlreadyApplied:
		case configuration.VerdictGap:
			return false
		case configuration.VerdictNewerVersion:
			f.stateChanged = true
			if !wasBlocked {
				f.blockedAt = f.now
				f.raiseAlarm(AlarmNewerRecord, "", next.Offset)
			}
			return true
		default:
			f.stateChanged = true
			f.storeRecent(next)
		}
	}
	return true
}

// adoptState replaces the state by the given one if that is ahead.
func (f *Follower) adoptState(state *configuration.State) {
	if state.NextOffset() <= f.state.NextOffset() {
		return
	}
	f.state = state
	f.stateChanged = true
	f.recentRecords = nil
	f.recentBytes = 0
	f.log.lastRecordVerified = false
}

func (f *Follower) storeRecent(next Record) {
	f.recentRecords = append(f.recentRecords, next)
	f.recentBytes += len(next.Data)
	for len(f.recentRecords) > maxRecentRecords || f.recentBytes > maxRecentBytes {
		f.recentBytes -= len(f.recentRecords[0].Data)
		f.recentRecords = f.recentRecords[1:]
	}
}

// pushNewRecords pushes the records that were applied since the next offset was
// before. Records that were adopted as part of a state are not pushed; the
// peers get them by head comparison.
func (f *Follower) pushNewRecords(before record.Offset) {
	first := 0
	for first < len(f.recentRecords) && f.recentRecords[first].Offset < before {
		first++
	}
	targets := f.zoneTree.pushTargets()
	if !f.started || first == len(f.recentRecords) || len(targets) == 0 {
		return
	}
	f.emit(PushRecords{
		Peers:   targets,
		Records: f.recentRecords[first:],
	})
}

// recordContact records that the log or a peer had no newer record at the given
// time.
func (f *Follower) recordContact(at time.Time) {
	if at.After(f.contactAt) {
		f.contactAt = at
	}
}

func (f *Follower) recordConfirmation(at time.Time) {
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}
