package scheduling_test

import (
	"fmt"
	"testing"
	"time"

	"cactuswell/core/directory"
	"cactuswell/core/scheduling"
)

// addVersion adds an endpoint of the models with a version of its software.
func (h *harness) addVersion(i int, version string) {
	added := entry(models, i)
	added.Version = version
	h.step(scheduling.EndpointChanged{Change: directory.Appeared{Entry: added}})
}

// breakStream starts a resumable stream, breaks it off after its first event, and returns the
// version at which it began and the commands that follow.
func (h *harness) breakStream() (string, []scheduling.Command) {
	h.t.Helper()
	id, commands := h.startCall("summary")
	began := h.requireSend(commands).Version
	h.now = h.now.Add(50 * time.Millisecond)
	h.step(scheduling.AnswerStarted{Call: id})
	h.now = h.now.Add(50 * time.Millisecond)
	return began, h.endAttempt(id, scheduling.Broken{PartlyDelivered: true})
}

func (h *harness) sends(commands []scheduling.Command) []scheduling.Send {
	var sends []scheduling.Send
	for _, command := range commands {
		if send, ok := command.(scheduling.Send); ok {
			sends = append(sends, send)
		}
	}
	return sends
}

// TestStreamGoesOnAtItsVersion guards against streams that hold events from endpoints of two
// software versions.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	for _, endpoints := range []int{6, 18, 117} {
		t.Run(fmt.Sprintf("%d endpoints", endpoints), func(t *testing.T) {
			h := newHarness(t, 0)
			for i := range endpoints {
				h.addVersion(i, fmt.Sprintf("v1.%d", i%3))
			}
			for range 10 {
				began, commands := h.breakStream()
				// The endpoints of the version may be ejected for a moment.
				for waited := 0; len(h.sends(commands)) == 0 && waited < 5; waited++ {
					h.now = h.now.Add(100 * time.Millisecond)
					commands = h.step(scheduling.Tick{})
				}
				if send := h.requireSend(commands); send.Version != began {
					t.Errorf("a stream that began at %s goes on at %s", began, send.Version)
				}
				h.now = h.now.Add(5 * time.Second)
			}
		})
	}
}

// TestStreamEndsWithItsVersion guards against streams that wait for an endpoint of a version that
// has none left.
func TestStreamEndsWithItsVersion(t *testing.T) {
	h := newHarness(t, 0)
	h.addVersion(0, "v1")
	id, commands := h.startCall("summary")
	h.requireSend(commands)
	h.step(scheduling.AnswerStarted{Call: id})
	h.addVersion(1, "v2")
	h.addVersion(2, "v2")
	h.step(scheduling.EndpointChanged{Change: directory.Leaving{Entry: entry(models, 0)}})
	refusal := h.requireRefuse(h.endAttempt(id, scheduling.Broken{PartlyDelivered: true}))
	if refusal.Reason != "versionGone" || !refusal.MayHaveRun {
		t.Errorf("the stream ends with %+v, want the reason versionGone", refusal)
	}
}

// TestStreamWithoutEventsStartsAnywhere checks that a version binds no stream of which the caller
// has nothing yet.
func TestStreamWithoutEventsStartsAnywhere(t *testing.T) {
	h := newHarness(t, 0)
	h.addVersion(0, "v1")
	id, commands := h.startCall("summary")
	h.requireSend(commands)
	h.addVersion(1, "v2")
	if send := h.requireSend(h.endAttempt(id, scheduling.Broken{})); send.Version != "v2" {
		t.Errorf("the call is sent to %s again", send.Version)
	}
}
