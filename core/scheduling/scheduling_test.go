package scheduling_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactuswell/core/batching"
	"cactuswell/core/directory"
	"cactuswell/core/route"
	"cactuswell/core/scheduling"
)

const (
	models  = "models"
	booking = "booking"
)

// testSpec returns the configuration of the tests.
func testSpec() route.Spec {
	targets := func(service string) []route.Target {
		return []route.Target{{Service: service, Weight: 1}}
	}
	return route.Spec{
		Version: 1,
		Services: []route.Service{
			{
				Name: models,
				Engine: &route.Engine{
					Slots:          8,
					KVCacheTokens:  500_000,
					TokensPerEvent: 3,
				},
			},
			{Name: booking},
		},
		Routes: []route.Route{
			{Name: "lookup", Host: "h", PathPrefix: "/lookup/", Kind: route.Safe, MaxAttempts: 2, TargetLatency: 150 * time.Millisecond, Targets: targets(booking)},
			{Name: "hold", Host: "h", PathPrefix: "/hold/", Kind: route.AtMostOnce, MaxAttempts: 1, TargetLatency: 150 * time.Millisecond, Targets: targets(booking)},
			{Name: "draft", Host: "h", PathPrefix: "/draft/", Kind: route.Stream, MaxAttempts: 1, TargetLatency: 400 * time.Millisecond, TargetEventGap: 200 * time.Millisecond, Targets: targets(models)},
			{Name: "summary", Host: "h", PathPrefix: "/summary/", Kind: route.Stream, Resumable: true, MaxAttempts: 2, Priority: 1, TargetLatency: 600 * time.Millisecond, TargetEventGap: 300 * time.Millisecond, Targets: targets(models)},
			{Name: "brief", Host: "h", PathPrefix: "/brief/", Kind: route.Stream, MaxAttempts: 1, Priority: 2, TargetLatency: 2 * time.Second, TargetEventGap: 800 * time.Millisecond, Targets: targets(models)},
		},
	}
}

func testTable(t testing.TB) *route.Table {
	t.Helper()
	table, err := route.New(testSpec())
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// harness drives a scheduler with a simulated clock.
type harness struct {
	t         testing.TB
	table     *route.Table
	scheduler *scheduling.Scheduler
	now       time.Time
	commands  []scheduling.Command
	nextID    scheduling.CallID
}

func newHarness(t testing.TB, endpoints int) *harness {
	t.Helper()
	return newHarnessWith(t, endpoints, func(*scheduling.Settings) {})
}

// newHarnessWith is like newHarness, with settings of its own.
func newHarnessWith(t testing.TB, endpoints int, adjust func(*scheduling.Settings)) *harness {
	t.Helper()
	settings := scheduling.Settings{
		Zone:         "z0",
		Engine:       batching.Default(),
		BudgetWindow: 10 * time.Second,
		BudgetRatio:  0.2,
		BudgetSlack:  20,
		Weights:      scheduling.DefaultWeights(),
	}
	adjust(&settings)
	h := &harness{
		t:         t,
		table:     testTable(t),
		scheduler: scheduling.New(settings, rand.New(rand.NewPCG(1, 2))),
		now:       time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	h.step(scheduling.ConfigurationChanged{Table: h.table})
	for i := range endpoints {
		h.addEndpoint(booking, i)
		h.addEndpoint(models, i)
	}
	return h
}

func entry(service string, i int) directory.Entry {
	return directory.Entry{
		ID:      fmt.Sprintf("%s-%d", service, i),
		Born:    1,
		Service: service,
		Address: fmt.Sprintf("10.0.0.%d:80", i+1),
		Zone:    "z0",
		Slots:   4,
	}
}

func (h *harness) addEndpoint(service string, i int) {
	h.step(scheduling.EndpointChanged{Change: directory.Appeared{Entry: entry(service, i)}})
}

func (h *harness) step(event scheduling.Event) []scheduling.Command {
	h.commands = h.scheduler.Step(h.now, event, nil)
	return h.commands
}

// startCall starts a call of a route and returns its ID and the resulting commands.
func (h *harness) startCall(name string) (scheduling.CallID, []scheduling.Command) {
	h.t.Helper()
	return h.startCallWithPrompt(name, 13_000, 4000)
}

// startCallWithPrompt starts a call whose prompt, if it has one, has a shared part and a
// part of its own of the given sizes.
func (h *harness) startCallWithPrompt(name string, shared, own int) (scheduling.CallID, []scheduling.Command) {
	h.t.Helper()
	return h.startCallWithParts(name, []scheduling.PromptPart{
		{ID: 7, Tokens: shared},
		{ID: uint64(1001 + h.nextID), Tokens: own},
	})
}

// startCallWithParts starts a call whose prompt, if it has one, has the given parts.
func (h *harness) startCallWithParts(name string, parts []scheduling.PromptPart) (scheduling.CallID, []scheduling.Command) {
	h.t.Helper()
	return h.startRequest(name, 0, parts)
}

// startRequest starts a call with the given hash of its request.
func (h *harness) startRequest(name string, request uint64, parts []scheduling.PromptPart) (scheduling.CallID, []scheduling.Command) {
	h.t.Helper()
	h.nextID++
	found, ok := h.table.Lookup("h", "/"+name+"/")
	if !ok {
		h.t.Fatalf("no route %s", name)
	}
	call := scheduling.Call{
		ID:          h.nextID,
		RequestHash: request,
		Route:       found,
		Service:     found.PickService(0),
		Priority:    found.Priority,
		Deadline:    h.now.Add(10 * time.Second),
	}
	if found.Kind == route.Stream {
		call.Prompt = parts
		for _, part := range parts {
			call.PromptTokens += part.Tokens
		}
	}
	return h.nextID, h.step(scheduling.CallArrived{Call: call})
}

func (h *harness) endAttempt(id scheduling.CallID, outcome scheduling.Outcome) []scheduling.Command {
	return h.step(scheduling.AttemptEnded{Call: id, Outcome: outcome})
}

// requireSend returns the first Send among the commands.
func (h *harness) requireSend(commands []scheduling.Command) scheduling.Send {
	h.t.Helper()
	for _, command := range commands {
		if send, ok := command.(scheduling.Send); ok {
			return send
		}
	}
	h.t.Fatalf("no Send among the commands: %+v", commands)
	return scheduling.Send{}
}

// requireRefuse returns the first Refuse among the commands.
func (h *harness) requireRefuse(commands []scheduling.Command) scheduling.Refuse {
	h.t.Helper()
	for _, command := range commands {
		if refusal, ok := command.(scheduling.Refuse); ok {
			return refusal
		}
	}
	h.t.Fatalf("no Refuse among the commands: %+v", commands)
	return scheduling.Refuse{}
}

func TestOutcomes(t *testing.T) {
	for name, test := range map[string]struct {
		route   string
		outcome scheduling.Outcome
		// retried reports whether the call is sent to another endpoint. Otherwise
		// it is refused with the given value of mayHaveRun, or the error response is
		// delivered.
		retried    bool
		mayHaveRun bool
		deliver    bool
	}{
		"unreachable endpoint, once: retried elsewhere": {route: "hold", outcome: scheduling.Unreachable{}, retried: true},
		"declined, once: retried elsewhere":             {route: "hold", outcome: scheduling.Declined{}, retried: true},
		"misdirected, once: retried elsewhere":          {route: "hold", outcome: scheduling.Misdirected{}, retried: true},
		"broken connection, once: not retried":          {route: "hold", outcome: scheduling.Broken{}, mayHaveRun: true},
		"malformed answer, once: not retried":           {route: "hold", outcome: scheduling.Broken{Malformed: true}, mayHaveRun: true},
		"error response, once: delivered":               {route: "hold", outcome: scheduling.Failed{Status: 500}, deliver: true},
		"timed out, once: may have run":                 {route: "hold", outcome: scheduling.TimedOut{}, mayHaveRun: true},
		"broken connection, safe: retried elsewhere":    {route: "lookup", outcome: scheduling.Broken{}, retried: true},
		"error response, safe: retried elsewhere":       {route: "lookup", outcome: scheduling.Failed{Status: 500}, retried: true},
		"silent endpoint, safe: retried elsewhere":      {route: "lookup", outcome: scheduling.Silent{}, retried: true},
		"broken stream: not retried":                    {route: "draft", outcome: scheduling.Broken{PartlyDelivered: true}, mayHaveRun: true},
		"declined stream: retried elsewhere":            {route: "draft", outcome: scheduling.Declined{}, retried: true},
		"broken resumable stream: resumed elsewhere":    {route: "summary", outcome: scheduling.Broken{PartlyDelivered: true}, retried: true},
		"silent resumable stream: resumed elsewhere":    {route: "summary", outcome: scheduling.Silent{PartlyDelivered: true}, retried: true},
		"unanswered stream: not retried":                {route: "brief", outcome: scheduling.Broken{}, mayHaveRun: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 4)
			for range 30 {
				// Completed calls increase the retry budget.
				id, _ := h.startCall(test.route)
				h.endAttempt(id, scheduling.Completed{})
			}
			id, commands := h.startCall(test.route)
			first := h.requireSend(commands)
			commands = h.endAttempt(id, test.outcome)
			switch {
			case test.retried:
				if second := h.requireSend(commands); second.Key == first.Key {
					t.Errorf("retried at the same endpoint %v", first.Key)
				}
			case test.deliver:
				if len(commands) != 1 || commands[0] != (scheduling.DeliverFailure{Call: id}) {
					t.Errorf("commands are %+v, want one DeliverFailure", commands)
				}
			default:
				if refusal := h.requireRefuse(commands); refusal.MayHaveRun != test.mayHaveRun {
					t.Errorf("refusal reports that the call may have run: %v, want %v", refusal.MayHaveRun, test.mayHaveRun)
				}
			}
		})
	}
}

func TestRetriesStayWithinBudget(t *testing.T) {
	h := newHarness(t, 4)
	const calls = 200
	retries := 0
	for range calls {
		id, _ := h.startCall("lookup")
		for _, command := range h.endAttempt(id, scheduling.Failed{Status: 500}) {
			if send, ok := command.(scheduling.Send); ok {
				retries++
				h.endAttempt(send.Call, scheduling.Completed{})
			}
		}
	}
	if most := int(0.2*calls + 20); retries > most || retries == 0 {
		t.Errorf("%d retries of %d calls, want 1 to %d", retries, calls, most)
	}
}

func TestLeavingEndpointReceivesNoCalls(t *testing.T) {
	h := newHarness(t, 2)
	h.step(scheduling.EndpointChanged{Change: directory.Leaving{Entry: entry(booking, 0)}})
	for range 6 {
		_, commands := h.startCall("hold")
		if send := h.requireSend(commands); send.Key.ID != "booking-1" {
			t.Fatalf("sent to %s", send.Key.ID)
		}
	}
}

// TestAttemptsAreBounded guards against a call that is declined by one endpoint after the
// other: it is refused after six attempts. A seventh was let through.
func TestAttemptsAreBounded(t *testing.T) {
	h := newHarness(t, 10)
	for range 200 {
		// Retries need a budget.
		id, _ := h.startCall("lookup")
		h.endAttempt(id, scheduling.Completed{})
	}
	id, commands := h.startCall("hold")
	attempts := 0
	for ; len(commands) == 1; attempts++ {
		if _, ok := commands[0].(scheduling.Refuse); ok {
			break
		}
		h.requireSend(commands)
		commands = h.endAttempt(id, scheduling.Declined{})
	}
	if attempts != 6 {
		t.Errorf("%d attempts, want 6", attempts)
	}
}

func TestUnreachableEndpointIsProbedLater(t *testing.T) {
	h := newHarness(t, 1)
	id, commands := h.startCall("hold")
	h.requireSend(commands)
	h.endAttempt(id, scheduling.Unreachable{})
	h.now = h.now.Add(50 * time.Millisecond)
	h.step(scheduling.Tick{})
	for _, command := range h.commands {
		if _, ok := command.(scheduling.Send); ok {
			t.Fatal("call sent while the endpoint is ejected")
		}
	}
	h.now = h.now.Add(time.Second)
	_, commands = h.startCall("hold")
	h.requireSend(commands)
}

func TestCallsWithoutEndpointsAreRefusedImmediately(t *testing.T) {
	h := newHarness(t, 0)
	_, commands := h.startCall("hold")
	refusal := h.requireRefuse(commands)
	if refusal.MayHaveRun || refusal.Reason != scheduling.ReasonNoEndpoint || refusal.RetryAfter <= 0 {
		t.Errorf("refusal is %+v", refusal)
	}
}

func TestCallsQueueWhenEndpointsAreFull(t *testing.T) {
	h := newHarness(t, 1)
	var running []scheduling.CallID
	for range 6 {
		id, commands := h.startCall("hold")
		h.requireSend(commands)
		running = append(running, id)
	}
	queued, commands := h.startCall("hold")
	if len(commands) != 0 {
		t.Fatalf("commands for a call without a free endpoint: %+v", commands)
	}
	if send := h.requireSend(h.endAttempt(running[0], scheduling.Completed{})); send.Call != queued {
		t.Errorf("sent call %d, want the queued call %d", send.Call, queued)
	}
}

// TestRetryWaitsForRoom guards against a call that was refused with an unknown outcome,
// although it could run again and its caller had time left, because all endpoints were
// full when its attempt broke. A new call waits in that case.
func TestRetryWaitsForRoom(t *testing.T) {
	// fill starts lookups until all endpoints are full. It returns the calls at the first
	// endpoint and one at another.
	fill := func(h *harness) (first []scheduling.CallID, other scheduling.CallID) {
		for {
			id, commands := h.startCall("lookup")
			if len(commands) == 0 {
				h.step(scheduling.CallCanceled{Call: id})
				return first, other
			}
			if h.requireSend(commands).Key.ID == "booking-0" {
				first = append(first, id)
			} else {
				other = id
			}
		}
	}
	// breakFirst breaks attempts at the first endpoint, which is ejected by the second one,
	// and returns the commands for the third, and the call at another endpoint.
	breakFirst := func(h *harness) ([]scheduling.Command, scheduling.CallID) {
		first, other := fill(h)
		for _, id := range first[:2] {
			h.endAttempt(id, scheduling.Broken{})
		}
		return h.endAttempt(first[2], scheduling.Broken{}), other
	}
	t.Run("rather than at the endpoint that failed it", func(t *testing.T) {
		h := newHarness(t, 3)
		first, other := fill(h)
		if commands := h.endAttempt(first[0], scheduling.Broken{}); len(commands) != 0 {
			t.Fatalf("commands %v, want none: the call waits", commands)
		}
		if send := h.requireSend(h.endAttempt(other, scheduling.Completed{})); send.Key.ID == "booking-0" {
			t.Error("sent to the endpoint that failed it")
		}
	})
	t.Run("and goes back at last", func(t *testing.T) {
		h := newHarness(t, 3)
		first, _ := fill(h)
		h.endAttempt(first[0], scheduling.Broken{})
		h.now = h.now.Add(200 * time.Millisecond)
		if send := h.requireSend(h.step(scheduling.Tick{})); send.Call != first[0] || send.Key.ID != "booking-0" {
			t.Errorf("call %d was sent to %s", send.Call, send.Key.ID)
		}
	})
	t.Run("until there is room", func(t *testing.T) {
		h := newHarness(t, 3)
		commands, other := breakFirst(h)
		if len(commands) != 0 {
			t.Fatalf("commands %v, want none: the call waits", commands)
		}
		commands = h.endAttempt(other, scheduling.Completed{})
		if send := h.requireSend(commands); !send.IsRetry || send.Key.ID == "booking-0" {
			t.Errorf("sent to %s, as a retry: %v", send.Key.ID, send.IsRetry)
		}
	})
	t.Run("not beyond its target", func(t *testing.T) {
		h := newHarness(t, 3)
		breakFirst(h)
		h.now = h.now.Add(200 * time.Millisecond)
		if refusal := h.requireRefuse(h.step(scheduling.Tick{})); !refusal.MayHaveRun {
			t.Error("the refusal says that the call has not run")
		}
	})
	t.Run("not beyond the budget", func(t *testing.T) {
		h := newHarness(t, 3)
		_, other := breakFirst(h)
		h.step(scheduling.BudgetChanged{Window: 10 * time.Second})
		for _, command := range h.endAttempt(other, scheduling.Completed{}) {
			if send, ok := command.(scheduling.Send); ok {
				t.Errorf("call %d was sent again without a budget", send.Call)
			}
		}
	})
}

func TestColdEndpointIsAvoided(t *testing.T) {
	h := newHarness(t, 1)
	cold := entry(booking, 1)
	cold.ColdFor = 2 * time.Second
	h.step(scheduling.EndpointChanged{Change: directory.Appeared{Entry: cold}})
	_, commands := h.startCall("hold")
	if send := h.requireSend(commands); send.Key.ID == cold.ID {
		t.Error("cold endpoint was preferred to an idle warm one")
	}
	h.now = h.now.Add(3 * time.Second)
	_, commands = h.startCall("hold")
	if send := h.requireSend(commands); send.Key.ID != cold.ID {
		t.Error("endpoint that has warmed up was not preferred to a busy one")
	}
}

func TestPeerLoadIsCounted(t *testing.T) {
	h := newHarness(t, 2)
	busy := scheduling.Key{ID: "booking-0", Incarnation: 1}
	h.step(scheduling.PeerReported{
		Peer:     "other",
		Complete: true,
		Loads:    []scheduling.PeerLoad{{Endpoint: busy.Hash(), Running: 4}},
	})
	for range 3 {
		_, commands := h.startCall("hold")
		if send := h.requireSend(commands); send.Key == busy {
			t.Fatalf("sent to the endpoint that another host has fully loaded")
		}
	}
	h.step(scheduling.PeerRemoved{Peer: "other"})
	usedAgain := false
	for range 4 {
		_, commands := h.startCall("hold")
		usedAgain = usedAgain || h.requireSend(commands).Key == busy
	}
	if !usedAgain {
		t.Error("load of a removed host still counts")
	}
}

// TestOwnTokensFollowCalls guards against a figure that keeps the prompts of ended calls.
func TestOwnTokensFollowCalls(t *testing.T) {
	h := newHarness(t, 1)
	for call, want := range []int{0, 17_000, 34_000} {
		_, commands := h.startCall("draft")
		if got := h.requireSend(commands).Choice.OwnTokens; got != want {
			t.Errorf("call %d finds %d tokens of its host, want %d", call, got, want)
		}
	}
	for id := scheduling.CallID(1); id <= 3; id++ {
		h.endAttempt(id, scheduling.Completed{})
	}
	_, commands := h.startCall("draft")
	if got := h.requireSend(commands).Choice.OwnTokens; got != 0 {
		t.Errorf("after all calls have ended, %d tokens are left", got)
	}
}

// TestLoadOfSilentPeerExpires guards against engines that look busy for ever.
func TestLoadOfSilentPeerExpires(t *testing.T) {
	h := withBacklog(t, 10*time.Second)
	_, commands := h.startCall("brief")
	h.requireRefuse(commands)
	h.now = h.now.Add(3 * time.Second)
	_, commands = h.startCall("brief")
	h.requireSend(commands)
	if got := h.scheduler.Hosts(); got != 2 {
		t.Errorf("the silent peer is no longer one of %d hosts", got)
	}
}

// TestPrefillsOfOtherHostsTakeTurns guards against busy engines that look idle in large fleets.
func TestPrefillsOfOtherHostsTakeTurns(t *testing.T) {
	const peers = 5
	h := newHarness(t, 1)
	engine := scheduling.Key{ID: entry(models, 0).ID, Incarnation: 1}
	report := func(peer string, pending time.Duration) {
		h.step(scheduling.PeerReported{
			Peer:     peer,
			Complete: true,
			Loads: []scheduling.PeerLoad{{
				Endpoint:       engine.Hash(),
				PendingPrefill: pending,
				Running:        0,
			}},
		})
	}
	for i := range peers {
		report(fmt.Sprintf("peer-%d", i), 200*time.Millisecond)
	}
	h.now = h.now.Add(150 * time.Millisecond)
	_, commands := h.startCall("summary")
	if got := h.requireSend(commands).Choice.PrefillBacklog; got != 850*time.Millisecond {
		t.Errorf("backlog after 150 ms of work on five prefills of 200 ms is %v, want 0.85 s", got)
	}
	h.endAttempt(h.nextID, scheduling.Abandoned{})
	h.now = h.now.Add(50 * time.Millisecond)
	report("peer-0", 0)
	_, commands = h.startCall("summary")
	if got := h.requireSend(commands).Choice.PrefillBacklog; got != 800*time.Millisecond {
		t.Errorf("backlog after the first of five prefills is %v, want 0.8 s", got)
	}
}

// TestInvariants feeds random sequences of events and checks that a call is sent at most
// as often as its route allows, never to a leaving endpoint or while it runs, and that
// each call ends.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t, 3)
		type state struct {
			route        *route.Route
			key          scheduling.Key
			running      bool
			possibleRuns int
		}
		calls := make(map[scheduling.CallID]*state)
		leaving := make(map[string]bool)
		names := []string{"lookup", "hold", "draft", "summary", "brief"}
		check := func(commands []scheduling.Command) {
			for _, command := range commands {
				switch command := command.(type) {
				case scheduling.Send:
					c := calls[command.Call]
					if c == nil || c.running {
						rt.Fatalf("sent a call that has ended or is running: %+v", command)
					}
					if leaving[command.Key.ID] {
						rt.Fatalf("sent to leaving endpoint %s", command.Key.ID)
					}
					if c.possibleRuns > 0 && !c.route.Retryable() || c.possibleRuns >= c.route.MaxAttempts {
						rt.Fatalf("%s retried after %d possible runs", c.route.Name, c.possibleRuns)
					}
					c.running, c.key = true, command.Key
				case scheduling.Refuse:
					c := calls[command.Call]
					if c == nil || c.running {
						rt.Fatalf("refused a call that has ended or is running: %+v", command)
					}
					if command.MayHaveRun != (c.possibleRuns > 0) {
						rt.Fatalf("refusal reports that the call may have run: %v, after %d possible runs", command.MayHaveRun, c.possibleRuns)
					}
					delete(calls, command.Call)
				case scheduling.DeliverFailure:
					delete(calls, command.Call)
				}
			}
		}
		outcomes := []scheduling.Outcome{
			scheduling.Completed{}, scheduling.Unreachable{}, scheduling.Declined{}, scheduling.Misdirected{},
			scheduling.Failed{Status: 500}, scheduling.Broken{}, scheduling.Silent{}, scheduling.TimedOut{}, scheduling.Abandoned{},
		}
		for range rapid.IntRange(1, 120).Draw(rt, "events") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 7).Draw(rt, "event") {
			case 0, 1, 2:
				name := rapid.SampledFrom(names).Draw(rt, "route")
				found, _ := h.table.Lookup("h", "/"+name+"/")
				calls[h.nextID+1] = &state{route: found}
				_, commands := h.startCall(name)
				check(commands)
			case 3, 4:
				id := scheduling.CallID(rapid.IntRange(1, int(h.nextID)+1).Draw(rt, "call"))
				c := calls[id]
				if c == nil || !c.running {
					continue
				}
				outcome := rapid.SampledFrom(outcomes).Draw(rt, "outcome")
				c.running = false
				switch outcome.(type) {
				case scheduling.Unreachable, scheduling.Declined, scheduling.Misdirected:
				case scheduling.Completed, scheduling.Abandoned:
					delete(calls, id)
				default:
					c.possibleRuns++
				}
				check(h.endAttempt(id, outcome))
			case 5:
				id := scheduling.CallID(rapid.IntRange(1, int(h.nextID)+1).Draw(rt, "call"))
				delete(calls, id)
				check(h.step(scheduling.CallCanceled{Call: id}))
			case 6:
				i := rapid.IntRange(0, 2).Draw(rt, "endpoint")
				service := rapid.SampledFrom([]string{models, booking}).Draw(rt, "service")
				leaving[entry(service, i).ID] = true
				check(h.step(scheduling.EndpointChanged{Change: directory.Leaving{Entry: entry(service, i)}}))
			case 7:
				check(h.step(scheduling.Tick{}))
			}
		}
		h.now = h.now.Add(time.Minute)
		check(h.step(scheduling.Tick{}))
		for id, c := range calls {
			if !c.running {
				rt.Fatalf("call %d (%s) never ended", id, c.route.Name)
			}
		}
	})
}

// TestSlownessUsesTokensPerEventOfService covers a service whose events have more tokens
// than the model assumes: an engine at its nominal speed must not count as slow.
func TestSlownessUsesTokensPerEventOfService(t *testing.T) {
	h := newHarness(t, 1)
	spec := route.Spec{
		Version: 2,
		Services: []route.Service{
			{Name: booking},
			{Name: models, Engine: &route.Engine{Slots: 8, KVCacheTokens: 500_000, TokensPerEvent: 6}},
		},
	}
	table, err := route.New(spec)
	if err != nil {
		t.Fatal(err)
	}
	h.step(scheduling.ConfigurationChanged{Table: table})
	predicted := func() time.Duration {
		id, commands := h.startCall("brief")
		first := h.requireSend(commands).Choice.TimeToFirstEvent
		h.endAttempt(id, scheduling.Completed{})
		return first
	}
	// The first call fills the engine's cache.
	predicted()
	before := predicted()
	for range 20 {
		id, commands := h.startCall("draft")
		h.requireSend(commands)
		h.step(scheduling.AttemptEnded{
			Call:     id,
			Outcome:  scheduling.Completed{},
			EventGap: 6 * batching.Default().StepTime(1, 0),
		})
	}
	if after := predicted(); after > before+before/10 {
		t.Errorf("predicted time to first event was %v, and is %v after streams at nominal speed", before, after)
	}
}

// TestExpiredCallEjectsNoEndpoint guards against ejecting healthy endpoints: a call whose
// deadline passed during the dial was retried at one endpoint after the other, and each of
// them was ejected.
func TestExpiredCallEjectsNoEndpoint(t *testing.T) {
	for name, outcome := range map[string]scheduling.Outcome{
		"before it was sent":  scheduling.Expired{},
		"after a failed dial": scheduling.Unreachable{},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 4)
			id, commands := h.startCall("hold")
			h.requireSend(commands)
			h.now = h.now.Add(11 * time.Second)
			commands = h.endAttempt(id, outcome)
			if refusal := h.requireRefuse(commands); refusal.MayHaveRun || refusal.Reason != scheduling.ReasonTimedOut {
				t.Errorf("refusal is %+v", refusal)
			}
			for _, command := range commands {
				if _, ok := command.(scheduling.Send); ok {
					t.Error("expired call was retried")
				}
				if _, ok := command.(scheduling.EndpointHealthChanged); ok && name == "before it was sent" {
					t.Error("endpoint was ejected for an expired call")
				}
			}
		})
	}
}

// TestProbeAlwaysEnds guards against endpoints that stay excluded for good: after each
// outcome of a probe, the endpoint must receive calls again.
func TestProbeAlwaysEnds(t *testing.T) {
	for name, outcome := range map[string]scheduling.Outcome{
		"completed":   scheduling.Completed{},
		"unreachable": scheduling.Unreachable{},
		"expired":     scheduling.Expired{},
		"declined":    scheduling.Declined{},
		"misdirected": scheduling.Misdirected{},
		"failed":      scheduling.Failed{Status: 500},
		"broken":      scheduling.Broken{},
		"silent":      scheduling.Silent{},
		"timed out":   scheduling.TimedOut{},
		"abandoned":   scheduling.Abandoned{},
	} {
		for _, started := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/began=%v", name, started), func(t *testing.T) {
				h := newHarness(t, 1)
				id, commands := h.startCall("brief")
				h.requireSend(commands)
				h.endAttempt(id, scheduling.Unreachable{})
				h.step(scheduling.CallCanceled{Call: id})
				h.now = h.now.Add(time.Second)
				id, commands = h.startCall("brief")
				h.requireSend(commands)
				if started {
					h.step(scheduling.AnswerStarted{Call: id})
				}
				h.endAttempt(id, outcome)
				h.step(scheduling.CallCanceled{Call: id})
				h.now = h.now.Add(10 * time.Second)
				_, commands = h.startCall("brief")
				h.requireSend(commands)
			})
		}
	}
}

// TestExcessAfterAnswerCounts guards against an endpoint that appends bytes to complete
// answers and is taken for as sound as the others: each such answer costs a connection.
func TestExcessAfterAnswerCounts(t *testing.T) {
	h := newHarness(t, 2)
	calls := 0
	preferred := ""
	for range 20 {
		id, commands := h.startCall("lookup")
		key := h.requireSend(commands).Key
		if preferred == "" {
			preferred = key.ID
		}
		isFirst := key.ID == preferred
		if isFirst {
			calls++
		}
		h.step(scheduling.AttemptEnded{
			Call:    id,
			Outcome: scheduling.Completed{},
			Excess:  isFirst,
		})
	}
	if calls > 3 {
		t.Errorf("%d of 20 calls were sent to the endpoint that appends bytes", calls)
	}
}

// TestExcessBeforeRefusalCounts guards against an endpoint that sends earlier answers again before it
// declines, and is taken for as sound as the others.
func TestExcessBeforeRefusalCounts(t *testing.T) {
	const calls = 40
	for _, excess := range []bool{false, true} {
		h := newHarness(t, 2)
		declined := 0
		for range calls {
			id, commands := h.startCall("lookup")
			if h.requireSend(commands).Key.ID == entry(booking, 0).ID {
				declined++
				h.step(scheduling.AttemptEnded{
					Call:    id,
					Outcome: scheduling.Declined{},
					Excess:  excess,
				})
			}
			h.now = h.now.Add(50 * time.Millisecond)
			// A call that the retry budget does not allow to be sent elsewhere has ended.
			h.endAttempt(id, scheduling.Completed{})
			// Until the endpoint may be sent calls again after the refusal.
			h.now = h.now.Add(time.Second)
		}
		if excess != (declined <= 3) {
			t.Errorf("excess %v: %d of %d calls were sent to the endpoint that declines", excess, declined, calls)
		}
	}
}

// TestExpiredCallTakesNoPlace guards against places that are taken by calls whose deadline has passed while the process was
// paused or late, and against endpoints that are tested with such a call.
func TestExpiredCallTakesNoPlace(t *testing.T) {
	t.Run("arrived late", func(t *testing.T) {
		h := newHarness(t, 1)
		h.step(scheduling.CallArrived{Call: scheduling.Call{
			ID:       1,
			Route:    h.table.Routes()[1],
			Service:  booking,
			Deadline: h.now,
		}})
		h.requireExpired()
	})
	t.Run("waited", func(t *testing.T) {
		h := newHarness(t, 1)
		id, _ := h.startCall("hold")
		h.endAttempt(id, scheduling.Unreachable{})
		waiting := scheduling.Call{
			ID:       2,
			Route:    h.table.Routes()[1],
			Service:  booking,
			Deadline: h.now.Add(100 * time.Millisecond),
		}
		h.step(scheduling.CallArrived{Call: waiting})
		if len(h.sends(h.commands)) > 0 {
			t.Fatal("the call does not wait")
		}
		// The ejection of the endpoint is over, and so is the call.
		h.now = h.now.Add(time.Minute)
		h.step(scheduling.Tick{})
		h.requireExpired()
	})
}

// requireExpired requires that the last commands refuse a call whose deadline has passed, and send none.
func (h *harness) requireExpired() {
	h.t.Helper()
	if sends := h.sends(h.commands); len(sends) > 0 {
		h.t.Errorf("the call is sent: %+v", sends)
	}
	if refusal := h.requireRefuse(h.commands); refusal.Reason != scheduling.ReasonTimedOut {
		h.t.Errorf("the call is refused for %s, want %s", refusal.Reason, scheduling.ReasonTimedOut)
	}
}
