package follow

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ReadersPerZone is the number of hosts in a zone that long-poll the log.
	ReadersPerZone = 2
	// FanOut limits the children of a host in the tree.
	FanOut = 8
)

// RendezvousOrder sorts the names by rendezvous hash for the key. All hosts
// that know the same names get the same order, and adding or removing a name
// does not change the order of the others.
func RendezvousOrder(key string, names []string) []string {
	weights := make(map[string]uint64, len(names))
	for _, name := range names {
		weights[name] = xxhash.Sum64String(key + "/" + name)
	}
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return ordered
}

// tree holds a zone's live hosts, including this one, in rendezvous order. The
// first ReadersPerZone are the readers and the roots. The host of rank r pushes
// to its children, the FanOut hosts from rank ReadersPerZone + r*FanOut on.
type tree struct {
	names    []string
	selfRank int
}

func newTree(self Member, members []Member) tree {
	names := []string{self.Name}
	for _, member := range members {
		if member.Zone == self.Zone && member.Name != self.Name {
			names = append(names, member.Name)
		}
	}
	ordered := RendezvousOrder("reader/"+self.Zone, names)
	return tree{
		names:    ordered,
		selfRank: slices.Index(ordered, self.Name),
	}
}

func (t tree) isReader() bool {
	return t.selfRank < ReadersPerZone
}

// parent returns the host that pushes to this one, or the other reader if this
// host is a reader. It reports false if there is none.
func (t tree) parent() (string, bool) {
	rank := (t.selfRank - ReadersPerZone) / FanOut
	if t.isReader() {
		rank = 1 - t.selfRank
	}
	if rank >= len(t.names) {
		return "", false
	}
	return t.names[rank], true
}

// pushTargets returns the peers to which this host pushes records. A reader also
// pushes to the other reader, whose connection to the log may be dead.
func (t tree) pushTargets() []string {
	var targets []string
	if parent, ok := t.parent(); ok && t.isReader() {
		targets = append(targets, parent)
	}
	first := min(ReadersPerZone+t.selfRank*FanOut, len(t.names))
	last := min(first+FanOut, len(t.names))
	return append(targets, t.names[first:last]...)
}
