package configuration_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"cactuswell/core/configuration"
	"cactuswell/core/profile"
	"cactuswell/core/record"
)

// drawRecord returns a record of any kind over a few names and ids, many of
// them from the current base.
func drawRecord(t *rapid.T, state *configuration.State) []byte {
	id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h"}).Draw(t, "id") +
		fmt.Sprint(rapid.IntRange(0, 50).Draw(t, "number"))
	name := rapid.SampledFrom([]string{"briefing", "summary", "roomHold"}).Draw(t, "name")
	asOf := state.NextOffset() - record.Offset(rapid.IntRange(0, 3).Draw(t, "age"))
	var change configuration.Change
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "bytes")
	case 1:
		change = drain(rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.Bool().Draw(t, "drained"), max(0, asOf))
	case 2:
		return []byte(fmt.Sprintf(`{"version":1,"kind":"placement","id":%q}`, id))
	default:
		current, _ := state.Entry(name)
		profileChange := configuration.ProfileChange{
			Name:         name,
			BaseRevision: current.Revision - min(current.Revision, rapid.Uint64Range(0, 1).Draw(t, "behind")),
			Deleted:      rapid.Bool().Draw(t, "deleted"),
			Author:       rapid.StringN(0, 5, 100).Draw(t, "author"),
			AsOf:         max(0, asOf),
		}
		if !profileChange.Deleted {
			profileChange.Spec = spec(name, rapid.Int64Range(1, profile.MaxTargetMs).Draw(t, "target"))
		}
		change = profileChange
	}
	data, err := configuration.Encode(id, "host", 0, change)
	if err != nil {
		return []byte("skipped")
	}
	return data
}

func TestRestoredStateAndTailEqualTheWholeStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := configuration.New()
		var records [][]byte
		for range rapid.IntRange(0, 60).Draw(t, "length") {
			data := drawRecord(t, whole)
			if whole.Apply(whole.NextOffset(), data).Verdict != configuration.VerdictNewerVersion {
				records = append(records, data)
			}
		}
		cut := rapid.IntRange(0, len(records)).Draw(t, "cut")
		prefix := configuration.New()
		for i, data := range records[:cut] {
			prefix.Apply(record.Offset(i), data)
		}
		restored, err := configuration.DecodeSnapshot(snapshot(t, prefix))
		if err != nil {
			t.Fatal(err)
		}
		for i, data := range records[cut:] {
			restored.Apply(record.Offset(cut+i), data)
		}
		if !bytes.Equal(snapshot(t, whole), snapshot(t, restored)) {
			t.Fatalf("states differ:\n%s\n%s", snapshot(t, whole), snapshot(t, restored))
		}
		if !bytes.Equal(snapshot(t, whole), snapshot(t, whole.Clone())) {
			t.Fatal("clone differs")
		}
	})
}

func snapshot(t rapid.TB, state *configuration.State) []byte {
	t.Helper()
	data, err := state.EncodeSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// manyProfiles returns a state whose snapshot takes several chunks.
func manyProfiles(t testing.TB) *configuration.State {
	t.Helper()
	state := configuration.New()
	for i := range configuration.MaxProfiles {
		name := fmt.Sprintf("profile-%d", i)
		state.Apply(state.NextOffset(), encode(t, name, configuration.ProfileChange{
			Name: name,
			Spec: spec(name, 100),
			AsOf: state.NextOffset(),
		}))
	}
	return state
}

func TestSnapshotReaderJoinsChunks(t *testing.T) {
	state := manyProfiles(t)
	whole := snapshot(t, state)
	records, err := configuration.SplitSnapshot(state.NextOffset(), whole, "host-1", 0)
	if err != nil {
		t.Fatal(err)
	}
	if len(records) < 2 {
		t.Fatalf("%d bytes took %d chunks", len(whole), len(records))
	}
	older, err := configuration.SplitSnapshot(0, snapshot(t, configuration.New()), "host-2", 0)
	if err != nil {
		t.Fatal(err)
	}
	reader := configuration.NewSnapshotReader()
	random := rand.New(rand.NewPCG(1, 1))
	mixed := append(append(append([][]byte{[]byte("broken")}, records...), records...), older...)
	random.Shuffle(len(mixed), func(i, j int) { mixed[i], mixed[j] = mixed[j], mixed[i] })
	for _, data := range mixed {
		reader.Add(data)
	}
	if reader.Newest() == nil || !bytes.Equal(snapshot(t, reader.Newest()), whole) {
		t.Error("the newest snapshot was not restored")
	}
	if reader.SkippedRecords() != 1 {
		t.Errorf("skipped %d records", reader.SkippedRecords())
	}
}

func TestSnapshotReaderRefusesChangedChunk(t *testing.T) {
	state := manyProfiles(t)
	whole := snapshot(t, state)
	changed := bytes.Replace(whole, []byte(`"targetMs":100`), []byte(`"targetMs":999`), 1)
	records, err := configuration.SplitSnapshot(state.NextOffset(), whole, "host-1", 0)
	if err != nil {
		t.Fatal(err)
	}
	foreign, err := configuration.SplitSnapshot(state.NextOffset(), changed, "host-1", 0)
	if err != nil {
		t.Fatal(err)
	}
	reader := configuration.NewSnapshotReader()
	reader.Add(foreign[0])
	for _, data := range records[1:] {
		reader.Add(data)
	}
	if reader.Newest() != nil {
		t.Error("a mixed snapshot was used")
	}
}

func FuzzApply(f *testing.F) {
	f.Add(encode(f, "a", profileChange(0, 0, 1)))
	f.Add(encode(f, "b", drain(1, true, 0)))
	f.Add(raw(f, 2, record.KindProfileChange, "d", `{}`))
	f.Add([]byte(`{"version":1,"kind":"profileChange","id":"e","body":null}`))
	f.Add([]byte(`{"version":1,"kind":"placement","id":"e","body":{"document":null}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		state := configuration.New()
		state.Apply(0, data)
		state.Apply(state.NextOffset(), data)
		whole := snapshot(t, state)
		restored, err := configuration.DecodeSnapshot(whole)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(snapshot(t, restored), whole) {
			t.Fatal("restored state differs")
		}
	})
}

func FuzzDecodeSnapshot(f *testing.F) {
	f.Add(snapshot(f, configuration.New()))
	f.Add([]byte(`{"version":1,"next":1,"entries":[{"name":"x","revision":1,"deleted":true}]}`))
	f.Add([]byte(`{"version":2}`))
	f.Add([]byte(`{"version":1,"next":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		state, err := configuration.DecodeSnapshot(data)
		if err != nil {
			return
		}
		first := snapshot(t, state)
		again, err := configuration.DecodeSnapshot(first)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(first, snapshot(t, again)) {
			t.Fatal("snapshot is not stable")
		}
		reader := configuration.NewSnapshotReader()
		reader.Add(data)
	})
}
