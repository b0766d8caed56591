package membership_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactuswell/core/endpoint"
	"cactuswell/core/membership"
	"cactuswell/core/membership/weighed"
)

// The fixed seed makes all runs give the same result; -rapid.seed overrides it.
func init() {
	_ = flag.Set("rapid.seed", "20261203")
}

// history holds the last known state of each member for each incarnation of a
// host, to find states that went back.
type history map[string]membership.MemberDump

// checkMonotonic compares a host's view with its earlier one.
func (h history) checkMonotonic(t *rapid.T, fleet *weighed.Fleet, index, incarnation int) {
	dump := hostOf(fleet, index).Machine().Dump()
	for _, now := range dump.Members {
		key := fmt.Sprintf("%d/%d/%s", index, incarnation, now.Name)
		before, ok := h[key]
		h[key] = now
		if !ok || now.Incarnation > before.Incarnation {
			continue
		}
		switch {
		case now.Incarnation < before.Incarnation:
			t.Fatalf("incarnation went back at %s: %+v, then %+v", key, before, now)
		case now.Version < before.Version:
			t.Fatalf("version went back at %s: %+v, then %+v", key, before, now)
		case before.Status == "left" && now.Status != "left":
			t.Fatalf("a host that left changed its status at %s: %+v, then %+v", key, before, now)
		case before.Status == "dead" && now.Status != "dead" && now.Status != "left" && now.Version == before.Version:
			t.Fatalf("a dead host is live again at %s: %+v, then %+v", key, before, now)
		}
	}
}

// randomFaults is a fleet under random faults.
type randomFaults struct {
	fleet        *weighed.Fleet
	hosts        int
	up           []bool
	incarnations []int
	history      history
}

func (c *randomFaults) injectFault(t *rapid.T) {
	index := rapid.IntRange(0, c.hosts-1).Draw(t, "host")
	switch rapid.IntRange(0, 7).Draw(t, "action") {
	case 0:
		c.fleet.Crash(index)
		c.up[index] = false
	case 1:
		c.fleet.Crash(index)
		c.fleet.Start(index)
		c.incarnations[index]++
		c.up[index] = true
	case 2:
		c.fleet.Pause(index, time.Duration(rapid.IntRange(1, 20).Draw(t, "pauseSeconds"))*time.Second)
	case 3:
		inPart := rapid.SliceOfN(rapid.Bool(), c.hosts, c.hosts).Draw(t, "part")
		c.fleet.SetDropRule(func(from, to int) bool { return inPart[from] != inPart[to] })
	case 4:
		isDeaf := rapid.SliceOfN(rapid.Bool(), c.hosts, c.hosts).Draw(t, "deaf")
		c.fleet.SetDropRule(func(from, to int) bool { return isDeaf[from] && !isDeaf[to] })
	case 5:
		c.fleet.SetDropRule(nil)
	case 6:
		if c.up[index] {
			requestLeave(c.fleet, index)
			c.fleet.Run(time.Second)
			c.fleet.Crash(index)
			c.up[index] = false
		}
	case 7:
		c.fleet.SilenceConnection(index, (index+1)%c.hosts)
	}
}

func (c *randomFaults) run(t *rapid.T, length time.Duration) {
	const step = 500 * time.Millisecond
	for range int(length / step) {
		c.fleet.Run(step)
		for index := range c.hosts {
			c.history.checkMonotonic(t, c.fleet, index, c.incarnations[index])
		}
	}
}

// TestViewsAreMonotonicAndConverge checks that no incarnation or version
// decreases, that no member that left or died becomes live again, and that the
// views agree once the faults are over.
func TestViewsAreMonotonicAndConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 7).Draw(t, "hosts")
		faults := &randomFaults{
			fleet: weighed.New(weighed.Network{
				Hosts: hosts,
				Zones: zoneCount,
				Delay: time.Millisecond,
				Loss:  rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "loss"),
				Seed:  rapid.Uint64().Draw(t, "seed"),
			}, weighed.NewProductHost),
			hosts:        hosts,
			up:           make([]bool, hosts),
			incarnations: make([]int, hosts),
			history:      make(history),
		}
		for i := range faults.up {
			faults.up[i] = true
		}
		for range rapid.IntRange(1, 10).Draw(t, "actions") {
			faults.injectFault(t)
			faults.run(t, time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds"))*time.Second)
		}
		faults.fleet.SetDropRule(nil)
		for index, up := range faults.up {
			if !up {
				faults.fleet.Start(index)
				faults.incarnations[index]++
			}
		}
		faults.run(t, 2*time.Minute)
		if took, ok := faults.fleet.RunUntil(time.Minute, faults.fleet.Agreed); !ok {
			t.Fatalf("views still differ %v after the faults", took)
		}
	})
}

func manyEndpoints(prefix string) []endpoint.Key {
	var keys []endpoint.Key
	for i := range 20 {
		keys = append(keys, endpoint.Key{
			Name:        fmt.Sprintf("%s-%d", prefix, i),
			Incarnation: 1,
		})
	}
	return keys
}

// TestMemoryIsBounded floods a machine with updates and announcements and
// checks the limits of the settings.
func TestMemoryIsBounded(t *testing.T) {
	settings := membership.DefaultSettings()
	settings.MaxMembers = 20
	settings.MaxRemovedMembers = 10
	settings.MaxLeavingEndpoints = 15
	settings.MaxQueuedUpdates = 12
	settings.MaxCandidates = 5
	random := rand.New(rand.NewPCG(1, 1))
	machine := membership.New(settings, membership.Member{
		Name:        "self",
		Incarnation: 1,
		Address:     "10.0.0.1:1",
	}, random)
	now := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	machine.Step(now, membership.Started{}, nil)
	for i := range 2000 {
		name := fmt.Sprintf("host-%d", i)
		member := membership.Member{
			Name:        name,
			Incarnation: 1,
			Address:     name,
		}
		machine.Step(now, membership.HostAnnounced{
			Member: member,
		}, nil)
		machine.Step(now, membership.ProbeReceived{
			Message: membership.Message{
				From:        name,
				Incarnation: 1,
				Updates: membership.Updates{
					Members: []membership.MemberState{{
						Member:  member,
						Version: 1,
						Status:  membership.Status(1 + random.IntN(4)),
					}},
					LeavingEndpoints: manyEndpoints(name),
				},
			},
		}, nil)
	}
	dump := machine.Dump()
	if dump.LiveCount > settings.MaxMembers {
		t.Errorf("%d live members", dump.LiveCount)
	}
	if removed := len(dump.Members) - dump.LiveCount; removed > settings.MaxRemovedMembers {
		t.Errorf("%d removed members kept", removed)
	}
	if dump.LeavingEndpoints > settings.MaxLeavingEndpoints {
		t.Errorf("%d leaving endpoints", dump.LeavingEndpoints)
	}
	if dump.QueuedUpdates > settings.MaxQueuedUpdates {
		t.Errorf("%d queued updates", dump.QueuedUpdates)
	}
	if dump.Candidates > settings.MaxCandidates {
		t.Errorf("%d candidates", dump.Candidates)
	}
	if dump.Counters.MembersRejected == 0 || dump.Counters.EndpointsEvicted == 0 || dump.Counters.UpdatesDropped == 0 {
		t.Errorf("an exceeded limit was not counted: %+v", dump.Counters)
	}
}
