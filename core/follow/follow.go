// Package follow decides how a host keeps up with the configuration stream:
// from where it reads, to whom it hands records down, what it does about gaps,
// truncation and a log that is down or was reset, and whether it is fit to
// serve.
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
// A few hosts of each zone, chosen by rendezvous hash over the live members,
// long-poll the log. Each host hands what is new to it down a tree of its
// zone's hosts, and compares heads with a peer each RepairInterval. What was
// lost on the way is fetched from the peer that has it.
//
// The applied offset only grows: a record, snapshot or peer's state behind it
// has no effect. A follower owns its state, reads no clock and starts no
// goroutine; the caller owns it from one duty.
package follow

import (
	"math/rand/v2"
	"time"

	"cactuswell/core/configuration"
	"cactuswell/core/record"
)

const (
	// LongPollWait is how long the log may hold back the answer to a long poll.
	LongPollWait = 2 * time.Second
	// RepairInterval separates comparisons of heads with peers.
	RepairInterval = time.Second
	// DefaultMaxLag is how long a host may know that it is behind, or hear
	// from neither the log nor a peer, before it leaves readiness.
	DefaultMaxLag = 30 * time.Second
	// DefaultMaxConfirmationAge is how long a host may go on without word from the
	// log, directly or through peers, before it leaves readiness.
	DefaultMaxConfirmationAge = time.Hour

	// fallbackAfter is how old the log's confirmation may be before a host that
	// is no reader asks the log itself, later by fallbackStagger for each place
	// in the zone's order up to maxFallbackPlace.
	fallbackAfter    = 3 * time.Second
	fallbackStagger  = 500 * time.Millisecond
	maxFallbackPlace = 20

	firstRetryDelay     = 250 * time.Millisecond
	maxReaderRetryDelay = 2 * time.Second
	maxOtherRetryDelay  = 10 * time.Second
	// blockedRetryDelay separates reads of a stream that goes on with a record
	// of a newer format.
	blockedRetryDelay = 10 * time.Second

	// maxPeerRetryDelay bounds the pause after calls to peers that failed.
	peerRetryStep     = 100 * time.Millisecond
	maxPeerRetryDelay = time.Second

	// startStagger is how long a starting host waits for its peers, for each
	// place in the zone's order, before it reads the log itself.
	startStagger    = 50 * time.Millisecond
	maxStartStagger = 5 * time.Second

	// peersAtStart is how many peers a starting host compares heads with.
	peersAtStart = 3

	maxRecentRecords = 256
	maxRecentBytes   = 1 << 20
)

// Settings are a follower's bounds and its own name.
type Settings struct {
	Self Member
	// MaxLag and ConfirmBound default to DefaultLagBound and
	// DefaultConfirmBound when they are zero.
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
	// changed tells that the state changed since TakeChanged.
	changed bool
	recent  []Record
	bytes   int

	members  []Member
	zoneTree tree
	// hadPeers tells that there was another live host at any time.
	hadPeers bool

	log  logState
	peer peerState
	// started tells that the state was compared with the log or with peers as
	// far as they could be reached.
	started   bool
	startedAt time.Time
	// contactAt is the latest time at which the log or a peer was heard that
	// had nothing newer.
	contactAt time.Time
	// confirmedAt is the latest time at which the log, directly or through
	// peers, had nothing newer.
	confirmedAt time.Time
	// blockedAt is since when the stream goes on with a newer record.
	blockedAt time.Time
	alarms    map[AlarmKind]uint64
	out       []Command
}

// New returns a follower that does nothing until Started. It goes on from the
// given state, which it takes over.
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
		peer: peerState{
			asked:     make(map[string]bool),
			divergent: make(map[string]bool),
		},
		alarms: make(map[AlarmKind]uint64),
	}
}

// Step takes one event and appends the commands that follow from it.
func (f *Follower) Step(now time.Time, event Event, commands []Command) []Command {
	f.out = commands
	f.now = now
	before := f.state.NextOffset()
	switch event := event.(type) {
	case Started:
		f.startedAt = now
		f.contactAt = now
	case Tick:
	case MembersChanged:
		f.membersChanged(event)
	case LogRead:
		f.logAnswered(now, event)
	case LogTruncated:
		f.logTruncated(now, event)
	case LogReadFailed:
		f.logFailed(now)
	case SnapshotsRead:
		f.snapshotsRead(now, event)
	case RecordAppended:
		f.log.wanted = max(f.log.wanted, event.Offset+1)
	case RecordsPushed:
		f.pushed(now, event)
	case HeadAdvertised:
		f.headHeard(now, event.Peer, event.NextOffset)
	case HeadReceived:
		f.headAnswered(now, event)
	case RecordsFetched:
		f.fetched(now, event)
	case StateFetched:
		f.stateFetched(now, event)
	case PeerCallFailed:
		f.peerFailed(now, event)
	}
	f.handDown(before)
	f.checkStarted(now)
	f.readLog(now)
	f.askPeer(now)
	commands = f.out
	f.out = nil
	return commands
}

// NextWake returns when the follower wants a TimePassed at the latest.
func (f *Follower) NextWake() time.Time {
	wake := f.peer.nextAt
	if !f.log.busy && f.log.retryAt.After(f.now) && f.log.retryAt.Before(wake) {
		wake = f.log.retryAt
	}
	return wake
}

// State returns the reduced state, which the caller must not change or keep;
// Clone makes a copy to keep.
func (f *Follower) State() *configuration.State { return f.state }

// RecentRecords returns the latest records, which the caller must not change.
func (f *Follower) RecentRecords() []Record { return f.recent }

// ConfirmedAt returns the latest time at which the log, directly or through
// peers, had no record that the state lacks, or the zero time.
func (f *Follower) ConfirmedAt() time.Time { return f.confirmedAt }

// IsReader reports whether this host is one of its zone's readers of the log.
func (f *Follower) IsReader() bool { return f.zoneTree.isReader() }

// Alarms returns how often each alarm was given.
func (f *Follower) Alarms() map[AlarmKind]uint64 { return f.alarms }

// TakeStateChanged reports whether the state changed since the latest call.
func (f *Follower) TakeStateChanged() bool {
	changed := f.changed
	f.changed = false
	return changed
}

func (f *Follower) emit(command Command) {
	f.out = append(f.out, command)
}

func (f *Follower) alarm(kind AlarmKind, peer string, other record.Offset) {
	f.alarms[kind]++
	f.emit(Alarm{
		Kind:        kind,
		Peer:        peer,
		OwnOffset:   f.state.NextOffset(),
		OtherOffset: other,
	})
}

func (f *Follower) membersChanged(event MembersChanged) {
	f.members = event.Members
	f.zoneTree = newTree(f.settings.Self, event.Members)
	f.hadPeers = f.hadPeers || len(event.Members) > 0
	if f.peer.headFrom != "" && !f.isLive(f.peer.headFrom) {
		f.forgetHead()
	}
	for peer := range f.peer.divergent {
		if !f.isLive(peer) {
			delete(f.peer.divergent, peer)
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

// applyOf reduces the records of a peer, unless it has reduced others before
// them.
func (f *Follower) applyOf(peer string, records []Record) bool {
	for _, next := range records {
		if next.Offset == f.state.NextOffset() && next.DigestBefore != f.state.Digest() {
			f.foundDivergent(peer, next.Offset)
			return true
		}
	}
	return f.apply(records)
}

// apply reduces the records that continue the state. It reports false if they
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
			f.changed = true
			if !wasBlocked {
				f.blockedAt = f.now
				f.alarm(AlarmNewerRecord, "", next.Offset)
			}
			return true
		default:
			f.changed = true
			f.keep(next)
		}
	}
	return true
}

// adopt takes over a whole state if it is ahead.
func (f *Follower) adopt(state *configuration.State) {
	if state.NextOffset() <= f.state.NextOffset() {
		return
	}
	f.state = state
	f.changed = true
	f.recent = nil
	f.bytes = 0
	f.log.verified = false
}

func (f *Follower) keep(next Record) {
	f.recent = append(f.recent, next)
	f.bytes += len(next.Data)
	for len(f.recent) > maxRecentRecords || f.bytes > maxRecentBytes {
		f.bytes -= len(f.recent[0].Data)
		f.recent = f.recent[1:]
	}
}

// handDown pushes what the state gained since it stood at before. Records that
// came as part of a whole state are left to repair.
func (f *Follower) handDown(before record.Offset) {
	first := 0
	for first < len(f.recent) && f.recent[first].Offset < before {
		first++
	}
	targets := f.zoneTree.targets()
	if !f.started || first == len(f.recent) || len(targets) == 0 {
		return
	}
	f.emit(PushRecords{
		Peers:   targets,
		Records: f.recent[first:],
	})
}

// caughtUpWith notes word at the given time that there is nothing newer.
func (f *Follower) caughtUpWith(at time.Time) {
	if at.After(f.contactAt) {
		f.contactAt = at
	}
}

func (f *Follower) confirm(at time.Time) {
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}
