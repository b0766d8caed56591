package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxCount bounds the number of observations that one report may represent, so that no
	// single report outweighs the rest.
	maxCount = 32
	// maxPending bounds the endpoints whose observations wait to be reported.
	maxPending = 512
	// reportStep is the difference from what was last reported, as a logarithm, from which on new
	// observations are news, and reportMemory how long what was reported needs no repetition.
	reportStep   = 0.3
	reportMemory = 4 * time.Second
	// MaxReported bounds the observations in a report.
	MaxReported = 12
)

// Observation is the mean of observations of one kind of work at an endpoint.
type Observation struct {
	// Endpoint is the hash of the endpoint's key.
	Endpoint uint64
	Kind     Kind
	Count    int
	// LogRatio is the natural logarithm of the measured over the nominal time.
	LogRatio float64
}

// Outbox collects observations and returns those that are news, at a bounded rate. The cost of
// the reports does not depend on the number of calls, endpoints or hosts.
type Outbox struct {
	// perSecond is the number of observations that may be reported in a second.
	perSecond float64
	// repeats is set if what the receivers know already is to be reported as well.
	repeats bool
	credit  float64
	at      time.Time
	pending map[subject]*pending
}

type subject struct {
	endpoint uint64
	kind     Kind
}

// pending is what is to be reported about a subject, and what was last reported.
type pending struct {
	recent average
	count  int
	told   float64
	toldAt time.Time
}

// NewOutbox returns an outbox that reports perSecond observations a second at most: all of them if
// repeats is set, or else those that differ from what was last reported.
func NewOutbox(perSecond float64, repeats bool) *Outbox {
	return &Outbox{
		perSecond: perSecond,
		repeats:   repeats,
		pending:   make(map[subject]*pending),
	}
}

// Add adds an observation.
func (b *Outbox) Add(now time.Time, o Observation) {
	key := subject{
		endpoint: o.Endpoint,
		kind:     o.Kind,
	}
	p, ok := b.pending[key]
	if !ok {
		if len(b.pending) >= maxPending {
			b.forget(now)
		}
		if len(b.pending) >= maxPending {
			return
		}
		p = &pending{}
		b.pending[key] = p
	}
	p.recent.add(now, ShortWindow, o.LogRatio, float64(o.Count))
	p.count = min(p.count+o.Count, maxCount)
}

// forget removes what was reported long ago and has not been observed since.
func (b *Outbox) forget(now time.Time) {
	for key, p := range b.pending {
		if p.count == 0 && now.Sub(p.toldAt) >= reportMemory {
			delete(b.pending, key)
		}
	}
}

// urgency returns by how much a subject differs from what was reported, and whether it is news.
func (b *Outbox) urgency(now time.Time, p *pending) (float64, bool) {
	if p.count == 0 {
		return 0, false
	}
	if p.toldAt.IsZero() {
		return maxLogRatio, true
	}
	step := math.Abs(p.recent.mean - p.told)
	return step, b.repeats || step >= reportStep || now.Sub(p.toldAt) >= reportMemory
}

// HasNews reports whether Take would return observations.
func (b *Outbox) HasNews(now time.Time) bool {
	if b.creditAt(now) < 1 {
		return false
	}
	for _, p := range b.pending {
		if _, ok := b.urgency(now, p); ok {
			return true
		}
	}
	return false
}

func (b *Outbox) creditAt(now time.Time) float64 {
	if b.at.IsZero() {
		return MaxReported
	}
	return min(b.credit+b.perSecond*now.Sub(b.at).Seconds(), MaxReported)
}

// Take returns the observations for the next report, those that differ most from what was last
// reported first.
func (b *Outbox) Take(now time.Time) []Observation {
	type item struct {
		key     subject
		urgency float64
	}
	var items []item
	for key, p := range b.pending {
		if urgency, ok := b.urgency(now, p); ok {
			items = append(items, item{
				key:     key,
				urgency: urgency,
			})
		}
	}
	b.credit = b.creditAt(now)
	b.at = now
	slices.SortFunc(items, func(x, y item) int {
		return cmp.Or(cmp.Compare(y.urgency, x.urgency), cmp.Compare(x.key.endpoint, y.key.endpoint), cmp.Compare(x.key.kind, y.key.kind))
	})
	items = items[:min(len(items), int(b.credit))]
	b.credit -= float64(len(items))
	var taken []Observation
	for _, it := range items {
		p := b.pending[it.key]
		taken = append(taken, Observation{
			Endpoint: it.key.endpoint,
			Kind:     it.key.kind,
			Count:    p.count,
			LogRatio: p.recent.mean,
		})
		p.told, p.toldAt, p.count = p.recent.mean, now, 0
	}
	return taken
}
