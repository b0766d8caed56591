package replica

import "cmp"

// MaxReaders is the number of hosts that read the log for a fleet. They are in
// different availability zones as far as there are enough.
const MaxReaders = 3

// oneZoneReaders is the number of readers of a fleet in one zone.
const oneZoneReaders = 2

// Member is a live host, as candidate for a reader.
type Member struct {
	Address string
	Zone    string
	// LinkMbps is the bandwidth of the host's network link in Mbit/s, or zero.
	LinkMbps float64
	// Rank and ZoneRank are hashes of the address and of the zone's name. All hosts
	// compute the same ones.
	Rank     uint64
	ZoneRank uint64
}

// Compare orders members by their preference as relay of their zone and as reader:
// the fastest link first, and then the lowest rank.
func (m Member) Compare(other Member) int {
	return cmp.Or(
		cmp.Compare(other.LinkMbps, m.LinkMbps),
		cmp.Compare(m.Rank, other.Rank),
		cmp.Compare(m.Address, other.Address),
	)
}

// Reader is a host's position among the readers. It is the zero value for other hosts.
type Reader struct {
	// Index counts the readers before it, and Count all readers.
	Index int
	Count int
}

// IsReader reports whether the host is a reader.
func (r Reader) IsReader() bool { return r.Count > 0 }

// ReaderOf returns the position of self among the readers of a fleet that consists of it
// and the other members. The readers are the first hosts of up to MaxReaders zones; if
// there is only one zone, its first two hosts.
func ReaderOf(self Member, others []Member) Reader {
	ahead := 0
	for _, other := range others {
		if other.Zone == self.Zone && other.Compare(self) < 0 {
			ahead++
		}
	}
	zones := zonesBefore(self, others)
	reader := Reader{
		Index: zones.before,
		Count: min(zones.total, MaxReaders),
	}
	if zones.total == 1 {
		reader.Index = ahead
		reader.Count = min(len(others)+1, oneZoneReaders)
		ahead = 0
	}
	if ahead > 0 || reader.Index >= reader.Count {
		return Reader{}
	}
	return reader
}

type zoneOrder struct {
	total  int
	before int
}

// zonesBefore counts the zones, and those whose rank is lower than that of self's zone.
func zonesBefore(self Member, others []Member) zoneOrder {
	order := zoneOrder{total: 1}
	seen := map[string]bool{self.Zone: true}
	for _, other := range others {
		if seen[other.Zone] {
			continue
		}
		seen[other.Zone] = true
		order.total++
		if cmp.Or(cmp.Compare(other.ZoneRank, self.ZoneRank), cmp.Compare(other.Zone, self.Zone)) < 0 {
			order.before++
		}
	}
	return order
}
