package scheduling_test

import (
	"testing"
	"time"

	"cactuswell/core/scheduling"
)

// answer ends a call with an answer that names a limit.
func (h *harness) answer(id scheduling.CallID, limit scheduling.Limit) []scheduling.Command {
	return h.step(scheduling.AttemptEnded{
		Call:      id,
		Outcome:   scheduling.Completed{},
		HasAnswer: true,
		Limit:     limit,
	})
}

// TestLimitedEndpointYieldsToOthers checks that the calls beyond the limit that an endpoint names
// go to the others, and that they come back when it names none.
func TestLimitedEndpointYieldsToOthers(t *testing.T) {
	h := newHarness(t, 2)
	id, commands := h.startCall("hold")
	limited := h.requireSend(commands).Key
	h.answer(id, scheduling.Limit{IsNamed: true, PerSecond: 1})
	count := func() int {
		sent := 0
		for range 80 {
			h.now = h.now.Add(50 * time.Millisecond)
			id, commands := h.startCall("hold")
			send := h.requireSend(commands)
			limit := scheduling.Limit{}
			if send.Key == limited {
				sent++
				limit = scheduling.Limit{IsNamed: true, PerSecond: 1}
			}
			h.answer(id, limit)
		}
		return sent
	}
	if got := count(); got < 2 || got > 6 {
		t.Errorf("%d calls in 4 s under a limit of 1 a second", got)
	}
	id, commands = h.startCall("hold")
	for h.requireSend(commands).Key != limited {
		h.answer(id, scheduling.Limit{})
		h.now = h.now.Add(100 * time.Millisecond)
		id, commands = h.startCall("hold")
	}
	h.answer(id, scheduling.Limit{})
	sent := 0
	for range 80 {
		h.now = h.now.Add(50 * time.Millisecond)
		id, commands := h.startCall("hold")
		if h.requireSend(commands).Key == limited {
			sent++
		}
		h.answer(id, scheduling.Limit{})
	}
	if sent < 20 {
		t.Errorf("%d of 80 calls after the end of the limit", sent)
	}
}

// TestLimitOfAllEndpointsRefusesCalls checks that a call that no limit will allow while it may
// wait is refused at once, as not run, and is told when to come back.
func TestLimitOfAllEndpointsRefusesCalls(t *testing.T) {
	h := newHarness(t, 1)
	id, _ := h.startCall("hold")
	h.answer(id, scheduling.Limit{IsNamed: true, PerSecond: 0.2})
	refused := 0
	for range 20 {
		id, commands := h.startCall("hold")
		for _, command := range commands {
			switch command := command.(type) {
			case scheduling.Send:
				h.answer(id, scheduling.Limit{IsNamed: true, PerSecond: 0.2})
			case scheduling.Refuse:
				refused++
				if command.MayHaveRun || command.Reason != scheduling.ReasonAllLimited || command.RetryAfter < 200*time.Millisecond {
					t.Errorf("refused by %+v", command)
				}
			}
		}
	}
	if refused < 15 {
		t.Errorf("%d of 20 calls refused", refused)
	}
}

// TestNewestAnswerDecidesTheLimit checks that of what several hosts were told the newest counts,
// in whatever order it comes.
func TestNewestAnswerDecidesTheLimit(t *testing.T) {
	h := newHarness(t, 1)
	engine := scheduling.Key{ID: entry(models, 0).ID, Incarnation: 1}
	limitOf := func() *float64 {
		for _, service := range h.scheduler.Snapshot(h.now).Services {
			for _, e := range service.Endpoints {
				if e.ID == engine.ID {
					return e.LimitPerSecond
				}
			}
		}
		return nil
	}
	report := func(peer string, limit scheduling.Limit, age time.Duration) {
		h.step(scheduling.PeerReported{
			Peer: peer,
			Limits: []scheduling.LimitReport{{
				Endpoint: engine.Hash(),
				Limit:    limit,
				Age:      age,
				Sent:     1,
			}},
		})
	}
	report("host-2", scheduling.Limit{IsNamed: true, PerSecond: 3}, 100*time.Millisecond)
	report("host-3", scheduling.Limit{IsNamed: true, PerSecond: 8}, 900*time.Millisecond)
	if got := limitOf(); got == nil || *got != 3 {
		t.Errorf("limit %v, want the 3 of the newer answer", got)
	}
	h.now = h.now.Add(time.Second)
	report("host-3", scheduling.Limit{}, 10*time.Millisecond)
	report("host-2", scheduling.Limit{IsNamed: true, PerSecond: 3}, time.Second)
	if got := limitOf(); got != nil {
		t.Errorf("limit %v, want none", *got)
	}
}

// TestBrittleEndpointSeesNoMoreCallsBeforePeersReport guards against hosts that each take a larger
// part of a brittle endpoint's slots while the demand rises, because they compare their calls with
// older ones of the others.
func TestBrittleEndpointSeesNoMoreCallsBeforePeersReport(t *testing.T) {
	h := newHarness(t, 1)
	brittle := scheduling.Limit{IsBrittle: true, MaxDeclines: 1}
	id, _ := h.startCall("hold")
	h.answer(id, brittle)
	_, demands := h.scheduler.TakeLimits(h.now, true)
	for _, peer := range []string{"host-2", "host-3", "host-4", "host-5", "host-6"} {
		h.step(scheduling.PeerReported{
			Peer:        peer,
			Complete:    true,
			CallDemands: demands,
		})
	}
	sent := 0
	for range 20 {
		h.now = h.now.Add(time.Millisecond)
		_, commands := h.startCall("hold")
		for _, command := range commands {
			if _, ok := command.(scheduling.Send); ok {
				sent++
			}
		}
	}
	if sent > 1 {
		t.Errorf("%d calls sent to 4 slots of 6 hosts with equal demand, 1 allowed", sent)
	}
}
