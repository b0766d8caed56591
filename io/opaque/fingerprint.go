package opaque

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
	"strings"
)

// fingerprint returns a hash that is the same for all requests with the same method, host,
// target, team and body, at all hosts. Their request IDs and other headers may differ.
//
// The hash is cryptographic, as callers who could choose two requests with the same one could
// make the fleet refuse a sound one.
func (x *exchange) fingerprint() uint64 {
	digest := sha256.New()
	for _, text := range []string{x.request.Method, strings.ToLower(x.request.Host), x.request.RequestURI, x.team} {
		writeLength(digest, len(text))
		// Writing to a hash never fails.
		_, _ = io.WriteString(digest, text)
	}
	_, _ = digest.Write(x.body.bytes)
	return binary.BigEndian.Uint64(digest.Sum(nil))
}

// writeLength keeps the boundaries between texts distinct.
func writeLength(digest hash.Hash, length int) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(length))
	_, _ = digest.Write(size[:])
}
