package weighed

import (
	"testing"
	"time"
)

// targetBytesPerSecond is the stated target for one host's control traffic.
const targetBytesPerSecond = 3000

func TestControlTrafficIsWithinTheTarget(t *testing.T) {
	cases := []struct {
		name  string
		hosts int
		loss  float64
		// event happens every ten seconds.
		event func(fleet *Fleet, round int)
	}{
		{
			name:  "calm",
			hosts: 300,
			event: func(*Fleet, int) {},
		},
		{
			name:  "five in a hundred messages lost",
			hosts: 60,
			loss:  0.05,
			event: func(*Fleet, int) {},
		},
		{
			name:  "a host replaced every ten seconds",
			hosts: 60,
			event: func(fleet *Fleet, round int) {
				index := 3 + round%57
				fleet.Crash(index)
				fleet.Start(index)
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			fleet := New(Network{
				Hosts: c.hosts,
				Zones: benchZones,
				Delay: benchDelay,
				Loss:  c.loss,
				Seed:  benchSeed,
			}, NewProductHost)
			fleet.Run(time.Minute)
			fleet.ResetTraffic()
			const rounds = 18
			for round := range rounds {
				c.event(fleet, round)
				fleet.Run(10 * time.Second)
			}
			perSecond := float64(fleet.Traffic().Bytes) / float64(c.hosts) / (10 * rounds)
			t.Logf("%.0f bytes a second for a host", perSecond)
			if perSecond > targetBytesPerSecond {
				t.Errorf("%.0f bytes a second for a host, target %d", perSecond, targetBytesPerSecond)
			}
		})
	}
}
