package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// fingerprintBytes is the length of a fingerprint, which is a truncated
// SHA-256.
const fingerprintBytes = 16

// Fingerprint is a hash of a request. It identifies the request that a key was
// first used for.
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

// UnmarshalText parses a fingerprint from hexadecimal digits. If their number
// is wrong, the error is a *FingerprintError.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(fingerprintBytes) {
		return &FingerprintError{Length: len(text)}
	}
	_, err := hex.Decode(f[:], text)
	return err
}

// FingerprintError reports that the text of a fingerprint has the wrong length.
type FingerprintError struct {
	Length int
}

// Error returns a message with the length.
func (e *FingerprintError) Error() string {
	return fmt.Sprintf("fingerprint of %d digits", e.Length)
}
