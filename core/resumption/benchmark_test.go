package resumption_test

import (
	"strings"
	"testing"

	"cactuswell/core/resumption"
)

// BenchmarkAdd measures what an event of 100 bytes costs a stream that may be resumed.
func BenchmarkAdd(b *testing.B) {
	text := []byte("id: 1\ndata: " + strings.Repeat("x", 86) + "\n\n")
	var tail resumption.Tail
	b.ReportAllocs()
	for i := range b.N {
		tail.Add(text, int64(i), true, resumption.Position{})
	}
}
