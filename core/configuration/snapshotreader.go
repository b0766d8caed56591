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

// SnapshotReader assembles snapshots from the records of the snapshot stream and
// keeps the newest complete one. It is not safe for concurrent use.
type SnapshotReader struct {
	incomplete     map[snapshotKey][]SnapshotChunk
	newest         *State
	skippedRecords uint64
}

// snapshotKey identifies a snapshot by next offset and SHA-256 sum.
type snapshotKey struct {
	nextOffset record.Offset
	sum        string
}

// maxIncomplete limits the snapshots that are assembled concurrently.
const maxIncomplete = 8

// NewSnapshotReader returns a reader without records.
func NewSnapshotReader() *SnapshotReader {
	return &SnapshotReader{
		incomplete: make(map[snapshotKey][]SnapshotChunk),
	}
}

// Add processes the next record of the stream. A record that cannot be decoded
// and an assembled snapshot that is invalid are counted and skipped.
func (r *SnapshotReader) Add(data []byte) {
	chunk, err := decodeChunk(data)
	if err != nil {
		r.skippedRecords++
		return
	}
	if r.newest != nil && chunk.NextOffset <= r.newest.NextOffset() {
		return
	}
	key := snapshotKey{
		nextOffset: chunk.NextOffset,
		sum:        chunk.Sum,
	}
	// Two hosts may write the same snapshot; the second copy of a chunk is
	// ignored.
	for _, received := range r.incomplete[key] {
		if received.Index == chunk.Index {
			return
		}
	}
	r.incomplete[key] = append(r.incomplete[key], chunk)
	if len(r.incomplete[key]) == chunk.Count {
		r.assemble(key)
	}
	if len(r.incomplete) > maxIncomplete {
		r.dropOldestIncomplete()
	}
}

// Newest returns the state of the newest complete snapshot, or nil.
func (r *SnapshotReader) Newest() *State { return r.newest }

// SkippedRecords returns the number of undecodable records plus the number of
// assembled snapshots that were invalid.
func (r *SnapshotReader) SkippedRecords() uint64 { return r.skippedRecords }

func (r *SnapshotReader) assemble(key snapshotKey) {
	chunks := r.incomplete[key]
	delete(r.incomplete, key)
	slices.SortFunc(chunks, func(a, b SnapshotChunk) int {
		return cmp.Compare(a.Index, b.Index)
	})
	var joined bytes.Buffer
	for _, chunk := range chunks {
		joined.Write(chunk.Data)
	}
	sum := sha256.Sum256(joined.Bytes())
	if hex.EncodeToString(sum[:]) != key.sum {
		r.skippedRecords++
		return
	}
	state, err := DecodeSnapshot(joined.Bytes())
	if err != nil || state.NextOffset() != key.nextOffset {
		r.skippedRecords++
		return
	}
	r.newest = state
}

func (r *SnapshotReader) dropOldestIncomplete() {
	lowest := slices.MinFunc(slices.Collect(maps.Keys(r.incomplete)), func(a, b snapshotKey) int {
		return cmp.Or(cmp.Compare(a.nextOffset, b.nextOffset), cmp.Compare(a.sum, b.sum))
	})
	delete(r.incomplete, lowest)
}
