package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"cactuswell/core/endpoint"
	"cactuswell/core/membership"
	"cactuswell/core/record"
	"cactuswell/io/node/nodev1"
)

func sampleUpdates() membership.Updates {
	return membership.Updates{
		Members: []membership.MemberState{
			{
				Member: membership.Member{
					Name:        "host-2",
					Incarnation: 5,
					Address:     "10.0.0.2:7100",
					Zone:        "alm-b",
				},
				Version: 3,
				Status:  membership.Alive,
			},
			{
				Member: membership.Member{
					Name:        "host-3",
					Incarnation: 6,
				},
				Version: 1,
				Status:  membership.Suspect,
			},
		},
		LeavingEndpoints: []endpoint.Key{{
			Name:        "engine-1",
			Incarnation: 9,
		}},
		Heads: []membership.StreamHead{{
			Stream:     record.StreamConfiguration,
			NextOffset: 77,
		}},
	}
}

func TestNewsSurvivesTheWire(t *testing.T) {
	data, err := proto.Marshal(updatesToWire(sampleUpdates()))
	if err != nil {
		t.Fatal(err)
	}
	var wire nodev1.News
	if err := proto.Unmarshal(data, &wire); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(sampleUpdates(), updatesFromWire(&wire)); diff != "" {
		t.Errorf("news changed (-want +got):\n%s", diff)
	}
}

// FuzzUpdates feeds whatever a peer may send to the checks and, if it passes, to a
// machine, which must keep its own identity and its bounds.
func FuzzUpdates(f *testing.F) {
	data, err := proto.Marshal(updatesToWire(sampleUpdates()))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{})
	about, err := proto.Marshal(updatesToWire(membership.Updates{
		Members: []membership.MemberState{{
			Member: membership.Member{
				Name:        "self",
				Incarnation: 1,
			},
			Version: 1 << 30,
			Status:  membership.Dead,
		}},
	}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(about)
	f.Fuzz(func(t *testing.T, data []byte) {
		var wire nodev1.News
		if proto.Unmarshal(data, &wire) != nil {
			return
		}
		message, err := messageFromWire("peer", 1, 0, &wire)
		if err != nil {
			return
		}
		checkMachineTakes(t, message)
	})
}

func checkMachineTakes(t *testing.T, message membership.Message) {
	t.Helper()
	machine := newTestMachine()
	before := machine.Self()
	now := startOfTest
	machine.Step(now, membership.Started{}, nil)
	commands := machine.Step(now, membership.ProbeReceived{
		Reply:   1,
		Message: message,
	}, nil)
	answered := false
	for _, command := range commands {
		answer, ok := command.(membership.AnswerProbe)
		if !ok {
			continue
		}
		answered = true
		if err := answer.Message.Validate(); err != nil {
			t.Errorf("answer would be refused: %v", err)
		}
	}
	if !answered {
		t.Error("probe was not answered")
	}
	if machine.Self().Name != before.Name || machine.Self().Incarnation < before.Incarnation {
		t.Errorf("identity went from %v to %v", before, machine.Self())
	}
	if machine.LiveCount() < 1 {
		t.Error("host does not count itself")
	}
}

// FuzzAnnouncement feeds whatever stands in the hosts stream to the decoder.
func FuzzAnnouncement(f *testing.F) {
	data, err := encodeAnnouncement(record.KindHostStarted, newTestMachine().Self(), 1)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"version":1,"kind":"hostLeft","id":"x","host":"a","body":{"incarnation":3}}`))
	f.Add([]byte(`{"version":2,"kind":"hostStarted"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		event, ok, err := decodeAnnouncement(data)
		if err != nil || !ok {
			return
		}
		switch event := event.(type) {
		case membership.HostAnnounced:
			if event.Member.Name == "" || event.Member.Address == "" || event.Member.Incarnation == 0 {
				t.Errorf("incomplete announcement passed: %+v", event)
			}
		case membership.HostLeaveAnnounced:
			if event.Name == "" || event.Incarnation == 0 {
				t.Errorf("incomplete leave passed: %+v", event)
			}
		default:
			t.Errorf("unexpected event %T", event)
		}
	})
}

var startOfTest = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func newTestMachine() *membership.Machine {
	return membership.New(membership.DefaultSettings(), membership.Member{
		Name:        "self",
		Incarnation: 1,
		Address:     "10.0.0.1:7100",
		Zone:        "alm-a",
	}, rand.New(rand.NewPCG(1, 1)))
}
