package routing

import "time"

// Snapshot is a Router's state for dumps.
type Snapshot struct {
	Hosts           int `json:"hosts"`
	UsableEndpoints int `json:"usable"`
	// EjectedOrProbing is the number of endpoints that are ejected or probing.
	EjectedOrProbing int `json:"out"`
	// Running is the number of this host's attempts at all endpoints.
	Running      int                `json:"running"`
	Decisions    uint64             `json:"decisions"`
	Comparisons  uint64             `json:"comparisons"`
	Ejections    uint64             `json:"ejections"`
	PrefixBlocks int                `json:"prefixes"`
	Endpoints    []EndpointSnapshot `json:"endpoints"`
}

// EndpointSnapshot is the state of one endpoint as this host sees it.
type EndpointSnapshot struct {
	Name              string  `json:"name"`
	Incarnation       uint64  `json:"incarnation"`
	Zone              string  `json:"zone"`
	State             string  `json:"state"`
	InSubset          bool    `json:"used"`
	Running           int     `json:"running"`
	EstimatedAttempts int     `json:"estimate"`
	Share             float64 `json:"share"`
	ConcurrencyLimit  float64 `json:"window"`
	Slots             int     `json:"slots"`
	Slowness          float64 `json:"slowness"`
	ErrorRate         float64 `json:"errorRate"`
	Ejections         int     `json:"ejections"`
	AttemptsSent      uint64  `json:"sent"`
	// ReportAgeMs is the age of the last report, or -1 without one.
	ReportAgeMs     int64   `json:"reportAgeMs"`
	CacheConfidence float64 `json:"cacheConfidence"`
	CacheEventGaps  int     `json:"cacheGaps"`
	StallTimeoutMs  int64   `json:"silenceBoundMs"`
}

// Snapshot returns the state at now.
func (r *Router) Snapshot(now time.Time) Snapshot {
	snapshot := Snapshot{
		Hosts:            r.hosts,
		UsableEndpoints:  r.Usable(),
		EjectedOrProbing: r.outside,
		Running:          r.ownRunning(),
		Decisions:        r.decision,
		Comparisons:      r.comparisons,
		Ejections:        r.ejections,
		PrefixBlocks:     len(r.prefixes.entries),
		Endpoints:        make([]EndpointSnapshot, 0, len(r.targets)),
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
		Name:              t.descriptor.Key.Name,
		Incarnation:       t.descriptor.Key.Incarnation,
		Zone:              t.descriptor.Zone,
		State:             t.state().String(),
		InSubset:          t.used,
		Running:           t.load.own,
		EstimatedAttempts: t.load.estimate(),
		Share:             t.window.share,
		ConcurrencyLimit:  t.window.limit,
		Slots:             t.slots(&r.settings),
		Slowness:          r.slowness(t),
		ErrorRate:         t.health.errorRate(),
		Ejections:         t.health.ejections,
		AttemptsSent:      t.sent,
		ReportAgeMs:       age,
		CacheConfidence:   t.cache.confidence,
		CacheEventGaps:    t.cache.gaps,
		StallTimeoutMs:    r.SilenceBound(t.descriptor.Key).Milliseconds(),
	}
}

// Ejections returns how many endpoints were ejected so far.
func (r *Router) Ejections() uint64 { return r.ejections }

// Comparisons returns how many candidates were compared so far.
func (r *Router) Comparisons() uint64 { return r.comparisons }
