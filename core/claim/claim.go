// Package claim decides whether a call that must not run twice may run on this
// host.
//
// There are three kinds of such calls. A call without a key is run once by the
// host that took it. A call with a key that a host issued beforehand is run by
// that incarnation of that host alone. A call with the caller's own key is
// claimed in the claim stream of the log, and runs only after the host has read
// its own claim back and found every earlier claim of the key released.
//
// # Usage
//
//	machine := claim.New(issuer, claim.DefaultSettings())
//	commands = machine.Step(now, claim.BeginRequested{
//		Call:        1,
//		Team:        "front-desk",
//		Key:         "hold-4711",
//		Fingerprint: claim.NewFingerprint("room-holds", "/v1/holds", body),
//		Deadline:    now.Add(2 * time.Second),
//	}, commands[:0])
//	for _, command := range commands {
//		switch command := command.(type) {
//		case claim.Append:
//			// Append command.Records to the claim stream in one call.
//		case claim.Decide:
//			// Answer the call.
//		case claim.ReadNow:
//			// End the pending long poll and read at once.
//		}
//	}
//	wake, ok := machine.NextWake()
//
// The rule that keeps a key from running twice is local to each reader: a claim
// is won only at the host that wrote it, only when that host has read the
// stream up to it, and only if every earlier claim of the key that it has read
// was released by its own claimer. A claimer releases only what it has not
// started and never will. Hosts that remember more than the writer can only
// refuse more. See docs/design/claims.md.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"
)

const (
	// Window is how long a key is remembered at least, provided that the log
	// keeps its records that long. After it, a caller's own key counts as new,
	// and an issued key is never run again.
	Window = 24 * time.Hour
	// MaxKeyBytes bounds the length of a caller's own key.
	MaxKeyBytes = 255
	// MaxTeamBytes bounds the length of a team's name.
	MaxTeamBytes = 255
	// MaxBodyBytes bounds the answer body that an outcome keeps.
	MaxBodyBytes = 4096
)

// Ref names a key: keys of different teams never meet.
type Ref struct {
	Team string
	Key  string
}

// fingerprintBytes is the length of a fingerprint.
const fingerprintBytes = 16

// Fingerprint identifies the request that a key was first used for.
type Fingerprint [fingerprintBytes]byte

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(profile, path string, body []byte) Fingerprint {
	digest := sha256.New()
	for _, part := range [][]byte{[]byte(profile), []byte(path), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.Write(part)
	}
	var fingerprint Fingerprint
	copy(fingerprint[:], digest.Sum(nil))
	return fingerprint
}

// MarshalText returns the fingerprint in hexadecimal digits.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(f[:])), nil
}

// UnmarshalText reads a fingerprint from hexadecimal digits.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(fingerprintBytes) {
		return &FingerprintError{Length: len(text)}
	}
	_, err := hex.Decode(f[:], text)
	return err
}

// FingerprintError says that a fingerprint has the wrong length.
type FingerprintError struct {
	Length int
}

// Error names the length.
func (e *FingerprintError) Error() string {
	return fmt.Sprintf("fingerprint of %d digits", e.Length)
}

// Outcome is how a keyed call ended, as every retry of the key is told.
type Outcome struct {
	// Unknown says that the call was started and its end is not known.
	Unknown bool `json:"unknown,omitempty"`
	// Status is the HTTP status of the answer.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyOmitted says that the answer had a body that was too large to keep or
	// is no longer kept.
	BodyOmitted bool `json:"bodyOmitted,omitempty"`
}

// bounded returns the outcome without a body that is too large to keep.
func (o Outcome) bounded() Outcome {
	if len(o.Body) > MaxBodyBytes {
		o.Body = nil
		o.BodyOmitted = true
	}
	return o
}
