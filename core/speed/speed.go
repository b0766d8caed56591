// Package speed estimates how fast the endpoints of a service are, relative to each other, from
// measured times.
//
// # Usage
//
//	service := speed.NewService()
//	endpoint := service.Add()
//	endpoint.Observe(now, speed.EventGap, measured, nominal)
//	if service.IsUneven(now) {
//		factor := endpoint.Factor(now)
//	}
//
// An observation is the logarithm of a measured time over the nominal one, so that a machine that
// is twice as slow is as far from the others as one that is twice as fast. Each kind of work has
// its own level, the median of the endpoints, as the nominal times of a kind may all be off by the
// same factor. An endpoint has two averages for each kind of work: one over LongWindow, which
// follows permanent differences and in which a temporary one counts little, and one over
// ShortWindow, which follows temporary differences and is forgotten soon after the last
// observation, so that an endpoint that is avoided for being slow is tried again.
//
// It is designed for fleets in which machines differ permanently by factors of up to a few, and
// some are several times slower for seconds. A Service reads no clock and is not safe for
// concurrent use.
package speed

import (
	"math"
	"slices"
	"time"
)

// Kind is a kind of measured work.
type Kind uint8

// The kinds of work.
const (
	// EventGap is the usual time between two events of a stream.
	EventGap Kind = iota
	// Prefill is the time to the first event of a stream at an engine without a queue.
	Prefill
	// Plain is the time of an answer of a plain service.
	Plain
	// Kinds is the number of kinds.
	Kinds
)

// The time constants of the two averages.
const (
	ShortWindow = 1500 * time.Millisecond
	LongWindow  = 20 * time.Second
)

const (
	// maxLogRatio bounds an observation.
	maxLogRatio = 4
	// maxLongStep and maxShortStep bound by how much an observation may differ from the long
	// average, as a logarithm, for it and for the short one. firstObservations is the number of
	// observations before these bounds hold.
	maxLongStep       = 0.3
	maxShortStep      = 1.7
	firstObservations = 5
	// doubt is the number of observations at which half of a measured difference counts.
	doubt = 1
	// clearStep is the difference, as a logarithm, from which on the short average is taken for
	// a temporary change and not for noise. Below it, the short average counts as much as one of
	// noiseDoubt observations more than it has.
	clearStep  = 0.7
	noiseDoubt = 16
	// minKnownWeight is the number of observations from which on an endpoint counts for the
	// levels and for the spread, and minKnownEndpoints the number of such endpoints.
	minKnownWeight    = 6
	minKnownEndpoints = 3
	// minSpread is the factor between the fastest and the slowest known endpoints from which on a
	// service is uneven, and keptSpread that from which on it stays so. Smaller differences are
	// left to the estimate of the endpoint's load.
	minSpread  = 1.6
	keptSpread = 1.4
	// spreadRank is the number of endpoints at each end that the spread leaves out, for outliers.
	spreadRank = 1
	// refreshInterval is the least time between two calculations of the levels.
	refreshInterval = 250 * time.Millisecond
	// minFactor and maxFactor bound the factor of an endpoint.
	minFactor = 0.1
	maxFactor = 20
)

// kindWeights are the weights of an observation of each kind. The time to the first event also
// depends on what the engine does besides, and on what it has cached.
var kindWeights = [Kinds]float64{
	EventGap: 1,
	Prefill:  0.3,
	Plain:    0.5,
}

// Service holds the estimates of the endpoints of a service.
type Service struct {
	endpoints   []*Endpoint
	levels      [Kinds]level
	isUneven    bool
	refreshedAt time.Time
}

// level is the median of the long averages of a kind of work, as a logarithm.
type level struct {
	value   float64
	isKnown bool
}

// NewService returns a service without endpoints.
func NewService() *Service { return &Service{} }

// Add adds an endpoint, about which nothing is known.
func (s *Service) Add() *Endpoint {
	e := &Endpoint{service: s}
	s.endpoints = append(s.endpoints, e)
	return e
}

// Remove removes an endpoint.
func (s *Service) Remove(e *Endpoint) {
	s.endpoints = slices.DeleteFunc(s.endpoints, func(other *Endpoint) bool { return other == e })
	s.refreshedAt = time.Time{}
}

// IsUneven reports whether the endpoints clearly differ in speed. While they do not, their
// factors are not to be used.
func (s *Service) IsUneven(now time.Time) bool {
	s.refresh(now)
	return s.isUneven
}

// Level returns the usual factor on the nominal time of a kind of work at the median endpoint. It
// reports false if too few endpoints are known.
func (s *Service) Level(now time.Time, kind Kind) (float64, bool) {
	s.refresh(now)
	return math.Exp(s.levels[kind].value), s.levels[kind].isKnown
}

// refresh calculates the levels and whether the service is uneven.
func (s *Service) refresh(now time.Time) {
	if !s.refreshedAt.IsZero() && now.Sub(s.refreshedAt) < refreshInterval {
		return
	}
	s.refreshedAt = now
	values := make([]float64, 0, len(s.endpoints))
	for kind := range Kinds {
		values = values[:0]
		for _, e := range s.endpoints {
			if long := &e.kinds[kind].long; long.weightAt(now) >= minKnownWeight {
				values = append(values, long.mean)
			}
		}
		if len(values) >= minKnownEndpoints {
			slices.Sort(values)
			s.levels[kind] = level{
				value:   values[len(values)/2],
				isKnown: true,
			}
		}
	}
	values = values[:0]
	for _, e := range s.endpoints {
		if value, weight := e.estimate(now); weight >= minKnownWeight {
			values = append(values, value)
		}
	}
	if len(values) < minKnownEndpoints {
		s.isUneven = false
		return
	}
	slices.Sort(values)
	left := min(spreadRank, (len(values)-minKnownEndpoints)/2)
	required := minSpread
	if s.isUneven {
		required = keptSpread
	}
	s.isUneven = values[len(values)-1-left]-values[left] >= math.Log(required)
}

// Endpoint is the estimate of one endpoint's speed.
type Endpoint struct {
	service *Service
	kinds   [Kinds]work
	pace    pace
}

// work holds the observations of a kind of work.
type work struct {
	short, long average
	// first holds the first observations, and begun is their number.
	first [firstObservations]float64
	begun int
}

// Observe records a measured time of work that takes the nominal time at a machine of usual speed.
// It returns the observation for other hosts, and false if the times are not positive.
func (e *Endpoint) Observe(now time.Time, kind Kind, measured, nominal time.Duration) (Observation, bool) {
	if measured <= 0 || nominal <= 0 || kind >= Kinds {
		return Observation{}, false
	}
	o := Observation{
		Kind:     kind,
		Count:    1,
		LogRatio: math.Log(float64(measured) / float64(nominal)),
	}
	e.pace.observe(o.LogRatio - e.kinds[kind].long.mean)
	e.Apply(now, o)
	return o, true
}

// Apply records observations, possibly of another host.
func (e *Endpoint) Apply(now time.Time, o Observation) {
	if o.Kind >= Kinds || o.Count <= 0 || math.IsNaN(o.LogRatio) {
		return
	}
	value := min(max(o.LogRatio, -maxLogRatio), maxLogRatio)
	count := float64(min(o.Count, maxCount))
	k := &e.kinds[o.Kind]
	if k.begun < len(k.first) {
		// The median of the first observations is the start of the averages, as any of them may
		// be an outlier.
		k.first[k.begun] = value
		k.begun++
		first := k.first
		slices.Sort(first[:k.begun])
		k.long.add(now, LongWindow, value, count)
		k.long.mean = first[k.begun/2]
		k.short.add(now, ShortWindow, k.long.mean, count)
		return
	}
	k.short.add(now, ShortWindow, near(k.long.mean, value, maxShortStep), count)
	k.long.add(now, LongWindow, near(k.long.mean, value, maxLongStep), count)
}

// near returns a value at most step from the center.
func near(center, value, step float64) float64 {
	return min(max(value, center-step), center+step)
}

// estimate returns the logarithm of the endpoint's factor relative to its service, and the weight
// of the observations behind it.
func (e *Endpoint) estimate(now time.Time) (value, weight float64) {
	for kind := range Kinds {
		level := e.service.levels[kind]
		long, short := &e.kinds[kind].long, &e.kinds[kind].short
		if !level.isKnown || long.weight == 0 {
			continue
		}
		longWeight, shortWeight := long.weightAt(now), short.weightAt(now)
		longValue := (long.mean - level.value) * longWeight / (longWeight + doubt)
		change := short.mean - level.value - longValue
		shortDoubt := float64(noiseDoubt)
		if math.Abs(change) >= clearStep {
			shortDoubt = doubt
		}
		kindValue := longValue + change*shortWeight/(shortWeight+shortDoubt)
		kindWeight := kindWeights[kind] * longWeight
		value += kindWeight * kindValue
		weight += kindWeight
	}
	if weight == 0 {
		return 0, 0
	}
	return value / weight, weight
}

// Factor returns the factor on the time of work at the endpoint relative to the median endpoint of
// its service: 2 is twice as slow. It is 1 if nothing is known. The factor is for what a call meets
// in the next seconds.
func (e *Endpoint) Factor(now time.Time) float64 {
	e.service.refresh(now)
	value, _ := e.estimate(now)
	return bounded(math.Exp(value))
}

// FactorNow returns the factor for work that begins now and ends within pacedFor: Factor, corrected
// by the pace that the endpoint reports, as far as measurements have confirmed it.
func (e *Endpoint) FactorNow(now time.Time) float64 {
	return bounded(e.Factor(now) * math.Exp(e.pace.correction(now)))
}

// Weight returns the number of recent observations behind the factor.
func (e *Endpoint) Weight(now time.Time) float64 {
	_, weight := e.estimate(now)
	return weight
}

// ReportPace records the pace that the endpoint reports, a factor on the time of work.
func (e *Endpoint) ReportPace(now time.Time, factor float64) {
	if factor > 0 && !math.IsInf(factor, 0) && !math.IsNaN(factor) {
		e.pace.report(now, math.Log(bounded(factor)))
	}
}

func bounded(factor float64) float64 { return min(max(factor, minFactor), maxFactor) }

// average is a mean whose observations lose weight exponentially with time.
type average struct {
	mean   float64
	weight float64
	at     time.Time
	window time.Duration
}

func (a *average) add(now time.Time, window time.Duration, value, count float64) {
	a.decay(now, window)
	a.weight += count
	a.mean += count / a.weight * (value - a.mean)
}

func (a *average) decay(now time.Time, window time.Duration) {
	if now.After(a.at) {
		if !a.at.IsZero() {
			a.weight *= math.Exp(-now.Sub(a.at).Seconds() / window.Seconds())
		}
		a.at = now
	}
	a.window = window
}

// weightAt returns the weight at a time, which is not before the last observation.
func (a *average) weightAt(now time.Time) float64 {
	if a.weight == 0 || !now.After(a.at) {
		return a.weight
	}
	return a.weight * math.Exp(-now.Sub(a.at).Seconds()/a.window.Seconds())
}
