// Package shutdown decides which calls a host that shuts down still passes on to endpoints.
//
// It answers the load of a planned stop: calls arrive as long as the balancer sends connections, and
// later on connections that callers keep open or with bodies that are still arriving, while the
// host's time is short. A call that is not passed on can be refused, as not run, and another host
// serves it; one that is passed on and does not end in time is lost to its caller.
//
// # Usage
//
//	durations := shutdown.NewDurations()
//	durations.Record(now, "lookup", 30*time.Millisecond)
//	plan := shutdown.Plan{
//		ListensUntil: now.Add(3 * time.Second),
//		EndsAt:       now.Add(7600 * time.Millisecond),
//	}
//	if plan.Refuses(now, shutdown.Call{
//		Deadline: deadline,
//		Longest:  durations.Longest(now, "lookup"),
//	}) {
//		// The call is not passed on.
//	}
//
// Times are those of the host's clock; durations are from the moment at which a call is passed on to
// the end of its answer.
package shutdown

import "time"

// Plan is the course of a planned stop.
type Plan struct {
	// ListensUntil is when the balancer has noticed the stop and the host accepts no
	// further connections, and EndsAt when it breaks off the calls that are left.
	ListensUntil time.Time
	EndsAt       time.Time
}

// Call is a call that is about to be passed on.
type Call struct {
	// Deadline is when the call ends at the latest.
	Deadline time.Time
	// MayRepeat is set if the caller may repeat the call whatever becomes of it.
	MayRepeat bool
	// Longest is the longest time that a call of the route has taken lately, or zero if none has
	// ended.
	Longest time.Duration
}

// Refuses reports whether a call is refused as it may outlast the host. While the balancer goes on
// sending connections, a refused caller may come back to the same host, and many calls
// arrive: then only those are refused that are likely to last too long. Later, calls that
// must not be repeated are passed on only if they end in time for certain.
func (p Plan) Refuses(now time.Time, call Call) bool {
	if !call.Deadline.After(p.EndsAt) {
		return false
	}
	if now.Add(call.Longest).After(p.EndsAt) {
		return true
	}
	return !call.MayRepeat && !now.Before(p.ListensUntil)
}

// durationWindow is the time for which a duration counts at least, and half of the longest time.
const durationWindow = time.Minute

// Durations holds the longest time that calls of each route have taken lately.
type Durations struct {
	begunAt time.Time
	// current holds the durations since begunAt, and previous those of the window before.
	current, previous map[string]time.Duration
}

// NewDurations returns a Durations without calls.
func NewDurations() *Durations { return &Durations{current: make(map[string]time.Duration)} }

// Record records that a call of a route has ended.
func (d *Durations) Record(now time.Time, route string, taken time.Duration) {
	d.rotate(now)
	d.current[route] = max(d.current[route], taken)
}

// Longest returns the longest recorded time of a route.
func (d *Durations) Longest(now time.Time, route string) time.Duration {
	d.rotate(now)
	return max(d.current[route], d.previous[route])
}

// rotate begins a new window if the current one is over.
func (d *Durations) rotate(now time.Time) {
	if now.Sub(d.begunAt) < durationWindow {
		return
	}
	d.previous = d.current
	if now.Sub(d.begunAt) >= 2*durationWindow {
		d.previous = nil
	}
	d.current = make(map[string]time.Duration)
	d.begunAt = now
}
