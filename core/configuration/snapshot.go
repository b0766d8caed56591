package configuration

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"cactuswell/core/profile"
	"cactuswell/core/record"
)

const (
	// snapshotVersion is the newest snapshot format that this release reads.
	snapshotVersion = 1
	// chunkBytes is how much of a snapshot one record carries. Encoded in
	// base64 it stays within record.MaxBytes.
	chunkBytes = 128 * 1024
	// MaxSnapshotBytes bounds an encoded snapshot.
	MaxSnapshotBytes = 16 << 20
	maxChunks        = MaxSnapshotBytes / chunkBytes
	snapshotIDPrefix = "snapshot-"
)

// SnapshotError says that a snapshot cannot be used.
type SnapshotError struct {
	Reason string
}

// Error describes the fault.
func (e *SnapshotError) Error() string {
	return "unusable snapshot: " + e.Reason
}

type snapshot struct {
	Version   int           `json:"version"`
	Next      record.Offset `json:"next"`
	Digest    uint64        `json:"digest"`
	Entries   []Entry       `json:"entries"`
	Drains    []Drain       `json:"drains"`
	Placement Placement     `json:"placement"`
	PrunedAt  uint64        `json:"prunedAt"`
	Outcomes  []Outcome     `json:"outcomes"`
	Counts    Counts        `json:"counts"`
}

// Snapshot returns the state's encoding. It has the same bytes at every host
// that reduced the same records.
func (s *State) Snapshot() ([]byte, error) {
	data, err := json.Marshal(snapshot{
		Version:   snapshotVersion,
		Next:      s.next,
		Digest:    s.digest,
		Entries:   s.Entries(),
		Drains:    s.Drains(),
		Placement: s.placement,
		PrunedAt:  s.prunedAt,
		Outcomes:  append([]Outcome{}, s.outcomes...),
		Counts:    s.counts,
	})
	if err != nil {
		return nil, &SnapshotError{Reason: err.Error()}
	}
	return data, nil
}

// Restore returns the state that a snapshot encodes. The error is a
// *SnapshotError.
func Restore(data []byte) (*State, error) {
	if len(data) > MaxSnapshotBytes {
		return nil, &SnapshotError{Reason: "too large"}
	}
	var decoded snapshot
	if err := json.Unmarshal(data, &decoded); err != nil {
		return nil, &SnapshotError{Reason: err.Error()}
	}
	switch {
	case decoded.Version > snapshotVersion:
		return nil, &SnapshotError{Reason: "format is of a newer release"}
	case decoded.Version < 1:
		return nil, &SnapshotError{Reason: "no version"}
	case decoded.Next < 0:
		return nil, &SnapshotError{Reason: "negative offset"}
	}
	state := New()
	state.next = decoded.Next
	state.digest = decoded.Digest
	state.placement = decoded.Placement
	state.prunedAt = decoded.PrunedAt
	state.counts = decoded.Counts
	if err := state.restoreEntries(decoded.Entries); err != nil {
		return nil, err
	}
	if err := state.restoreRest(decoded); err != nil {
		return nil, err
	}
	return state, nil
}

func (s *State) restoreEntries(entries []Entry) error {
	if len(entries) > MaxProfiles+MaxTombstones {
		return &SnapshotError{Reason: "too many profiles"}
	}
	for _, entry := range entries {
		switch {
		case entry.Deleted != (entry.Spec == nil):
			return &SnapshotError{Reason: "entry with neither text nor tombstone: " + shortened(entry.Name)}
		case entry.Revision == 0 || entry.Revision > uint64(s.next):
			return &SnapshotError{Reason: "entry with an impossible revision: " + shortened(entry.Name)}
		}
		if entry.Spec != nil {
			checked, err := profile.New(*entry.Spec)
			if err != nil {
				return &SnapshotError{Reason: shortened(err.Error())}
			}
			entry.profile = checked
		}
		s.entries[entry.Name] = entry
	}
	return nil
}

func (s *State) restoreRest(decoded snapshot) error {
	if len(decoded.Drains) > MaxDrains {
		return &SnapshotError{Reason: "too many drains"}
	}
	for _, drain := range decoded.Drains {
		s.drains[drain.Name] = drain
	}
	if len(decoded.Outcomes) > Window {
		return &SnapshotError{Reason: "too many outcomes"}
	}
	for _, outcome := range decoded.Outcomes {
		s.remember(outcome)
	}
	return nil
}

// SnapshotChunk is the body of one record of the snapshot stream.
type SnapshotChunk struct {
	// Next is the offset in front of which the snapshot was taken.
	Next record.Offset `json:"next"`
	// Sum is the SHA-256 of the whole snapshot in hexadecimal.
	Sum   string `json:"sum"`
	Index int    `json:"index"`
	Count int    `json:"count"`
	Data  []byte `json:"data"`
}

// SnapshotRecords returns the records that carry an encoded snapshot of a state
// whose next offset is next. They are appended together.
func SnapshotRecords(next record.Offset, data []byte, host string, writtenAtMs int64) ([][]byte, error) {
	if len(data) > MaxSnapshotBytes {
		return nil, &SnapshotError{Reason: "too large"}
	}
	sum := sha256.Sum256(data)
	pieces := slices.Collect(slices.Chunk(data, chunkBytes))
	records := make([][]byte, 0, len(pieces))
	for i, piece := range pieces {
		body, err := json.Marshal(SnapshotChunk{
			Next:  next,
			Sum:   hex.EncodeToString(sum[:]),
			Index: i,
			Count: len(pieces),
			Data:  piece,
		})
		if err != nil {
			return nil, &SnapshotError{Reason: err.Error()}
		}
		encoded, err := record.Encode(record.Envelope{
			Kind:        record.KindSnapshot,
			ID:          snapshotIDPrefix + strconv.FormatInt(int64(next), 10) + "-" + strconv.Itoa(i),
			Host:        host,
			WrittenAtMs: writtenAtMs,
			Body:        body,
		})
		if err != nil {
			return nil, err
		}
		records = append(records, encoded)
	}
	return records, nil
}

// SnapshotReader joins the records of the snapshot stream and keeps the newest
// whole snapshot. It is not safe for concurrent use.
type SnapshotReader struct {
	partial map[chunkKey][]SnapshotChunk
	best    *State
	skipped uint64
}

type chunkKey struct {
	next record.Offset
	sum  string
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
	if r.best != nil && chunk.Next <= r.best.Next() {
		return
	}
	key := chunkKey{
		next: chunk.Next,
		sum:  chunk.Sum,
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

// Best returns the state of the newest whole snapshot, or nil.
func (r *SnapshotReader) Best() *State { return r.best }

// Skipped returns how many records were not chunks of a usable snapshot.
func (r *SnapshotReader) Skipped() uint64 { return r.skipped }

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
	state, err := Restore(joined.Bytes())
	if err != nil || state.Next() != key.next {
		r.skipped++
		return
	}
	r.best = state
}

func (r *SnapshotReader) dropLowest() {
	lowest := slices.MinFunc(slices.Collect(maps.Keys(r.partial)), func(a, b chunkKey) int {
		return cmp.Or(cmp.Compare(a.next, b.next), cmp.Compare(a.sum, b.sum))
	})
	delete(r.partial, lowest)
}

// SnapshotSeen returns the offset of the snapshot that a record of the snapshot
// stream carries the last chunk of, and the writer's wall clock. It reports
// false for any other record.
func SnapshotSeen(data []byte) (next record.Offset, writtenAtMs int64, ok bool) {
	chunk, err := decodeChunk(data)
	if err != nil || chunk.Index != chunk.Count-1 {
		return 0, 0, false
	}
	envelope, err := record.Decode(data)
	return chunk.Next, envelope.WrittenAtMs, err == nil
}

func decodeChunk(data []byte) (SnapshotChunk, error) {
	envelope, err := record.Decode(data)
	if err != nil {
		return SnapshotChunk{}, err
	}
	if envelope.Kind != record.KindSnapshot {
		return SnapshotChunk{}, &SnapshotError{Reason: "record is no snapshot"}
	}
	var chunk SnapshotChunk
	if err := json.Unmarshal(envelope.Body, &chunk); err != nil {
		return SnapshotChunk{}, &SnapshotError{Reason: err.Error()}
	}
	if chunk.Count < 1 || chunk.Count > maxChunks || chunk.Index < 0 || chunk.Index >= chunk.Count {
		return SnapshotChunk{}, &SnapshotError{Reason: fmt.Sprintf("chunk %d of %d", chunk.Index, chunk.Count)}
	}
	return chunk, nil
}
