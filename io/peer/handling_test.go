package peer_test

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"cactuswell/core/aggregate"
	"cactuswell/core/batching"
	"cactuswell/core/directory"
	"cactuswell/core/quarantine"
	"cactuswell/core/route"
	"cactuswell/core/scheduling"
	"cactuswell/io/peer"
)

// newModelScheduler returns a scheduler with three engines, and the hash of one of them.
func newModelScheduler(t testing.TB, now time.Time) (*scheduling.Scheduler, *route.Table) {
	t.Helper()
	table, err := route.New(route.Spec{
		Version: 1,
		Services: []route.Service{{
			Name: "models",
			Engine: &route.Engine{
				Slots:          8,
				KVCacheTokens:  100_000,
				TokensPerEvent: 3,
			},
		}},
		Routes: []route.Route{{
			Name:           "draft",
			Host:           "h",
			PathPrefix:     "/",
			Kind:           route.Stream,
			MaxAttempts:    1,
			TargetLatency:  time.Second,
			TargetEventGap: 200 * time.Millisecond,
			Targets: []route.Target{{
				Service: "models",
				Weight:  1,
			}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	s := scheduling.New(scheduling.Settings{
		Zone:         "z0",
		Engine:       batching.Default(),
		BudgetWindow: 10 * time.Second,
		BudgetRatio:  0.2,
		BudgetSlack:  20,
		Weights:      scheduling.DefaultWeights(),
	}, rand.New(rand.NewPCG(1, 2)))
	s.Step(now, scheduling.ConfigurationChanged{Table: table}, nil)
	for _, id := range []string{"a", "b", "c"} {
		s.Step(now, scheduling.EndpointChanged{Change: directory.Appeared{Entry: directory.Entry{
			ID:      id,
			Born:    1,
			Service: "models",
			Address: "10.0.0.1:80",
			Zone:    "z0",
			Slots:   4,
		}}}, nil)
	}
	return s, table
}

// FuzzHandling passes whatever is decoded to the scheduler and to a zone's sums. A host must go on deciding, and its dump and its own reports must be encoded.
func FuzzHandling(f *testing.F) {
	const most = 1 << 30
	endpoint := scheduling.Key{
		ID:          "a",
		Incarnation: 1,
	}.Hash()
	f.Add((&peer.Message{
		Host:      "h",
		Hosts:     most,
		Aggregate: true,
		Complete:  true,
		Loads: []scheduling.PeerLoad{{
			Endpoint:         endpoint,
			PendingPrefill:   most * time.Millisecond,
			Running:          most,
			LatencySensitive: most,
			Ejected:          true,
		}},
		Placements: []scheduling.Placement{{
			Endpoint:   endpoint,
			PrefixHash: 7,
			Tokens:     most,
		}},
		Notices: []scheduling.Notice{{
			Endpoint: endpoint,
			QuietFor: most * time.Millisecond,
		}},
		Limits: []scheduling.LimitReport{{
			Endpoint: endpoint,
			Limit: scheduling.Limit{
				IsNamed:     true,
				PerSecond:   1e300,
				IsBrittle:   true,
				MaxDeclines: most,
			},
			Sent: most,
		}},
		CallDemands: []scheduling.CallDemand{{
			Service: 1,
			Calls:   most,
			Hosts:   most,
		}},
		Demands: []scheduling.Demand{{
			Service:          1,
			LatencySensitive: most * time.Millisecond,
			Other:            most * time.Millisecond,
		}},
		Findings: []quarantine.Finding{quarantine.Quarantine{
			Request: 1,
			Left:    most * time.Millisecond,
		}},
	}).Append(nil))
	f.Add((&peer.Message{
		Host: "h",
		Limits: []scheduling.LimitReport{{
			Endpoint: endpoint,
			Limit:    scheduling.Limit{IsNamed: true},
		}},
	}).Append(nil))
	f.Fuzz(func(t *testing.T, bytes []byte) {
		m, err := peer.Decode(bytes)
		if err != nil {
			return
		}
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		s, table := newModelScheduler(t, now)
		zone := aggregate.New()
		for range 2 {
			now = now.Add(100 * time.Millisecond)
			s.Step(now, scheduling.PeerReported{
				Peer:         m.Host,
				Hosts:        m.Hosts,
				IncludesSelf: m.Aggregate,
				Complete:     m.Complete,
				Loads:        m.Loads,
				Placements:   m.Placements,
				Notices:      m.Notices,
				Findings:     m.Findings,
				Limits:       m.Limits,
				CallDemands:  m.CallDemands,
				Demands:      m.Demands,
			}, nil)
			zone.RecordReport(now, m.Host, m.Complete, m.Loads, m.Placements)
			zone.RecordNotices(now, m.Notices)
			zone.RecordDemands(m.Host, m.Demands)
			zone.RecordFindings(now, m.Findings)
			zone.RecordLimits(now, m.Host, m.Complete, m.Limits, m.CallDemands)
		}
		drafts := table.Routes()[0]
		commands := s.Step(now, scheduling.CallArrived{Call: scheduling.Call{
			ID: 1, Route: drafts, Service: "models", Deadline: now.Add(time.Minute), PromptTokens: 100, Prompt: []scheduling.PromptPart{{
				ID:     1,
				Tokens: 100,
			}},
		}}, nil)
		commands = append(commands, s.Step(now.Add(time.Minute), scheduling.Tick{}, nil)...)
		if len(commands) == 0 {
			t.Error("a call was neither sent nor refused")
		}
		if _, err := json.Marshal(s.Snapshot(now.Add(time.Minute))); err != nil {
			t.Error(err)
		}
		report := peer.Message{Host: "own"}
		report.Loads, report.Placements = s.TakeLoads(now, true)
		report.Notices = s.TakeNotices(now, true)
		report.Findings = s.TakeFindings(now, true)
		report.Limits, report.CallDemands = s.TakeLimits(now, true)
		report.Demands = s.TakeDemands()
		sums := peer.Message{
			Host:      "relay",
			Aggregate: true,
			Hosts:     zone.Hosts(),
			Notices:   zone.TakeNotices(now, true),
			Findings:  zone.TakeFindings(now, true),
			Demands:   zone.Demands(),
		}
		sums.Limits, sums.CallDemands = zone.TakeLimits(now, true)
		sums.Loads, sums.Placements = zone.TakeTotals(true)
		for _, sent := range []peer.Message{report, sums} {
			if _, err := peer.Decode(sent.Append(nil)); err != nil {
				t.Error(err)
			}
		}
	})
}
