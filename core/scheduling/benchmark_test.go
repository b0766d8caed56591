package scheduling_test

import (
	"fmt"
	"testing"
	"time"

	"cactuswell/core/route"
	"cactuswell/core/scheduling"
)

// BenchmarkCall measures the scheduler's steps for a call from arrival to completion,
// with load of other hosts at each endpoint.
func BenchmarkCall(b *testing.B) {
	for _, endpoints := range []int{12, 140, 340} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			h := newHarness(b, endpoints)
			for peer := range 3 {
				loads := make([]scheduling.PeerLoad, 0, endpoints)
				for i := range endpoints {
					key := scheduling.Key{ID: fmt.Sprintf("%s-%d", models, i), Incarnation: 1}
					loads = append(loads, scheduling.PeerLoad{Endpoint: key.Hash(), Running: 1})
				}
				h.step(scheduling.PeerReported{Peer: fmt.Sprint(peer), Complete: true, Loads: loads})
			}
			benchmarkCalls(b, h)
		})
	}
}

// BenchmarkCallBesideRoutes measures the same beside routes that have no calls.
func BenchmarkCallBesideRoutes(b *testing.B) {
	for _, routes := range []int{3, 1400, 2800} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			h := newHarness(b, 140)
			spec := testSpec()
			spec.Version++
			for i := range routes {
				added := spec.Routes[len(spec.Routes)-1]
				added.Name, added.PathPrefix = fmt.Sprintf("added-%d", i), fmt.Sprintf("/added-%d/", i)
				spec.Routes = append(spec.Routes, added)
			}
			table, err := route.New(spec)
			if err != nil {
				b.Fatal(err)
			}
			h.table = table
			h.step(scheduling.ConfigurationChanged{Table: table})
			benchmarkCalls(b, h)
		})
	}
}

// benchmarkCalls measures calls from arrival to completion, one after the other.
func benchmarkCalls(b *testing.B, h *harness) {
	b.ReportAllocs()
	for b.Loop() {
		h.now = h.now.Add(50 * time.Millisecond)
		id, commands := h.startCall("brief")
		h.requireSend(commands)
		h.step(scheduling.AnswerStarted{Call: id})
		h.endAttempt(id, scheduling.Completed{})
	}
}

// BenchmarkServiceLoads measures how long the decision loop is held up for the autoscaler, with the
// load of six zones at each endpoint.
func BenchmarkServiceLoads(b *testing.B) {
	for _, endpoints := range []int{140, 6800} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			h := newHarness(b, endpoints)
			for peer := range 6 {
				loads := make([]scheduling.PeerLoad, 0, endpoints)
				for i := range endpoints {
					key := scheduling.Key{ID: fmt.Sprintf("%s-%d", models, i), Incarnation: 1}
					loads = append(loads, scheduling.PeerLoad{Endpoint: key.Hash(), Running: 1})
				}
				h.step(scheduling.PeerReported{Peer: fmt.Sprint(peer), Complete: true, Loads: loads})
			}
			b.ReportAllocs()
			for b.Loop() {
				h.loadOf(models, h.now)
			}
		})
	}
}
