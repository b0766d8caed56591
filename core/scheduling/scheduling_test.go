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

// testSpec is the configuration of the tests.
func testSpec() route.Spec {
	target := func(service string) []route.Target {
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
			{Name: "lookup", Host: "h", PathPrefix: "/lookup/", Kind: route.Safe, MaxAttempts: 2, TargetLatency: 150 * time.Millisecond, Targets: target(booking)},
			{Name: "hold", Host: "h", PathPrefix: "/hold/", Kind: route.AtMostOnce, MaxAttempts: 1, TargetLatency: 150 * time.Millisecond, Targets: target(booking)},
			{Name: "draft", Host: "h", PathPrefix: "/draft/", Kind: route.Stream, MaxAttempts: 1, TargetLatency: 400 * time.Millisecond, TargetEventGap: 200 * time.Millisecond, Targets: target(models)},
			{Name: "summary", Host: "h", PathPrefix: "/summary/", Kind: route.Stream, Resumable: true, MaxAttempts: 2, Priority: 1, TargetLatency: 600 * time.Millisecond, TargetEventGap: 300 * time.Millisecond, Targets: target(models)},
			{Name: "brief", Host: "h", PathPrefix: "/brief/", Kind: route.Stream, MaxAttempts: 1, Priority: 2, TargetLatency: 2 * time.Second, TargetEventGap: 800 * time.Millisecond, Targets: target(models)},
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

// bench drives one scheduler.
type bench struct {
	t         testing.TB
	table     *route.Table
	scheduler *scheduling.Scheduler
	now       time.Time
	commands  []scheduling.Command
	nextID    scheduling.CallID
}

func newBench(t testing.TB, endpoints int) *bench {
	t.Helper()
	b := &bench{
		t:     t,
		table: testTable(t),
		scheduler: scheduling.New(scheduling.Settings{
			Zone:         "z0",
			Engine:       batching.Default(),
			BudgetWindow: 10 * time.Second,
			BudgetRatio:  0.2,
			BudgetSlack:  20,
			Weights:      scheduling.DefaultWeights(),
		}, rand.New(rand.NewPCG(1, 2))),
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	b.step(scheduling.ConfigurationChanged{Table: b.table})
	for i := range endpoints {
		b.appear(booking, i)
		b.appear(models, i)
	}
	return b
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

func (b *bench) appear(service string, i int) {
	b.step(scheduling.EndpointChanged{Change: directory.Appeared{Entry: entry(service, i)}})
}

func (b *bench) step(event scheduling.Event) []scheduling.Command {
	b.commands = b.scheduler.Step(b.now, event, nil)
	return b.commands
}

// call brings a call and returns its id and the commands.
func (b *bench) call(name string) (scheduling.CallID, []scheduling.Command) {
	b.nextID++
	found, ok := b.table.Lookup("h", "/"+name+"/")
	if !ok {
		b.t.Fatalf("no route %s", name)
	}
	call := scheduling.Call{
		ID:       b.nextID,
		Route:    found,
		Service:  found.PickService(0),
		Priority: found.Priority,
		Deadline: b.now.Add(10 * time.Second),
	}
	if found.Kind == route.Stream {
		call.PromptTokens = 17_000
		call.Prompt = []scheduling.PromptPart{{ID: 7, Tokens: 13_000}, {ID: uint64(1000 + b.nextID), Tokens: 4000}}
	}
	return b.nextID, b.step(scheduling.CallArrived{Call: call})
}

func (b *bench) end(id scheduling.CallID, outcome scheduling.Outcome) []scheduling.Command {
	return b.step(scheduling.AttemptEnded{Call: id, Outcome: outcome})
}

// sent returns the one Send among commands.
func (b *bench) sent(commands []scheduling.Command) scheduling.Send {
	b.t.Helper()
	for _, command := range commands {
		if send, ok := command.(scheduling.Send); ok {
			return send
		}
	}
	b.t.Fatalf("nothing was sent: %+v", commands)
	return scheduling.Send{}
}

// refused returns the one Refuse among commands.
func (b *bench) refused(commands []scheduling.Command) scheduling.Refuse {
	b.t.Helper()
	for _, command := range commands {
		if refusal, ok := command.(scheduling.Refuse); ok {
			return refusal
		}
	}
	b.t.Fatalf("nothing was refused: %+v", commands)
	return scheduling.Refuse{}
}

func TestOutcomes(t *testing.T) {
	for name, test := range map[string]struct {
		route   string
		outcome scheduling.Outcome
		// again says that the call is sent to another endpoint; otherwise it is
		// refused with the given truth, or delivered.
		again   bool
		ran     bool
		deliver bool
	}{
		"a hold that was not sent goes elsewhere":           {route: "hold", outcome: scheduling.Unreachable{}, again: true},
		"a hold that was declined goes elsewhere":           {route: "hold", outcome: scheduling.Declined{}, again: true},
		"a hold at a taken address goes elsewhere":          {route: "hold", outcome: scheduling.Misdirected{}, again: true},
		"a hold without an answer is never sent again":      {route: "hold", outcome: scheduling.Broken{}, ran: true},
		"a hold with a spoiled answer is never sent again":  {route: "hold", outcome: scheduling.Broken{Malformed: true}, ran: true},
		"a hold that failed is delivered":                   {route: "hold", outcome: scheduling.Failed{Status: 500}, deliver: true},
		"a hold whose time is over may have run":            {route: "hold", outcome: scheduling.TimedOut{}, ran: true},
		"a lookup without an answer goes elsewhere":         {route: "lookup", outcome: scheduling.Broken{}, again: true},
		"a lookup that failed goes elsewhere":               {route: "lookup", outcome: scheduling.Failed{Status: 500}, again: true},
		"a lookup at a silent endpoint goes elsewhere":      {route: "lookup", outcome: scheduling.Silent{}, again: true},
		"a draft that broke off is not begun again":         {route: "draft", outcome: scheduling.Broken{PartlyDelivered: true}, ran: true},
		"a draft that was declined goes elsewhere":          {route: "draft", outcome: scheduling.Declined{}, again: true},
		"a summary that broke off goes on elsewhere":        {route: "summary", outcome: scheduling.Broken{PartlyDelivered: true}, again: true},
		"a summary at a silent engine goes on at another":   {route: "summary", outcome: scheduling.Silent{PartlyDelivered: true}, again: true},
		"a briefing without an answer is never begun again": {route: "brief", outcome: scheduling.Broken{}, ran: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 4)
			for range 30 {
				// Calls that end well earn the budget for repeats.
				id, _ := b.call(test.route)
				b.end(id, scheduling.Completed{})
			}
			id, commands := b.call(test.route)
			first := b.sent(commands)
			commands = b.end(id, test.outcome)
			switch {
			case test.again:
				if second := b.sent(commands); second.Key == first.Key {
					t.Errorf("sent to %v again", first.Key)
				}
			case test.deliver:
				if len(commands) != 1 || commands[0] != (scheduling.DeliverFailure{Call: id}) {
					t.Errorf("commands are %+v", commands)
				}
			default:
				if refusal := b.refused(commands); refusal.MayHaveRun != test.ran {
					t.Errorf("told that it may have run: %v, want %v", refusal.MayHaveRun, test.ran)
				}
			}
		})
	}
}

func TestRepeatsStayWithinTheBudget(t *testing.T) {
	b := newBench(t, 4)
	const calls = 200
	repeats := 0
	for range calls {
		id, _ := b.call("lookup")
		for _, command := range b.end(id, scheduling.Failed{Status: 500}) {
			if send, ok := command.(scheduling.Send); ok {
				repeats++
				b.end(send.Call, scheduling.Completed{})
			}
		}
	}
	if most := int(0.2*calls + 20); repeats > most || repeats == 0 {
		t.Errorf("%d repeats of %d calls, at most %d are allowed", repeats, calls, most)
	}
}

func TestLeavingEndpointGetsNothing(t *testing.T) {
	b := newBench(t, 2)
	b.step(scheduling.EndpointChanged{Change: directory.Leaving{Entry: entry(booking, 0)}})
	for range 6 {
		_, commands := b.call("hold")
		if send := b.sent(commands); send.Key.ID != "booking-1" {
			t.Fatalf("sent to %s", send.Key.ID)
		}
	}
}

func TestUnreachableEndpointIsTriedAgainLater(t *testing.T) {
	b := newBench(t, 1)
	id, commands := b.call("hold")
	b.sent(commands)
	b.end(id, scheduling.Unreachable{})
	b.now = b.now.Add(50 * time.Millisecond)
	b.step(scheduling.Tick{})
	for _, command := range b.commands {
		if _, ok := command.(scheduling.Send); ok {
			t.Fatal("sent while the endpoint is out of use")
		}
	}
	b.now = b.now.Add(time.Second)
	_, commands = b.call("hold")
	b.sent(commands)
}

func TestWithoutEndpointsCallsAreRefusedAtOnce(t *testing.T) {
	b := newBench(t, 0)
	_, commands := b.call("hold")
	refusal := b.refused(commands)
	if refusal.MayHaveRun || refusal.Reason != scheduling.ReasonNoEndpoint || refusal.RetryAfter <= 0 {
		t.Errorf("refusal is %+v", refusal)
	}
}

func TestFullEndpointsHoldCallsByUrgency(t *testing.T) {
	b := newBench(t, 1)
	var running []scheduling.CallID
	for range 6 {
		id, commands := b.call("hold")
		b.sent(commands)
		running = append(running, id)
	}
	late, commands := b.call("hold")
	if len(commands) != 0 {
		t.Fatalf("commands for a call without room: %+v", commands)
	}
	if send := b.sent(b.end(running[0], scheduling.Completed{})); send.Call != late {
		t.Errorf("sent %d, want the held call %d", send.Call, late)
	}
}

func TestColdEndpointIsSparedAtFirst(t *testing.T) {
	b := newBench(t, 1)
	cold := entry(booking, 1)
	cold.ColdFor = 2 * time.Second
	b.step(scheduling.EndpointChanged{Change: directory.Appeared{Entry: cold}})
	_, commands := b.call("hold")
	if send := b.sent(commands); send.Key.ID == cold.ID {
		t.Error("a cold endpoint was preferred to a warm one without work")
	}
	b.now = b.now.Add(3 * time.Second)
	_, commands = b.call("hold")
	if send := b.sent(commands); send.Key.ID != cold.ID {
		t.Error("an endpoint that is warm by now was not preferred to a busy one")
	}
}

func TestOtherHostsWorkIsSeen(t *testing.T) {
	b := newBench(t, 2)
	busy := scheduling.Key{ID: "booking-0", Incarnation: 1}
	b.step(scheduling.PeerReported{
		Peer:     "other",
		Complete: true,
		Loads:    []scheduling.PeerLoad{{Endpoint: busy.Hash(), Running: 4}},
	})
	for range 3 {
		_, commands := b.call("hold")
		if send := b.sent(commands); send.Key == busy {
			t.Fatalf("sent to the endpoint that another host has filled")
		}
	}
	b.step(scheduling.PeerRemoved{Peer: "other"})
	seen := false
	for range 4 {
		_, commands := b.call("hold")
		seen = seen || b.sent(commands).Key == busy
	}
	if !seen {
		t.Error("the work of a host that is gone still counts")
	}
}

// TestPromises feeds random courses of events and checks what must always hold.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newBench(t, 3)
		type state struct {
			route   *route.Route
			key     scheduling.Key
			running bool
			ran     int
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
						rt.Fatalf("sent a call that has ended or runs: %+v", command)
					}
					if leaving[command.Key.ID] {
						rt.Fatalf("sent to %s, which leaves", command.Key.ID)
					}
					if c.ran > 0 && !c.route.Retryable() || c.ran >= c.route.MaxAttempts {
						rt.Fatalf("%s sent again after %d runs", c.route.Name, c.ran)
					}
					c.running, c.key = true, command.Key
				case scheduling.Refuse:
					c := calls[command.Call]
					if c == nil || c.running {
						rt.Fatalf("refused a call that has ended or runs: %+v", command)
					}
					if command.MayHaveRun != (c.ran > 0) {
						rt.Fatalf("told that it may have run: %v, after %d runs", command.MayHaveRun, c.ran)
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
			b.now = b.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 7).Draw(rt, "event") {
			case 0, 1, 2:
				name := rapid.SampledFrom(names).Draw(rt, "route")
				found, _ := b.table.Lookup("h", "/"+name+"/")
				calls[b.nextID+1] = &state{route: found}
				_, commands := b.call(name)
				check(commands)
			case 3, 4:
				id := scheduling.CallID(rapid.IntRange(1, int(b.nextID)+1).Draw(rt, "call"))
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
					c.ran++
				}
				check(b.end(id, outcome))
			case 5:
				id := scheduling.CallID(rapid.IntRange(1, int(b.nextID)+1).Draw(rt, "call"))
				delete(calls, id)
				check(b.step(scheduling.CallCanceled{Call: id}))
			case 6:
				i := rapid.IntRange(0, 2).Draw(rt, "endpoint")
				service := rapid.SampledFrom([]string{models, booking}).Draw(rt, "service")
				leaving[entry(service, i).ID] = true
				check(b.step(scheduling.EndpointChanged{Change: directory.Leaving{Entry: entry(service, i)}}))
			case 7:
				check(b.step(scheduling.Tick{}))
			}
		}
		b.now = b.now.Add(time.Minute)
		check(b.step(scheduling.Tick{}))
		for id, c := range calls {
			if !c.running {
				rt.Fatalf("call %d (%s) has no end", id, c.route.Name)
			}
		}
	})
}

// TestSpeedFollowsTheServicesEvents covers events of other than the model's usual
// number of tokens: an engine at its nominal speed must not look slow.
func TestSpeedFollowsTheServicesEvents(t *testing.T) {
	b := newBench(t, 1)
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
	b.step(scheduling.ConfigurationChanged{Table: table})
	predicted := func() time.Duration {
		id, commands := b.call("brief")
		first := b.sent(commands).Choice.TimeToFirstEvent
		b.end(id, scheduling.Completed{})
		return first
	}
	// The first one fills the engine's memory.
	predicted()
	before := predicted()
	for range 20 {
		id, commands := b.call("draft")
		b.sent(commands)
		b.step(scheduling.AttemptEnded{
			Call:     id,
			Outcome:  scheduling.Completed{},
			EventGap: 6 * batching.Default().StepTime(1, 0),
		})
	}
	if after := predicted(); after > before+before/10 {
		t.Errorf("first event predicted after %v at first, %v after streams at the nominal speed", before, after)
	}
}

// TestCallWhoseTimeIsOverHarmsNoEndpoint covers a call that ran out of time while
// a connection was being made: it was tried at one endpoint after the other, and
// each was taken out of use for it.
func TestCallWhoseTimeIsOverHarmsNoEndpoint(t *testing.T) {
	for name, outcome := range map[string]scheduling.Outcome{
		"before it was sent":  scheduling.Expired{},
		"after a failed dial": scheduling.Unreachable{},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 4)
			id, commands := b.call("hold")
			b.sent(commands)
			b.now = b.now.Add(11 * time.Second)
			commands = b.end(id, outcome)
			if refusal := b.refused(commands); refusal.MayHaveRun || refusal.Reason != scheduling.ReasonTimedOut {
				t.Errorf("refusal is %+v", refusal)
			}
			for _, command := range commands {
				if _, ok := command.(scheduling.Send); ok {
					t.Error("it was sent again")
				}
				if _, ok := command.(scheduling.EndpointHealthChanged); ok && name == "before it was sent" {
					t.Error("an endpoint was ejected")
				}
			}
		})
	}
}

// TestTrialHasAnEnd covers every end of the call by which an endpoint is tried
// again: whatever it is, the endpoint gets calls again at some time.
func TestTrialHasAnEnd(t *testing.T) {
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
		for _, began := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/began=%v", name, began), func(t *testing.T) {
				b := newBench(t, 1)
				id, commands := b.call("brief")
				b.sent(commands)
				b.end(id, scheduling.Unreachable{})
				b.step(scheduling.CallCanceled{Call: id})
				b.now = b.now.Add(time.Second)
				id, commands = b.call("brief")
				b.sent(commands)
				if began {
					b.step(scheduling.AnswerStarted{Call: id})
				}
				b.end(id, outcome)
				b.step(scheduling.CallCanceled{Call: id})
				b.now = b.now.Add(10 * time.Second)
				_, commands = b.call("brief")
				b.sent(commands)
			})
		}
	}
}
