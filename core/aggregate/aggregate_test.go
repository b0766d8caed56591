package aggregate_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactuswell/core/aggregate"
	"cactuswell/core/scheduling"
)

// TestSumsFollowTheMembers checks that, whatever the members tell and whenever
// sums are taken, one who applies what was taken has the sum of the members.
func TestSumsFollowTheMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zone := aggregate.New()
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		hosts := []string{"a", "b", "c"}
		told := map[string]map[uint64]int{"a": {}, "b": {}, "c": {}}
		seen := make(map[uint64]int)
		take := func(full bool) {
			work, _ := zone.TakeTotals(now, full)
			if full {
				clear(seen)
			}
			for _, w := range work {
				seen[w.Endpoint] = w.Running
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				host := rapid.SampledFrom(hosts).Draw(t, "host")
				endpoint := rapid.Uint64Range(1, 3).Draw(t, "endpoint")
				running := rapid.IntRange(0, 4).Draw(t, "running")
				full := rapid.Bool().Draw(t, "full")
				if full {
					clear(told[host])
				}
				told[host][endpoint] = running
				zone.RecordReport(now, host, full, []scheduling.PeerLoad{{Endpoint: endpoint, Running: running}}, nil)
			case 2:
				take(rapid.Bool().Draw(t, "takeFull"))
			case 3:
				host := rapid.SampledFrom(hosts).Draw(t, "gone")
				clear(told[host])
				zone.RecordReport(now, host, true, nil, nil)
			}
		}
		take(false)
		for endpoint := uint64(1); endpoint <= 3; endpoint++ {
			want := 0
			for _, work := range told {
				want += work[endpoint]
			}
			if seen[endpoint] != want {
				t.Fatalf("endpoint %d: seen %d, the members have %d", endpoint, seen[endpoint], want)
			}
		}
	})
}

func TestSilentMemberIsForgotten(t *testing.T) {
	zone := aggregate.New()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	zone.RecordReport(now, "a", true, []scheduling.PeerLoad{{Endpoint: 1, Running: 3}}, nil)
	zone.TakeTotals(now, false)
	now = now.Add(3 * time.Second)
	zone.RecordReport(now, "b", true, []scheduling.PeerLoad{{Endpoint: 1, Running: 2}}, nil)
	zone.Expire(now, 2*time.Second)
	work, _ := zone.TakeTotals(now, false)
	if len(work) != 1 || work[0].Running != 2 || zone.Hosts() != 1 {
		t.Errorf("work %+v of %d hosts", work, zone.Hosts())
	}
}

func TestReadingPasses(t *testing.T) {
	zone := aggregate.New()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	zone.RecordReport(now, "a", true, []scheduling.PeerLoad{{Endpoint: 1, Running: 1, PrefillBacklog: 100 * time.Millisecond}}, nil)
	now = now.Add(60 * time.Millisecond)
	work, _ := zone.TakeTotals(now, true)
	if work[0].PrefillBacklog != 40*time.Millisecond {
		t.Errorf("reading is %v, want 40 ms", work[0].PrefillBacklog)
	}
}
