package dispatch

import (
	"time"

	"cactuswell/core/admission"
	"cactuswell/core/endpoint"
	"cactuswell/core/heap"
	"cactuswell/core/profile"
)

// phase says what a request waits for.
type phase int

const (
	phaseQueued phase = iota
	phaseRunning
	phaseBackoff
)

const (
	// maxLive bounds the attempts of one request that run at once.
	maxLive = 2
	// maxAvoid bounds the endpoints that a request remembers to avoid.
	maxAvoid = 4
)

// request is a request that has no final command yet.
type request struct {
	entry admission.Entry
	spec  Request
	phase phase
	// once marks a request of which at most one attempt may ever run.
	once    bool
	arrived time.Time
	// target is when the latency target is missed; startBy when the wait limit
	// is over; endBy when the request is given up whatever it does.
	target  time.Time
	startBy time.Time
	// brokenAt is when the last attempt failed with no other one running.
	brokenAt time.Time
	endBy    time.Time
	live     [maxLive]*attempt
	running  int
	numbers  uint32
	retries  int
	// mayHaveRun says that an attempt that ended may have run.
	mayHaveRun bool
	// reserved says that the retry budget holds an attempt for the request.
	reserved bool
	// hedgeTried says that no hedge is to be tried again.
	hedgeTried bool
	// delivered is the number of tokens given to the caller, by the adopted
	// attempt and those before it.
	delivered int
	adopted   uint32
	avoid     [maxAvoid]endpoint.Key
	avoided   int
	// failure is why the last attempt failed.
	failure RefuseReason

	timerAt    time.Time
	timerIndex int
}

func (r *request) reset(spec Request) {
	*r = request{
		spec:       spec,
		timerIndex: heap.NoIndex,
	}
}

// attempt returns the running attempt of that number, or nil.
func (r *request) attempt(number uint32) *attempt {
	for _, a := range r.live[:r.running] {
		if a.id.Number == number {
			return a
		}
	}
	return nil
}

func (r *request) addAttempt(a *attempt) {
	r.live[r.running] = a
	r.running++
}

func (r *request) removeAttempt(a *attempt) {
	for i := range r.running {
		if r.live[i] != a {
			continue
		}
		r.running--
		r.live[i] = r.live[r.running]
		r.live[r.running] = nil
		return
	}
}

// avoidEndpoint remembers an endpoint that failed the request; of too many the
// oldest is forgotten.
func (r *request) avoidEndpoint(key endpoint.Key) {
	for _, known := range r.avoid[:r.avoided] {
		if known == key {
			return
		}
	}
	if r.avoided == maxAvoid {
		copy(r.avoid[:], r.avoid[1:])
		r.avoided--
	}
	r.avoid[r.avoided] = key
	r.avoided++
}

// retryBy returns the time after which no further attempt is begun. A caller
// that has part of an answer waits for its rest as long as it would have waited
// for a start, and in the top tier until its time limit, since the retry budget
// may have been used up by lower work.
func (r *request) retryBy() time.Time {
	if r.delivered > 0 {
		rest := r.brokenAt.Add(r.spec.Profile.WaitLimit())
		if r.brokenAt.IsZero() || r.entry.Tier == profile.TierUrgent || rest.After(r.endBy) {
			return r.endBy
		}
		return rest
	}
	if r.target.After(r.startBy) {
		return r.target
	}
	return r.startBy
}

// maxTokens returns the bound on the answer's length, or zero for none.
func (r *request) maxTokens() int {
	if r.spec.MaxTokens > 0 {
		return r.spec.MaxTokens
	}
	return r.spec.Profile.MaxTokens()
}

func requestEarlier(a, b *request) bool {
	if !a.timerAt.Equal(b.timerAt) {
		return a.timerAt.Before(b.timerAt)
	}
	return a.spec.ID < b.spec.ID
}

func placeRequest(r *request, index int) { r.timerIndex = index }
