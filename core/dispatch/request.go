package dispatch

import (
	"time"

	"cactuswell/core/admission"
	"cactuswell/core/endpoint"
	"cactuswell/core/heap"
	"cactuswell/core/profile"
)

// phase is the state of a request.
type phase int

const (
	phaseQueued phase = iota
	phaseRunning
	phaseBackoff
)

const (
	// maxRunningAttempts bounds the concurrent attempts at one request.
	maxRunningAttempts = 2
	// maxAvoidedEndpoints bounds the endpoints that a request's retries avoid.
	maxAvoidedEndpoints = 4
)

// request is a request for which no final command was issued yet.
type request struct {
	entry admission.Entry
	spec  Request
	phase phase
	// atMostOnce marks a request of which at most one attempt may run.
	atMostOnce bool
	arrived    time.Time
	// targetDeadline is when the latency target is missed, waitDeadline when the
	// request has been queued for too long, and runDeadline when it is refused
	// in any case.
	targetDeadline time.Time
	waitDeadline   time.Time
	// failedAt is when the last attempt failed while no other one was running.
	failedAt        time.Time
	runDeadline     time.Time
	attempts        [maxRunningAttempts]*attempt
	running         int
	attemptsStarted uint32
	// attemptsNotRun is the number of attempts that ended and certainly did not run.
	attemptsNotRun uint32
	retries        int
	// budgetReserved is set while the request holds an attempt of the retry
	// budget that was not started yet.
	budgetReserved bool
	// hedgeTried is set once a hedge was tried; there is no second one.
	hedgeTried bool
	// delivered is the number of tokens delivered to the caller by the adopted
	// attempt and by attempts adopted before it.
	delivered  int
	adopted    uint32
	avoid      [maxAvoidedEndpoints]endpoint.Key
	avoidCount int
	// failureReason is the refusal reason for the last failed attempt.
	failureReason RefuseReason

	timerAt    time.Time
	timerIndex int
}

func (r *request) reset(spec Request) {
	*r = request{
		spec:       spec,
		timerIndex: heap.NoIndex,
	}
}

// mayHaveRun reports whether an attempt of the request may have run. That is so until it has ended as
// one that did not.
func (r *request) mayHaveRun() bool { return r.attemptsNotRun < r.attemptsStarted }

// runningAttempt returns the running attempt with that number, or nil.
func (r *request) runningAttempt(number uint32) *attempt {
	for _, a := range r.attempts[:r.running] {
		if a.id.Number == number {
			return a
		}
	}
	return nil
}

func (r *request) addAttempt(a *attempt) {
	r.attempts[r.running] = a
	r.running++
}

func (r *request) removeAttempt(a *attempt) {
	for i := range r.running {
		if r.attempts[i] != a {
			continue
		}
		r.running--
		r.attempts[i] = r.attempts[r.running]
		r.attempts[r.running] = nil
		return
	}
}

// avoidEndpoint records an endpoint that further attempts avoid. If the list is
// full, the oldest entry is dropped.
func (r *request) avoidEndpoint(key endpoint.Key) {
	for _, avoided := range r.avoid[:r.avoidCount] {
		if avoided == key {
			return
		}
	}
	if r.avoidCount == maxAvoidedEndpoints {
		copy(r.avoid[:], r.avoid[1:])
		r.avoidCount--
	}
	r.avoid[r.avoidCount] = key
	r.avoidCount++
}

// retryDeadline returns the time after which no further attempt is started: the
// later of the target deadline and the wait deadline. Once part of the answer
// was delivered, it is the wait limit counted from the failure, or in the top
// tier the run deadline, because requests of lower tiers may have exhausted the
// retry budget.
func (r *request) retryDeadline() time.Time {
	if r.delivered > 0 {
		deadline := r.failedAt.Add(r.spec.Profile.WaitLimit())
		if r.failedAt.IsZero() || r.entry.Tier == profile.TierUrgent || deadline.After(r.runDeadline) {
			return r.runDeadline
		}
		return deadline
	}
	if r.targetDeadline.After(r.waitDeadline) {
		return r.targetDeadline
	}
	return r.waitDeadline
}

// maxTokens returns the maximum length of the answer, or zero for no limit.
func (r *request) maxTokens() int {
	if r.spec.MaxTokens > 0 {
		return r.spec.MaxTokens
	}
	return r.spec.Profile.MaxTokens()
}

func timerEarlier(a, b *request) bool {
	if !a.timerAt.Equal(b.timerAt) {
		return a.timerAt.Before(b.timerAt)
	}
	return a.spec.ID < b.spec.ID
}

func setTimerIndex(r *request, index int) { r.timerIndex = index }
