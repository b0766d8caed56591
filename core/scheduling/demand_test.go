package scheduling_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cactuswell/core/aggregate"
	"cactuswell/core/directory"
	"cactuswell/core/scheduling"
)

// TestHostsAgreeOnPartitions guards against hosts that divide the engines differently,
// each by the few calls that it sees itself: engines between the smallest and the largest
// latency partition then serve both kinds of calls, and with 2 calls a second and host
// that was a third of 117 engines.
func TestHostsAgreeOnPartitions(t *testing.T) {
	const (
		engines  = 117
		zones    = 6
		interval = 500 * time.Millisecond
	)
	for _, hosts := range []int{6, 90, 195} {
		t.Run(fmt.Sprintf("%dHosts", hosts), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(hosts)))
			fleet := make([]*harness, hosts)
			relays := make([]*aggregate.Zone, zones)
			for i := range fleet {
				fleet[i] = newHarness(t, 0)
				for e := range engines {
					fleet[i].step(scheduling.EndpointChanged{Change: directory.Appeared{Entry: entry(models, e)}})
				}
			}
			for zone := range relays {
				relays[zone] = aggregate.New()
			}
			for range 60 {
				for range 150 {
					h := fleet[random.IntN(hosts)]
					name, shared, own := "draft", 350, 1110
					if random.IntN(3) > 0 {
						name, shared, own = "brief", 13_300, 3720
					}
					id, commands := h.startCallWithPrompt(name, shared, own)
					if len(commands) == 1 {
						h.endAttempt(id, scheduling.Completed{})
					}
				}
				for i, h := range fleet {
					h.now = h.now.Add(interval)
					h.step(scheduling.Tick{})
					name := fmt.Sprint(i)
					relays[i%zones].RecordReport(h.now, name, true, nil, nil)
					relays[i%zones].RecordDemands(name, h.scheduler.TakeDemands())
				}
				for zone, relay := range relays {
					for i, h := range fleet {
						h.step(scheduling.PeerReported{
							Peer:         fmt.Sprint("zone ", zone),
							Hosts:        relay.Hosts(),
							IncludesSelf: i%zones == zone,
							Complete:     true,
							Demands:      relay.Demands(),
						})
					}
				}
			}
			smallest, largest := engines, 0
			for _, h := range fleet {
				size := h.scheduler.LatencyPartitionSize(models)
				smallest, largest = min(smallest, size), max(largest, size)
			}
			if largest == 0 || largest-smallest > 3 {
				t.Errorf("latency partitions have %d to %d of %d engines", smallest, largest, engines)
			}
		})
	}
}
