package changes_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cactuswell/core/replica"
	"cactuswell/io/changes"
)

// largeValue returns a large value of which a part depends on the version.
func largeValue(version int) []byte {
	var value bytes.Buffer
	for i := range 2000 {
		fmt.Fprintf(&value, `{"name":"route-%d","path":"/%x/"},`, i, i*7919)
	}
	fmt.Fprintf(&value, "version %d", version)
	return value.Bytes()
}

func laterChanges(value []byte) replica.Changes {
	return replica.Changes{
		End: replica.Position{Offset: 8},
		Records: []replica.Record{
			{Key: "small", Value: []byte("x"), Offset: 6},
			{Key: "large", Value: value, Offset: 7},
		},
	}
}

// TestChangesBetweenVersionsOfHosts guards against hosts of two versions that do not understand each
// other's changes, and against a receiver that takes the difference from a value that it does not have.
func TestChangesBetweenVersionsOfHosts(t *testing.T) {
	old, current := largeValue(1), largeValue(2)
	want := laterChanges(current)
	previous := func(string) (replica.Record, bool) {
		return replica.Record{Key: "large", Value: old, Offset: 3}, true
	}
	hasOld := func(_ string, offset int64) ([]byte, bool) { return old, offset == 3 }
	hasNone := func(string, int64) ([]byte, bool) { return nil, false }
	for name, c := range map[string]struct {
		packed  bool
		base    int64
		held    func(string, int64) ([]byte, bool)
		maxSize int
	}{
		"receiver of the version before":   {false, changes.NoBase, hasNone, 4 * len(current)},
		"receiver with the value before":   {true, 3, hasOld, 1000},
		"receiver with an older value":     {true, 2, hasNone, len(current) / 4},
		"receiver that has just started":   {true, changes.NoBase, hasNone, len(current) / 4},
		"receiver that lost what it named": {true, 3, hasNone, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			request := changes.Request{Topic: "t", After: replica.Position{Offset: 4}, Packed: c.packed, Base: c.base}
			parsed, err := changes.ParseRequest(request.Query())
			if err != nil || parsed != request {
				t.Fatalf("parsed %+v, %v", parsed, err)
			}
			body, err := changes.NewEncoder().Encode(parsed, want, previous)
			if err != nil {
				t.Fatal(err)
			}
			if len(body) > c.maxSize {
				t.Errorf("%d bytes, want at most %d", len(body), c.maxSize)
			}
			got, err := changes.Decode(body, c.held)
			var malformed *changes.FormatError
			if name == "receiver that lost what it named" {
				if !errors.As(err, &malformed) {
					t.Errorf("error %v, want a FormatError", err)
				}
				return
			}
			if diff := cmp.Diff(want, got); diff != "" || err != nil {
				t.Errorf("%v, %s", err, diff)
			}
		})
	}
	body, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := changes.Decode(body, hasNone); err != nil || !cmp.Equal(want, got) {
		t.Errorf("from a host of the version before: %v, %v", got.End, err)
	}
}

// TestUnpackReturnsOnlyWhatWasPacked guards against a value that is put together from another base, or
// that takes more memory than a value may.
func TestUnpackReturnsOnlyWhatWasPacked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		base := make([]byte, rapid.IntRange(0, 100_000).Draw(t, "base"))
		for i := range base {
			base[i] = byte(random.IntN(256))
		}
		value := append(bytes.Clone(base), rapid.SliceOf(rapid.Byte()).Draw(t, "added")...)
		packed, err := changes.Pack(value, base)
		if err != nil {
			t.Fatal(err)
		}
		got, err := changes.Unpack(packed, base)
		if err != nil || !bytes.Equal(got, value) {
			t.Fatalf("unpacked %d bytes, want %d: %v", len(got), len(value), err)
		}
		if len(base) < 64 {
			return
		}
		other := bytes.Clone(base)
		other[random.IntN(len(other))]++
		if got, err := changes.Unpack(packed, other); err == nil && !bytes.Equal(got, value) {
			t.Fatal("another base gave another value")
		}
	})
	packed, err := changes.Pack(make([]byte, 9<<20), nil)
	if err != nil {
		t.Fatal(err)
	}
	var malformed *changes.FormatError
	if _, err := changes.Unpack(packed, nil); !errors.As(err, &malformed) {
		t.Errorf("9 MB were unpacked: %v", err)
	}
	for _, malformedValue := range [][]byte{nil, []byte("x"), packed[:20]} {
		if _, err := changes.Unpack(malformedValue, nil); !errors.As(err, &malformed) {
			t.Errorf("%q: %v, want a FormatError", malformedValue, err)
		}
	}
}

// BenchmarkPack shows the processor time and the memory of a change of 2,000 routes.
func BenchmarkPack(b *testing.B) {
	old, current := largeValue(1), largeValue(2)
	for name, base := range map[string][]byte{"whole": nil, "difference": old} {
		packed, err := changes.Pack(current, base)
		if err != nil {
			b.Fatal(err)
		}
		b.Run("pack/"+name, func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(packed)), "bytes")
			for b.Loop() {
				_, _ = changes.Pack(current, base)
			}
		})
		b.Run("unpack/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = changes.Unpack(packed, base)
			}
		})
	}
}
