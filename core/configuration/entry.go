package configuration

import (
	"cactuswell/core/profile"
	"cactuswell/core/record"
)

// Bounds of the history of one profile.
const (
	maxAcceptedHistory = 8
	maxRejectedHistory = 4
)

// Entry is the current text of one profile, or the tombstone of a deleted one.
// It is never changed after it was made.
type Entry struct {
	Name string `json:"name"`
	// Revision is the offset of the accepted record plus one, so that no
	// revision is ever used twice.
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
	Author   string `json:"author"`
	// Spec is the text as it was written, or nil in a tombstone.
	Spec *profile.Spec `json:"spec,omitempty"`
	// Accepted and Rejected are the latest changes, the oldest first.
	Accepted []HistoryEntry `json:"accepted,omitempty"`
	Rejected []HistoryEntry `json:"rejected,omitempty"`

	profile profile.Profile
}

// HistoryEntry is one change in a profile's history. Spec is nil for deletions and for
// rejected changes.
type HistoryEntry struct {
	Revision     uint64        `json:"revision,omitempty"`
	BaseRevision uint64        `json:"base"`
	Offset       record.Offset `json:"offset"`
	ID           string        `json:"id"`
	Author       string        `json:"author"`
	Deleted      bool          `json:"deleted,omitempty"`
	Spec         *profile.Spec `json:"spec,omitempty"`
}

// Profile returns the checked profile. It reports false for a tombstone.
func (e Entry) Profile() (profile.Profile, bool) {
	return e.profile, !e.Deleted && e.Revision != 0
}

// Drain says that an operator drained one incarnation of an
// endpoint.
type Drain struct {
	Name        string        `json:"name"`
	Incarnation uint64        `json:"incarnation"`
	Author      string        `json:"author"`
	Offset      record.Offset `json:"offset"`
}

func appendBounded(history []HistoryEntry, past HistoryEntry, limit int) []HistoryEntry {
	start := max(0, len(history)+1-limit)
	kept := make([]HistoryEntry, 0, limit)
	kept = append(kept, history[start:]...)
	return append(kept, past)
}
