package scheduling_test

import (
	"testing"
	"time"

	"cactuswell/core/quarantine"
	"cactuswell/core/scheduling"
)

// startPrompt starts a call of a route whose prompt has the given parts and one of its own.
func (h *harness) startPrompt(name string, parts ...uint64) (scheduling.CallID, []scheduling.Command) {
	h.t.Helper()
	var prompt []scheduling.PromptPart
	for _, id := range append(parts, uint64(1001+h.nextID)) {
		prompt = append(prompt, scheduling.PromptPart{
			ID:     id,
			Tokens: 100,
		})
	}
	return h.startCallWithParts(name, prompt)
}

// crash breaks the attempt of a call because its endpoint crashed as the answer began.
func (h *harness) crash(id scheduling.CallID) []scheduling.Command {
	h.now = h.now.Add(2 * time.Second)
	return h.endAttempt(id, scheduling.Broken{
		EndpointDown: true,
		JustBegun:    true,
	})
}

// TestQuarantinedCallsReachNoEndpoint checks that new calls, repeats and queued calls with a
// part that crashes endpoints are refused, and which of them have not run.
func TestQuarantinedCallsReachNoEndpoint(t *testing.T) {
	const crashing = 77
	h := newHarness(t, 3)
	first, commands := h.startPrompt("summary", crashing)
	h.requireSend(commands)
	// The only call with the part is sent again: a single crash is no evidence.
	if send := h.requireSend(h.crash(first)); !send.IsRetry {
		t.Error("the call is not sent again")
	}
	refusal := h.requireRefuse(h.crash(first))
	if !refusal.MayHaveRun || refusal.Reason != scheduling.ReasonQuarantined {
		t.Errorf("the repeat is refused by %+v, want an unknown outcome", refusal)
	}
	_, commands = h.startPrompt("summary", 5, crashing)
	refusal = h.requireRefuse(commands)
	if refusal.MayHaveRun || refusal.Reason != scheduling.ReasonQuarantined || refusal.RetryAfter < time.Minute {
		t.Errorf("a new call is refused by %+v, want one that has not run and is to stay away", refusal)
	}
	_, commands = h.startPrompt("summary", 5)
	h.requireSend(commands)
	if h.scheduler.OpenCalls() != 1 {
		t.Errorf("%d calls are open, want the sound one", h.scheduler.OpenCalls())
	}
}

// TestQueuedCallsAreRefusedOnceQuarantined guards against calls that wait while another host
// finds that their prompts crash endpoints.
func TestQueuedCallsAreRefusedOnceQuarantined(t *testing.T) {
	const crashing = 77
	h, other := newHarness(t, 1), newHarness(t, 3)
	for range 4 {
		h.startPrompt("summary", 5)
	}
	_, commands := h.startPrompt("summary", crashing)
	if len(commands) != 0 {
		t.Fatalf("commands %+v, want the call to wait", commands)
	}
	id, _ := other.startPrompt("summary", crashing)
	other.crash(id)
	other.crash(id)
	var findings []quarantine.Finding
	for _, complete := range []bool{false, true} {
		findings = append(findings, other.scheduler.TakeFindings(other.now, complete)...)
	}
	commands = h.step(scheduling.PeerReported{
		Peer:     "other",
		Findings: findings,
	})
	if refusal := h.requireRefuse(commands); refusal.MayHaveRun || refusal.Reason != scheduling.ReasonQuarantined {
		t.Errorf("refused by %+v", refusal)
	}
	if h.scheduler.QueuedCalls() != 0 {
		t.Error("the call is still queued")
	}
}

// TestUnframedEndClearsNoPrompt guards against taking an answer that a crash ended after its
// first event for a sound one.
func TestUnframedEndClearsNoPrompt(t *testing.T) {
	const crashing = 77
	for unframed, want := range map[bool]int{true: 1, false: 0} {
		h := newHarness(t, 4)
		inFlight, _ := h.startPrompt("brief", crashing)
		for range 2 {
			id, _ := h.startPrompt("brief", crashing)
			h.crash(id)
		}
		h.now = h.now.Add(time.Second)
		h.step(scheduling.AnswerStarted{Call: inFlight})
		h.endAttempt(inFlight, scheduling.Completed{Unframed: unframed})
		if got := len(h.scheduler.Quarantines(h.now)); got != want {
			t.Errorf("%d quarantines after an answer that ends with its connection: %v; want %d", got, unframed, want)
		}
	}
}

// TestOtherBreaksQuarantineNothing lets calls break for other reasons than a crash.
func TestOtherBreaksQuarantineNothing(t *testing.T) {
	for name, outcome := range map[string]scheduling.Outcome{
		"a broken connection": scheduling.Broken{JustBegun: true},
		"a malformed answer":  scheduling.Broken{Malformed: true},
		"silence":             scheduling.Silent{},
		"an error":            scheduling.Failed{Status: 500},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 12)
			for range 12 {
				id, commands := h.startPrompt("summary", 77)
				h.requireSend(commands)
				h.now = h.now.Add(5 * time.Second)
				h.endAttempt(id, outcome)
			}
			if got := h.scheduler.Quarantines(h.now); len(got) > 0 {
				t.Errorf("quarantined: %+v", got)
			}
		})
	}
}

// TestQuarantinedRequestReachesNoEndpoint checks that copies of a request of a plain service that
// crashes endpoints are refused, and which of them have not run.
func TestQuarantinedRequestReachesNoEndpoint(t *testing.T) {
	const crashing = 77
	h := newHarness(t, 8)
	first, commands := h.startRequest("lookup", crashing, nil)
	h.requireSend(commands)
	h.requireSend(h.crash(first))
	h.requireRefuse(h.crash(first))
	second, commands := h.startRequest("lookup", crashing, nil)
	h.requireSend(commands)
	refusal := h.requireRefuse(h.crash(second))
	if !refusal.MayHaveRun || refusal.Reason != scheduling.ReasonQuarantined {
		t.Errorf("the repeat is refused by %+v, want an unknown outcome", refusal)
	}
	_, commands = h.startRequest("lookup", crashing, nil)
	refusal = h.requireRefuse(commands)
	if refusal.MayHaveRun || refusal.Reason != scheduling.ReasonQuarantined || refusal.RetryAfter < time.Minute {
		t.Errorf("a new call is refused by %+v, want one that has not run and is to stay away", refusal)
	}
	_, commands = h.startRequest("lookup", crashing+1, nil)
	h.requireSend(commands)
}

// TestAnswersClearRequest checks which answers show that a request crashes no endpoint.
func TestAnswersClearRequest(t *testing.T) {
	for name, test := range map[string]struct {
		outcome scheduling.Outcome
		want    int
	}{
		"a complete answer":             {outcome: scheduling.Completed{}, want: 0},
		"an error":                      {outcome: scheduling.Failed{Status: 500}, want: 0},
		"an error at the deadline":      {outcome: scheduling.Failed{Status: 504}, want: 1},
		"an end with the connection":    {outcome: scheduling.Completed{Unframed: true}, want: 1},
		"an answer that it did not run": {outcome: scheduling.Declined{}, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			const request = 77
			h := newHarness(t, 8)
			hold := func(outcome scheduling.Outcome) {
				id, commands := h.startRequest("hold", request, nil)
				h.requireSend(commands)
				h.now = h.now.Add(time.Second)
				h.endAttempt(id, outcome)
			}
			crash := scheduling.Broken{EndpointDown: true}
			hold(crash)
			hold(crash)
			hold(test.outcome)
			hold(crash)
			if got := len(h.scheduler.Quarantines(h.now)); got != test.want {
				t.Errorf("%d quarantines, want %d", got, test.want)
			}
		})
	}
}
