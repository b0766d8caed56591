package claim

import (
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

const (
	// issuedPrefix is the prefix of every issued key. A key chosen by a caller
	// must not start with it.
	issuedPrefix = "cw1~"
	// keySeparator separates the fields of an issued key.
	keySeparator = "~"
	// maxHostBytes is the maximum length of a host's name in a key.
	maxHostBytes = 128
)

// Issuer identifies one instance of the state machine that issues keys on a
// host. Instance is random, so that two instances differ even if a host
// restarts with a wrong clock.
type Issuer struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Instance    uint64 `json:"life"`
}

// String returns the issuer as it is written in a key.
func (i Issuer) String() string {
	return i.Host + keySeparator + strconv.FormatUint(i.Incarnation, 16) + keySeparator +
		strconv.FormatUint(i.Instance, 16)
}

// IssuedKey is a key that a host issued.
type IssuedKey struct {
	Issuer   Issuer
	Sequence uint64
}

// KeyError reports that a key cannot be used. Nothing was run for it.
type KeyError struct {
	Reason KeyErrorReason
}

// KeyErrorReason is the reason why a key cannot be used.
type KeyErrorReason string

// Reasons why a key cannot be used.
const (
	KeyTooLong      KeyErrorReason = "tooLong"
	KeyNotPrintable KeyErrorReason = "notPrintable"
	KeyMalformed    KeyErrorReason = "malformedIssuedKey"
	KeyChecksum     KeyErrorReason = "checksum"
	KeyNeverIssued  KeyErrorReason = "neverIssued"
	TeamTooLong     KeyErrorReason = "teamTooLong"
)

// Error returns a message with the reason.
func (e *KeyError) Error() string {
	return fmt.Sprintf("unusable idempotency key: %s", e.Reason)
}

// Encode returns the text of the key for team. The checksum at its end covers
// the team, so that use of the key by another team is detected.
func (k IssuedKey) Encode(team string) string {
	text := issuedPrefix + k.Issuer.String() + keySeparator + strconv.FormatUint(k.Sequence, 10)
	return text + keySeparator + checksum(team, text)
}

// IsIssued reports whether a key has the prefix of an issued key.
func IsIssued(key string) bool {
	return strings.HasPrefix(key, issuedPrefix)
}

// ParseIssued parses an issued key that was sent by team. The error is a
// *KeyError.
func ParseIssued(team, key string) (IssuedKey, error) {
	malformed := &KeyError{Reason: KeyMalformed}
	rest, ok := strings.CutPrefix(key, issuedPrefix)
	if !ok {
		return IssuedKey{}, malformed
	}
	fields := strings.Split(rest, keySeparator)
	if len(fields) != 5 || !IsValidHost(fields[0]) {
		return IssuedKey{}, malformed
	}
	incarnation, incarnationErr := strconv.ParseUint(fields[1], 16, 64)
	instance, instanceErr := strconv.ParseUint(fields[2], 16, 64)
	sequence, sequenceErr := strconv.ParseUint(fields[3], 10, 64)
	if incarnationErr != nil || instanceErr != nil || sequenceErr != nil {
		return IssuedKey{}, malformed
	}
	parsed := IssuedKey{
		Issuer: Issuer{
			Host:        fields[0],
			Incarnation: incarnation,
			Instance:    instance,
		},
		Sequence: sequence,
	}
	// Comparing the whole text also rejects other spellings of the numbers,
	// which would be different keys in the log.
	if parsed.Encode(team) != key {
		return IssuedKey{}, &KeyError{Reason: KeyChecksum}
	}
	return parsed, nil
}

// IsValidHost reports whether a host's name can be part of an issued key.
func IsValidHost(host string) bool {
	if host == "" || len(host) > maxHostBytes || strings.Contains(host, keySeparator) {
		return false
	}
	return isPrintable(host)
}

func validateKeyRef(ref KeyRef) error {
	switch {
	case len(ref.Team) > MaxTeamBytes:
		return &KeyError{Reason: TeamTooLong}
	case len(ref.Key) > MaxKeyBytes:
		return &KeyError{Reason: KeyTooLong}
	case !isPrintable(ref.Key):
		return &KeyError{Reason: KeyNotPrintable}
	default:
		return nil
	}
}

func isPrintable(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

func checksum(team, text string) string {
	sum := crc32.ChecksumIEEE([]byte(team + "\x00" + text))
	return fmt.Sprintf("%08x", sum)
}
