package opaque

import (
	"errors"
	"io"
	"sync/atomic"
)

// initialBufferBytes is the size of a buffer that takes nothing from its budget.
const initialBufferBytes = 4 << 10

// memoryBudget bounds the memory that buffers take together. It is safe for concurrent
// use.
type memoryBudget struct {
	limit int64
	taken atomic.Int64
}

// take takes n bytes, or none if it reports false.
func (b *memoryBudget) take(n int64) bool {
	if b.taken.Add(n) > b.limit {
		b.taken.Add(-n)
		return false
	}
	return true
}

// give returns n bytes.
func (b *memoryBudget) give(n int64) { b.taken.Add(-n) }

// BufferMemoryError reports a response that this host has no memory to buffer.
type BufferMemoryError struct{}

// Error implements error.
func (*BufferMemoryError) Error() string {
	return "no memory is left for buffers of responses"
}

// buffer holds bytes whose memory beyond initialBufferBytes is taken from a budget. It
// must be released.
type buffer struct {
	budget *memoryBudget
	bytes  []byte
	taken  int64
}

// grow makes room for at least n more bytes, if the size does not exceed limit. It
// reports false if it does, or if the budget has not enough left.
func (b *buffer) grow(n, limit int) bool {
	needed := len(b.bytes) + n
	if needed <= cap(b.bytes) {
		return true
	}
	if needed > limit {
		return false
	}
	size := min(max(needed, 2*cap(b.bytes), initialBufferBytes), limit)
	more := int64(max(size-initialBufferBytes, 0)) - b.taken
	if !b.budget.take(more) {
		return false
	}
	b.taken += more
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.bytes = grown
	return true
}

// readFrom reads to the end of a reader. It reports false if it stops before the end
// because the buffer cannot grow. The hint is the expected size, or negative.
func (b *buffer) readFrom(reader io.Reader, limit int, hint int64) (complete bool, err error) {
	// One more byte makes room for the read that finds the end.
	expected := min(max(hint+1, 1), int64(limit))
	if !b.grow(int(expected), limit) && !b.grow(1, limit) {
		return false, nil
	}
	for {
		if len(b.bytes) == cap(b.bytes) && !b.grow(1, limit) {
			return false, nil
		}
		n, err := reader.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// release returns the buffer's memory to the budget. The bytes must no longer be used.
func (b *buffer) release() {
	b.budget.give(b.taken)
	b.taken = 0
	b.bytes = nil
}
