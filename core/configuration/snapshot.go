package configuration

import (
	"encoding/json"

	"cactuswell/core/profile"
	"cactuswell/core/record"
)

const (
	// snapshotVersion is the newest snapshot format that this release reads.
	snapshotVersion = 1
	// MaxSnapshotBytes bounds an encoded snapshot.
	MaxSnapshotBytes = 16 << 20
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
	Version    int           `json:"version"`
	NextOffset record.Offset `json:"next"`
	Digest     uint64        `json:"digest"`
	Entries    []Entry       `json:"entries"`
	Drains     []Drain       `json:"drains"`
	PrunedAt   uint64        `json:"prunedAt"`
	Outcomes   []Outcome     `json:"outcomes"`
	Counts     VerdictCounts `json:"counts"`
}

// EncodeSnapshot returns the state's encoding. It has the same bytes at every host
// that reduced the same records.
func (s *State) EncodeSnapshot() ([]byte, error) {
	data, err := json.Marshal(snapshot{
		Version:    snapshotVersion,
		NextOffset: s.nextOffset,
		Digest:     s.digest,
		Entries:    s.Entries(),
		Drains:     s.Drains(),
		PrunedAt:   s.prunedAt,
		Outcomes:   append([]Outcome{}, s.outcomes...),
		Counts:     s.counts,
	})
	if err != nil {
		return nil, &SnapshotError{Reason: err.Error()}
	}
	return data, nil
}

// DecodeSnapshot returns the state that a snapshot encodes. The error is a
// *SnapshotError.
func DecodeSnapshot(data []byte) (*State, error) {
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
	case decoded.NextOffset < 0:
		return nil, &SnapshotError{Reason: "negative offset"}
	}
	state := New()
	state.nextOffset = decoded.NextOffset
	state.digest = decoded.Digest
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
		case entry.Revision == 0 || entry.Revision > uint64(s.nextOffset):
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
	if len(decoded.Outcomes) > DedupWindow {
		return &SnapshotError{Reason: "too many outcomes"}
	}
	for _, outcome := range decoded.Outcomes {
		s.remember(outcome)
	}
	return nil
}
