package routing

import "time"

// Snapshot is a Router's state for dumps.
type Snapshot struct {
	Hosts           int `json:"hosts"`
	UsableEndpoints int `json:"usable"`
	// EjectedOrProbing is the number of endpoints that are ejected or probing.
	EjectedOrProbing int `json:"out"`
	// Running is the number of this host's running attempts at all endpoints.
	Running      int                `json:"running"`
	Decisions    uint64             `json:"decisions"`
	Comparisons  uint64             `json:"comparisons"`
	Ejections    uint64             `json:"ejections"`
	PrefixBlocks int                `json:"prefixes"`
	Endpoints    []EndpointSnapshot `json:"endpoints"`
}

// EndpointSnapshot is what this host knows of one endpoint.
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
	// ReportAgeMs is the age of the last report, or -1 if there is none.
	ReportAgeMs     int64   `json:"reportAgeMs"`
	CacheConfidence float64 `json:"cacheConfidence"`
	CacheEventGaps  int     `json:"cacheGaps"`
	StallTimeoutMs  int64   `json:"silenceBoundMs"`
}

// Snapshot returns the router's state at now.
func (r *Router) Snapshot(now time.Time) Snapshot {
	snapshot := Snapshot{
		Hosts:            r.hostCount,
		UsableEndpoints:  r.UsableEndpoints(),
		EjectedOrProbing: r.ejectedCount,
		Running:          r.totalRunning(),
		Decisions:        r.decisions,
		Comparisons:      r.comparisons,
		Ejections:        r.ejections,
		PrefixBlocks:     len(r.prefixes.entries),
		Endpoints:        make([]EndpointSnapshot, 0, len(r.endpoints)),
	}
	for _, e := range r.endpoints {
		snapshot.Endpoints = append(snapshot.Endpoints, r.endpointSnapshot(now, e))
	}
	return snapshot
}

func (r *Router) endpointSnapshot(now time.Time, e *endpointState) EndpointSnapshot {
	age := int64(-1)
	if e.load.hasReport {
		age = now.Sub(e.load.report.At).Milliseconds()
	}
	return EndpointSnapshot{
		Name:              e.descriptor.Key.Name,
		Incarnation:       e.descriptor.Key.Incarnation,
		Zone:              e.descriptor.Zone,
		State:             e.state().String(),
		InSubset:          e.inSubset,
		Running:           e.load.own,
		EstimatedAttempts: e.load.estimate(),
		Share:             e.limit.share,
		ConcurrencyLimit:  e.limit.value,
		Slots:             e.slots(&r.settings),
		Slowness:          r.slowness(e),
		ErrorRate:         e.health.errorRate(),
		Ejections:         e.health.ejections,
		AttemptsSent:      e.sentCount,
		ReportAgeMs:       age,
		CacheConfidence:   e.cache.confidence,
		CacheEventGaps:    e.cache.lostEventGaps,
		StallTimeoutMs:    r.StallTimeout(e.descriptor.Key).Milliseconds(),
	}
}

// Ejections returns the number of ejections so far.
func (r *Router) Ejections() uint64 { return r.ejections }

// Comparisons returns the number of candidates compared so far.
func (r *Router) Comparisons() uint64 { return r.comparisons }
