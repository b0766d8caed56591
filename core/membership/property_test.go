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

// The seed is fixed so that every run gives the same verdict; -rapid.seed
// overrides it.
func init() {
	_ = flag.Set("rapid.seed", "20261203")
}

// history holds what each life of a host has believed, to find beliefs that go
// back.
type history map[string]membership.MemberDump

// check compares a host's beliefs with its earlier ones.
func (h history) check(t *rapid.T, fleet *weighed.Fleet, index, life int) {
	dump := chosen(fleet, index).Machine().Dump()
	for _, now := range dump.Members {
		key := fmt.Sprintf("%d/%d/%s", index, life, now.Name)
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
			t.Fatalf("a host that left revived at %s: %+v, then %+v", key, before, now)
		case before.Status == "dead" && now.Status != "dead" && now.Status != "left" && now.Version == before.Version:
			t.Fatalf("a dead host revived at %s: %+v, then %+v", key, before, now)
		}
	}
}

// course is a fleet under random faults.
type course struct {
	fleet   *weighed.Fleet
	hosts   int
	up      []bool
	lives   []int
	history history
}

func (c *course) act(t *rapid.T) {
	index := rapid.IntRange(0, c.hosts-1).Draw(t, "host")
	switch rapid.IntRange(0, 7).Draw(t, "action") {
	case 0:
		c.fleet.Crash(index)
		c.up[index] = false
	case 1:
		c.fleet.Crash(index)
		c.fleet.Start(index)
		c.lives[index]++
		c.up[index] = true
	case 2:
		c.fleet.Pause(index, time.Duration(rapid.IntRange(1, 20).Draw(t, "pauseSeconds"))*time.Second)
	case 3:
		part := rapid.SliceOfN(rapid.Bool(), c.hosts, c.hosts).Draw(t, "part")
		c.fleet.SetDropRule(func(from, to int) bool { return part[from] != part[to] })
	case 4:
		part := rapid.SliceOfN(rapid.Bool(), c.hosts, c.hosts).Draw(t, "deaf")
		c.fleet.SetDropRule(func(from, to int) bool { return part[from] && !part[to] })
	case 5:
		c.fleet.SetDropRule(nil)
	case 6:
		if c.up[index] {
			leave(c.fleet, index)
			c.fleet.Run(time.Second)
			c.fleet.Crash(index)
			c.up[index] = false
		}
	case 7:
		c.fleet.SilenceConnection(index, (index+1)%c.hosts)
	}
}

func (c *course) run(t *rapid.T, length time.Duration) {
	const step = 500 * time.Millisecond
	for range int(length / step) {
		c.fleet.Run(step)
		for index := range c.hosts {
			c.history.check(t, c.fleet, index, c.lives[index])
		}
	}
}

// TestBeliefsNeverGoBackAndConverge checks that no incarnation or version goes
// back, that none that left or died revives, and that the views agree once the
// faults are over.
func TestBeliefsNeverGoBackAndConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 7).Draw(t, "hosts")
		c := &course{
			fleet: weighed.New(weighed.Network{
				Hosts: hosts,
				Zones: scenarioZones,
				Delay: time.Millisecond,
				Loss:  rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "loss"),
				Seed:  rapid.Uint64().Draw(t, "seed"),
			}, weighed.NewProductHost),
			hosts:   hosts,
			up:      make([]bool, hosts),
			lives:   make([]int, hosts),
			history: make(history),
		}
		for i := range c.up {
			c.up[i] = true
		}
		for range rapid.IntRange(1, 10).Draw(t, "actions") {
			c.act(t)
			c.run(t, time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds"))*time.Second)
		}
		c.fleet.SetDropRule(nil)
		for index, up := range c.up {
			if !up {
				c.fleet.Start(index)
				c.lives[index]++
			}
		}
		c.run(t, 2*time.Minute)
		if took, ok := c.fleet.RunUntil(time.Minute, c.fleet.Agreed); !ok {
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

// TestMemoryIsBounded floods a machine with news and announcements.
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
	if gone := len(dump.Members) - dump.LiveCount; gone > settings.MaxRemovedMembers {
		t.Errorf("%d remembered members", gone)
	}
	if dump.LeavingEndpoints > settings.MaxLeavingEndpoints {
		t.Errorf("%d leaving endpoints", dump.LeavingEndpoints)
	}
	if dump.QueuedUpdates > settings.MaxQueuedUpdates {
		t.Errorf("%d queued news", dump.QueuedUpdates)
	}
	if dump.Candidates > settings.MaxCandidates {
		t.Errorf("%d candidates", dump.Candidates)
	}
	if dump.Counters.MembersRejected == 0 || dump.Counters.EndpointsEvicted == 0 || dump.Counters.UpdatesDropped == 0 {
		t.Errorf("a bound was not counted: %+v", dump.Counters)
	}
}
