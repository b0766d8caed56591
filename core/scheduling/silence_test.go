package scheduling_test

import (
	"testing"
	"time"

	"cactuswell/core/directory"
	"cactuswell/core/scheduling"
)

// fullFleet is a service of which all places are taken.
type fullFleet struct {
	*harness
	// streams are the resumable streams by their endpoint, and others the calls that cannot be resumed.
	streams map[string][]scheduling.CallID
	others  map[string][]scheduling.CallID
}

// newFullFleet fills two endpoints with streams, of which two at models-1 may be resumed, and one at models-0 may not.
func newFullFleet(t *testing.T) *fullFleet {
	t.Helper()
	f := &fullFleet{
		harness: newHarness(t, 2),
		streams: make(map[string][]scheduling.CallID),
		others:  make(map[string][]scheduling.CallID),
	}
	for i := 0; ; i++ {
		name, calls := "summary", f.streams
		if i >= 6 {
			name, calls = "brief", f.others
		}
		id, commands := f.start(name)
		if len(commands) == 0 {
			f.step(scheduling.CallCanceled{Call: id})
			break
		}
		key := f.requireSend(commands).Key.ID
		calls[key] = append(calls[key], id)
		f.step(scheduling.AnswerStarted{Call: id})
		f.now = f.now.Add(50 * time.Millisecond)
	}
	if len(f.streams["models-1"]) < 2 || len(f.others["models-0"]) == 0 {
		t.Fatalf("the streams are at %v, the others at %v", f.streams, f.others)
	}
	return f
}

// start starts a call whose prompt is like no other.
func (f *fullFleet) start(name string) (scheduling.CallID, []scheduling.Command) {
	f.t.Helper()
	return f.startCallWithParts(name, []scheduling.PromptPart{{ID: uint64(f.nextID) + 1000, Tokens: 200}})
}

// silence reports that an attempt is silent.
func (f *fullFleet) silence(id scheduling.CallID) []scheduling.Command {
	return f.step(scheduling.AttemptSilent{
		Call:    id,
		Silence: 1,
		For:     1200 * time.Millisecond,
	})
}

// giveUps returns the calls of the GiveUp commands.
func giveUps(commands []scheduling.Command) (calls []scheduling.CallID) {
	for _, command := range commands {
		if giveUp, ok := command.(scheduling.GiveUp); ok {
			calls = append(calls, giveUp.Call)
		}
	}
	return calls
}

// TestSilentStreamIsNotGivenUpWithoutPlace guards against a sound stream that is cut: its endpoint pauses it, the host gives it up
// while no other endpoint has room, and refuses it when it has waited for room.
func TestSilentStreamIsNotGivenUpWithoutPlace(t *testing.T) {
	f := newFullFleet(t)
	id := f.streams["models-1"][0]
	commands := f.silence(id)
	for range 100 {
		for _, command := range commands {
			switch command.(type) {
			case scheduling.GiveUp, scheduling.Refuse:
				t.Fatalf("after %v: %+v", f.now, command)
			}
		}
		f.now = f.now.Add(25 * time.Millisecond)
		commands = f.step(scheduling.Tick{})
	}
}

// TestPlaceIsKeptForSilentStream guards against a stream that is given up for a place that another call gets, and against several
// that are given up for one place.
func TestPlaceIsKeptForSilentStream(t *testing.T) {
	f := newFullFleet(t)
	first, second := f.streams["models-1"][0], f.streams["models-1"][1]
	f.silence(first)
	f.silence(second)
	given := giveUps(f.endAttempt(f.others["models-0"][0], scheduling.Completed{}))
	if len(given) != 1 || given[0] != first {
		t.Fatalf("gives up %v for one place, want %v", given, first)
	}
	if id, commands := f.start("draft"); len(commands) != 0 {
		t.Fatalf("the place goes to a new call: %+v", commands)
	} else {
		f.step(scheduling.CallCanceled{Call: id})
	}
	if send := f.requireSend(f.endAttempt(first, scheduling.Silent{PartlyDelivered: true})); send.Key.ID != "models-0" || send.Call != first {
		t.Errorf("sent %+v", send)
	}
}

// TestPlaceOfStreamThatGoesOnIsFree guards against a place that stays taken for a stream that went on.
func TestPlaceOfStreamThatGoesOnIsFree(t *testing.T) {
	f := newFullFleet(t)
	id := f.streams["models-1"][0]
	f.silence(id)
	if given := giveUps(f.endAttempt(f.others["models-0"][0], scheduling.Completed{})); len(given) != 1 {
		t.Fatalf("gives up %v", given)
	}
	f.step(scheduling.AttemptProgressed{Call: id})
	_, commands := f.start("draft")
	if send := f.requireSend(commands); send.Key.ID != "models-0" {
		t.Errorf("sent to %s", send.Key.ID)
	}
	if f.scheduler.SilentCalls() != 0 {
		t.Errorf("%d calls are silent", f.scheduler.SilentCalls())
	}
}

// TestMoreUrgentCallGetsPlaceFirst guards against a silent stream that takes the place from a more urgent call that waits.
func TestMoreUrgentCallGetsPlaceFirst(t *testing.T) {
	f := newFullFleet(t)
	f.silence(f.streams["models-1"][0])
	urgent, commands := f.start("draft")
	if len(commands) != 0 {
		t.Fatalf("commands %+v, want none: the call waits", commands)
	}
	commands = f.endAttempt(f.others["models-0"][0], scheduling.Completed{})
	if send := f.requireSend(commands); send.Call != urgent || len(giveUps(commands)) != 0 {
		t.Errorf("commands %+v", commands)
	}
}

// TestSilentStreamIsNotGivenUpForLateAnswer guards against a sound stream that is given up for a run whose first event comes when the
// caller has left.
func TestSilentStreamIsNotGivenUpForLateAnswer(t *testing.T) {
	f := newFullFleet(t)
	f.silence(f.streams["models-1"][0])
	f.now = f.now.Add(1190 * time.Millisecond)
	if given := giveUps(f.endAttempt(f.others["models-0"][0], scheduling.Completed{})); len(given) != 0 {
		t.Errorf("gives up %v", given)
	}
}

// TestSilentAttemptIsGivenUpWhereThereIsRoom guards against streams and calls of frozen endpoints that are lost although another
// one could run them: before the first event, within a stream, and a call of a plain service.
func TestSilentAttemptIsGivenUpWhereThereIsRoom(t *testing.T) {
	for name, route := range map[string]string{"stream": "summary", "call": "lookup"} {
		for _, hasBegun := range []bool{false, true} {
			h := newHarness(t, 2)
			id, commands := h.startCallWithPrompt(route, 100, 100)
			first := h.requireSend(commands)
			if hasBegun {
				h.step(scheduling.AnswerStarted{Call: id})
			}
			f := &fullFleet{harness: h}
			if given := giveUps(f.silence(id)); len(given) != 1 {
				t.Fatalf("%s, begun %v: gives up %v", name, hasBegun, given)
			}
			if send := h.requireSend(h.endAttempt(id, scheduling.Silent{PartlyDelivered: hasBegun && name == "stream"})); send.Key == first.Key {
				t.Errorf("%s, begun %v: sent to %s again", name, hasBegun, send.Key.ID)
			}
		}
	}
}

// TestSilentStreamGoesToEndpointThatAppears guards against a stream that is lost as there was no other endpoint when it was sent.
func TestSilentStreamGoesToEndpointThatAppears(t *testing.T) {
	h := newHarness(t, 1)
	id, _ := h.startCallWithPrompt("summary", 100, 100)
	h.step(scheduling.AnswerStarted{Call: id})
	f := &fullFleet{harness: h}
	if given := giveUps(f.silence(id)); len(given) != 0 {
		t.Fatalf("gives up %v", given)
	}
	commands := h.step(scheduling.EndpointChanged{Change: directory.Appeared{Entry: entry(models, 1)}})
	if given := giveUps(commands); len(given) != 1 {
		t.Errorf("gives up %v", given)
	}
}

// TestBegunStreamWaitsForRoomUntilDeadline guards against a stream that is cut when it has waited as long as a new call, although its
// caller would wait longer.
func TestBegunStreamWaitsForRoomUntilDeadline(t *testing.T) {
	f := newFullFleet(t)
	id := f.streams["models-1"][0]
	// Another call takes the place of the stream that broke off.
	urgent, _ := f.start("draft")
	commands := f.endAttempt(id, scheduling.Broken{PartlyDelivered: true})
	if send := f.requireSend(commands); send.Call != urgent {
		t.Fatalf("sent %+v", send)
	}
	for range 40 {
		f.now = f.now.Add(50 * time.Millisecond)
		if commands := f.step(scheduling.Tick{}); len(commands) != 0 {
			t.Fatalf("after 2 s at most: %+v", commands)
		}
	}
	if send := f.requireSend(f.endAttempt(f.others["models-0"][0], scheduling.Completed{})); send.Call != id {
		t.Errorf("sent %+v", send)
	}
}

// TestRetryBudgetIsKeptForSilentStream guards against several streams that are given up for the last retry of the budget: all but one
// would be refused.
func TestRetryBudgetIsKeptForSilentStream(t *testing.T) {
	f := newFullFleet(t)
	f.step(scheduling.BudgetChanged{
		Window: 10 * time.Second,
		Slack:  5.5,
	})
	first, second := f.streams["models-1"][0], f.streams["models-1"][1]
	f.silence(first)
	f.silence(second)
	var given []scheduling.CallID
	for _, id := range f.others["models-0"] {
		given = append(given, giveUps(f.endAttempt(id, scheduling.Completed{}))...)
	}
	for _, id := range f.streams["models-0"] {
		given = append(given, giveUps(f.endAttempt(id, scheduling.Completed{}))...)
	}
	if len(given) != 1 {
		t.Fatalf("gives up %v with one retry left", given)
	}
	f.requireSend(f.endAttempt(given[0], scheduling.Silent{PartlyDelivered: true}))
}

// TestDeclinedStreamWaitsForRoom guards against a stream that is cut when the endpoint for which its run was given up has no room
// after all, and against one that is sent to it again and again.
func TestDeclinedStreamWaitsForRoom(t *testing.T) {
	h := newHarness(t, 2)
	id, commands := h.startCallWithPrompt("summary", 100, 100)
	first := h.requireSend(commands)
	h.step(scheduling.AnswerStarted{Call: id})
	f := &fullFleet{harness: h}
	if given := giveUps(f.silence(id)); len(given) != 1 {
		t.Fatalf("gives up %v", given)
	}
	other := h.requireSend(h.endAttempt(id, scheduling.Silent{PartlyDelivered: true}))
	h.step(scheduling.EndpointChanged{Change: directory.Leaving{Entry: entry(models, int(first.Key.ID[len(first.Key.ID)-1]-'0'))}})
	sends := 0
	commands = h.endAttempt(id, scheduling.Declined{RetryAfter: time.Second})
	for range 60 {
		for len(commands) > 0 {
			command := commands[0]
			commands = commands[1:]
			switch command := command.(type) {
			case scheduling.Refuse:
				t.Fatalf("refused: %+v", command)
			case scheduling.Send:
				sends++
				if command.Key != other.Key {
					t.Fatalf("sent to %s", command.Key.ID)
				}
				commands = append(commands, h.endAttempt(id, scheduling.Declined{RetryAfter: time.Second})...)
			}
		}
		h.now = h.now.Add(50 * time.Millisecond)
		commands = h.step(scheduling.Tick{})
	}
	if sends < 2 || sends > 3 {
		t.Errorf("sent %d times in 3 s to an endpoint that asks for 1 s", sends)
	}
}

// TestSilentCallIsNotGivenUpToWait guards against a call whose run is given up for a place in the queue of another endpoint, which may
// decline it.
func TestSilentCallIsNotGivenUpToWait(t *testing.T) {
	h := newHarness(t, 2)
	first, commands := h.startCall("lookup")
	key := h.requireSend(commands).Key
	elsewhere := 0
	for elsewhere < 4 {
		_, commands := h.startCall("hold")
		if h.requireSend(commands).Key != key {
			elsewhere++
		}
	}
	f := &fullFleet{harness: h}
	if given := giveUps(f.silence(first)); len(given) != 0 {
		t.Errorf("gives up %v", given)
	}
}
