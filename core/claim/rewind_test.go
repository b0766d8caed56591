package claim

import (
	"testing"
	"time"
)

func TestRewoundLogForgetsNoClaim(t *testing.T) {
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
		t.Error("the lost claim no longer blocks its key")
	}
}

func TestReaderThatMissedClaimsIgnoresKeysUsed(t *testing.T) {
	key := IssuedKey{Issuer: Issuer{Host: "host-1"}}
	body := keysUsedBody{
		Issuer: key.Issuer,
		To:     10,
		Floor:  5,
	}
	for _, c := range []struct {
		name  string
		floor int
		want  issuedState
	}{
		{
			name:  "read from before",
			floor: 5,
			want:  issuedUnused,
		},
		{
			name:  "read from later on",
			floor: 6,
			want:  issuedNotPublished,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			left := newLeftIssuers()
			if err := left.add(body, offsetOf(c.floor)); err != nil {
				t.Fatal(err)
			}
			if got := left.lookup(key); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
			left.forget(6)
			if got := left.lookup(key); got != issuedNotPublished {
				t.Errorf("got %d after the claims were forgotten", got)
			}
		})
	}
}
