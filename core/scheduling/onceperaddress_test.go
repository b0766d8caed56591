package scheduling_test

import (
	"testing"
	"time"

	"cactuswell/core/directory"
	"cactuswell/core/scheduling"
)

// TestDeclinedCallWaitsForAnotherEndpoint guards against a call that must run at most once and goes back to the endpoint
// that declined it while the other one is full, or waits for an endpoint that cannot come.
func TestDeclinedCallWaitsForAnotherEndpoint(t *testing.T) {
	for name, test := range map[string]struct {
		// event happens while the call waits. The other endpoint has one of the running calls.
		event   func(h *harness, other directory.Entry, running scheduling.CallID) []scheduling.Command
		refused scheduling.Reason
	}{
		"the other one has room": {event: func(h *harness, _ directory.Entry, running scheduling.CallID) []scheduling.Command {
			return h.endAttempt(running, scheduling.Completed{})
		}},
		"the other one leaves": {event: func(h *harness, other directory.Entry, _ scheduling.CallID) []scheduling.Command {
			h.step(scheduling.EndpointChanged{Change: directory.Leaving{Entry: other}})
			h.now = h.now.Add(25 * time.Millisecond)
			return h.step(scheduling.Tick{})
		}, refused: scheduling.ReasonDeclined},
		"the wait is over": {event: func(h *harness, _ directory.Entry, _ scheduling.CallID) []scheduling.Command {
			h.now = h.now.Add(150 * time.Millisecond)
			return h.step(scheduling.Tick{})
		}, refused: scheduling.ReasonAllFull},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			declined, commands := h.startCall("hold")
			decliner := h.requireSend(commands).Key.ID
			var other directory.Entry
			var running scheduling.CallID
			// Each endpoint has room for six calls.
			for range 11 {
				id, commands := h.startCall("lookup")
				if send := h.requireSend(commands); send.Key.ID != decliner {
					running = id
					other = entry(booking, int(send.Key.ID[len(send.Key.ID)-1]-'0'))
				}
			}
			if commands := h.endAttempt(declined, scheduling.Declined{}); len(commands) > 0 {
				t.Fatalf("the declined call does not wait: %+v", commands)
			}
			commands = test.event(h, other, running)
			if test.refused == "" {
				if send := h.requireSend(commands); send.Call != declined || send.Key.ID != other.ID {
					t.Errorf("call %d was sent to %s", send.Call, send.Key.ID)
				}
				return
			}
			if refusal := h.requireRefuse(commands); refusal.Call != declined || refusal.Reason != test.refused || refusal.MayHaveRun {
				t.Errorf("the refusal is %+v", refusal)
			}
		})
	}
}

// TestAddressCountsOnce guards against a call that must run at most once and goes to one process under two IDs, and
// against one that may go to an endpoint which nothing has reached, and does not.
func TestAddressCountsOnce(t *testing.T) {
	for name, test := range map[string]struct {
		route   string
		outcome scheduling.Outcome
		sent    bool
	}{
		"declined":          {route: "hold", outcome: scheduling.Declined{}},
		"misdirected":       {route: "hold", outcome: scheduling.Misdirected{}},
		"nothing was sent":  {route: "hold", outcome: scheduling.Unreachable{}, sent: true},
		"a declined lookup": {route: "lookup", outcome: scheduling.Declined{}, sent: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			id, commands := h.startCall(test.route)
			h.requireSend(commands)
			successor := entry(booking, 0)
			successor.ID = "successor"
			h.step(scheduling.EndpointChanged{Change: directory.Removed{Entry: entry(booking, 0)}})
			h.step(scheduling.EndpointChanged{Change: directory.Appeared{Entry: successor}})
			commands = h.endAttempt(id, test.outcome)
			if test.sent {
				if send := h.requireSend(commands); send.Key.ID != successor.ID {
					t.Errorf("sent to %s", send.Key.ID)
				}
				return
			}
			if refusal := h.requireRefuse(commands); refusal.MayHaveRun {
				t.Errorf("the refusal is %+v", refusal)
			}
		})
	}
}
