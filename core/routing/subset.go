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

// Subset returns the names of the endpoints of a pool that a host uses, size at
// most. It is what a Router chooses among the same endpoints.
func Subset(host string, names []string, size int) []string {
	return subset(host, names, size, func(name string) string { return name })
}

// subset returns the endpoints of greatest weight for the host. It reorders its
// argument.
func subset[T any](host string, endpoints []T, size int, name func(T) string) []T {
	if len(endpoints) <= size {
		return endpoints
	}
	slices.SortFunc(endpoints, func(a, b T) int {
		return cmp.Compare(rendezvous(host, name(b)), rendezvous(host, name(a)))
	})
	return endpoints[:size]
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
	staying = subset(r.settings.Host, staying, r.settings.SubsetSize, func(t *target) string {
		return t.descriptor.Key.Name
	})
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
