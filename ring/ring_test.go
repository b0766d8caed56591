package ring_test

import (
	"testing"

	"pgregory.net/rapid"

	"cactuswell/ring"
)

// TestRingMatchesSlice compares a ring with a slice as the reference under random
// operations.
func TestRingMatchesSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 5).Draw(t, "capacity")
		r := ring.New[int](capacity)
		var want []int
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"tryPush": func(t *rapid.T) {
				next++
				if r.TryPush(next) != (len(want) < capacity) {
					t.Fatalf("TryPush with %d of %d items", len(want), capacity)
				}
				if len(want) < capacity {
					want = append(want, next)
				}
			},
			"pushEvicting": func(t *rapid.T) {
				next++
				if r.PushEvicting(next) != (len(want) == capacity) {
					t.Fatalf("PushEvicting with %d of %d items", len(want), capacity)
				}
				want = append(want, next)
				want = want[max(0, len(want)-capacity):]
			},
			"pop": func(t *rapid.T) {
				got, ok := r.Pop()
				if ok != (len(want) > 0) {
					t.Fatalf("Pop = %v with %d items", ok, len(want))
				}
				if ok {
					if got != want[0] {
						t.Fatalf("Pop = %d, want %d", got, want[0])
					}
					want = want[1:]
				}
			},
			"": func(t *rapid.T) {
				if r.Len() != len(want) {
					t.Fatalf("Len = %d, want %d", r.Len(), len(want))
				}
			},
		})
	})
}
