package opaque

import (
	"bytes"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// TestBuffersShareBudget checks that buffers hold what was read, never take more memory
// together than their budget has, and return all of it. A budget that leaks refuses calls
// for want of memory after some time.
func TestBuffersShareBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := &memoryBudget{limit: int64(rapid.IntRange(0, 100<<10).Draw(t, "budget"))}
		buffers := make([]buffer, rapid.IntRange(1, 4).Draw(t, "buffers"))
		limit := rapid.IntRange(1, 64<<10).Draw(t, "limit")
		for i := range buffers {
			b := &buffers[i]
			b.budget = budget
			size := rapid.IntRange(0, 80<<10).Draw(t, "size")
			hint := rapid.SampledFrom([]int{-1, size, 0, 1 << 20}).Draw(t, "hint")
			content := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
			complete, err := b.readFrom(iotest.HalfReader(bytes.NewReader(content)), limit, int64(hint))
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.HasPrefix(content, b.bytes) || complete && len(b.bytes) != size {
				t.Fatalf("%d bytes of %d, complete: %v", len(b.bytes), size, complete)
			}
			if len(b.bytes) > limit || cap(b.bytes) > max(limit, initialBufferBytes) {
				t.Fatalf("%d bytes with a capacity of %d, limit %d", len(b.bytes), cap(b.bytes), limit)
			}
		}
		total := int64(0)
		for i := range buffers {
			total += int64(max(cap(buffers[i].bytes)-initialBufferBytes, 0))
		}
		if taken := budget.taken.Load(); taken != total || taken > budget.limit {
			t.Fatalf("%d bytes are taken of %d, buffers have %d", taken, budget.limit, total)
		}
		for i := range buffers {
			buffers[i].release()
		}
		if taken := budget.taken.Load(); taken != 0 {
			t.Fatalf("%d bytes are taken after all buffers were released", taken)
		}
	})
}
