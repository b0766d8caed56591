package routing

import "cactuswell/core/endpoint"

const (
	// maxOwnersPerBlock is the maximum number of endpoints stored for one prefix
	// block.
	maxOwnersPerBlock = 4
	// confidenceGapFactor multiplies the confidence when cache events were lost.
	confidenceGapFactor = 0.5
	// confidenceGain is the share of the missing confidence that each update
	// without a gap restores.
	confidenceGain = 0.1
)

// prefixIndex stores which endpoints have which prefix blocks cached. Its size is
// bounded; it evicts the block that was added first.
type prefixIndex struct {
	entries map[uint64]blockOwners
	// blockRing holds the stored blocks as a ring in the order in which they were
	// added; next is the index of the oldest.
	blockRing []uint64
	next      int
}

// blockOwners lists the endpoints that have a block cached, the most recent
// first.
type blockOwners [maxOwnersPerBlock]blockOwner

// blockOwner is an endpoint's number and the epoch of its cache, which increases
// when the cache is cleared. The number zero means no owner.
type blockOwner struct {
	number uint32
	epoch  uint32
}

// cacheState tracks one endpoint's sequence of cache events.
type cacheState struct {
	owner        blockOwner
	nextSequence uint64
	// confidence, from 0 to 1, is the trust in the index entries of the endpoint.
	confidence    float64
	lostEventGaps int
}

func newPrefixIndex(capacity int) prefixIndex {
	return prefixIndex{
		entries:   make(map[uint64]blockOwners, capacity),
		blockRing: make([]uint64, capacity),
	}
}

func (p *prefixIndex) store(hash uint64, owner blockOwner) {
	if hash == 0 || len(p.blockRing) == 0 {
		return
	}
	owners, known := p.entries[hash]
	if !known {
		p.addBlock(hash)
	}
	i := 0
	for i < maxOwnersPerBlock-1 && owners[i].number != owner.number && owners[i].number != 0 {
		i++
	}
	copy(owners[1:i+1], owners[:i])
	owners[0] = owner
	p.entries[hash] = owners
}

// addBlock puts a new block into the ring and evicts the block in its place.
func (p *prefixIndex) addBlock(hash uint64) {
	delete(p.entries, p.blockRing[p.next])
	p.blockRing[p.next] = hash
	p.next = (p.next + 1) % len(p.blockRing)
}

func (p *prefixIndex) remove(hash uint64, owner blockOwner) {
	owners, known := p.entries[hash]
	if !known {
		return
	}
	for i := range owners {
		if owners[i].number == owner.number {
			copy(owners[i:], owners[i+1:])
			owners[maxOwnersPerBlock-1] = blockOwner{}
			break
		}
	}
	p.entries[hash] = owners
}

func (p *prefixIndex) isOwner(hash uint64, owner blockOwner) bool {
	owners := p.entries[hash]
	for _, other := range owners {
		if other == owner {
			return true
		}
	}
	return false
}

// cachedBlocks returns how many leading blocks of prefix the owner has cached. A
// cached block implies that those before it are cached, so a binary search finds
// the last.
func (p *prefixIndex) cachedBlocks(prefix []uint64, owner blockOwner) int {
	low, high := 0, len(prefix)
	for low < high {
		middle := (low + high + 1) / 2
		if p.isOwner(prefix[middle-1], owner) {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// longestMatchOwners returns the owners of the last block of prefix that is in the
// index.
func (p *prefixIndex) longestMatchOwners(prefix []uint64) blockOwners {
	low, high := 0, len(prefix)
	for low < high {
		middle := (low + high + 1) / 2
		if _, known := p.entries[prefix[middle-1]]; known {
			low = middle
		} else {
			high = middle - 1
		}
	}
	if low == 0 {
		return blockOwners{}
	}
	return p.entries[prefix[low-1]]
}

// applyUpdate applies an endpoint's cache events. Lost events lower the
// confidence.
func (p *prefixIndex) applyUpdate(state *cacheState, update endpoint.CacheUpdate) {
	switch {
	case update.FirstSequence == state.nextSequence || state.nextSequence == 0:
		state.confidence += (1 - state.confidence) * confidenceGain
	case update.FirstSequence > state.nextSequence:
		state.confidence *= confidenceGapFactor
		state.lostEventGaps++
	case update.FirstSequence+uint64(len(update.Changes)) <= state.nextSequence:
		return
	}
	state.nextSequence = update.FirstSequence + uint64(len(update.Changes))
	for _, change := range update.Changes {
		switch {
		case change.Stored:
			p.store(change.Hash, state.owner)
		case change.Hash == 0:
			state.owner.epoch++
		default:
			p.remove(change.Hash, state.owner)
		}
	}
}
