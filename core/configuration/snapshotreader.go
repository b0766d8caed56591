package configuration

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"cactuswell/core/record"
)

// SnapshotReader joins the records of the snapshot stream and keeps the newest
// whole snapshot. It is not safe for concurrent use.
type SnapshotReader struct {
	partial map[chunkKey][]SnapshotChunk
	best    *State
	skipped uint64
}

type chunkKey struct {
	nextOffset record.Offset
	sum        string
}

// maxPartial bounds the snapshots that are joined at a time.
const maxPartial = 8

// NewSnapshotReader returns a reader that has seen nothing.
func NewSnapshotReader() *SnapshotReader {
	return &SnapshotReader{
		partial: make(map[chunkKey][]SnapshotChunk),
	}
}

// Add takes the next record of the stream. Records that are not chunks of a
// usable snapshot are counted and skipped.
func (r *SnapshotReader) Add(data []byte) {
	chunk, err := decodeChunk(data)
	if err != nil {
		r.skipped++
		return
	}
	if r.best != nil && chunk.NextOffset <= r.best.NextOffset() {
		return
	}
	key := chunkKey{
		nextOffset: chunk.NextOffset,
		sum:        chunk.Sum,
	}
	// Two hosts may write the same snapshot; the second copy of a chunk is
	// dropped.
	for _, known := range r.partial[key] {
		if known.Index == chunk.Index {
			return
		}
	}
	r.partial[key] = append(r.partial[key], chunk)
	if len(r.partial[key]) == chunk.Count {
		r.join(key)
	}
	if len(r.partial) > maxPartial {
		r.dropLowest()
	}
}

// Newest returns the state of the newest whole snapshot, or nil.
func (r *SnapshotReader) Newest() *State { return r.best }

// SkippedRecords returns how many records were not chunks of a usable snapshot.
func (r *SnapshotReader) SkippedRecords() uint64 { return r.skipped }

func (r *SnapshotReader) join(key chunkKey) {
	chunks := r.partial[key]
	delete(r.partial, key)
	slices.SortFunc(chunks, func(a, b SnapshotChunk) int {
		return cmp.Compare(a.Index, b.Index)
	})
	var joined bytes.Buffer
	for _, chunk := range chunks {
		joined.Write(chunk.Data)
	}
	sum := sha256.Sum256(joined.Bytes())
	if hex.EncodeToString(sum[:]) != key.sum {
		r.skipped++
		return
	}
	state, err := DecodeSnapshot(joined.Bytes())
	if err != nil || state.NextOffset() != key.nextOffset {
		r.skipped++
		return
	}
	r.best = state
}

func (r *SnapshotReader) dropLowest() {
	lowest := slices.MinFunc(slices.Collect(maps.Keys(r.partial)), func(a, b chunkKey) int {
		return cmp.Or(cmp.Compare(a.nextOffset, b.nextOffset), cmp.Compare(a.sum, b.sum))
	})
	delete(r.partial, lowest)
}
