package configuration

import (
	"fmt"
	"strings"

	"cactuswell/core/record"
)

// Verdict is the result of applying a record.
type Verdict string

// The verdicts of Apply. Only VerdictAccepted changes the configuration.
const (
	VerdictAccepted Verdict = "accepted"
	// VerdictConflict means that the base revision was no longer current.
	VerdictConflict Verdict = "conflict"
	// VerdictStale means that the change was written more than DedupWindow records
	// before its own offset, or before a deletion whose tombstone was pruned.
	VerdictStale Verdict = "stale"
	// VerdictInvalid means that the change is not allowed.
	VerdictInvalid Verdict = "invalid"
	// VerdictDuplicate means that a record with the same id was applied before.
	VerdictDuplicate Verdict = "repeated"
	// VerdictMalformed and VerdictUnknownKind mean that the record was counted
	// and skipped.
	VerdictMalformed   Verdict = "malformed"
	VerdictUnknownKind Verdict = "unknownKind"
	// VerdictNewerVersion means that the record has a newer format version. It
	// is not applied.
	VerdictNewerVersion Verdict = "newer"
	// VerdictAlreadyApplied and VerdictGap mean that the record's offset is
	// below or above the state's next offset. It is not applied.
	VerdictAlreadyApplied Verdict = "old"
	VerdictGap            Verdict = "gap"
)

// maxTextBytes limits each text in an outcome.
const maxTextBytes = 256

// Outcome is the result of applying one record. A state keeps the outcomes of
// the last DedupWindow records.
type Outcome struct {
	Offset  record.Offset `json:"offset"`
	ID      string        `json:"id"`
	Kind    record.Kind   `json:"kind,omitempty"`
	Name    string        `json:"name,omitempty"`
	Verdict Verdict       `json:"verdict"`
	// BaseRevision is the change's base revision.
	BaseRevision uint64 `json:"base,omitempty"`
	// Revision is the new revision of an accepted change.
	Revision uint64 `json:"revision,omitempty"`
	// Reason explains an invalid or malformed record.
	Reason string `json:"reason,omitempty"`
	// Fingerprint is the change's hash. It distinguishes a duplicate from
	// another change with the same id.
	Fingerprint uint64 `json:"fingerprint,omitempty"`
}

// ConflictError reports that a change's base revision was no longer current.
// Current is the entry of the change that was accepted instead.
type ConflictError struct {
	Name         string
	BaseRevision uint64
	Current      Entry
}

// Error returns the base revision, the current revision and its author.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s was changed from revision %d, but revision %d by %q is current",
		e.Name, e.BaseRevision, e.Current.Revision, e.Current.Author)
}

// StaleError reports that a change was appended too long after it was written,
// and had no effect. It may be retried under a new id.
type StaleError struct {
	Name   string
	Offset record.Offset
}

// Error returns the change's name and offset.
func (e *StaleError) Error() string {
	return fmt.Sprintf("change of %s at offset %d was written more than %d records earlier",
		e.Name, e.Offset, DedupWindow)
}

// RejectedError reports a change that is not allowed.
type RejectedError struct {
	Name   string
	Reason string
}

// Error returns the change's name and the reason.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("change of %s was rejected: %s", e.Name, e.Reason)
}

// VersionError reports a record of a newer format version, beyond which this
// release cannot compute the state.
type VersionError struct {
	Offset  record.Offset
	Version int
}

// Error returns the record's offset and version.
func (e *VersionError) Error() string {
	return fmt.Sprintf("record at offset %d has format version %d, newer than %d",
		e.Offset, e.Version, record.Version)
}

// truncateText cuts a text from a record or snapshot to maxTextBytes.
func truncateText(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "")
}
