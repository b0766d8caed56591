package opaque

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"cactuswell/core/clientbudget"
)

// initialBufferBytes is the size of a buffer that takes nothing from its budget.
const initialBufferBytes = 4 << 10

// memoryBudget bounds the memory that buffers take together. It is safe for concurrent
// use.
type memoryBudget struct {
	limit int64
	taken atomic.Int64
	// leavesRoom is set if large buffers leave memory to smaller ones.
	leavesRoom bool
	// reclaim makes buffers release n bytes soon. It reports false if none can. It may be
	// nil.
	reclaim func(n int64) bool
	// released receives a value when memory was returned. It may be nil.
	released chan struct{}
}

// reclaimTimeout bounds the wait for memory that buffers were made to release. It is short
// compared with what a call may take.
const reclaimTimeout = 250 * time.Millisecond

// take takes n bytes for a buffer that holds some, or none if it reports false.
func (b *memoryBudget) take(n, held int64) bool {
	before := b.taken.Add(n) - n
	limit := b.limit
	if b.leavesRoom {
		limit = clientbudget.BodyCeiling(b.limit, held+n, before == held)
	}
	if before+n > limit {
		b.taken.Add(-n)
		return false
	}
	return true
}

// takeOrReclaim is like take, but makes other buffers release memory if there is not enough.
func (b *memoryBudget) takeOrReclaim(n, held int64) bool {
	if b.take(n, held) {
		return true
	}
	if b.reclaim == nil || !b.reclaim(n) {
		return false
	}
	timeout := time.NewTimer(reclaimTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-timeout.C:
			return b.take(n, held)
		case <-b.released:
			if b.take(n, held) {
				// Others may wait for the rest of what was returned.
				b.signalReleased()
				return true
			}
		}
	}
}

// give returns n bytes.
func (b *memoryBudget) give(n int64) {
	b.taken.Add(-n)
	if n > 0 {
		b.signalReleased()
	}
}

func (b *memoryBudget) signalReleased() {
	select {
	case b.released <- struct{}{}:
	default:
	}
}

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
	// onGrow is called with what the buffer has taken. It may be nil.
	onGrow func(taken int64)
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
	if !b.budget.takeOrReclaim(more, b.taken) {
		return false
	}
	b.taken += more
	if b.onGrow != nil {
		b.onGrow(b.taken)
	}
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
