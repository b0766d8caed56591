package follow

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ReadersPerZone is how many hosts of a zone follow the log themselves.
	ReadersPerZone = 2
	// FanOut bounds the peers to which one host hands records down.
	FanOut = 8
)

// RendezvousOrder returns the names in rendezvous order for the key: every host that
// knows the same names has the same order, and a name that comes or goes
// leaves the order of the others as it was.
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

// tree is a zone's live hosts, this one included, in rendezvous order. The
// first ReadersPerZone are the readers. The others hang below: the host at
// place p hands down to the FanOut hosts from ReadersPerZone + p*FanOut on.
type tree struct {
	names []string
	self  int
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
		names: ordered,
		self:  slices.Index(ordered, self.Name),
	}
}

func (t tree) isReader() bool {
	return t.self < ReadersPerZone
}

// parent returns the host from which this one receives records, or the other
// reader if this is one. It reports false if there is none.
func (t tree) parent() (string, bool) {
	place := (t.self - ReadersPerZone) / FanOut
	if t.isReader() {
		place = 1 - t.self
	}
	if place >= len(t.names) {
		return "", false
	}
	return t.names[place], true
}

// targets returns the peers to which this host hands records down. A reader
// also tells the other one, whose own connection may be silent.
func (t tree) targets() []string {
	var targets []string
	if parent, ok := t.parent(); ok && t.isReader() {
		targets = append(targets, parent)
	}
	first := min(ReadersPerZone+t.self*FanOut, len(t.names))
	last := min(first+FanOut, len(t.names))
	return append(targets, t.names[first:last]...)
}
