package peer_test

import (
	"fmt"
	"testing"
	"time"

	"cactuswell/io/peer"
)

func (r recorder) handleDuty(duty peer.Duty) {
	select {
	case <-r.duties:
	default:
	}
	r.duties <- duty
}

// TestAnnouncementsReachAllHosts guards against hosts of a large fleet that read the store because the
// announcements of the holder end at the relay of its zone, and against a release that only its zone
// learns of.
func TestAnnouncementsReachAllHosts(t *testing.T) {
	const hosts = 20
	meshes := make([]*peer.Mesh, hosts)
	recorders := make([]recorder, hosts)
	addresses := make([]string, hosts)
	zone := func(i int) string { return []string{"z0", "z1", "z2"}[i%3] }
	for i := range hosts {
		addresses[i] = freeAddress(t)
		meshes[i], recorders[i], _ = startMeshAt(t, fmt.Sprintf("host-%d", i), zone(i), addresses[i], 1)
	}
	for i := range hosts {
		for j := range hosts {
			meshes[i].AddHost(addresses[j], zone(j), 0)
		}
	}
	// The fleet is large once each zone has a relay.
	eventually(t, func() bool {
		relays := 0
		for _, mesh := range meshes {
			mesh.Send(peer.Message{Complete: true})
			if mesh.IsRelay() {
				relays++
			}
		}
		return relays == 3
	})
	timeout := time.After(20 * time.Second)
	for _, released := range []bool{false, true} {
		duty := peer.Duty{
			Host:     "host-4",
			Address:  addresses[4],
			Token:    7,
			Released: released,
		}
		meshes[4].SetDuty(&duty)
		heard := map[int]bool{4: true}
		for len(heard) < hosts {
			for _, mesh := range meshes {
				mesh.Send(peer.Message{Complete: true})
			}
			for i, r := range recorders {
				select {
				case got := <-r.duties:
					if got.Token == duty.Token && got.Released == released {
						heard[i] = true
					}
				case <-timeout:
					t.Fatalf("released %t: %d hosts have heard of it", released, len(heard))
				case <-time.After(10 * time.Millisecond):
				}
			}
		}
	}
}
