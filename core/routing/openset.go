package routing

import "cactuswell/core/profile"

// openSet holds the targets that have room for one tier, so that a decision draws from them
// without passing over the others. Adding and removing take constant time.
type openSet struct {
	targets []*target
	// tier is the index of the target's place in target.places.
	tier int
}

// The sets of a router are those of the tiers, and one of the probing targets
// that await their next probe.
const (
	openProbe = profile.TierCount
	openSets  = profile.TierCount + 1
)

// notOpen is the place of a target outside a set.
const notOpen = -1

func (s *openSet) set(t *target, open bool) {
	place := t.places[s.tier]
	switch {
	case open && place == notOpen:
		t.places[s.tier] = len(s.targets)
		s.targets = append(s.targets, t)
	case !open && place != notOpen:
		last := s.targets[len(s.targets)-1]
		s.targets[place] = last
		last.places[s.tier] = place
		s.targets = s.targets[:len(s.targets)-1]
		t.places[s.tier] = notOpen
	}
}
