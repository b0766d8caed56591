package claim

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SelectWriters selects the hosts that write claims for all hosts, at most
// count of them, by rendezvous hashing: adding or removing a host replaces at
// most one writer.
func SelectWriters(hosts []string, count int) []string {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousScore("writer", a), rendezvousScore("writer", b)), cmp.Compare(a, b))
	})
	return ranked[:min(max(count, 0), len(ranked))]
}

// SelectWriter returns the writer of a key. It reports false if there are no
// writers. Hosts with different views of the fleet may choose different
// writers. That costs only an append, as a claim is decided by the host that
// reads it back.
func SelectWriter(ref KeyRef, writers []string) (string, bool) {
	if len(writers) == 0 {
		return "", false
	}
	name := ref.Team + "\x00" + ref.Key
	return slices.MinFunc(writers, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousScore(name, a), rendezvousScore(name, b)), cmp.Compare(a, b))
	}), true
}

func rendezvousScore(name, host string) uint64 {
	return xxhash.Sum64String(name + "\x00" + host)
}
