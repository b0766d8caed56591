package configuration_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cactuswell/core/configuration"
	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
	"cactuswell/core/record"
)

func profileSpec(name string, targetMs int64) *profile.Spec {
	return &profile.Spec{
		Name:     name,
		Class:    "briefing",
		Kind:     profile.KindModel,
		Pool:     "drafting",
		Tier:     profile.TierStandard,
		TargetMs: targetMs,
	}
}

func profileChange(base uint64, asOf record.Offset, target int64) configuration.ProfileChange {
	return configuration.ProfileChange{
		Name:         "briefing",
		BaseRevision: base,
		Spec:         profileSpec("briefing", target),
		Author:       "aigerim",
		AsOf:         asOf,
	}
}

func deletion(base uint64, asOf record.Offset) configuration.ProfileChange {
	return configuration.ProfileChange{
		Name:         "briefing",
		BaseRevision: base,
		Deleted:      true,
		Author:       "aigerim",
		AsOf:         asOf,
	}
}

func drainChange(incarnation uint64, drained bool, asOf record.Offset) configuration.EndpointChange {
	return configuration.EndpointChange{
		Name:        "engine-3",
		Incarnation: incarnation,
		Drained:     drained,
		Author:      "aigerim",
		AsOf:        asOf,
	}
}

func encode(t testing.TB, id string, change configuration.Change) []byte {
	t.Helper()
	data, err := configuration.Encode(id, "host-1", 0, change)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// encodeUnchecked encodes a record without the validation of Encode.
func encodeUnchecked(t testing.TB, version int, kind record.Kind, id, body string) []byte {
	t.Helper()
	data, err := json.Marshal(record.Envelope{
		Version: version,
		Kind:    kind,
		ID:      id,
		Body:    json.RawMessage(body),
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestApplyVerdicts(t *testing.T) {
	for name, test := range map[string]struct {
		records [][]byte
		want    []configuration.Verdict
	}{
		"second change from the same base conflicts": {
			records: [][]byte{
				encode(t, "a", profileChange(0, 0, 1)),
				encode(t, "b", profileChange(0, 0, 2)),
				encode(t, "c", profileChange(1, 0, 3)),
			},
			want: []configuration.Verdict{"accepted", "conflict", "accepted"},
		},
		"duplicate id has no effect": {
			records: [][]byte{
				encode(t, "a", drainChange(1, true, 0)),
				encode(t, "b", drainChange(1, false, 0)),
				encode(t, "a", drainChange(1, true, 0)),
			},
			want: []configuration.Verdict{"accepted", "accepted", "repeated"},
		},
		"re-creation requires the tombstone's revision": {
			records: [][]byte{
				encode(t, "a", profileChange(0, 0, 1)),
				encode(t, "b", deletion(1, 1)),
				encode(t, "c", profileChange(0, 2, 1)),
				encode(t, "d", deletion(2, 2)),
				encode(t, "e", profileChange(2, 2, 1)),
			},
			want: []configuration.Verdict{"accepted", "accepted", "conflict", "invalid", "accepted"},
		},
		"malformed and unknown records are skipped": {
			records: [][]byte{
				[]byte("no json"),
				encodeUnchecked(t, 1, "unheardOf", "a", `{}`),
				encodeUnchecked(t, 1, record.KindProfileChange, "b", `{"name":7}`),
				encodeUnchecked(t, 1, record.KindProfileChange, "", `{}`),
				encode(t, "c", profileChange(0, 0, 1)),
			},
			want: []configuration.Verdict{"malformed", "unknownKind", "malformed", "malformed", "accepted"},
		},
		"changes that are not allowed are invalid": {
			records: [][]byte{
				encodeUnchecked(t, 1, record.KindProfileChange, "a", `{"name":"briefing","spec":{"name":"briefing"}}`),
				encodeUnchecked(t, 1, record.KindProfileChange, "b", `{"name":"briefing"}`),
				encode(t, "c", profileChange(0, 9, 1)),
				encode(t, "d", deletion(0, 0)),
			},
			want: []configuration.Verdict{"invalid", "invalid", "invalid", "invalid"},
		},
		"older incarnation cannot be drained after a newer one": {
			records: [][]byte{
				encode(t, "a", drainChange(7, true, 0)),
				encode(t, "b", drainChange(6, true, 0)),
				encode(t, "c", drainChange(8, true, 0)),
			},
			want: []configuration.Verdict{"accepted", "invalid", "accepted"},
		},
		"record kind of an earlier release is skipped": {
			records: [][]byte{
				[]byte(`{"version":1,"kind":"placement","id":"a","body":{"document":{"models":[]}}}`),
				encode(t, "b", drainChange(1, true, 0)),
			},
			want: []configuration.Verdict{"unknownKind", "accepted"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			state := configuration.New()
			var got []configuration.Verdict
			for i, data := range test.records {
				got = append(got, state.Apply(record.Offset(i), data).Verdict)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestConflictErrorHoldsCurrentEntry(t *testing.T) {
	state := configuration.New()
	state.Apply(0, encode(t, "a", profileChange(0, 0, 700)))
	outcome := state.Apply(1, encode(t, "b", profileChange(0, 0, 900)))
	var conflict *configuration.ConflictError
	if !errors.As(state.Err(outcome), &conflict) {
		t.Fatalf("got %v", state.Err(outcome))
	}
	if conflict.Current.Spec.TargetMs != 700 || conflict.Current.Author != "aigerim" || conflict.Current.Revision != 1 {
		t.Errorf("conflict does not hold the accepted entry: %+v", conflict.Current)
	}
}

func TestApplyAcceptsOnlyTheNextOffset(t *testing.T) {
	state := configuration.New()
	data := encode(t, "a", profileChange(0, 0, 1))
	if got := state.Apply(1, data).Verdict; got != configuration.VerdictGap {
		t.Errorf("record after a gap: %s", got)
	}
	state.Apply(0, data)
	if got := state.Apply(0, data).Verdict; got != configuration.VerdictAlreadyApplied {
		t.Errorf("record that was applied before: %s", got)
	}
	if state.NextOffset() != 1 {
		t.Errorf("next offset is %d", state.NextOffset())
	}
}

func TestNewerVersionBlocksTheState(t *testing.T) {
	state := configuration.New()
	state.Apply(0, encode(t, "a", profileChange(0, 0, 1)))
	got := state.Apply(1, encodeUnchecked(t, record.Version+1, record.KindProfileChange, "b", `{}`))
	if got.Verdict != configuration.VerdictNewerVersion || state.NextOffset() != 1 {
		t.Errorf("got %+v, next %d", got, state.NextOffset())
	}
	if state.BlockedBy() == nil || state.BlockedBy().Offset != 1 {
		t.Errorf("state is not blocked by the newer record: %v", state.BlockedBy())
	}
}

// TestDuplicateDrainHasNoEffect guards the limit on kept ids: a duplicate of a
// drain that arrives after its id was evicted must be stale, or it would drain
// an endpoint that was resumed in the meantime.
func TestDuplicateDrainHasNoEffect(t *testing.T) {
	for _, distance := range []record.Offset{1, 2, configuration.DedupWindow - 1, configuration.DedupWindow, configuration.DedupWindow + 1} {
		state := configuration.New()
		state.Apply(0, encode(t, "drain", drainChange(1, true, 0)))
		state.Apply(1, encode(t, "resume", drainChange(1, false, 1)))
		for offset := record.Offset(2); offset < distance; offset++ {
			state.Apply(offset, []byte("skipped"))
		}
		duplicate := state.Apply(state.NextOffset(), encode(t, "drain", drainChange(1, true, 0)))
		if duplicate.Verdict == configuration.VerdictAccepted {
			t.Errorf("duplicate %d records later was accepted", distance)
		}
		if state.IsDrained(endpoint.Key{Name: "engine-3", Incarnation: 1}) {
			t.Errorf("duplicate %d records later had an effect", distance)
		}
	}
}

func TestProfileIsNotRecreatedAfterTombstoneIsPruned(t *testing.T) {
	state := configuration.New()
	state.Apply(0, encode(t, "create", profileChange(0, 0, 1)))
	state.Apply(1, encode(t, "delete", deletion(1, 1)))
	for i := range configuration.MaxTombstones {
		name := fmt.Sprintf("other-%d", i)
		offset := state.NextOffset()
		state.Apply(offset, encode(t, name, configuration.ProfileChange{
			Name: name,
			Spec: profileSpec(name, 1),
			AsOf: offset,
		}))
		state.Apply(offset+1, encode(t, name+"-delete", configuration.ProfileChange{
			Name:         name,
			BaseRevision: uint64(offset) + 1,
			Deleted:      true,
			AsOf:         offset,
		}))
	}
	if _, exists := state.Entry("briefing"); exists {
		t.Fatal("the oldest tombstone was not pruned")
	}
	got := state.Apply(state.NextOffset(), encode(t, "late", profileChange(0, 0, 1)))
	if got.Verdict != configuration.VerdictStale {
		t.Errorf("creation written before the deletion: %s", got.Verdict)
	}
	got = state.Apply(state.NextOffset(), encode(t, "new", profileChange(0, state.NextOffset(), 1)))
	if got.Verdict != configuration.VerdictAccepted {
		t.Errorf("creation written after the deletion: %s", got.Verdict)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	state := configuration.New()
	for offset := record.Offset(0); offset < 4*configuration.DedupWindow; offset++ {
		base := uint64(offset)
		if offset%2 == 1 {
			base = 0
		}
		if entry, ok := state.Entry("briefing"); ok && offset%2 == 0 {
			base = entry.Revision
		}
		state.Apply(offset, encode(t, fmt.Sprintf("%060d", offset), profileChange(base, offset, 1)))
	}
	entry, _ := state.Entry("briefing")
	if len(entry.Accepted) != 8 || len(entry.Rejected) != 4 {
		t.Errorf("history holds %d accepted and %d rejected changes", len(entry.Accepted), len(entry.Rejected))
	}
	data, err := state.EncodeSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	if count := strings.Count(string(data), `"fingerprint"`); count != configuration.DedupWindow {
		t.Errorf("state keeps %d ids", count)
	}
}
