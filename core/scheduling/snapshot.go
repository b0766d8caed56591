package scheduling

import (
	"cmp"
	"slices"
	"time"

	"cactuswell/core/quarantine"
)

// Snapshot is the state of a scheduler, for dumps. It contains no prompt.
type Snapshot struct {
	// Hosts is the number of hosts that share the retry budget, including this one.
	Hosts    int               `json:"hosts"`
	Services []ServiceSnapshot `json:"services"`
	// Quarantines lists the requests and prompts that are kept from the endpoints.
	Quarantines []QuarantineSnapshot `json:"quarantines"`
}

// QuarantineSnapshot describes what is kept from the endpoints: a request, or the prompts that
// hold all the parts. Their hashes are given. Times are in seconds.
type QuarantineSnapshot struct {
	RequestHash string   `json:"requestHash,omitempty"`
	Parts       []string `json:"parts"`
	AgeS        float64  `json:"ageS"`
	LeftS       float64  `json:"leftS"`
}

// ServiceSnapshot is the state of a service.
type ServiceSnapshot struct {
	Name string `json:"name"`
	// OpenCalls counts the calls without a final command, and QueuedCalls those of
	// them that are queued at this host.
	OpenCalls   int `json:"open"`
	QueuedCalls int `json:"waiting"`
	// RetriesLeft is the number of retries that this host has left in the budget
	// window.
	RetriesLeft float64 `json:"repeatsLeft"`
	// UnsettledVersions are the software versions at which no resumable stream begins yet.
	UnsettledVersions []string           `json:"unsettledVersions,omitempty"`
	Endpoints         []EndpointSnapshot `json:"endpoints"`
}

// EndpointSnapshot is an endpoint's state as this host estimates it. Times are in
// milliseconds.
type EndpointSnapshot struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"born"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Slots       int    `json:"slots"`
	Leaving     bool   `json:"leaving"`
	// EjectedForMs is the remaining time of the ejection; Probing reports whether a
	// call is in flight that tests if the endpoint has recovered.
	EjectedForMs float64 `json:"ejectedForMs"`
	Probing      bool    `json:"trial"`
	// ErrorRate is the smoothed share of error responses.
	ErrorRate float64 `json:"errorShare"`
	// FullForMs is how much longer the endpoint asked not to be sent calls.
	// QuietForMs is for how much longer the endpoint asked not to be sent calls.
	QuietForMs float64 `json:"quietForMs"`
	FullForMs  float64 `json:"fullForMs"`
	// LimitPerSecond is the rate that the endpoint takes from all hosts together, if it names
	// one, SentLately the number of this host's requests in the last four seconds, and
	// SentByAll that of all hosts as far as they have reported it, under a limit.
	LimitPerSecond *float64 `json:"limitPerSecond,omitempty"`
	SentLately     int      `json:"sentLately"`
	SentByAll      int      `json:"sentByAll"`
	// OwnCalls counts this host's calls in flight at the endpoint. InFlight is the
	// estimated number for all hosts.
	OwnCalls int `json:"own"`
	InFlight int `json:"busy"`
	// PrefillBacklogMs is the estimated remaining engine time of the prefills sent to the
	// endpoint.
	PrefillBacklogMs float64 `json:"readingMs"`
	// Slowness is the factor on the times of the performance model.
	Slowness float64 `json:"slowness"`
	// SpeedFactor is the factor on the time of work relative to the service's other endpoints, as
	// estimated from what all hosts measure, and SpeedWeight the number of observations behind
	// it. SpeedUsed reports whether the service is uneven, so that decisions use it.
	SpeedFactor float64 `json:"speedFactor"`
	SpeedWeight float64 `json:"speedWeight"`
	SpeedUsed   bool    `json:"speedUsed"`
	// RampWindow is the number of calls of all hosts that the endpoint may have while it has just
	// appeared or recovered, or zero.
	RampWindow float64 `json:"rampWindow"`
	// LoadAgeMs is the age of the endpoint's last reported load, or negative if it
	// has reported none.
	LoadAgeMs float64 `json:"loadAgeMs"`
	// CachedTokens is the number of prompt tokens that the endpoint is assumed to
	// have cached.
	CachedTokens int `json:"cachedTokens"`
}

// Snapshot returns the current state, with services sorted by name and endpoints by
// ID.
func (s *Scheduler) Snapshot(now time.Time) Snapshot {
	snapshot := Snapshot{
		Hosts:    s.Hosts(),
		Services: make([]ServiceSnapshot, 0, len(s.poolsInOrder)),
	}
	open := make(map[*pool]int)
	for _, c := range s.calls {
		open[c.pool]++
	}
	for _, p := range s.poolsInOrder {
		service := ServiceSnapshot{
			Name:              p.name,
			OpenCalls:         open[p],
			QueuedCalls:       len(p.queue),
			UnsettledVersions: s.settlingVersions(now, p),
			RetriesLeft:       p.budget.Remaining(now),
			Endpoints:         make([]EndpointSnapshot, 0, len(p.endpoints)),
		}
		for _, e := range p.endpoints {
			snapshot := e.snapshot(now)
			snapshot.SpeedFactor = e.speed.Factor(now)
			snapshot.SpeedWeight = e.speed.Weight(now)
			snapshot.SpeedUsed = p.speeds.IsUneven(now)
			if e.ramp != nil {
				snapshot.RampWindow = e.ramp.Window(now)
			}
			service.Endpoints = append(service.Endpoints, snapshot)
		}
		slices.SortFunc(service.Endpoints, func(a, b EndpointSnapshot) int { return cmp.Compare(a.ID, b.ID) })
		snapshot.Services = append(snapshot.Services, service)
	}
	for _, q := range s.quarantine.Quarantines(now) {
		held := QuarantineSnapshot{
			Parts: quarantine.FormatParts(q.Parts),
			AgeS:  q.Age.Seconds(),
			LeftS: q.Left.Seconds(),
		}
		if q.Request != 0 {
			held.RequestHash = quarantine.FormatHash(q.Request)
		}
		snapshot.Quarantines = append(snapshot.Quarantines, held)
	}
	slices.SortFunc(snapshot.Services, func(a, b ServiceSnapshot) int { return cmp.Compare(a.Name, b.Name) })
	return snapshot
}

func (e *endpoint) snapshot(now time.Time) EndpointSnapshot {
	loadAge := -1.0
	if e.reported.Known {
		loadAge = millis(now.Sub(e.reportedAt))
	}
	var limit *float64
	if e.limit.IsNamed {
		limit = &e.limit.PerSecond
	}
	return EndpointSnapshot{
		LimitPerSecond:   limit,
		SentLately:       e.limit.sentLately(now),
		SentByAll:        e.limit.sentByAll(now),
		ID:               e.entry.ID,
		Incarnation:      e.entry.Born,
		Address:          e.entry.Address,
		Zone:             e.entry.Zone,
		Slots:            e.entry.Slots,
		Leaving:          e.leaving,
		EjectedForMs:     millis(max(e.health.ejectedUntil.Sub(now), 0)),
		Probing:          e.health.probing,
		ErrorRate:        e.health.errorRate,
		FullForMs:        millis(max(e.fullUntil.Sub(now), 0)),
		QuietForMs:       millis(max(e.quietUntil.Sub(now), 0)),
		OwnCalls:         e.running,
		InFlight:         e.inFlight(now),
		PrefillBacklogMs: millis(e.prefillBacklog(now)),
		Slowness:         e.slowness,
		LoadAgeMs:        loadAge,
		CachedTokens:     e.cache.tokens,
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
