package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"cactuswell/core/record"
)

const (
	// chunkBytes is how much of a snapshot one record carries. Encoded in
	// base64 it stays within record.MaxBytes.
	chunkBytes       = 128 * 1024
	maxChunks        = MaxSnapshotBytes / chunkBytes
	snapshotIDPrefix = "snapshot-"
)

// SnapshotChunk is the body of one record of the snapshot stream.
type SnapshotChunk struct {
	// NextOffset is the offset in front of which the snapshot was taken.
	NextOffset record.Offset `json:"next"`
	// Sum is the SHA-256 of the whole snapshot in hexadecimal.
	Sum   string `json:"sum"`
	Index int    `json:"index"`
	Count int    `json:"count"`
	Data  []byte `json:"data"`
}

// SplitSnapshot returns the records that carry an encoded snapshot of a state
// whose next offset is next. They are appended together.
func SplitSnapshot(nextOffset record.Offset, data []byte, host string, writtenAtMs int64) ([][]byte, error) {
	if len(data) > MaxSnapshotBytes {
		return nil, &SnapshotError{Reason: "too large"}
	}
	sum := sha256.Sum256(data)
	pieces := slices.Collect(slices.Chunk(data, chunkBytes))
	records := make([][]byte, 0, len(pieces))
	for i, piece := range pieces {
		body, err := json.Marshal(SnapshotChunk{
			NextOffset: nextOffset,
			Sum:        hex.EncodeToString(sum[:]),
			Index:      i,
			Count:      len(pieces),
			Data:       piece,
		})
		if err != nil {
			return nil, &SnapshotError{Reason: err.Error()}
		}
		encoded, err := record.Encode(record.Envelope{
			Kind:        record.KindSnapshot,
			ID:          snapshotIDPrefix + strconv.FormatInt(int64(nextOffset), 10) + "-" + strconv.Itoa(i),
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

// DecodeLastChunk returns the offset of the snapshot that a record of the snapshot
// stream carries the last chunk of, and the writer's wall clock. It reports
// false for any other record.
func DecodeLastChunk(data []byte) (nextOffset record.Offset, writtenAtMs int64, ok bool) {
	chunk, err := decodeChunk(data)
	if err != nil || chunk.Index != chunk.Count-1 {
		return 0, 0, false
	}
	envelope, err := record.Decode(data)
	return chunk.NextOffset, envelope.WrittenAtMs, err == nil
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
