package quarantine_test

import (
	"math"
	"testing"
	"time"

	"cactuswell/core/quarantine"
)

// TestAdoptedQuarantineEnds guards against requests that are refused for ever, because a record of another writer says so.
func TestAdoptedQuarantineEnds(t *testing.T) {
	h := newHarness()
	h.ledger.Apply(h.now, []quarantine.Finding{quarantine.Quarantine{
		Request: deadly,
		Age:     math.MaxInt64,
		Left:    math.MaxInt64,
	}})
	if _, held := h.ledger.Held(h.now, deadly, nil); !held {
		t.Error("the quarantine is not adopted")
	}
	// A quarantine lasts 8 hours at most.
	h.now = h.now.Add(8*time.Hour + time.Second)
	if _, held := h.ledger.Held(h.now, deadly, nil); held {
		t.Error("the request is still held after 8 hours")
	}
}

// TestQuarantineOfTooManyPartsIsNotAdopted guards against a memory that grows with what a record names.
func TestQuarantineOfTooManyPartsIsNotAdopted(t *testing.T) {
	h := newHarness()
	parts := make([]uint64, 100_000)
	for i := range parts {
		parts[i] = uint64(i + 1)
	}
	h.ledger.Apply(h.now, []quarantine.Finding{quarantine.Quarantine{
		Parts: parts,
		Left:  time.Hour,
	}})
	if got := h.ledger.Quarantines(h.now); len(got) != 0 {
		t.Errorf("%d quarantines, one of %d parts", len(got), len(got[0].Parts))
	}
}
