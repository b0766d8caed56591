package claim

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SelectWriters returns the hosts that write claims for the others, at most count of
// them, by rendezvous hashing: a host that comes or goes changes one place at
// most.
func SelectWriters(hosts []string, count int) []string {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank("writer", a), rank("writer", b)), cmp.Compare(a, b))
	})
	return ranked[:min(max(count, 0), len(ranked))]
}

// SelectWriter returns the writer of a key. It reports false if there is none.
// Hosts whose views differ may choose other writers; that costs an append, as
// the verdict on a claim stays with the host that reads it back.
func SelectWriter(ref KeyRef, writers []string) (string, bool) {
	if len(writers) == 0 {
		return "", false
	}
	name := ref.Team + "\x00" + ref.Key
	return slices.MinFunc(writers, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(name, a), rank(name, b)), cmp.Compare(a, b))
	}), true
}

func rank(name, host string) uint64 {
	return xxhash.Sum64String(name + "\x00" + host)
}
