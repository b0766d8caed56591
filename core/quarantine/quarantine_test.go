package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cactuswell/core/quarantine"
)

const (
	system  = 1
	deadly  = 2
	session = 3
)

// harness drives a ledger with a simulated clock.
type harness struct {
	ledger *quarantine.Ledger
	now    time.Time
	lastID uint64
}

func newHarness() *harness {
	return &harness{
		ledger: quarantine.New(),
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
}

// crash breaks calls with the given parts at an endpoint. The answer to the first has begun.
func (h *harness) crash(endpoint uint64, prompts ...[]uint64) []quarantine.Change {
	h.now = h.now.Add(time.Second)
	var changes []quarantine.Change
	for i, parts := range prompts {
		h.lastID++
		changes = append(changes, h.ledger.RecordCrash(h.now, quarantine.Crash{
			ID:       h.lastID,
			Endpoint: endpoint,
			Began:    i == 0,
			Parts:    parts,
		})...)
	}
	return changes
}

func (h *harness) answer(parts ...uint64) []quarantine.Change {
	h.now = h.now.Add(100 * time.Millisecond)
	return h.ledger.RecordAnswer(h.now, h.now.Add(-50*time.Millisecond), 0, parts)
}

func (h *harness) isHeld(parts ...uint64) bool {
	_, held := h.ledger.Held(h.now, 0, parts)
	return held
}

func TestDeadlyPartIsHeldAfterTwoCrashes(t *testing.T) {
	h := newHarness()
	h.answer(system)
	h.crash(1, []uint64{system, deadly}, []uint64{system}, []uint64{system, session})
	if h.isHeld(system, deadly) {
		t.Fatal("held after one crash")
	}
	h.crash(2, []uint64{system, deadly}, []uint64{system})
	if !h.isHeld(system, deadly) {
		t.Error("the part is not held after two crashes")
	}
	for _, sound := range [][]uint64{{system}, {system, session}, {session}} {
		if h.isHeld(sound...) {
			t.Errorf("the sound prompt %v is held", sound)
		}
	}
}

// TestSilentCrashesNeedMoreEvidence lets endpoints crash before they send a byte of the answer.
func TestSilentCrashesNeedMoreEvidence(t *testing.T) {
	h := newHarness()
	for endpoint := range uint64(5) {
		if h.isHeld(deadly) {
			t.Fatalf("held after %d crashes", endpoint)
		}
		h.now = h.now.Add(time.Second)
		h.lastID++
		h.ledger.RecordCrash(h.now, quarantine.Crash{
			ID:       h.lastID,
			Endpoint: endpoint,
			Parts:    []uint64{deadly},
		})
	}
	if !h.isHeld(deadly) {
		t.Error("not held after five crashes")
	}
}

// TestSoundPartOfAllCrashesIsNotHeld guards against holding what all prompts of a route share:
// it is in each call that breaks, but answers to other prompts clear it.
func TestSoundPartOfAllCrashesIsNotHeld(t *testing.T) {
	h := newHarness()
	for endpoint := range uint64(20) {
		if changes := h.crash(endpoint, []uint64{system}); len(changes) > 0 {
			t.Fatalf("a part that is answered between the crashes is held: %+v", changes)
		}
		h.answer(system)
	}
}

// crashSilently breaks calls at an endpoint that has sent no byte of an answer.
func (h *harness) crashSilently(endpoint uint64, prompts ...[]uint64) {
	h.now = h.now.Add(time.Second)
	for _, parts := range prompts {
		h.lastID++
		h.ledger.RecordCrash(h.now, quarantine.Crash{
			ID:       h.lastID,
			Endpoint: endpoint,
			Parts:    parts,
		})
	}
}

// TestExplainedCrashCountsAgainstNoOtherPart guards against holding what was in flight beside
// prompts that are held already.
func TestExplainedCrashCountsAgainstNoOtherPart(t *testing.T) {
	h := newHarness()
	for endpoint := range uint64(6) {
		prompts := [][]uint64{{session}, {deadly}}
		if endpoint == 0 {
			prompts = prompts[1:]
		}
		h.crashSilently(endpoint, prompts...)
	}
	if !h.isHeld(deadly) || h.isHeld(session) {
		t.Errorf("held: %+v, want the part of all six crashes alone", h.ledger.Quarantines(h.now))
	}
}

// TestWaitingCallIsClearedByOtherHosts guards against holding the part of calls that waited at
// endpoints while another host reports whose answer had begun there.
func TestWaitingCallIsClearedByOtherHosts(t *testing.T) {
	h := newHarness()
	for endpoint := range uint64(8) {
		h.crashSilently(endpoint, []uint64{session})
		h.now = h.now.Add(100 * time.Millisecond)
		h.ledger.Apply(h.now, []quarantine.Finding{quarantine.Crash{
			ID:       1000 + endpoint,
			Endpoint: endpoint,
			Began:    true,
			Parts:    []uint64{deadly},
			Age:      100 * time.Millisecond,
		}})
	}
	if !h.isHeld(deadly) || h.isHeld(session) {
		t.Errorf("held: %+v, want the part of the calls whose answers had begun", h.ledger.Quarantines(h.now))
	}
}

// TestHostThatStartsLaterLearnsQuarantines lets a host start long after the last crash.
func TestHostThatStartsLaterLearnsQuarantines(t *testing.T) {
	h, late := newHarness(), newHarness()
	h.crash(1, []uint64{deadly})
	h.crash(2, []uint64{deadly})
	for range 5 {
		h.ledger.Take(h.now, false)
	}
	h.now = h.now.Add(time.Minute)
	late.now = h.now
	late.ledger.Apply(late.now, h.ledger.Take(h.now, true))
	if !late.isHeld(deadly) {
		t.Error("the host does not hold the part")
	}
}

// TestOutboxRepeatsFindings checks that each finding is in three reports, and in no more when it
// comes back from another host, and that reports stay small.
func TestOutboxRepeatsFindings(t *testing.T) {
	now := newHarness().now
	var outbox quarantine.Outbox
	crash := quarantine.Crash{
		ID:    1,
		Parts: []uint64{deadly},
	}
	reports := 0
	for range 10 {
		outbox.Add(now, crash)
		reports += len(outbox.Take(now, false))
		now = now.Add(25 * time.Millisecond)
	}
	if reports != 3 {
		t.Errorf("the finding is in %d reports, want 3", reports)
	}
	for id := range uint64(200) {
		outbox.Add(now, quarantine.Crash{
			ID:    100 + id,
			Parts: make([]uint64, 6),
		})
	}
	taken := 0
	for !outbox.IsEmpty() {
		report := outbox.Take(now, false)
		if len(report) > 32 || 6*len(report) > 128 {
			t.Fatalf("a report has %d findings of 6 parts", len(report))
		}
		taken += len(report)
	}
	if taken != 3*200 {
		t.Errorf("%d findings reported, want three times 200", taken)
	}
}

// TestEndpointsThatFailTogetherCountOnce guards against taking a failure of many endpoints for
// the effect of what the calls there have in common.
func TestEndpointsThatFailTogetherCountOnce(t *testing.T) {
	h := newHarness()
	for endpoint := range uint64(30) {
		h.now = h.now.Add(-990 * time.Millisecond)
		h.crash(endpoint, []uint64{system}, []uint64{system, session})
	}
	if h.isHeld(system) || h.isHeld(system, session) {
		t.Error("the parts of 30 calls that broke within 0.3 s are held")
	}
}

// TestInseparablePartsAreHeldTogether guards against holding a sound part that all deadly
// prompts share, while no other prompt shows which of them is sound.
func TestInseparablePartsAreHeldTogether(t *testing.T) {
	h := newHarness()
	h.crash(1, []uint64{system, deadly})
	h.crash(2, []uint64{system, deadly})
	if !h.isHeld(system, deadly) || h.isHeld(system) || h.isHeld(deadly) {
		t.Fatal("want only prompts with both parts held")
	}
	h.crash(3, []uint64{deadly})
	if !h.isHeld(deadly) || h.isHeld(system) {
		t.Error("a crash without the sound part does not narrow the quarantine")
	}
}

func TestAnswerLiftsQuarantine(t *testing.T) {
	h := newHarness()
	h.crash(1, []uint64{system, deadly})
	h.crash(2, []uint64{system, deadly})
	want := []quarantine.Change{quarantine.Lifted{
		Parts:     []uint64{system, deadly},
		Remaining: []uint64{deadly},
	}}
	if diff := cmp.Diff(want, h.answer(system)); diff != "" {
		t.Error(diff)
	}
	if !h.isHeld(deadly) {
		t.Error("the remaining part is not held")
	}
	h.answer(deadly)
	if h.isHeld(system, deadly) {
		t.Error("held though an answer to the part is known")
	}
}

// TestProvenPartNeedsMoreEvidence lets a part crash endpoints that was answered before.
func TestProvenPartNeedsMoreEvidence(t *testing.T) {
	h := newHarness()
	h.answer(deadly)
	for crashes := range uint64(4) {
		if h.isHeld(deadly) {
			t.Fatalf("held after %d crashes", crashes)
		}
		h.crash(crashes, []uint64{deadly})
	}
	if !h.isHeld(deadly) {
		t.Error("not held after four crashes")
	}
}

// TestOneCrashRenewsQuarantine checks that a quarantine ends, and that one crash renews it for
// longer.
func TestOneCrashRenewsQuarantine(t *testing.T) {
	h := newHarness()
	h.crash(1, []uint64{deadly})
	h.crash(2, []uint64{deadly})
	first, _ := h.ledger.Held(h.now, 0, []uint64{deadly})
	h.now = h.now.Add(first)
	if h.isHeld(deadly) {
		t.Fatal("held after its term")
	}
	h.crash(3, []uint64{deadly})
	if second, _ := h.ledger.Held(h.now, 0, []uint64{deadly}); second != 2*first {
		t.Errorf("held for %v, want %v", second, 2*first)
	}
}

// TestHostsAgree checks that hosts that exchange their findings hold the part that crashes
// endpoints and no other, whatever part of the reports is dropped or comes twice, and that a
// host that starts later learns of it.
func TestHostsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]*harness, rapid.IntRange(2, 5).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = newHarness()
			hosts[i].lastID = uint64(1000 * i)
		}
		now := hosts[0].now
		// A finding is in three reports, so that two in a row may be dropped.
		dropped := make(map[[2]int]int)
		report := func(complete bool) {
			for from, sender := range hosts {
				findings := sender.ledger.Take(now, complete)
				for to, receiver := range hosts {
					link := [2]int{from, to}
					if from == to {
						continue
					}
					if dropped[link] < 2 && rapid.Bool().Draw(t, "dropped") {
						dropped[link]++
						continue
					}
					dropped[link] = 0
					for range rapid.IntRange(1, 2).Draw(t, "copies") {
						receiver.ledger.Apply(now, findings)
					}
				}
			}
		}
		for crash := range uint64(5) {
			for range rapid.IntRange(1, 6).Draw(t, "answers") {
				h := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "answering host")]
				now = now.Add(50 * time.Millisecond)
				h.ledger.RecordAnswer(now, now.Add(-20*time.Millisecond), 0, []uint64{system, session + rapid.Uint64Range(0, 2).Draw(t, "session")})
			}
			now = now.Add(400 * time.Millisecond)
			for i, h := range hosts {
				parts := []uint64{system, session + rapid.Uint64Range(0, 2).Draw(t, "broken session")}
				if uint64(i) == crash%uint64(len(hosts)) {
					parts = []uint64{system, deadly, parts[1]}
				}
				h.lastID++
				h.ledger.RecordCrash(now, quarantine.Crash{
					ID:       h.lastID,
					Endpoint: crash,
					Began:    slices.Contains(parts, deadly),
					Parts:    parts,
				})
			}
			for range 8 {
				now = now.Add(25 * time.Millisecond)
				report(false)
			}
		}
		hosts = append(hosts, newHarness())
		for range 3 {
			report(true)
		}
		for _, h := range hosts {
			h.now = now
			if !h.isHeld(system, deadly, session, session+1, session+2) {
				t.Errorf("a host does not hold the part that crashes endpoints")
			}
			if h.isHeld(system, session, session+1, session+2) {
				t.Errorf("a host holds sound parts: %v", h.ledger.Quarantines(now))
			}
		}
	})
}
