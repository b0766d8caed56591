package quarantine_test

import (
	"testing"
	"time"

	"cactuswell/core/quarantine"
)

// newFullLedger returns a ledger with as many crashes as it keeps, each under many calls, and as
// many quarantines.
func newFullLedger() *harness {
	h := newHarness()
	for crash := range uint64(256) {
		h.pass(time.Second)
		h.crashRequests(crash, 40*time.Millisecond, crashing+crash/3)
		for call := range uint64(60) {
			h.crashRequests(crash, 40*time.Millisecond, 1<<20+crash<<8+call)
		}
	}
	return h
}

func BenchmarkRecordAnswer(b *testing.B) {
	h := newFullLedger()
	for i := uint64(0); b.Loop(); i++ {
		h.now = h.now.Add(time.Millisecond)
		h.ledger.RecordAnswer(h.now, h.now, 1<<40+i, []uint64{system, session})
	}
}

func BenchmarkHeld(b *testing.B) {
	h := newFullLedger()
	for i := uint64(0); b.Loop(); i++ {
		h.ledger.Held(h.now, 1<<40+i, []uint64{system, session})
	}
}

func BenchmarkRecordCrash(b *testing.B) {
	h := newFullLedger()
	for i := uint64(0); b.Loop(); i++ {
		h.now = h.now.Add(10 * time.Millisecond)
		h.ledger.RecordCrash(h.now, quarantine.Crash{
			ID:       1<<50 + i,
			Endpoint: 1<<50 + i/40,
			Request:  1<<50 + i,
			Flight:   40 * time.Millisecond,
		})
	}
}
