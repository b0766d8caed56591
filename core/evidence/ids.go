package evidence

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// rememberedFor is the shortest time for which an ID is remembered, if there is room. Calls take
	// no longer, but beyond 1,000 requests a second the ID of one that is open may be forgotten.
	rememberedFor = time.Minute
	// maxRemembered bounds the IDs of a rememberedFor.
	maxRemembered = 1 << 16
)

// IDs remembers which request IDs were sent to which address. Callers may give several calls one ID,
// though they should not. It is not safe for concurrent use.
type IDs struct {
	// recent and before hold the number of the call of which an ID was sent to an address, or
	// severalCalls.
	recent, before map[uint64]uint64
	begunAt        time.Time
}

const severalCalls = 0

// NewIDs returns an empty memory.
func NewIDs() *IDs {
	return &IDs{recent: make(map[uint64]uint64)}
}

// Add records that the ID of a call, which has a number other than zero, is about to be sent to an
// address. It is forgotten after one to two times rememberedFor, or earlier if there are too many.
func (i *IDs) Add(now time.Time, id, address string, call uint64) {
	if now.Sub(i.begunAt) >= rememberedFor || len(i.recent) >= maxRemembered {
		i.before, i.recent = i.recent, make(map[uint64]uint64)
		i.begunAt = now
	}
	key := keyOf(id, address)
	if other, ok := i.find(key); ok && other != call {
		call = severalCalls
	}
	i.recent[key] = call
}

// IsShared reports whether several calls with an ID were sent to an address.
func (i *IDs) IsShared(id, address string) bool {
	call, ok := i.find(keyOf(id, address))
	return ok && call == severalCalls
}

func (i *IDs) find(key uint64) (call uint64, ok bool) {
	if call, ok = i.recent[key]; !ok {
		call, ok = i.before[key]
	}
	return call, ok
}

func keyOf(id, address string) uint64 { return xxhash.Sum64String(address + "\x00" + id) }
