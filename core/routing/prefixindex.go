package routing

import "cactuswell/core/endpoint"

const (
	// ownersPerBlock bounds the endpoints remembered for one prefix block.
	ownersPerBlock = 4
	// gapConfidence is what is left of the confidence after lost cache events.
	gapConfidence = 0.5
	// confidenceGain is the part of the missing confidence that each gapless
	// update gives back.
	confidenceGain = 0.1
)

// prefixIndex remembers which endpoints hold which prefix blocks. It is bounded
// and forgets the oldest block first.
type prefixIndex struct {
	entries map[uint64]blockOwners
	// order holds the remembered blocks from oldest to newest, as a ring.
	order []uint64
	next  int
}

// blockOwners lists the endpoints that hold a block, the newest first.
type blockOwners [ownersPerBlock]blockOwner

// blockOwner is a target's number and the epoch of its cache. The zero number
// stands for none.
type blockOwner struct {
	number uint32
	epoch  uint32
}

// cacheState is what is known of the quality of one endpoint's cache events.
type cacheState struct {
	owner        blockOwner
	nextSequence uint64
	confidence   float64
	gaps         int
}

func newPrefixIndex(capacity int) prefixIndex {
	return prefixIndex{
		entries: make(map[uint64]blockOwners, capacity),
		order:   make([]uint64, capacity),
	}
}

func (p *prefixIndex) store(hash uint64, owner blockOwner) {
	if hash == 0 || len(p.order) == 0 {
		return
	}
	owners, known := p.entries[hash]
	if !known {
		p.remember(hash)
	}
	i := 0
	for i < ownersPerBlock-1 && owners[i].number != owner.number && owners[i].number != 0 {
		i++
	}
	copy(owners[1:i+1], owners[:i])
	owners[0] = owner
	p.entries[hash] = owners
}

// remember makes room for a new block. A place whose block was dropped before
// is simply used again.
func (p *prefixIndex) remember(hash uint64) {
	delete(p.entries, p.order[p.next])
	p.order[p.next] = hash
	p.next = (p.next + 1) % len(p.order)
}

func (p *prefixIndex) drop(hash uint64, owner blockOwner) {
	owners, known := p.entries[hash]
	if !known {
		return
	}
	for i := range owners {
		if owners[i].number == owner.number {
			copy(owners[i:], owners[i+1:])
			owners[ownersPerBlock-1] = blockOwner{}
			break
		}
	}
	p.entries[hash] = owners
}

func (p *prefixIndex) holds(hash uint64, owner blockOwner) bool {
	owners := p.entries[hash]
	for _, other := range owners {
		if other == owner {
			return true
		}
	}
	return false
}

// blocks returns how many leading blocks of prefix the owner holds. A cached
// block implies those before it, so a binary search finds the last.
func (p *prefixIndex) blocks(prefix []uint64, owner blockOwner) int {
	low, high := 0, len(prefix)
	for low < high {
		middle := (low + high + 1) / 2
		if p.holds(prefix[middle-1], owner) {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// owners returns those that hold the longest known part of prefix.
func (p *prefixIndex) owners(prefix []uint64) blockOwners {
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

// apply takes an endpoint's cache events. Lost events lower the confidence.
func (p *prefixIndex) apply(state *cacheState, update endpoint.CacheUpdate) {
	switch {
	case update.FirstSequence == state.nextSequence || state.nextSequence == 0:
		state.confidence += (1 - state.confidence) * confidenceGain
	case update.FirstSequence > state.nextSequence:
		state.confidence *= gapConfidence
		state.gaps++
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
			p.drop(change.Hash, state.owner)
		}
	}
}
