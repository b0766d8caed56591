package configuration

import (
	"fmt"
	"strings"

	"cactuswell/core/record"
)

// Verdict says what became of a record.
type Verdict string

// The verdicts of Apply. Only VerdictAccepted changes what is configured.
const (
	VerdictAccepted Verdict = "accepted"
	// VerdictConflict says that the base revision was no longer current.
	VerdictConflict Verdict = "conflict"
	// VerdictStale says that the change was written more than Window records
	// before its place in the stream.
	VerdictStale Verdict = "stale"
	// VerdictInvalid says that the change asks for what is not allowed.
	VerdictInvalid Verdict = "invalid"
	// VerdictRepeated says that the id was seen before.
	VerdictRepeated Verdict = "repeated"
	// VerdictMalformed and VerdictUnknownKind are counted and skipped.
	VerdictMalformed   Verdict = "malformed"
	VerdictUnknownKind Verdict = "unknownKind"
	// VerdictNewerVersion says that the record is of a newer format. The state stays
	// in front of it.
	VerdictNewerVersion Verdict = "newer"
	// VerdictAlreadyApplied and VerdictGap say that the record is not the next one.
	VerdictAlreadyApplied Verdict = "old"
	VerdictGap            Verdict = "gap"
)

// maxTextLength bounds the texts that an outcome keeps, in bytes.
const maxTextLength = 256

// Outcome is what became of one record. A state remembers the outcomes of the
// last Window records.
type Outcome struct {
	Offset  record.Offset `json:"offset"`
	ID      string        `json:"id"`
	Kind    record.Kind   `json:"kind,omitempty"`
	Name    string        `json:"name,omitempty"`
	Verdict Verdict       `json:"verdict"`
	// BaseRevision is the revision that the change was made from.
	BaseRevision uint64 `json:"base,omitempty"`
	// Revision is the new revision of an accepted change.
	Revision uint64 `json:"revision,omitempty"`
	// Reason explains an invalid or malformed record.
	Reason string `json:"reason,omitempty"`
	// Fingerprint is the change's hash, to tell a repetition from another
	// change under the same id.
	Fingerprint uint64 `json:"fingerprint,omitempty"`
}

// ConflictError says that a change lost a race: its base revision was no longer
// current. Current is the winner's entry.
type ConflictError struct {
	Name         string
	BaseRevision uint64
	Current      Entry
}

// Error names the revisions and the winner.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s was changed from revision %d, but revision %d by %q is current",
		e.Name, e.BaseRevision, e.Current.Revision, e.Current.Author)
}

// StaleError says that a change took its place in the stream too long after it
// was written, and had no effect. It may be made again under a new id.
type StaleError struct {
	Name   string
	Offset record.Offset
}

// Error names the change's place.
func (e *StaleError) Error() string {
	return fmt.Sprintf("change of %s at offset %d was written more than %d records earlier",
		e.Name, e.Offset, DedupWindow)
}

// RejectedError says that a change asks for what is not allowed.
type RejectedError struct {
	Name   string
	Reason string
}

// Error names the change and the reason.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("change of %s was rejected: %s", e.Name, e.Reason)
}

// VersionError says that the stream holds a record of a newer format, so that
// this release cannot know the state after it.
type VersionError struct {
	Offset  record.Offset
	Version int
}

// Error names the record.
func (e *VersionError) Error() string {
	return fmt.Sprintf("record at offset %d has format version %d, newer than %d",
		e.Offset, e.Version, record.Version)
}

// shortened bounds a text that came from outside.
func shortened(text string) string {
	if len(text) <= maxTextLength {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextLength], "")
}
