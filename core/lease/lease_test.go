package lease_test

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactuswell/core/lease"
	"cactuswell/core/record"
)

// log is a stream of lease records with hosts that read it by hand.
type log struct {
	t       rapid.TB
	records [][]byte
}

func (l *log) append(claim lease.Claim, id string, at lease.Instant) {
	data, err := claim.Encode(id, at.Wall)
	if err != nil {
		l.t.Fatal(err)
	}
	l.records = append(l.records, data)
}

func (l *log) read(machine *lease.Machine, at lease.Instant) {
	for offset := int(machine.Offset()); offset < len(l.records); offset++ {
		if err := machine.Apply(record.Offset(offset), l.records[offset], at); err != nil {
			l.t.Fatal(err)
		}
	}
}

// turn lets a host read, claim and read back.
func (l *log) turn(machine *lease.Machine, at lease.Instant) {
	l.read(machine, at)
	if claim, id, ok := machine.Next(at); ok {
		l.append(claim, id, at)
	}
	l.read(machine, at)
}

func at(seconds float64) lease.Instant {
	elapsed := time.Duration(seconds * float64(time.Second))
	return lease.Instant{
		Monotonic: elapsed,
		Wall:      time.Unix(1000, 0).Add(elapsed),
	}
}

func newMachine(name string) *lease.Machine {
	return lease.New(lease.DefaultSettings(), "drafting", name, 1, at(0))
}

// holder returns a log and a machine that holds its lease since second 11.
func holder(t *testing.T) (*log, *lease.Machine) {
	l := &log{t: t}
	first := newMachine("first")
	l.turn(first, at(10))
	if len(l.records) != 0 {
		t.Fatal("claimed before a whole lease and a margin")
	}
	l.turn(first, at(11))
	if !first.Valid(at(11)) {
		t.Fatal("no lease")
	}
	return l, first
}

func TestPausedHolderHasNoLease(t *testing.T) {
	for name, now := range map[string]lease.Instant{
		"both clocks":                 at(21),
		"monotonic clock stood still": {Monotonic: at(12).Monotonic, Wall: at(21).Wall},
		"wall clock set back":         {Monotonic: at(21).Monotonic, Wall: at(5).Wall},
	} {
		t.Run(name, func(t *testing.T) {
			_, machine := holder(t)
			_, err := machine.MayOrder(now, true)
			var lapsed *lease.LapsedError
			if !errors.As(err, &lapsed) {
				t.Errorf("got %v", err)
			}
			if machine.Valid(at(12)) {
				t.Error("a lapse was undone by a clock that was set back")
			}
		})
	}
}

func TestNewHolderWaitsAtNonCheckingEndpoints(t *testing.T) {
	l, _ := holder(t)
	second := newMachine("second")
	l.read(second, at(12))
	l.turn(second, at(22.9))
	if second.Valid(at(22.9)) {
		t.Fatal("took over a lease that may be valid")
	}
	for second1 := 23.0; second1 < 39; second1++ {
		l.turn(second, at(second1))
		if fencing, err := second.MayOrder(at(second1), true); err != nil || fencing != 1 {
			t.Fatalf("second %v: fencing %d, %v", second1, fencing, err)
		}
		_, err := second.MayOrder(at(second1), false)
		var waiting *lease.WaitingError
		if !errors.As(err, &waiting) {
			t.Fatalf("second %v: got %v", second1, err)
		}
	}
	l.turn(second, at(39))
	if fencing, err := second.MayOrder(at(39), false); err != nil || fencing != 1 {
		t.Errorf("fencing %d, %v", fencing, err)
	}
}

func TestLogOutageEndsLease(t *testing.T) {
	l, machine := holder(t)
	for second := 12.0; second < 20; second++ {
		// Claims are made and lost.
		machine.Next(at(second))
	}
	if machine.Valid(at(20)) {
		t.Error("lease without the log")
	}
	l.turn(machine, at(40))
	if fencing, err := machine.MayOrder(at(40), true); err != nil || fencing != 1 {
		t.Errorf("after the outage: fencing %d, %v", fencing, err)
	}
	if _, err := machine.MayOrder(at(40), false); err == nil {
		t.Error("a new term did not wait")
	}
}

func TestReaderOfASuffixFindsTheSameHolder(t *testing.T) {
	l, first := holder(t)
	for second := 12.0; second < 40; second++ {
		l.turn(first, at(second))
	}
	late := lease.New(lease.DefaultSettings(), "drafting", "late", 1, at(40))
	late.Skip(3)
	l.turn(late, at(40))
	if name, _ := late.Holder(); name != "first" {
		t.Errorf("holder %q", name)
	}
	if _, _, ok := late.Next(at(50)); ok {
		t.Error("claimed a live lease")
	}
}

// TestNoTwoHostsHoldTheLease runs hosts with pauses, lost answers, late records
// and clocks that are set, each at random.
func TestNoTwoHostsHoldTheLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &log{t: t}
		hosts := []*lease.Machine{newMachine("a"), newMachine("b"), newMachine("c")}
		wall := make([]time.Duration, len(hosts))
		type late struct {
			claim lease.Claim
			id    string
			sent  lease.Instant
		}
		var flying []late
		var now time.Duration
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
			if rapid.IntRange(0, 19).Draw(t, "set") == 0 {
				wall[i] += time.Duration(rapid.IntRange(-20, 20).Draw(t, "by")) * time.Second
			}
			instant := lease.Instant{
				Monotonic: now,
				Wall:      time.Unix(1000, 0).Add(now + wall[i]),
			}
			if rapid.IntRange(0, 3).Draw(t, "reads") != 0 {
				l.read(hosts[i], instant)
			}
			if claim, id, ok := hosts[i].Next(instant); ok {
				switch rapid.IntRange(0, 3).Draw(t, "append") {
				case 0:
				case 1:
					flying = append(flying, late{claim: claim, id: id, sent: instant})
				default:
					l.append(claim, id, instant)
				}
			}
			if len(flying) > 0 && rapid.Bool().Draw(t, "lands") {
				l.append(flying[0].claim, flying[0].id, flying[0].sent)
				flying = flying[1:]
			}
			holders := 0
			for j, host := range hosts {
				if host.Valid(lease.Instant{Monotonic: now, Wall: time.Unix(1000, 0).Add(now + wall[j])}) {
					holders++
				}
			}
			if holders > 1 {
				t.Fatalf("%d hosts hold the lease at %v", holders, now)
			}
		}
	})
}
