// Package record defines the envelope of every record that the system stores in
// the platform's log, and the names of the log's streams.
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
// the version of its format, so that hosts of two releases can run side by side:
// a reader skips and counts records of an unknown kind, and rejects a version that
// is newer than its own.
package record

import (
	"encoding/json"
	"fmt"
)

// Offset is a record's position in its stream. The offsets of a stream increase.
type Offset int64

// Stream names a stream of the log.
type Stream string

// The streams of the system.
const (
	// StreamConfiguration holds the profile changes and endpoint drains that
	// operators publish.
	StreamConfiguration Stream = "configuration"
	// StreamClaims holds claims of idempotency keys and their outcomes.
	StreamClaims Stream = "claims"
	// StreamSnapshots holds snapshots of the configuration that results from
	// StreamConfiguration.
	StreamSnapshots Stream = "snapshots"
	// StreamHosts holds the hosts' announcements.
	StreamHosts Stream = "hosts"
)

// Kind is the type of a record's body.
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
	// MaxBytes is the maximum size of an encoded record.
	MaxBytes = 256 * 1024
)

// Envelope wraps the body of a record.
type Envelope struct {
	Version int  `json:"version"`
	Kind    Kind `json:"kind"`
	// ID identifies what the record was written for. A record whose ID was seen
	// before is a duplicate and has no effect.
	ID string `json:"id"`
	// Host names the host that wrote the record.
	Host string `json:"host,omitempty"`
	// WrittenAtMs is the writer's wall clock in milliseconds since the Unix epoch.
	// It is for people to read only.
	WrittenAtMs int64           `json:"writtenAtMs,omitempty"`
	Body        json.RawMessage `json:"body"`
}

// MalformedError reports a record that could not be encoded or decoded.
type MalformedError struct {
	Reason string
}

// Error returns the reason.
func (e *MalformedError) Error() string {
	return "malformed record: " + e.Reason
}

// VersionError reports a record with a newer format than this release understands.
type VersionError struct {
	Version int
}

// Error names the record's version and the newest supported one.
func (e *VersionError) Error() string {
	return fmt.Sprintf("record version %d is newer than %d", e.Version, Version)
}

// Encode returns the encoded record. A version of zero is replaced by Version. The
// error is a *MalformedError.
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

// Decode decodes the record in data. The error is a *MalformedError or a
// *VersionError; with the latter the envelope's other fields are set as far as they
// could be decoded.
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
