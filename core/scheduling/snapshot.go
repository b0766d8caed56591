package scheduling

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot is what a scheduler believes, for dumps. It holds no prompt.
type Snapshot struct {
	// Hosts is the number of hosts that share the retry budget, this one
	// included.
	Hosts    int               `json:"hosts"`
	Services []ServiceSnapshot `json:"services"`
}

// ServiceSnapshot is what is believed of a service.
type ServiceSnapshot struct {
	Name string `json:"name"`
	// OpenCalls counts the calls without a final command, and Waiting those of them
	// that are held at this host.
	OpenCalls   int `json:"open"`
	QueuedCalls int `json:"waiting"`
	// RetriesLeft is what this host may still repeat in the window.
	RetriesLeft float64            `json:"repeatsLeft"`
	Endpoints   []EndpointSnapshot `json:"endpoints"`
}

// EndpointSnapshot is what is believed of an endpoint. Times are in milliseconds.
type EndpointSnapshot struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"born"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Slots       int    `json:"slots"`
	Leaving     bool   `json:"leaving"`
	// EjectedForMs is how much longer this host sends it no calls; Trial says that
	// a call is under way to see if it is well again.
	EjectedForMs float64 `json:"ejectedForMs"`
	Probing      bool    `json:"trial"`
	// ErrorRate is the smoothed share of answers that say that the call failed.
	ErrorRate float64 `json:"errorShare"`
	// FullForMs is how much longer it asked not to be sent calls.
	FullForMs float64 `json:"fullForMs"`
	// OwnCalls counts this host's calls there, and Busy those of all hosts.
	OwnCalls int `json:"own"`
	InFlight int `json:"busy"`
	// PrefillBacklogMs is the engine time that the prompts sent to it still need.
	PrefillBacklogMs float64 `json:"readingMs"`
	// Slowness is the factor on the model's times.
	Slowness float64 `json:"slowness"`
	// LoadAgeMs is the age of its own account of its load, or negative if it gave
	// none.
	LoadAgeMs float64 `json:"loadAgeMs"`
	// CachedTokens is the size of the prompts that its memory is believed to hold.
	CachedTokens int `json:"cachedTokens"`
}

// Snapshot returns what is believed now, services and endpoints by their names.
func (s *Scheduler) Snapshot(now time.Time) Snapshot {
	snapshot := Snapshot{
		Hosts:    s.Hosts(),
		Services: make([]ServiceSnapshot, 0, len(s.inOrder)),
	}
	open := make(map[*pool]int)
	for _, c := range s.calls {
		open[c.pool]++
	}
	for _, p := range s.inOrder {
		service := ServiceSnapshot{
			Name:        p.name,
			OpenCalls:   open[p],
			QueuedCalls: len(p.waiting),
			RetriesLeft: p.budget.Remaining(now),
			Endpoints:   make([]EndpointSnapshot, 0, len(p.targets)),
		}
		for _, t := range p.targets {
			service.Endpoints = append(service.Endpoints, t.snapshot(now))
		}
		slices.SortFunc(service.Endpoints, func(a, b EndpointSnapshot) int { return cmp.Compare(a.ID, b.ID) })
		snapshot.Services = append(snapshot.Services, service)
	}
	slices.SortFunc(snapshot.Services, func(a, b ServiceSnapshot) int { return cmp.Compare(a.Name, b.Name) })
	return snapshot
}

func (t *target) snapshot(now time.Time) EndpointSnapshot {
	loadAge := -1.0
	if t.load.Known {
		loadAge = millis(now.Sub(t.loadAt))
	}
	return EndpointSnapshot{
		ID:               t.entry.ID,
		Incarnation:      t.entry.Born,
		Address:          t.entry.Address,
		Zone:             t.entry.Zone,
		Slots:            t.entry.Slots,
		Leaving:          t.leaving,
		EjectedForMs:     millis(max(t.health.ejectedTill.Sub(now), 0)),
		Probing:          t.health.trial,
		ErrorRate:        t.health.errors,
		FullForMs:        millis(max(t.fullTill.Sub(now), 0)),
		OwnCalls:         t.running,
		InFlight:         t.busy(now),
		PrefillBacklogMs: millis(t.reading(now)),
		Slowness:         t.slowness,
		LoadAgeMs:        loadAge,
		CachedTokens:     t.cache.tokens,
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
