package replica_test

import (
	"fmt"
	"testing"

	"cactuswell/core/replica"
)

// fleetOf returns hosts spread evenly over zones.
func fleetOf(hosts, zones int) []replica.Member {
	members := make([]replica.Member, hosts)
	for i := range members {
		zone := i % zones
		members[i] = replica.Member{
			Address:  fmt.Sprintf("10.%d.0.%d:7340", zone, i),
			Zone:     fmt.Sprintf("z%d", zone),
			LinkMbps: float64(20 * (1 + i%5)),
			Rank:     uint64(i) * 0x9e3779b97f4a7c15,
			ZoneRank: uint64(zone) * 0xc4ceb9fe1a85ec53,
		}
	}
	return members
}

func without(members []replica.Member, i int) []replica.Member {
	others := append([]replica.Member(nil), members[:i]...)
	return append(others, members[i+1:]...)
}

// TestReadersDoNotGrowWithFleet checks that hosts that know the same fleet agree on a
// bounded number of readers in different zones, without a message.
func TestReadersDoNotGrowWithFleet(t *testing.T) {
	for _, c := range []struct{ hosts, zones, want int }{
		{1, 1, 1},
		{2, 1, 2},
		{6, 1, 2},
		{6, 2, 2},
		{6, 4, 3},
		{90, 4, 3},
		{195, 6, 3},
		{2400, 6, 3},
	} {
		t.Run(fmt.Sprintf("%dHostsIn%dZones", c.hosts, c.zones), func(t *testing.T) {
			members := fleetOf(c.hosts, c.zones)
			readers := 0
			zones := make(map[string]bool)
			for i, member := range members {
				if replica.ReaderOf(member, without(members, i)).IsReader() {
					readers++
					zones[member.Zone] = true
				}
			}
			if readers != c.want || len(zones) != min(c.zones, c.want) {
				t.Errorf("%d readers in %d zones, want %d", readers, len(zones), c.want)
			}
		})
	}
}
