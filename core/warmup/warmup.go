// Package warmup bounds the load of an endpoint that has just started or recovered, until its own
// answers show that it keeps up with the others.
//
// # Usage
//
//	ramp := warmup.New(now, slots)
//	ramp.RecordAnswer(now, ratio)
//	if random.Float64() < ramp.Odds(now, warmup.View{InFlight: 1, Hosts: 84, CallsPerSecond: 7}) {
//		// Send a call.
//	}
//	if ramp.IsOver(now) {
//		// The endpoint is like any other.
//	}
//
// A ramp has a window, the number of calls that all hosts together may have in flight at the
// endpoint. It begins with an eighth of the slots, and doubles every Step while the latest known
// answer was not late, which is when it took more than LateRatio times as long as at the other
// endpoints. A late answer or a refusal halves it. Hosts tell each other of answers whose time
// differs from what was reported before, so that a host which hears nothing may continue, and the windows
// of all hosts agree. An endpoint whose answers are not late has its full share within FullShare of
// its first answer.
//
// It is designed for fleets of which each host calls an endpoint only every few seconds: no host
// sees enough answers for a ramp of its own, and a call of each host at once would fill the queue
// of an endpoint that all prefer because it is empty. A Ramp reads no clock and draws no random
// numbers. It is not safe for concurrent use.
package warmup

import "time"

const (
	// Step is the least time between two doublings. It is longer than the answers of an endpoint
	// take to reach all hosts.
	Step = 400 * time.Millisecond
	// FullShare bounds the time from the first answer to the full share, and firstAnswerTime is
	// the time after which a ramp continues without any known answer, so that an endpoint is not
	// left idle because its answers are too small to be measured.
	FullShare       = 2 * time.Second
	firstAnswerTime = time.Second
	// LateRatio is the time of an answer, in times of the other endpoints, from which on it is
	// late.
	LateRatio = 2.5
	// maxDuration bounds a ramp: the time of an endpoint that stays slow is left to its estimated
	// speed.
	maxDuration = 10 * time.Second
	// startShare is the share of the slots with which a ramp begins, in three doublings from the
	// whole.
	startShare = 0.125
	// ReportDelay is the time in which a host learns of other hosts' calls.
	ReportDelay = 100 * time.Millisecond
)

// Ramp is the window of one endpoint.
type Ramp struct {
	slots   float64
	window  float64
	begunAt time.Time
	// changedAt is when the window last changed or its next doubling was postponed, and halvedAt
	// when it was last halved.
	changedAt time.Time
	halvedAt  time.Time
	// isLate is set while the latest known answer was late, and hasAnswer once one is known.
	isLate    bool
	hasAnswer bool
}

// New returns the ramp of an endpoint with the given number of slots that begins now.
func New(now time.Time, slots int) *Ramp {
	r := &Ramp{
		slots:     float64(max(slots, 1)),
		begunAt:   now,
		changedAt: now,
	}
	r.window = r.start()
	return r
}

func (r *Ramp) start() float64 { return max(startShare*r.slots, 1) }

// RecordAnswer records an answer of the endpoint to any host: its time in times of the other
// endpoints, or 1 if that is not known.
func (r *Ramp) RecordAnswer(now time.Time, ratio float64) {
	r.advance(now)
	if !r.hasAnswer {
		r.hasAnswer = true
		r.changedAt = now
	}
	r.isLate = ratio >= LateRatio
	if r.isLate {
		r.halve(now)
	}
}

// RecordDecline records that the endpoint declined a call.
func (r *Ramp) RecordDecline(now time.Time) {
	r.advance(now)
	r.halve(now)
}

// halve halves the window, at most once in a Step, since calls that were sent before the last change
// may be late as well. It postpones the next doubling in any case.
func (r *Ramp) halve(now time.Time) {
	if now.Sub(r.halvedAt) >= Step {
		r.window = max(r.window/2, r.start())
		r.halvedAt = now
	}
	r.changedAt = now
}

// advance doubles the window for each Step that has passed.
func (r *Ramp) advance(now time.Time) {
	if !r.hasAnswer && now.Sub(r.begunAt) < firstAnswerTime {
		return
	}
	if r.isLate {
		return
	}
	for r.window < r.slots && now.Sub(r.changedAt) >= Step {
		r.window *= 2
		r.changedAt = r.changedAt.Add(Step)
	}
}

// IsOver reports whether the window no longer bounds the endpoint's load.
func (r *Ramp) IsOver(now time.Time) bool {
	r.advance(now)
	return r.window >= r.slots || now.Sub(r.begunAt) >= maxDuration
}

// Window returns the number of calls that all hosts together may have in flight.
func (r *Ramp) Window(now time.Time) float64 {
	r.advance(now)
	return r.window
}

// View is what a host knows of the endpoint's load.
type View struct {
	// InFlight is the number of calls of all hosts in flight at the endpoint.
	InFlight int
	// Hosts is the number of hosts, and CallsPerSecond the rate of calls for the service at this
	// one. The others are taken to have as many.
	Hosts          int
	CallsPerSecond float64
}

// Odds returns the probability with which a host may send a call: the room in the window, in calls
// that all hosts get until they know of each other's.
func (r *Ramp) Odds(now time.Time, view View) float64 {
	room := r.Window(now) - float64(view.InFlight)
	if room <= 0 {
		return 0
	}
	calls := float64(max(view.Hosts-1, 0)) * view.CallsPerSecond * ReportDelay.Seconds()
	return min(room/max(calls, 1), 1)
}
