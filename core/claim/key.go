package claim

import (
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

const (
	// issuedPrefix begins every issued key. A caller's own key must not begin
	// with it.
	issuedPrefix = "cw1~"
	// keySeparator parts the fields of an issued key.
	keySeparator = "~"
	// maxHostBytes bounds the length of a host's name in a key.
	maxHostBytes = 128
)

// Issuer identifies one life of the state that issues keys on a host. No two
// lives are alike, even if a host restarts with a wrong clock: Life is random.
type Issuer struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Instance    uint64 `json:"life"`
}

// String returns the issuer's part of a key.
func (i Issuer) String() string {
	return i.Host + keySeparator + strconv.FormatUint(i.Incarnation, 16) + keySeparator +
		strconv.FormatUint(i.Instance, 16)
}

// IssuedKey is a key that a host issued.
type IssuedKey struct {
	Issuer   Issuer
	Sequence uint64
}

// KeyError says that a key is not usable. Nothing was run for it.
type KeyError struct {
	Reason KeyErrorReason
}

// KeyErrorReason says what is wrong with a key.
type KeyErrorReason string

// What can be wrong with a key.
const (
	KeyTooLong      KeyErrorReason = "tooLong"
	KeyNotPrintable KeyErrorReason = "notPrintable"
	KeyMalformed    KeyErrorReason = "malformedIssuedKey"
	KeyChecksum     KeyErrorReason = "checksum"
	KeyNeverIssued  KeyErrorReason = "neverIssued"
	TeamTooLong     KeyErrorReason = "teamTooLong"
)

// Error names the fault.
func (e *KeyError) Error() string {
	return fmt.Sprintf("unusable idempotency key: %s", e.Reason)
}

// Encode returns the key as it is given to team. The checksum at its end covers
// the team, so that a key given to another team is noticed.
func (k IssuedKey) Encode(team string) string {
	text := issuedPrefix + k.Issuer.String() + keySeparator + strconv.FormatUint(k.Sequence, 10)
	return text + keySeparator + checksum(team, text)
}

// IsIssued reports whether a key has the form of an issued key.
func IsIssued(key string) bool {
	return strings.HasPrefix(key, issuedPrefix)
}

// ParseIssued reads an issued key that team presents. The error is a *KeyError.
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
	life, lifeErr := strconv.ParseUint(fields[2], 16, 64)
	sequence, sequenceErr := strconv.ParseUint(fields[3], 10, 64)
	if incarnationErr != nil || lifeErr != nil || sequenceErr != nil {
		return IssuedKey{}, malformed
	}
	parsed := IssuedKey{
		Issuer: Issuer{
			Host:        fields[0],
			Incarnation: incarnation,
			Instance:    life,
		},
		Sequence: sequence,
	}
	// Comparing the whole text also refuses other spellings of the numbers,
	// which would be other keys to the log.
	if parsed.Encode(team) != key {
		return IssuedKey{}, &KeyError{Reason: KeyChecksum}
	}
	return parsed, nil
}

// IsValidHost reports whether a host's name can stand in an issued key.
func IsValidHost(host string) bool {
	if host == "" || len(host) > maxHostBytes || strings.Contains(host, keySeparator) {
		return false
	}
	return printable(host)
}

func checkRef(ref KeyRef) error {
	switch {
	case len(ref.Team) > MaxTeamBytes:
		return &KeyError{Reason: TeamTooLong}
	case len(ref.Key) > MaxKeyBytes:
		return &KeyError{Reason: KeyTooLong}
	case !printable(ref.Key):
		return &KeyError{Reason: KeyNotPrintable}
	default:
		return nil
	}
}

func printable(text string) bool {
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
