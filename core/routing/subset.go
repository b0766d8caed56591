package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rendezvousWeight returns the weight of an endpoint for a host. Each host uses
// the endpoints with the greatest weights (rendezvous hashing, Thaler and
// Ravishankar, 1996), so that adding or removing an endpoint changes few
// assignments of endpoints to hosts.
func rendezvousWeight(host, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(host)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// Subset returns the names of the endpoints of a pool that a host uses, at most
// size. A Router with the same endpoints uses the same subset.
func Subset(host string, names []string, size int) []string {
	return subset(host, names, size, func(name string) string { return name })
}

// subset returns the endpoints with the greatest weights for the host. It reorders
// its argument.
func subset[T any](host string, endpoints []T, size int, name func(T) string) []T {
	if len(endpoints) <= size {
		return endpoints
	}
	slices.SortFunc(endpoints, func(a, b T) int {
		return cmp.Compare(rendezvousWeight(host, name(b)), rendezvousWeight(host, name(a)))
	})
	return endpoints[:size]
}

// updateSubset recomputes the subset of endpoints that this host uses. Leaving
// endpoints are always in the subset, but don't count towards its size.
func (r *Router) updateSubset() {
	active := make([]*endpointState, 0, len(r.endpoints))
	for _, e := range r.endpoints {
		e.inSubset = e.leaving
		if !e.leaving {
			active = append(active, e)
		}
	}
	r.activeCount = len(active)
	active = subset(r.settings.Host, active, r.settings.SubsetSize, func(e *endpointState) string {
		return e.descriptor.Key.Name
	})
	for _, e := range active {
		e.inSubset = true
	}
	r.subsetCount = len(active)
	r.updateShares()
}

// hostsPerEndpoint returns the mean number of hosts that use one endpoint.
func (r *Router) hostsPerEndpoint() float64 {
	if r.activeCount == 0 {
		return float64(r.hostCount)
	}
	return max(float64(r.hostCount)*float64(r.subsetCount)/float64(r.activeCount), 1)
}

func (r *Router) updateShares() {
	for _, e := range r.endpoints {
		r.updateShare(e)
		r.updateAvailability(e)
	}
}

// updateShare sets this host's share of an endpoint's slots, less the headroom
// and with the allowed queue length.
func (r *Router) updateShare(e *endpointState) {
	slots := e.slots(&r.settings)
	room := float64(slots-r.headroom(slots)) + float64(slots)*r.settings.QueueShare
	e.limit.setShare(room/r.hostsPerEndpoint(), slots)
}
