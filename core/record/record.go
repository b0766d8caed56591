// Package record defines the envelope of every record that the system keeps in
// the platform's log, and the names of its streams.
//
// # Usage
//
//	data, err := record.Encode(record.Envelope{
//		Kind: record.KindProfileChange,
//		ID:   changeID,
//		Body: body,
//	})
//	envelope, err := record.Decode(data)
//
// Records are JSON, so that operators can read and publish them. Each carries
// the version of its format, so that hosts of two releases can live together:
// a reader skips and counts a kind that it does not know, and refuses a version
// that is newer than its own.
package record

import (
	"encoding/json"
	"fmt"
)

// Offset is a record's place in its stream. Offsets of a stream only grow.
type Offset int64

// Stream names a stream of the log.
type Stream string

// The streams that the system reads and writes.
const (
	// StreamConfiguration holds profile changes and endpoint drains, as
	// operators publish them.
	StreamConfiguration Stream = "configuration"
	// StreamClaims holds claims of idempotency keys and their outcomes.
	StreamClaims Stream = "claims"
	// StreamSnapshots holds snapshots of the reduced configuration.
	StreamSnapshots Stream = "snapshots"
	// StreamHosts holds the hosts' announcements.
	StreamHosts Stream = "hosts"
)

// Kind says what a record's body is.
type Kind string

// The kinds of record.
const (
	KindProfileChange  Kind = "profileChange"
	KindEndpointChange Kind = "endpointChange"
	KindSnapshot       Kind = "snapshot"
	KindClaim          Kind = "claim"
	KindClaimRelease   Kind = "claimRelease"
	KindClaimOutcome   Kind = "claimOutcome"
	KindKeysUsed       Kind = "keysUsed"
	KindHostStarted    Kind = "hostStarted"
	KindHostStopped    Kind = "hostLeft"
)

const (
	// Version is the newest record format that this release understands.
	Version = 1
	// MaxBytes bounds one encoded record.
	MaxBytes = 256 * 1024
)

// Envelope wraps the body of a record.
type Envelope struct {
	Version int  `json:"version"`
	Kind    Kind `json:"kind"`
	// ID is unique to the record's cause; a record whose ID was seen before is
	// a repetition and has no effect.
	ID string `json:"id"`
	// Host names the host that wrote the record.
	Host string `json:"host,omitempty"`
	// WrittenAtMs is the writer's wall clock in milliseconds since 1970, for
	// people only.
	WrittenAtMs int64           `json:"writtenAtMs,omitempty"`
	Body        json.RawMessage `json:"body"`
}

// MalformedError says that a record could not be decoded.
type MalformedError struct {
	Reason string
}

// Error describes the fault.
func (e *MalformedError) Error() string {
	return "malformed record: " + e.Reason
}

// VersionError says that a record is of a newer format than this release
// understands.
type VersionError struct {
	Version int
}

// Error names both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("record version %d is newer than %d", e.Version, Version)
}

// Encode returns the record's bytes. A version of zero is written as Version.
func Encode(envelope Envelope) ([]byte, error) {
	if envelope.Version == 0 {
		envelope.Version = Version
	}
	data, err := json.Marshal(envelope)
	if err != nil {
		return nil, &MalformedError{Reason: err.Error()}
	}
	if len(data) > MaxBytes {
		return nil, &MalformedError{Reason: "record is too large"}
	}
	return data, nil
}

// Decode returns the record in data. The error is a *MalformedError or a
// *VersionError; with the latter the envelope's other fields are filled in as
// far as they could be read.
func Decode(data []byte) (Envelope, error) {
	if len(data) > MaxBytes {
		return Envelope{}, &MalformedError{Reason: "record is too large"}
	}
	var envelope Envelope
	if err := json.Unmarshal(data, &envelope); err != nil {
		return Envelope{}, &MalformedError{Reason: err.Error()}
	}
	switch {
	case envelope.Version > Version:
		return envelope, &VersionError{Version: envelope.Version}
	case envelope.Version < 1:
		return Envelope{}, &MalformedError{Reason: "record has no version"}
	case envelope.Kind == "":
		return Envelope{}, &MalformedError{Reason: "record has no kind"}
	}
	return envelope, nil
}
