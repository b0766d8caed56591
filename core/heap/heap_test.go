package heap_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"cactuswell/core/heap"
)

// The seed is fixed to make runs reproducible; -rapid.seed overrides it.
func init() {
	_ = flag.Set("rapid.seed", "20261203")
}

type value struct {
	key   int
	index int
}

func TestTopIsLeastUnderRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := heap.New(
			func(a, b *value) bool { return a.key < b.key },
			func(v *value, index int) { v.index = index },
		)
		var values []*value
		draw := func(t *rapid.T) *value {
			if len(values) == 0 {
				t.Skip("empty")
			}
			return rapid.SampledFrom(values).Draw(t, "value")
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				v := &value{key: rapid.IntRange(0, 50).Draw(t, "key")}
				values = append(values, v)
				h.Push(v)
			},
			"remove": func(t *rapid.T) {
				v := draw(t)
				h.Remove(v.index)
				if v.index != heap.NoIndex {
					t.Fatalf("removed value has index %d", v.index)
				}
				values = without(values, v)
			},
			"fix": func(t *rapid.T) {
				v := draw(t)
				v.key = rapid.IntRange(0, 50).Draw(t, "key")
				h.Fix(v.index)
			},
			"": func(t *rapid.T) {
				if h.Len() != len(values) {
					t.Fatalf("length is %d; want %d", h.Len(), len(values))
				}
				for _, v := range values {
					if h.At(v.index) != v || v.key < h.Top().key {
						t.Fatalf("%+v is misplaced; top is %+v", v, h.Top())
					}
				}
			},
		})
	})
}

func without(values []*value, removed *value) []*value {
	var kept []*value
	for _, v := range values {
		if v != removed {
			kept = append(kept, v)
		}
	}
	return kept
}
