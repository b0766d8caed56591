package scheduling_test

import (
	"fmt"
	"testing"
	"time"

	"cactuswell/core/scheduling"
)

// BenchmarkCall measures a call from its arrival to its end: four steps of the
// scheduler, with other hosts' work at each endpoint.
func BenchmarkCall(b *testing.B) {
	for _, endpoints := range []int{12, 140, 340} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			bench := newBench(b, endpoints)
			for peer := range 3 {
				work := make([]scheduling.PeerLoad, 0, endpoints)
				for i := range endpoints {
					key := scheduling.Key{ID: fmt.Sprintf("%s-%d", models, i), Incarnation: 1}
					work = append(work, scheduling.PeerLoad{Endpoint: key.Hash(), Running: 1})
				}
				bench.step(scheduling.PeerReported{Peer: fmt.Sprint(peer), Complete: true, Loads: work})
			}
			b.ReportAllocs()
			for b.Loop() {
				bench.now = bench.now.Add(50 * time.Millisecond)
				id, commands := bench.call("brief")
				bench.sent(commands)
				bench.step(scheduling.AnswerStarted{Call: id})
				bench.end(id, scheduling.Completed{})
			}
		})
	}
}
