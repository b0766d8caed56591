package autoscale

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot is the state of a service, for dumps and metrics.
type Snapshot struct {
	Service string `json:"service"`
	// Total is the desired number of endpoints of the service before those that replace
	// reclaimed ones, Reference that at the start, and Serving the number that serves.
	Total     int    `json:"total"`
	Reference int    `json:"reference"`
	Serving   int    `json:"serving"`
	Demand    Demand `json:"demand"`
	// HasTraffic reports whether there has been traffic lately. Without any, the total stays.
	HasTraffic bool              `json:"hasTraffic"`
	Subjects   []SubjectSnapshot `json:"subjects"`
}

// SubjectSnapshot is the state of one capacity type in one zone.
type SubjectSnapshot struct {
	Zone string `json:"zone"`
	Spot bool   `json:"spot"`
	// Desired is the number that the plan wants, and Ordered the last order or else what is
	// observed.
	Desired int `json:"desired"`
	Ordered int `json:"ordered"`
	Present int `json:"present"`
	Serving int `json:"serving"`
	Leaving int `json:"leaving"`
	// ShortForMs is for how much longer no more endpoints are ordered after a shortage, Shortages
	// the number of shortages, and ShortCause the cause of the last one.
	ShortForMs float64    `json:"shortForMs"`
	Shortages  int        `json:"shortages"`
	ShortCause ShortCause `json:"shortCause,omitempty"`
}

// Snapshots returns the state of all services, sorted by name.
func (d *Decider) Snapshots(now time.Time) []Snapshot {
	snapshots := make([]Snapshot, 0, len(d.services))
	for _, s := range d.services {
		snapshot := Snapshot{
			Service: s.observed.Name,
			Total:   s.total,
			Serving: s.serving(),
			Demand:  s.demand.current(),

			HasTraffic: s.demand.hasTraffic(now),
		}
		for _, size := range s.reference {
			snapshot.Reference += size
		}
		for _, target := range s.plan.targets {
			known := s.subject(target.subject)
			snapshot.Subjects = append(snapshot.Subjects, SubjectSnapshot{
				Zone:       target.subject.Zone,
				Spot:       target.subject.Spot,
				Desired:    target.desired,
				Ordered:    known.committed(),
				Present:    known.count.Present,
				Serving:    known.count.Serving,
				Leaving:    known.count.Leaving,
				Shortages:  known.shortages,
				ShortCause: known.shortCause,
				ShortForMs: float64(max(known.retryAt.Sub(now), 0)) / float64(time.Millisecond),
			})
		}
		snapshots = append(snapshots, snapshot)
	}
	slices.SortFunc(snapshots, func(a, b Snapshot) int { return cmp.Compare(a.Service, b.Service) })
	return snapshots
}
