package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactuswell/core/configuration"
	"cactuswell/core/profile"
	"cactuswell/core/record"
)

var epoch = time.Unix(1_000_000, 0)

// stream returns records that change one profile again and again.
func stream(t testing.TB, length int) []Record {
	t.Helper()
	var records []Record
	state := configuration.New()
	for i := range length {
		data, err := configuration.Encode(fmt.Sprint(i), "", 0, configuration.ProfileChange{
			Name:         "briefing",
			BaseRevision: uint64(i),
			Spec: &profile.Spec{
				Name:     "briefing",
				Class:    "briefing",
				Kind:     profile.KindModel,
				Pool:     "drafting",
				TargetMs: int64(i + 1),
			},
			AsOf: record.Offset(i),
		})
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, Record{
			Offset:       record.Offset(i),
			Data:         data,
			DigestBefore: state.Digest(),
		})
		state.Apply(record.Offset(i), data)
	}
	return records
}

func stateAt(records []Record, next int) *configuration.State {
	state := configuration.New()
	for _, one := range records[:next] {
		state.Apply(one.Offset, one.Data)
	}
	return state
}

func newFollower(peers int) *Follower {
	follower := New(Settings{
		Self: Member{
			Name: "self",
			Zone: "alm-a",
		},
	}, configuration.New(), rand.New(rand.NewPCG(1, 1)))
	follower.Step(epoch, MembersChanged{Members: members(peers, "alm-a")}, nil)
	return follower
}

// model plays the surroundings of a follower with arbitrary answers.
type model struct {
	t        *rapid.T
	records  []Record
	follower *Follower
	now      time.Time
	log      Command
	peer     Command
}

func (m *model) step(event Event) {
	before := m.follower.State().NextOffset()
	for _, command := range m.follower.Step(m.now, event, nil) {
		switch command.(type) {
		case ReadLog, ReadSnapshots:
			if m.log != nil {
				m.t.Fatalf("%#v while %#v is unanswered", command, m.log)
			}
			m.log = command
		case QueryHead, FetchRecords, FetchState:
			if m.peer != nil {
				m.t.Fatalf("%#v while %#v is unanswered", command, m.peer)
			}
			m.peer = command
		}
	}
	next := m.follower.State().NextOffset()
	if next < before {
		m.t.Fatalf("next offset went back from %d to %d at %#v", before, next, event)
	}
	if entry, ok := m.follower.State().Entry("briefing"); ok && entry.Revision != uint64(next) {
		m.t.Fatalf("revision %d in front of offset %d", entry.Revision, next)
	}
	if !m.follower.NextWake().After(m.now) {
		m.t.Fatalf("wants to be woken at %v, now is %v", m.follower.NextWake(), m.now)
	}
	if m.follower.Readiness(m.now) == ReasonNone && next == 0 {
		m.t.Fatal("ready without any record")
	}
}

func (m *model) offset(label string) int {
	return rapid.IntRange(0, len(m.records)).Draw(m.t, label)
}

func (m *model) slice() []Record {
	first := m.offset("first")
	return m.records[first:rapid.IntRange(first, len(m.records)).Draw(m.t, "last")]
}

func (m *model) answerLog() {
	command := m.log
	m.log = nil
	read, isRead := command.(ReadLog)
	answers := []Event{LogReadFailed{}}
	if isRead {
		first := min(int(read.From), len(m.records))
		answers = append(answers,
			LogTruncated{OldestOffset: record.Offset(m.offset("oldest"))},
			LogRead{NextOffset: record.Offset(m.offset("next"))},
			LogRead{
				Records:    m.records[first:rapid.IntRange(first, len(m.records)).Draw(m.t, "last")],
				NextOffset: record.Offset(len(m.records)),
			})
	} else {
		answers = append(answers, SnapshotsRead{}, SnapshotsRead{State: stateAt(m.records, m.offset("snapshot"))})
	}
	m.step(rapid.SampledFrom(answers).Draw(m.t, "answer of the log"))
}

func (m *model) answerPeer() {
	command := m.peer
	m.peer = nil
	next := record.Offset(m.offset("peer's next"))
	var event Event
	switch command := command.(type) {
	case QueryHead:
		event = HeadReceived{
			Peer:        command.Peer,
			NextOffset:  next,
			Digest:      stateAt(m.records, int(next)).Digest(),
			ConfirmedAt: m.now.Add(-time.Second),
		}
	case FetchRecords:
		event = RecordsFetched{Peer: command.Peer, Records: m.slice(), NextOffset: next}
	case FetchState:
		event = StateFetched{Peer: command.Peer, State: stateAt(m.records, int(next))}
	}
	if rapid.IntRange(0, 3).Draw(m.t, "peer fails") == 0 {
		event = PeerCallFailed{Peer: "host-0"}
	}
	m.step(event)
}

// TestFollowerUnderArbitraryEvents checks for any order of events that the
// offset only grows, that no two calls to the log or to peers are under way at a
// time, and that the follower never wants to be woken at once again.
func TestFollowerUnderArbitraryEvents(t *testing.T) {
	records := stream(t, 12)
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t:        t,
			records:  records,
			follower: newFollower(0),
			now:      epoch,
		}
		m.step(Started{})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch choice := rapid.IntRange(0, 8).Draw(t, "step"); {
			case choice == 0:
				m.now = m.follower.NextWake()
				m.step(Tick{})
			case choice == 1:
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 40_000).Draw(t, "pause")) * time.Millisecond)
				m.step(Tick{})
			case choice == 2:
				m.step(MembersChanged{Members: members(rapid.IntRange(0, 12).Draw(t, "members"), "alm-a")})
			case choice == 3:
				m.step(RecordsPushed{From: "host-1", Records: m.slice()})
			case choice == 4:
				m.step(HeadAdvertised{Peer: "host-1", NextOffset: record.Offset(m.offset("head"))})
			case choice == 5:
				m.step(RecordAppended{Offset: record.Offset(m.offset("appended"))})
			case choice == 6 && m.peer != nil:
				m.answerPeer()
			case m.log != nil:
				m.answerLog()
			}
		}
	})
}

// upToDate returns a follower that has read the log and has peers.
func upToDate(t *testing.T, records []Record, peers int) *Follower {
	t.Helper()
	follower := newFollower(peers)
	follower.Step(epoch, Started{}, nil)
	for i := range min(peers, peersAtStart) {
		follower.Step(epoch, PeerCallFailed{Peer: fmt.Sprintf("host-%d", i)}, nil)
	}
	follower.Step(epoch, LogRead{Records: records, NextOffset: record.Offset(len(records))}, nil)
	if reason := follower.Readiness(epoch); reason != ReasonNone {
		t.Fatal(reason)
	}
	return follower
}

func TestReadinessBounds(t *testing.T) {
	records := stream(t, 3)
	for name, test := range map[string]struct {
		peers  int
		event  Event
		within time.Duration
		beyond time.Duration
		want   Reason
	}{
		"behind a peer": {
			peers:  2,
			event:  HeadAdvertised{Peer: "host-1", NextOffset: 9},
			within: DefaultMaxLag,
			beyond: DefaultMaxLag + 1,
			want:   ReasonLagging,
		},
		"neither log nor peers": {
			peers:  2,
			event:  LogReadFailed{},
			within: DefaultMaxLag,
			beyond: DefaultMaxLag + 1,
			want:   ReasonNoContact,
		},
		"single host without log": {
			event:  LogReadFailed{},
			within: DefaultMaxConfirmationAge,
			beyond: DefaultMaxConfirmationAge + 1,
			want:   ReasonUnconfirmed,
		},
		"newer record": {
			event: LogRead{
				Records:    []Record{{Offset: 3, Data: []byte(`{"version":9,"kind":"profileChange","id":"x"}`)}},
				NextOffset: 4,
			},
			within: DefaultMaxLag,
			beyond: DefaultMaxLag + 1,
			want:   ReasonNewerVersion,
		},
	} {
		t.Run(name, func(t *testing.T) {
			follower := upToDate(t, records, test.peers)
			follower.Step(epoch, test.event, nil)
			if got := follower.Readiness(epoch.Add(test.within)); got != ReasonNone {
				t.Errorf("within the bound: %s", got)
			}
			if got := follower.Readiness(epoch.Add(test.beyond)); got != test.want {
				t.Errorf("beyond the bound: %s", got)
			}
		})
	}
}

// TestDivergentPeerIsNotFollowed has a peer that followed another stream.
func TestDivergentPeerIsNotFollowed(t *testing.T) {
	records := stream(t, 4)
	for name, event := range map[string]Event{
		"push":  RecordsPushed{From: "host-1", Records: []Record{{Offset: 2, Data: records[2].Data, DigestBefore: 7}}},
		"fetch": RecordsFetched{Peer: "host-1", Records: []Record{{Offset: 2, Data: records[2].Data, DigestBefore: 7}}, NextOffset: 3},
		"head":  HeadReceived{Peer: "host-1", NextOffset: 2, Digest: 7},
	} {
		t.Run(name, func(t *testing.T) {
			follower := upToDate(t, records[:2], 2)
			follower.Step(epoch, event, nil)
			follower.Step(epoch, RecordsPushed{From: "host-1", Records: records[2:]}, nil)
			if follower.State().NextOffset() != 2 || follower.Alarms()[AlarmDivergentPeer] != 1 {
				t.Errorf("applied %d, alarms %v", follower.State().NextOffset(), follower.Alarms())
			}
			follower.Step(epoch, RecordsPushed{From: "host-0", Records: records[2:]}, nil)
			if follower.State().NextOffset() != 4 {
				t.Errorf("applied %d of a peer that agrees", follower.State().NextOffset())
			}
		})
	}
}

func TestSnapshotsDue(t *testing.T) {
	const retention = 16 * time.Hour
	for name, test := range map[string]struct {
		age   time.Duration
		after time.Duration
		place int
		next  record.Offset
		want  bool
	}{
		"young":                    {age: time.Hour, next: 10},
		"first host at a quarter":  {age: 4 * time.Hour, next: 10, want: true},
		"second host waits":        {age: 4 * time.Hour, next: 10, place: 1},
		"second host steps in":     {age: 4 * time.Hour, after: time.Hour, next: 10, place: 1, want: true},
		"last host before 9/16":    {age: 4 * time.Hour, after: 5 * time.Hour, next: 10, place: 2000, want: true},
		"long tail":                {next: 10 + maxTail + 1, want: true},
		"long tail, second host":   {next: 10 + maxTail + 1, place: 1},
		"impossible age":           {age: -time.Hour, next: 10, want: true},
		"nothing to take snapshot": {age: 4 * time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			snapshots := NewSnapshotSchedule(epoch, retention, rand.New(rand.NewPCG(1, 1)))
			snapshots.RecordSnapshot(epoch, 10, test.age)
			if got := snapshots.IsDue(epoch.Add(test.after), test.place, test.next); got != test.want {
				t.Errorf("due %v", got)
			}
		})
	}
}
