package membership_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cactuswell/core/membership"
)

var testStart = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func member(name string, incarnation uint64) membership.Member {
	return membership.Member{
		Name:        name,
		Incarnation: incarnation,
		Address:     name + ":1",
		Zone:        "alm-a",
	}
}

// newMachine returns a started machine of the host "self".
func newMachine(seeds ...string) *membership.Machine {
	settings := membership.DefaultSettings()
	settings.Seeds = seeds
	machine := membership.New(settings, member("self", 10), rand.New(rand.NewPCG(1, 1)))
	machine.Step(testStart, membership.Started{}, nil)
	return machine
}

// hear lets a peer tell the machine about a member.
func hear(machine *membership.Machine, now time.Time, about membership.Member, version uint32, status membership.Status) []membership.Command {
	return machine.Step(now, membership.ProbeReceived{
		Message: membership.Message{
			From:        "peer",
			Incarnation: 1,
			Updates: membership.Updates{
				Members: []membership.MemberState{{
					Member:  about,
					Version: version,
					Status:  status,
				}},
			},
		},
	}, nil)
}

func find[T membership.Command](commands []membership.Command) (T, bool) {
	for _, command := range commands {
		if found, ok := command.(T); ok {
			return found, true
		}
	}
	var none T
	return none, false
}

func TestJoiningHostTakesHigherIncarnation(t *testing.T) {
	machine := newMachine("peer:1")
	commands := hear(machine, testStart, member("self", 99), 1, membership.Alive)
	raised, ok := find[membership.IncarnationRaised](commands)
	if !ok || raised.Incarnation != 100 || machine.Self().Incarnation != 100 {
		t.Errorf("commands %v, self %v", commands, machine.Self())
	}
}

func TestReplacedHostFallsSilent(t *testing.T) {
	machine := newMachine()
	machine.Step(testStart, membership.ExchangeReceived{
		Message: membership.Message{
			From:        "peer",
			Incarnation: 1,
		},
		Self: membership.MemberState{
			Member:  member("peer", 1),
			Version: 1,
			Status:  membership.Alive,
		},
	}, nil)
	commands := hear(machine, testStart, member("self", 99), 1, membership.Alive)
	if _, ok := find[membership.Superseded](commands); !ok || !machine.Superseded() {
		t.Errorf("not superseded: %v", commands)
	}
	for second := range 60 {
		commands = machine.Step(testStart.Add(time.Duration(second)*time.Second), membership.Tick{}, nil)
		if _, ok := find[membership.SendProbe](commands); ok {
			t.Fatal("a superseded host probes")
		}
	}
}

func TestWordOfDeathIsOnlyASuspicion(t *testing.T) {
	machine := newMachine()
	hear(machine, testStart, member("other", 5), 1, membership.Alive)
	commands := hear(machine, testStart, member("other", 5), 1, membership.Dead)
	if _, ok := find[membership.MemberRemoved](commands); ok {
		t.Error("removed by the word of a peer")
	}
	if _, ok := find[membership.MemberSuspected](commands); !ok || machine.LiveCount() != 2 {
		t.Errorf("not suspected: %v", commands)
	}
	hear(machine, testStart.Add(100*time.Millisecond), member("other", 5), 2, membership.Alive)
	now := testStart.Add(100 * time.Millisecond)
	// The machine's own suspicion, as its probes are lost, needs longer.
	now = passTime(machine, now, 4500*time.Millisecond)
	if machine.LiveCount() != 2 {
		t.Error("removed though it refuted")
	}
	hear(machine, now, member("other", 5), 2, membership.Dead)
	passTime(machine, now, 5*time.Second)
	if machine.LiveCount() != 1 {
		t.Error("not removed though it did not refute")
	}
}

// passTime wakes the machine often enough that it does not take itself to have
// been paused, and returns the time reached. Its probes are lost.
func passTime(machine *membership.Machine, now time.Time, length time.Duration) time.Time {
	end := now.Add(length)
	for now.Before(end) {
		now = now.Add(100 * time.Millisecond)
		machine.Step(now, membership.Tick{}, nil)
	}
	return now
}

func TestOwnSuspicionIsRefuted(t *testing.T) {
	machine := newMachine()
	commands := hear(machine, testStart, member("self", 10), 7, membership.Suspect)
	answer, ok := find[membership.AnswerProbe](commands)
	if !ok {
		t.Fatal("no answer")
	}
	for _, state := range answer.Message.Updates.Members {
		if state.Name == "self" && state.Version == 8 && state.Status == membership.Alive {
			return
		}
	}
	t.Errorf("no refutation in %+v", answer.Message.Updates)
}

func TestAnnouncedLeaveIsFinal(t *testing.T) {
	machine := newMachine()
	hear(machine, testStart, member("other", 5), 1, membership.Alive)
	machine.Step(testStart, membership.HostLeaveAnnounced{
		Name:        "other",
		Incarnation: 5,
	}, nil)
	hear(machine, testStart, member("other", 5), 9, membership.Alive)
	if machine.LiveCount() != 1 {
		t.Error("a host that left is live again")
	}
	hear(machine, testStart, member("other", 6), 1, membership.Alive)
	if machine.LiveCount() != 2 {
		t.Error("its successor is not live")
	}
}
