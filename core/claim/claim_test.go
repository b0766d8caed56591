package claim

import (
	"fmt"
	"testing"
	"time"

	"cactuswell/core/record"
)

func offsetOf(n int) record.Offset { return record.Offset(n) }

func mustRecord(t testing.TB, kind record.Kind, id string, body any) []byte {
	t.Helper()
	data, err := encodeBody(kind, id, "host-1", body)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func claimRecord(t testing.TB, id, key string) []byte {
	return mustRecord(t, record.KindClaim, id, claimBody{
		Team: "team",
		Key:  key,
	})
}

func releaseRecord(t testing.TB, id, key string) []byte {
	return mustRecord(t, record.KindClaimRelease, "release-"+id, releaseBody{
		Team:  "team",
		Key:   key,
		Claim: id,
	})
}

func TestTableVerdicts(t *testing.T) {
	outcome := mustRecord(t, record.KindClaimOutcome, "o", outcomeBody{
		Team:    "team",
		Key:     "k",
		Claim:   "a",
		Outcome: Outcome{Status: 201},
	})
	a, b := claimRecord(t, "a", "k"), claimRecord(t, "b", "k")
	releaseA, releaseB := releaseRecord(t, "a", "k"), releaseRecord(t, "b", "k")
	newer := []byte(`{"version":2,"kind":"claim","id":"n","body":{"team":"team","key":"k"}}`)
	unreadable := []byte(`{"version":2,"kind":"claim","id":"n","body":7}`)
	for _, c := range []struct {
		name    string
		records [][]byte
		won     bool
	}{
		{
			name:    "first claim",
			records: [][]byte{a},
			won:     true,
		},
		{
			name:    "second claim",
			records: [][]byte{a, b},
		},
		{
			name:    "after a release",
			records: [][]byte{a, releaseA, b},
			won:     true,
		},
		{
			name:    "while another loser is unreleased",
			records: [][]byte{a, claimRecord(t, "c", "k"), releaseA, b},
		},
		{
			name:    "released before it came",
			records: [][]byte{releaseB, b},
		},
		{
			name:    "repeated",
			records: [][]byte{a, a},
		},
		{
			name:    "release after the outcome",
			records: [][]byte{a, outcome, releaseA, b},
		},
		{
			name:    "release of another's claim",
			records: [][]byte{a, releaseRecord(t, "c", "k"), b},
		},
		{
			name:    "claim of a newer release",
			records: [][]byte{newer, b},
		},
		{
			name:    "unreadable claim of a newer release",
			records: [][]byte{unreadable, b},
		},
		{
			name:    "malformed record before",
			records: [][]byte{[]byte("x"), b},
			won:     true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable(100, 100)
			var won bool
			for i, data := range c.records {
				change, _ := table.Apply(offsetOf(i), data)
				won = change.Won
			}
			if won != c.won {
				t.Errorf("won = %v, want %v", won, c.won)
			}
		})
	}
}

func TestFloodOfKeysIsBounded(t *testing.T) {
	settings := DefaultSettings()
	settings.MaxKeys, settings.MaxTeamKeys = 1000, 250
	machine := New(Issuer{Host: "host-1"}, settings)
	now := time.Unix(0, 0)
	var log int
	var calls CallID
	grant := func(team string) (granted bool) {
		calls++
		commands := machine.Step(now, DecisionRequested{
			Call:     calls,
			Team:     team,
			Key:      fmt.Sprintf("key-%d", calls),
			Deadline: now.Add(time.Minute),
		}, nil)
		now = now.Add(100 * time.Millisecond)
		for _, command := range machine.Step(now, Tick{}, commands) {
			if batch, ok := command.(Append); ok {
				read := RecordsRead{StartedAt: now}
				for _, data := range batch.Records {
					read.Records = append(read.Records, StoredRecord{
						Offset: offsetOf(log),
						Data:   data,
					})
					log++
				}
				read.NextOffset = offsetOf(log)
				machine.Step(now, AppendSucceeded{}, nil)
				for _, command := range machine.Step(now, read, nil) {
					decide, _ := command.(Decide)
					_, granted = decide.Decision.(Run)
				}
			}
		}
		return granted
	}
	for range 5000 {
		grant("flooding-team")
	}
	if got := machine.Table().TeamKeyCount("flooding-team"); got != settings.MaxTeamKeys {
		t.Errorf("remembers %d keys of the flooding team, want %d", got, settings.MaxTeamKeys)
	}
	if !grant("other-team") {
		t.Error("another team was refused")
	}
	for i := range 5000 {
		grant(fmt.Sprintf("team-%d", i%50))
	}
	if got := machine.Table().KeyCount(); got != settings.MaxKeys {
		t.Errorf("remembers %d keys, want %d", got, settings.MaxKeys)
	}
}

func FuzzParseIssued(f *testing.F) {
	f.Add("team", IssuedKey{Issuer: Issuer{Host: "host-1"}}.Encode("team"))
	f.Add("", "cw1~~~~~")
	f.Fuzz(func(t *testing.T, team, key string) {
		parsed, err := ParseIssued(team, key)
		if err == nil && parsed.Encode(team) != key {
			t.Errorf("%q is read as %q", key, parsed.Encode(team))
		}
	})
}

func FuzzApply(f *testing.F) {
	f.Add(claimRecord(f, "a", "k"))
	f.Add(releaseRecord(f, "a", "k"))
	f.Add([]byte(`{"version":1,"kind":"keysUsed","id":"u","body":{"issuer":{"host":"h"},"from":0,"to":9,"used":[1]}}`))
	f.Add([]byte(`{"version":9,"kind":"claim","id":"n","body":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		table := NewTable(100, 100)
		table.Apply(0, claimRecord(t, "held", "k"))
		table.Apply(1, data)
		change, _ := table.Apply(2, claimRecord(t, "later", "k"))
		state := table.Lookup(KeyRef{
			Team: "team",
			Key:  "k",
		})
		if change.Won && !state.Blocked {
			t.Error("a claim was won and does not block its key")
		}
		table.ExpireBefore(3)
	})
}
