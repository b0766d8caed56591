package simulation

import (
	"time"

	"cactuswell/core/scheduling"
)

// EndpointLimit makes endpoints name a limit of requests a second in their answers for a
// period: engines, or servers of the plain service, from the one with the index First on.
type EndpointLimit struct {
	OfServers bool
	First     int
	Count     int
	PerSecond float64
	// Brittle makes them say in place of a limit that they are brittle: they let no call wait,
	// and one that declines more than MaxDeclines calls within a second falls over.
	Brittle     bool
	MaxDeclines int
	Start       time.Duration
	Duration    time.Duration
}

// brittleNoticeTime is the time after which endpoints that have become brittle let no call
// wait.
const brittleNoticeTime = 3 * time.Second

// limitNoticeTime is the time after a host was told the limit from which its requests count
// against it.
const limitNoticeTime = 500 * time.Millisecond

// limiter is the part of an endpoint that names a limit and counts the requests.
type limiter struct {
	limit scheduling.Limit
	// toldAt holds when each host was first told the limit, by its index.
	toldAt map[int]time.Time
	// arrivals holds the times of the requests from hosts that had been told, and all those
	// of all requests since the limit was named.
	arrivals []time.Duration
	all      []time.Duration
	// strictAt is when a brittle endpoint begins to let no call wait. declines holds the times
	// of its last declines, and falls counts how often it fell over.
	strictAt time.Time
	declines []time.Time
	falls    int
}

// LimitedEndpoint is the record of an endpoint that named a limit.
type LimitedEndpoint struct {
	PerSecond float64
	// Arrivals holds the times of the requests from hosts that had been told the limit, and
	// All those of all requests while it was named.
	Arrivals []time.Duration
	All      []time.Duration
	// Falls is the number of times that it fell over.
	Falls int
}

// MostIn returns the largest number of requests from hosts that had been told within a window
// that begins at or after a time.
func (e LimitedEndpoint) MostIn(window, from time.Duration) int {
	most := 0
	for i, first := range e.Arrivals {
		if first < from {
			continue
		}
		count := 0
		for _, at := range e.Arrivals[i:] {
			if at < first+window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

func (f *fleet) scheduleLimit(limit EndpointLimit) {
	f.scheduleAfter(limit.Start, func() {
		for _, l := range f.limiters(limit) {
			l.limit = scheduling.Limit{
				IsNamed:     !limit.Brittle,
				PerSecond:   limit.PerSecond,
				IsBrittle:   limit.Brittle,
				MaxDeclines: limit.MaxDeclines,
			}
			l.strictAt = f.now.Add(brittleNoticeTime)
			l.toldAt = make(map[int]time.Time)
		}
	})
	f.scheduleAfter(limit.Start+limit.Duration, func() {
		for _, l := range f.limiters(limit) {
			f.limited = append(f.limited, LimitedEndpoint{
				PerSecond: limit.PerSecond,
				Arrivals:  l.arrivals,
				All:       l.all,
				Falls:     l.falls,
			})
			*l = limiter{}
		}
	})
}

func (f *fleet) limiters(limit EndpointLimit) []*limiter {
	var limiters []*limiter
	for i := limit.First; i < limit.First+limit.Count; i++ {
		if limit.OfServers {
			limiters = append(limiters, &f.servers[i].limiter)
			continue
		}
		limiters = append(limiters, &f.engines[i].limiter)
	}
	return limiters
}

// recordArrival counts a request.
func (l *limiter) recordArrival(a *attempt) {
	if !l.limit.IsNamed && !l.limit.IsBrittle {
		return
	}
	now := a.caller.fleet.now
	l.all = append(l.all, now.Sub(epoch))
	if told, ok := l.toldAt[a.host.index]; ok && now.Sub(told) >= limitNoticeTime {
		l.arrivals = append(l.arrivals, now.Sub(epoch))
	}
}

// isStrict reports whether a brittle endpoint lets no call wait.
func (l *limiter) isStrict(now time.Time) bool {
	return l.limit.IsBrittle && !now.Before(l.strictAt)
}

// decline records that a brittle endpoint declines a call, and reports whether it falls over.
func (l *limiter) decline(now time.Time) (falls bool) {
	l.declines = append(l.declines, now)
	for now.Sub(l.declines[0]) >= time.Second {
		l.declines = l.declines[1:]
	}
	if len(l.declines) <= l.limit.MaxDeclines {
		return false
	}
	l.declines = nil
	l.falls++
	return true
}

// tell returns the limit for an answer to a host.
func (l *limiter) tell(a *attempt) scheduling.Limit {
	if _, ok := l.toldAt[a.host.index]; (l.limit.IsNamed || l.limit.IsBrittle) && !ok {
		l.toldAt[a.host.index] = a.caller.fleet.now
	}
	return l.limit
}
