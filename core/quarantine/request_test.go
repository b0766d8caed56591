package quarantine_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactuswell/core/quarantine"
)

const (
	crashing  = 101
	bystander = 102
)

// crashRequests breaks calls with the given requests at an endpoint, which were sent a time
// before.
func (h *harness) crashRequests(endpoint uint64, flight time.Duration, requests ...uint64) []quarantine.Change {
	var changes []quarantine.Change
	for _, request := range requests {
		h.lastID++
		changes = append(changes, h.ledger.RecordCrash(h.now, quarantine.Crash{
			ID:       h.lastID,
			Endpoint: endpoint,
			Request:  request,
			Flight:   flight,
		})...)
	}
	return changes
}

func (h *harness) pass(duration time.Duration) { h.now = h.now.Add(duration) }

func (h *harness) isRequestHeld(request uint64) bool {
	_, held := h.ledger.Held(h.now, request, nil)
	return held
}

func TestCrashingRequestIsHeldAfterThreeCrashes(t *testing.T) {
	h := newHarness()
	// A retry follows its crash at once.
	for endpoint := range uint64(3) {
		if h.isRequestHeld(crashing) {
			t.Fatalf("held after %d crashes", endpoint)
		}
		h.pass(40 * time.Millisecond)
		h.crashRequests(endpoint, 40*time.Millisecond, crashing)
	}
	if !h.isRequestHeld(crashing) {
		t.Error("not held after three crashes")
	}
	if h.isRequestHeld(bystander) {
		t.Error("another request is held")
	}
}

// TestCopiesThatBreakTogetherCountOnce guards against holding a popular request because
// endpoints fail together while they run copies of it.
func TestCopiesThatBreakTogetherCountOnce(t *testing.T) {
	h := newHarness()
	for endpoint := range uint64(20) {
		h.pass(10 * time.Millisecond)
		h.crashRequests(endpoint, 500*time.Millisecond, crashing)
	}
	if h.isRequestHeld(crashing) {
		t.Error("held, although the copies were sent before the endpoints failed")
	}
}

func TestAnsweredRequestIsNotHeld(t *testing.T) {
	h := newHarness()
	for endpoint := range uint64(8) {
		h.pass(time.Second)
		h.crashRequests(endpoint, 40*time.Millisecond, crashing)
		if endpoint%2 == 1 {
			h.pass(100 * time.Millisecond)
			h.ledger.RecordAnswer(h.now, h.now, crashing, nil)
		}
	}
	if h.isRequestHeld(crashing) {
		t.Error("held, although it is answered between the crashes")
	}
}

// TestBystanderIsNotHeld guards against holding a sound request that is retried at endpoints
// that another one crashes.
func TestBystanderIsNotHeld(t *testing.T) {
	h := newHarness()
	for endpoint := range uint64(4) {
		h.pass(time.Second)
		h.crashRequests(endpoint, 40*time.Millisecond, crashing)
		if endpoint > 0 {
			h.crashRequests(endpoint, 30*time.Millisecond, bystander)
		}
	}
	if !h.isRequestHeld(crashing) {
		t.Error("the request that crashes endpoints is not held")
	}
	if h.isRequestHeld(bystander) {
		t.Error("the bystander is held")
	}
}

// TestCrashingRequestHoldsNoPart guards against refusing all prompts with a sound part because
// one request with it crashes endpoints.
func TestCrashingRequestHoldsNoPart(t *testing.T) {
	for name, began := range map[string]bool{"answer begun": true, "no byte": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			for endpoint := range uint64(9) {
				h.pass(time.Second)
				h.lastID++
				h.ledger.RecordCrash(h.now, quarantine.Crash{
					ID:       h.lastID,
					Endpoint: endpoint,
					Request:  crashing,
					Began:    began,
					Parts:    []uint64{system, session},
					Flight:   40 * time.Millisecond,
				})
			}
			if _, held := h.ledger.Held(h.now, crashing, []uint64{system, session}); !held {
				t.Error("the request is not held")
			}
			if _, held := h.ledger.Held(h.now, bystander, []uint64{system, session}); held {
				t.Error("another request with its parts is held")
			}
		})
	}
}

// TestPartIsHeldAfterTwoRequests guards against letting each prompt with a part that crashes
// endpoints have crashes of its own.
func TestPartIsHeldAfterTwoRequests(t *testing.T) {
	h := newHarness()
	for i := range uint64(3) {
		h.pass(time.Second)
		h.lastID++
		h.ledger.RecordCrash(h.now, quarantine.Crash{
			ID:       h.lastID,
			Endpoint: i,
			Request:  1000 + i/2,
			Began:    true,
			Parts:    []uint64{deadly},
			Flight:   40 * time.Millisecond,
		})
	}
	if _, held := h.ledger.Held(h.now, 2000, []uint64{deadly}); !held {
		t.Error("the part is not held after crashes under two requests")
	}
}

func TestAnswerLiftsQuarantineOfRequest(t *testing.T) {
	h := newHarness()
	for endpoint := range uint64(3) {
		h.pass(time.Second)
		h.crashRequests(endpoint, 40*time.Millisecond, crashing)
	}
	other := newHarness()
	other.now = h.now
	other.ledger.Apply(other.now, h.ledger.Take(h.now, true))
	if !other.isRequestHeld(crashing) {
		t.Fatal("the other host does not hold the request")
	}
	h.pass(100 * time.Millisecond)
	other.now = h.now
	changes := h.ledger.RecordAnswer(h.now, h.now, crashing, nil)
	if lifted, ok := changes[0].(quarantine.Lifted); !ok || lifted.Request != crashing || h.isRequestHeld(crashing) {
		t.Errorf("the answer leads to %+v", changes)
	}
	other.ledger.Apply(other.now, h.ledger.Take(h.now, false))
	if other.isRequestHeld(crashing) {
		t.Error("the other host still holds the request")
	}
}

// TestHostsAgreeOnRequests checks that all hosts hold a request that crashes endpoints, and no
// other, whichever hosts see its crashes and whichever reports are lost.
func TestHostsAgreeOnRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]*harness, rapid.IntRange(2, 6).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = newHarness()
			hosts[i].lastID = uint64(1000 * i)
		}
		now := hosts[0].now
		// Of the three reports with a finding, each other host gets at least one.
		report := func(rounds int) {
			for from, sender := range hosts {
				delivered := make([]int, len(hosts))
				for to := range hosts {
					delivered[to] = rapid.IntRange(0, rounds-1).Draw(t, "delivered")
				}
				for round := range rounds {
					findings := sender.ledger.Take(now.Add(time.Duration(round)*10*time.Millisecond), rounds == 1)
					for to, receiver := range hosts {
						if from != to && round == delivered[to] {
							receiver.ledger.Apply(now.Add(time.Duration(round)*10*time.Millisecond), findings)
						}
					}
				}
			}
			now = now.Add(time.Duration(rounds) * 10 * time.Millisecond)
		}
		for crash := range uint64(4) {
			now = now.Add(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second}).Draw(t, "pause"))
			host := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]
			host.now = now
			requests := []uint64{crashing}
			for range rapid.IntRange(0, 3).Draw(t, "bystanders") {
				requests = append(requests, bystander+100*crash+rapid.Uint64Range(0, 3).Draw(t, "bystander"))
			}
			host.crashRequests(crash, 40*time.Millisecond, requests...)
			report(3)
		}
		hosts = append(hosts, newHarness())
		now = now.Add(500 * time.Millisecond)
		report(1)
		for i, h := range hosts {
			h.now = now
			if !h.isRequestHeld(crashing) {
				t.Errorf("host %d does not hold the request", i)
			}
			if held := len(h.ledger.Quarantines(now)); held != 1 {
				t.Errorf("host %d has %d quarantines", i, held)
			}
		}
	})
}
