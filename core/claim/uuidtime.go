package claim

import (
	"encoding/hex"
	"strings"
	"time"
)

const (
	// uuidLength is the length of the text form of a UUID.
	uuidLength = 36
	// uuidTimeVersion is the version digit of a UUID that starts with a
	// timestamp.
	uuidTimeVersion = '7'
	// uuidVersionIndex is the position of the version digit in the text.
	uuidVersionIndex = 14
)

// uuidTime returns the time at which a caller created its key, if the key is a
// UUID of version 7 (RFC 9562).
func uuidTime(key string) (time.Time, bool) {
	if len(key) != uuidLength || key[uuidVersionIndex] != uuidTimeVersion {
		return time.Time{}, false
	}
	bytes, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(bytes) != 16 {
		return time.Time{}, false
	}
	var millis int64
	for _, b := range bytes[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis), true
}

// isExpiredKey reports whether the key has a timestamp so old that its first
// use may no longer be stored. A fraction of the window is left as a margin
// for clock skew.
func (m *Machine) isExpiredKey(now time.Time, key string) bool {
	createdAt, ok := uuidTime(key)
	if !ok {
		return false
	}
	return now.Sub(createdAt) > m.settings.Window-m.settings.Window/renewalDivisor
}
