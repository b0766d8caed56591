package claim

import (
	"encoding/hex"
	"strings"
	"time"
)

const (
	// uuidLength is the length of a UUID's text.
	uuidLength = 36
	// uuidTimeVersion is the version digit of a UUID that begins with its time.
	uuidTimeVersion = '7'
	// uuidVersionIndex is where the version digit stands.
	uuidVersionIndex = 14
)

// keyTime returns the time at which a caller made its key, if the key is a UUID
// of version 7 (RFC 9562).
func keyTime(key string) (time.Time, bool) {
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

// expiredKey reports whether the key says itself that it is so old that its
// first use may have been forgotten. A part of the window is left for clocks
// that differ.
func (m *Machine) expiredKey(now time.Time, key string) bool {
	made, ok := keyTime(key)
	if !ok {
		return false
	}
	return now.Sub(made) > m.settings.Window-m.settings.Window/carryShare
}
