package claim

import (
	"testing"
	"time"
)

// TestRewindKeepsKnownClaims guards against a second run after the log has
// lost records: a claim that was read once must block its key even if it is no
// longer in the log.
func TestRewindKeepsKnownClaims(t *testing.T) {
	machine := New(Issuer{Host: "host-1"}, DefaultSettings())
	now := time.Unix(0, 0)
	machine.Step(now, RecordsRead{
		StartedAt: now,
		Records: []StoredRecord{
			{
				Offset: 7,
				Data:   claimRecord(t, "a", "k"),
			},
		},
		NextOffset: 8,
	}, nil)
	machine.Step(now, RecordsRead{
		StartedAt:  now,
		NextOffset: 2,
	}, nil)
	if machine.Counts().Rewinds != 1 || machine.Position() != 0 {
		t.Errorf("rewinds = %d, position = %d", machine.Counts().Rewinds, machine.Position())
	}
	state := machine.Table().Lookup(KeyRef{
		Team: "team",
		Key:  "k",
	})
	if !state.Blocked {
		t.Error("claim that the log has lost no longer blocks its key")
	}
}

// TestReaderThatMissedClaimsIgnoresKeysUsed guards against a second run of an
// issued key that its issuer published as unused: a reader that may have missed
// claims of the key must not treat it as free.
func TestReaderThatMissedClaimsIgnoresKeysUsed(t *testing.T) {
	key := IssuedKey{Issuer: Issuer{Host: "host-1"}}
	body := keysUsedBody{
		Issuer:         key.Issuer,
		To:             10,
		ReadFromOffset: 5,
	}
	for _, c := range []struct {
		name  string
		floor int
		want  issuedState
	}{
		{
			name:  "stream read from the record's floor on",
			floor: 5,
			want:  issuedUnused,
		},
		{
			name:  "stream read from after the record's floor on",
			floor: 6,
			want:  issuedNotPublished,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			issuers := newStoppedIssuers()
			if err := issuers.add(body, offsetOf(c.floor)); err != nil {
				t.Fatal(err)
			}
			if got := issuers.lookup(key); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
			issuers.removeBefore(6)
			if got := issuers.lookup(key); got != issuedNotPublished {
				t.Errorf("got %d after the claims expired", got)
			}
		})
	}
}
