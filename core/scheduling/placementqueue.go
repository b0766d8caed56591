package scheduling

import "slices"

// placementRepeats is the number of reports that list a placement. Reports are
// datagrams, and a host that misses a placement has its engines compute the prefix
// again.
const placementRepeats = 3

// PlacementQueue holds the placements that wait to be reported. The zero value is an
// empty queue.
type PlacementQueue struct {
	pending []pendingPlacement
}

// pendingPlacement is a placement with the number of reports that will list it.
type pendingPlacement struct {
	placement Placement
	reports   int
}

// Add adds a placement, unless the queue holds it or limit placements already.
func (q *PlacementQueue) Add(placement Placement, limit int) {
	isPending := func(p pendingPlacement) bool { return p.placement == placement }
	if len(q.pending) >= limit || slices.ContainsFunc(q.pending, isPending) {
		return
	}
	q.pending = append(q.pending, pendingPlacement{
		placement: placement,
		reports:   placementRepeats,
	})
}

// Take returns the placements for the next report.
func (q *PlacementQueue) Take() []Placement {
	if len(q.pending) == 0 {
		return nil
	}
	placements := make([]Placement, 0, len(q.pending))
	remaining := q.pending[:0]
	for _, p := range q.pending {
		placements = append(placements, p.placement)
		p.reports--
		if p.reports > 0 {
			remaining = append(remaining, p)
		}
	}
	q.pending = remaining
	return placements
}
