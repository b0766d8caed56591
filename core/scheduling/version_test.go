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

// startOwnPrompt starts a call for a resumable stream whose prompt no engine has cached.
func (h *harness) startOwnPrompt() (scheduling.CallID, []scheduling.Command) {
	h.t.Helper()
	return h.startCallWithParts("summary", []scheduling.PromptPart{{
		ID:     uint64(1001 + h.nextID),
		Tokens: 500,
	}})
}

// startStreams starts calls for resumable streams, and returns how many were sent to each version.
func (h *harness) startStreams(count int) map[string]int {
	h.t.Helper()
	sent := make(map[string]int)
	for range count {
		h.now = h.now.Add(20 * time.Millisecond)
		id, commands := h.startOwnPrompt()
		for _, send := range h.sends(commands) {
			sent[send.Version]++
			h.step(scheduling.AnswerStarted{Call: id})
			h.endAttempt(id, scheduling.Completed{})
		}
	}
	return sent
}

// TestStreamsBeginAtBaseWhileRecordsAreOverdue guards against streams that begin at a version that
// cannot be recorded although endpoints of the base version have room.
func TestStreamsBeginAtBaseWhileRecordsAreOverdue(t *testing.T) {
	for _, endpoints := range []int{6, 18, 117} {
		t.Run(fmt.Sprintf("%d endpoints", endpoints), func(t *testing.T) {
			h := newHarness(t, 0)
			for i := range endpoints {
				h.addVersion(i, []string{"v1", "v2"}[i%2])
			}
			records := scheduling.RecordsChanged{Bases: map[string]string{models: "v1"}}
			h.step(records)
			if sent := h.startStreams(60); sent["v1"] == 0 || sent["v2"] == 0 {
				t.Errorf("sent %v with sound records", sent)
			}
			records.IsOverdue = true
			h.step(records)
			if sent := h.startStreams(60); sent["v1"] != 60 {
				t.Errorf("sent %v while records are overdue, want 60 to v1", sent)
			}
			for i := 0; i < endpoints; i += 2 {
				h.step(scheduling.EndpointChanged{Change: directory.Leaving{Entry: entry(models, i)}})
			}
			if sent := h.startStreams(60); sent["v2"] != 60 {
				t.Errorf("sent %v without endpoints of the base version, want 60 to v2", sent)
			}
		})
	}
}

// TestRecordIsRequiredBesideOtherVersion guards against a stream that is delivered without a record
// while a host that takes it up would go on at another version.
func TestRecordIsRequiredBesideOtherVersion(t *testing.T) {
	tests := []struct {
		name     string
		bases    map[string]string
		versions []string
		want     bool
	}{
		{name: "base version", bases: map[string]string{models: "v2"}, versions: []string{"v2"}},
		{name: "base version gone", bases: map[string]string{models: "v1"}, versions: []string{"v2"}},
		{name: "base version in service", bases: map[string]string{models: "v1"}, versions: []string{"v2", "v1"}, want: true},
		{name: "base unknown, one version", versions: []string{"v2"}},
		{name: "base unknown, two versions", versions: []string{"v2", "v1"}, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 0)
			h.step(scheduling.RecordsChanged{Bases: test.bases})
			for i, version := range test.versions {
				h.addVersion(i, version)
			}
			for range 20 {
				id, commands := h.startOwnPrompt()
				if send := h.requireSend(commands); send.Version == "v2" && send.RequiresRecord != test.want {
					t.Errorf("the record is required: %v", send.RequiresRecord)
				}
				h.now = h.now.Add(time.Second)
				h.step(scheduling.AnswerStarted{Call: id})
				h.endAttempt(id, scheduling.Completed{})
			}
		})
	}
}

// TestStreamWithoutRecordIsRefused guards against an endpoint that is taken for faulty, or a caller
// that is told that nothing ran, because the version of a stream could not be recorded.
func TestStreamWithoutRecordIsRefused(t *testing.T) {
	h := newHarness(t, 0)
	h.addVersion(0, "v2")
	for range 10 {
		id, commands := h.startCall("summary")
		h.requireSend(commands)
		refusal := h.requireRefuse(h.endAttempt(id, scheduling.Unrecorded{}))
		if refusal.Reason != scheduling.ReasonVersionNotRecorded || !refusal.MayHaveRun {
			t.Errorf("the call ends with %+v", refusal)
		}
	}
}

// TestStreamsDoNotBeginAtVersionThatHostsMayNotKnow guards against streams that begin at a version which has just joined:
// a host that has not heard of it would let them go on at the base version.
func TestStreamsDoNotBeginAtVersionThatHostsMayNotKnow(t *testing.T) {
	const settleTime = 3 * time.Second
	h := newVersionHarness(t, settleTime)
	for i := range 4 {
		h.addVersion(i, "v1")
	}
	h.step(scheduling.RecordsChanged{Bases: map[string]string{models: "v1"}})
	h.now = h.now.Add(time.Minute)
	for i := range 4 {
		h.addVersion(4+i, "v2")
	}
	// The endpoints of one version have 16 places.
	begin := func(route string) map[string]int {
		versions := make(map[string]int)
		var ids []scheduling.CallID
		for range 24 {
			id, commands := h.startCall(route)
			ids = append(ids, id)
			for _, send := range h.sends(commands) {
				versions[send.Version]++
			}
		}
		for _, id := range ids {
			h.step(scheduling.CallCanceled{Call: id})
		}
		return versions
	}
	if got := begin("summary"); got["v1"] == 0 || got["v2"] > 0 {
		t.Errorf("resumable streams begin at %v", got)
	}
	if got := begin("draft"); got["v2"] == 0 {
		t.Errorf("other streams begin at %v", got)
	}
	h.now = h.now.Add(settleTime)
	if got := begin("summary"); got["v2"] == 0 {
		t.Errorf("%v later, resumable streams begin at %v", settleTime, got)
	}
	for i := range 4 {
		h.step(scheduling.EndpointChanged{Change: directory.Removed{Entry: entry(models, i)}})
	}
	h.addVersion(8, "v3")
	if got := begin("summary"); got["v2"]+got["v3"] == 0 {
		t.Error("without endpoints of the base, no resumable stream begins")
	}
}

func newVersionHarness(t *testing.T, settleTime time.Duration) *harness {
	t.Helper()
	return newHarnessWith(t, 0, func(settings *scheduling.Settings) { settings.VersionSettleTime = settleTime })
}
