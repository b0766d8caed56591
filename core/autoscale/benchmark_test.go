package autoscale_test

import (
	"fmt"
	"testing"
	"time"

	"cactuswell/core/autoscale"
	"cactuswell/core/route"
)

// BenchmarkStep measures the decision for a number of services in six zones. It does not depend on
// the number of hosts.
func BenchmarkStep(b *testing.B) {
	for _, services := range []int{1, 20} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			var observed []autoscale.Service
			for i := range services {
				s := autoscale.Service{
					Name: fmt.Sprint("s", i),
					Scale: route.Scale{
						Max:       100,
						Boot:      simBoot,
						SpotPrice: 0.18,
					},
					Load: autoscale.Load{
						Slots:    simSlots,
						InFlight: 1000,
					},
				}
				for zone := range 6 {
					s.Zones = append(s.Zones, autoscale.Zone{
						Name:     fmt.Sprint("z", zone),
						OnDemand: autoscale.Count{Present: 30, Serving: 30},
					})
				}
				observed = append(observed, s)
			}
			decider := autoscale.New(autoscale.Settings{OrdersPerSecond: 10})
			now := time.Unix(1_780_000_000, 0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(500 * time.Millisecond)
				decider.Step(now, observed)
			}
		})
	}
}
