package scheduling_test

import (
	"testing"
	"time"

	"cactuswell/core/scheduling"
)

// declineOnce lets a call be declined by the endpoint that it is sent to, with a quiet
// time, and returns that endpoint.
func (h *harness) declineOnce(name string, quietFor time.Duration) scheduling.Key {
	h.t.Helper()
	id, commands := h.startCall(name)
	send := h.requireSend(commands)
	h.step(scheduling.AttemptEnded{
		Call:     id,
		Outcome:  scheduling.Declined{RetryAfter: quietFor},
		QuietFor: quietFor,
	})
	return send.Key
}

// TestQuietEndpointGetsNoCalls checks that an endpoint that asked for quiet gets no call
// until the time is over, whatever load there is. Before, a call was sent to it once no
// other endpoint had room.
func TestQuietEndpointGetsNoCalls(t *testing.T) {
	h := newHarness(t, 2)
	quiet := h.declineOnce("hold", 3*time.Second)
	for range 40 {
		_, commands := h.startCall("hold")
		for _, command := range commands {
			if send, ok := command.(scheduling.Send); ok && send.Key == quiet {
				t.Fatal("call sent to the quiet endpoint")
			}
		}
		h.now = h.now.Add(10 * time.Millisecond)
	}
	h.now = h.now.Add(3 * time.Second)
	sent := false
	for _, command := range h.step(scheduling.Tick{}) {
		send, ok := command.(scheduling.Send)
		sent = sent || ok && send.Key == quiet
	}
	if !sent {
		t.Error("no call sent to the endpoint after the quiet time")
	}
}

// TestQuietPoolRefusesAtOnce checks that a call is refused as not run, with the shortest
// time left, as soon as all endpoints are quiet for longer than it may wait, and that it
// waits for an endpoint whose quiet time is over soon.
func TestQuietPoolRefusesAtOnce(t *testing.T) {
	h := newHarness(t, 2)
	first, second := h.declineOnce("hold", 8*time.Second), h.declineOnce("hold", 6*time.Second)
	if first == second {
		t.Fatal("both calls reached the same endpoint")
	}
	_, commands := h.startCall("hold")
	refusal := h.requireRefuse(commands)
	if refusal.MayHaveRun || refusal.Reason != scheduling.ReasonAllQuiet || refusal.RetryAfter != 6*time.Second {
		t.Errorf("refusal %+v", refusal)
	}
	h.now = h.now.Add(5950 * time.Millisecond)
	_, commands = h.startCall("hold")
	if len(commands) != 0 {
		t.Fatalf("commands %+v, want the call to wait", commands)
	}
	h.now = h.now.Add(60 * time.Millisecond)
	if send := h.requireSend(h.step(scheduling.Tick{})); send.Key != second {
		t.Errorf("sent to %s, want %s", send.Key.ID, second.ID)
	}
}

// TestNoticesOfOtherHosts checks that a host leaves an endpoint alone that told another
// one that it is leaving, and avoids one that asked another for quiet while there is
// another endpoint.
func TestNoticesOfOtherHosts(t *testing.T) {
	for name, notice := range map[string]scheduling.Notice{
		"leaving": {Leaving: true},
		"quiet":   {QuietFor: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			teller, h := newHarness(t, 2), newHarness(t, 2)
			key := teller.declineOnce("hold", 0)
			if notice.Leaving {
				teller.step(scheduling.LeavingAnswered{Key: key})
			} else {
				key = teller.declineOnce("hold", notice.QuietFor)
			}
			notices := teller.scheduler.TakeNotices(teller.now, false)
			if len(notices) != 1 || notices[0].Endpoint != key.Hash() {
				t.Fatalf("notices %+v", notices)
			}
			h.step(scheduling.PeerReported{Peer: "host-2", Notices: notices})
			for range 4 {
				_, commands := h.startCall("hold")
				if send := h.requireSend(commands); send.Key == key {
					t.Fatalf("sent to %s", key.ID)
				}
			}
		})
	}
}
