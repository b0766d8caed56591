package scheduling_test

import (
	"testing"
	"time"

	"cactuswell/core/route"
	"cactuswell/core/scheduling"
)

// withBacklog returns a harness with one engine that another host keeps busy for a time.
func withBacklog(t *testing.T, backlog time.Duration) *harness {
	h := newHarness(t, 1)
	engine := scheduling.Key{ID: entry(models, 0).ID, Incarnation: 1}
	h.step(scheduling.PeerReported{
		Peer:     "other",
		Complete: true,
		Loads: []scheduling.PeerLoad{{
			Endpoint:       engine.Hash(),
			PendingPrefill: backlog,
			Running:        1,
		}},
	})
	return h
}

// TestOverloadRefusesLessUrgentCallsFirst guards against queues that urgent callers do not outlast.
func TestOverloadRefusesLessUrgentCallsFirst(t *testing.T) {
	for name, test := range map[string]struct {
		route   string
		backlog time.Duration
		refused bool
	}{
		"a briefing with little before it is sent":     {route: "brief", backlog: 500 * time.Millisecond},
		"a briefing that summaries would wait for":     {route: "brief", backlog: 1250 * time.Millisecond, refused: true},
		"a summary there is sent":                      {route: "summary", backlog: 1250 * time.Millisecond},
		"a summary that drafts would wait for":         {route: "summary", backlog: 1600 * time.Millisecond, refused: true},
		"a draft whose caller would leave":             {route: "draft", backlog: 2500 * time.Millisecond, refused: true},
		"a draft that can still start in time is sent": {route: "draft", backlog: 1200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			h := withBacklog(t, test.backlog)
			_, commands := h.startCall(test.route)
			if !test.refused {
				h.requireSend(commands)
				return
			}
			got := h.requireRefuse(commands)
			if got.Reason != scheduling.ReasonOverloaded || got.MayHaveRun || got.RetryAfter <= 0 || got.TimeToFirstEvent <= got.DelayLimit {
				t.Errorf("refused by %+v, want a call that has not run and may come back", got)
			}
			if h.scheduler.OpenCalls() != 0 {
				t.Error("the refused call is still open")
			}
		})
	}
}

// TestLongPromptIsSentToShortQueue guards against prompts that are always refused.
func TestLongPromptIsSentToShortQueue(t *testing.T) {
	for backlog, refused := range map[time.Duration]bool{
		100 * time.Millisecond: false,
		800 * time.Millisecond: true,
	} {
		h := withBacklog(t, backlog)
		found, _ := h.table.Lookup("h", "/brief/")
		commands := h.step(scheduling.CallArrived{Call: scheduling.Call{
			ID:           1,
			Route:        found,
			Service:      models,
			Priority:     found.Priority,
			Deadline:     h.now.Add(10 * time.Second),
			PromptTokens: 90_000,
			Prompt:       []scheduling.PromptPart{{ID: 7, Tokens: 90_000}},
		}})
		if refused {
			h.requireRefuse(commands)
			continue
		}
		if got := h.requireSend(commands).Choice.TimeToFirstEvent; got < 2*time.Second {
			t.Errorf("the prompt takes %v, want more than any limit", got)
		}
	}
}

// TestOnlyRouteWaitsAsLongAsItsCallers guards against a limit that protects nobody.
func TestOnlyRouteWaitsAsLongAsItsCallers(t *testing.T) {
	h := withBacklog(t, 6*time.Second)
	spec := testSpec()
	for i := range spec.Routes {
		if spec.Routes[i].Kind == route.Stream && spec.Routes[i].Name != "brief" {
			spec.Routes[i].Targets = []route.Target{{Service: booking, Weight: 1}}
		}
	}
	spec.Version++
	table, err := route.New(spec)
	if err != nil {
		t.Fatal(err)
	}
	h.table = table
	h.step(scheduling.ConfigurationChanged{Table: table})
	_, commands := h.startCall("brief")
	h.requireSend(commands)
}
