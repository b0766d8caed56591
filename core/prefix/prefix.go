// Package prefix splits a prompt into blocks and hashes each block together with
// all blocks before it, as the engines do to identify their cached prefixes.
//
// # Usage
//
//	hashes := prefix.Hashes("system: you are a clerk\nuser: ...")
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the size of one block of prompt text.
	BlockBytes = 256
	// MaxBlocks is the maximum number of blocks that are hashed.
	MaxBlocks = 64
	// BytesPerToken is the mean size of one token of prompt text.
	BytesPerToken = 4
)

// Hashes returns one hash for each whole block of prompt, for the first MaxBlocks
// blocks at most. Equal leading hashes mean equal leading text.
func Hashes(prompt string) []uint64 {
	blocks := min(len(prompt)/BlockBytes, MaxBlocks)
	hashes := make([]uint64, 0, blocks)
	var previous [8]byte
	for i := range blocks {
		digest := xxhash.New()
		_, _ = digest.Write(previous[:])
		_, _ = digest.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		hash := digest.Sum64()
		hashes = append(hashes, hash)
		binary.LittleEndian.PutUint64(previous[:], hash)
	}
	return hashes
}

// Tokens estimates the number of tokens in a prompt of the given length in
// bytes.
func Tokens(length int) int {
	return (length + BytesPerToken - 1) / BytesPerToken
}
