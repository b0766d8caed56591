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
				work := make([]scheduling.PeerWork, 0, endpoints)
				for i := range endpoints {
					key := scheduling.Key{ID: fmt.Sprintf("%s-%d", models, i), Born: 1}
					work = append(work, scheduling.PeerWork{Endpoint: key.Hash(), Running: 1})
				}
				bench.step(scheduling.PeerReported{Peer: fmt.Sprint(peer), Full: true, Work: work})
			}
			b.ReportAllocs()
			for b.Loop() {
				bench.now = bench.now.Add(50 * time.Millisecond)
				id, commands := bench.call("brief")
				bench.sent(commands)
				bench.step(scheduling.AnswerBegan{Call: id})
				bench.end(id, scheduling.Completed{})
			}
		})
	}
}
