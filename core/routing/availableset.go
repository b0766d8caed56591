package routing

import "cactuswell/core/profile"

// availableSet holds the endpoints that have room for one tier, so that a decision
// samples only from these. Adding and removing take constant time.
type availableSet struct {
	endpoints []*endpointState
	// index is the index of this set's position in endpointState.setPositions.
	index int
}

// A router has one set per tier, and one of the probing endpoints that need
// their next probe.
const (
	probeSet          = profile.TierCount
	availableSetCount = profile.TierCount + 1
)

// notInSet is the position of an endpoint outside a set.
const notInSet = -1

// set adds the endpoint to the set or removes it.
func (s *availableSet) set(e *endpointState, available bool) {
	position := e.setPositions[s.index]
	switch {
	case available && position == notInSet:
		e.setPositions[s.index] = len(s.endpoints)
		s.endpoints = append(s.endpoints, e)
	case !available && position != notInSet:
		last := s.endpoints[len(s.endpoints)-1]
		s.endpoints[position] = last
		last.setPositions[s.index] = position
		s.endpoints = s.endpoints[:len(s.endpoints)-1]
		e.setPositions[s.index] = notInSet
	}
}
