package routing

import "time"

// Snapshot is a Router's state for dumps.
type Snapshot struct {
	Hosts  int `json:"hosts"`
	Usable int `json:"usable"`
	// Out is the number of endpoints that are ejected or probing.
	Out int `json:"out"`
	// Running is the number of this host's attempts at all endpoints.
	Running     int                `json:"running"`
	Decisions   uint64             `json:"decisions"`
	Comparisons uint64             `json:"comparisons"`
	Ejections   uint64             `json:"ejections"`
	Prefixes    int                `json:"prefixes"`
	Endpoints   []EndpointSnapshot `json:"endpoints"`
}

// EndpointSnapshot is the state of one endpoint as this host sees it.
type EndpointSnapshot struct {
	Name        string  `json:"name"`
	Incarnation uint64  `json:"incarnation"`
	Zone        string  `json:"zone"`
	State       string  `json:"state"`
	Used        bool    `json:"used"`
	Running     int     `json:"running"`
	Estimate    int     `json:"estimate"`
	Share       float64 `json:"share"`
	Window      float64 `json:"window"`
	Slots       int     `json:"slots"`
	Slowness    float64 `json:"slowness"`
	ErrorRate   float64 `json:"errorRate"`
	Ejections   int     `json:"ejections"`
	Sent        uint64  `json:"sent"`
	// ReportAgeMs is the age of the last report, or -1 without one.
	ReportAgeMs     int64   `json:"reportAgeMs"`
	CacheConfidence float64 `json:"cacheConfidence"`
	CacheGaps       int     `json:"cacheGaps"`
	SilenceBoundMs  int64   `json:"silenceBoundMs"`
}

// Snapshot returns the state at now.
func (r *Router) Snapshot(now time.Time) Snapshot {
	snapshot := Snapshot{
		Hosts:       r.hosts,
		Usable:      r.Usable(),
		Out:         r.outside,
		Running:     r.ownRunning(),
		Decisions:   r.decision,
		Comparisons: r.comparisons,
		Ejections:   r.ejections,
		Prefixes:    len(r.prefixes.entries),
		Endpoints:   make([]EndpointSnapshot, 0, len(r.targets)),
	}
	for _, t := range r.targets {
		snapshot.Endpoints = append(snapshot.Endpoints, r.endpointSnapshot(now, t))
	}
	return snapshot
}

func (r *Router) endpointSnapshot(now time.Time, t *target) EndpointSnapshot {
	age := int64(-1)
	if t.load.reported {
		age = now.Sub(t.load.report.At).Milliseconds()
	}
	return EndpointSnapshot{
		Name:            t.descriptor.Key.Name,
		Incarnation:     t.descriptor.Key.Incarnation,
		Zone:            t.descriptor.Zone,
		State:           t.state().String(),
		Used:            t.used,
		Running:         t.load.own,
		Estimate:        t.load.estimate(),
		Share:           t.window.share,
		Window:          t.window.limit,
		Slots:           t.slots(&r.settings),
		Slowness:        r.slowness(t),
		ErrorRate:       t.health.errorRate(),
		Ejections:       t.health.ejections,
		Sent:            t.sent,
		ReportAgeMs:     age,
		CacheConfidence: t.cache.confidence,
		CacheGaps:       t.cache.gaps,
		SilenceBoundMs:  r.SilenceBound(t.descriptor.Key).Milliseconds(),
	}
}

// Ejections returns how many endpoints were ejected so far.
func (r *Router) Ejections() uint64 { return r.ejections }

// Comparisons returns how many candidates were compared so far.
func (r *Router) Comparisons() uint64 { return r.comparisons }
