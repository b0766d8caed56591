package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rendezvous returns the weight of an endpoint for a host. Each host uses the
// endpoints of greatest weight (rendezvous hashing, Thaler and Ravishankar,
// 1996), so that a change of the endpoints moves few pairs.
func rendezvous(host, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(host)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// updateSubset chooses the endpoints that this host uses.
func (r *Router) updateSubset() {
	staying := make([]*target, 0, len(r.targets))
	for _, t := range r.targets {
		t.used = t.leaving
		if !t.leaving {
			staying = append(staying, t)
		}
	}
	r.staying = len(staying)
	if len(staying) > r.settings.SubsetSize {
		slices.SortFunc(staying, func(a, b *target) int {
			return cmp.Compare(
				rendezvous(r.settings.Host, b.descriptor.Key.Name),
				rendezvous(r.settings.Host, a.descriptor.Key.Name),
			)
		})
		staying = staying[:r.settings.SubsetSize]
	}
	for _, t := range staying {
		t.used = true
	}
	r.usedCount = len(staying)
	r.updateShares()
}

// users returns how many hosts use one endpoint on average.
func (r *Router) users() float64 {
	if r.staying == 0 {
		return float64(r.hosts)
	}
	return max(float64(r.hosts)*float64(r.usedCount)/float64(r.staying), 1)
}

func (r *Router) updateShares() {
	for _, t := range r.targets {
		r.updateShare(t)
		r.refresh(t)
	}
}

func (r *Router) updateShare(t *target) {
	slots := t.slots(&r.settings)
	room := float64(slots-r.headroom(slots)) + float64(slots)*r.settings.QueueShare
	t.window.setShare(room/r.users(), slots)
}
