package experiment

import (
	"math"
	"slices"
	"time"

	"cactuswell/core/dispatch"
	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
)

const (
	// baselineMaxAttempts limits the attempts of one request.
	baselineMaxAttempts = 3
	// baselineProgressTimeout is how long an attempt may make no progress before a
	// baseline cancels it.
	baselineProgressTimeout = 10 * time.Second
	// baselineSweepInterval is the time between two checks for stalled attempts.
	baselineSweepInterval = time.Second
	// baselineDefaultSlots is assumed for an endpoint that has not reported its
	// slots.
	baselineDefaultSlots = 4
)

// baselineSettings selects the behavior of a baseline.
type baselineSettings struct {
	// limitsConcurrency limits the attempts of this host at each endpoint to the
	// endpoint's slots divided by the number of hosts, and queues the other requests.
	// Without it every request is sent immediately.
	limitsConcurrency bool
	// prefersLeastOutstanding chooses the endpoint with the fewest attempts of this
	// host instead of using round robin.
	prefersLeastOutstanding bool
	// ordersQueueByTier dispatches queued requests of more urgent tiers first.
	ordersQueueByTier bool
	// sendsTier sends the request's tier to the endpoint.
	sendsTier bool
}

// baselineDispatcher is a simple dispatcher for comparison. It makes up to
// baselineMaxAttempts attempts for a request, but retries a non-idempotent request
// only if the endpoint certainly did not start it. It cancels attempts without
// progress, and refuses a request only when it may not be retried.
type baselineDispatcher struct {
	settings     baselineSettings
	endpoints    []*baselineEndpoint
	hosts        int
	nextEndpoint int
	queue        []*baselineRequest
	open         map[dispatch.RequestID]*baselineRequest
	// openByArrival lists the open requests in order of arrival, and done ones until
	// the next sweep.
	openByArrival []*baselineRequest
	lastSweep     time.Time
}

type baselineEndpoint struct {
	key         endpoint.Key
	leaving     bool
	outstanding int
	slots       int
}

type baselineRequest struct {
	request         dispatch.Request
	attempts        uint32
	endpoint        *baselineEndpoint
	progressAt      time.Time
	deliveredTokens int
	done            bool
}

func newBaselineDispatcher(settings baselineSettings) *baselineDispatcher {
	return &baselineDispatcher{
		settings: settings,
		hosts:    1,
		open:     make(map[dispatch.RequestID]*baselineRequest),
	}
}

// Step handles one event and appends the resulting commands to commands.
func (b *baselineDispatcher) Step(now time.Time, event dispatch.Event, commands []dispatch.Command) []dispatch.Command {
	switch event := event.(type) {
	case dispatch.RequestArrived:
		b.handleArrival(event.Request)
	case dispatch.RequestCanceled:
		commands = b.cancelRequest(event.Request, commands)
	case dispatch.AttemptProgressed:
		commands = b.recordProgress(now, event.Attempt, event.Tokens, commands)
	case dispatch.AttemptFinished:
		commands = b.completeRequest(now, event, commands)
	case dispatch.AttemptFailed:
		commands = b.handleFailure(event, commands)
	case dispatch.EndpointAdded:
		b.endpoints = append(b.endpoints, &baselineEndpoint{
			key:   event.Descriptor.Key,
			slots: baselineDefaultSlots,
		})
	case dispatch.EndpointLeaving:
		b.findEndpoint(event.Key).leaving = true
	case dispatch.EndpointRemoved:
		b.findEndpoint(event.Key).leaving = true
	case dispatch.LoadReported:
		b.findEndpoint(event.Report.Key).slots = event.Report.Slots
	case dispatch.HostCountChanged:
		b.hosts = event.Hosts
	case dispatch.Tick:
		commands = b.cancelStalled(now, commands)
	}
	return b.dispatchWaiting(now, commands)
}

// NextWake returns the time of the next check for stalled attempts, and whether
// there are open requests.
func (b *baselineDispatcher) NextWake() (time.Time, bool) {
	return b.lastSweep.Add(baselineSweepInterval), len(b.open) > 0
}

func (b *baselineDispatcher) findEndpoint(key endpoint.Key) *baselineEndpoint {
	for _, e := range b.endpoints {
		if e.key == key {
			return e
		}
	}
	return &baselineEndpoint{}
}

func (b *baselineDispatcher) handleArrival(request dispatch.Request) {
	r := &baselineRequest{
		request: request,
	}
	b.open[request.ID] = r
	b.openByArrival = append(b.openByArrival, r)
	b.enqueue(r)
}

func (b *baselineDispatcher) enqueue(r *baselineRequest) {
	b.queue = append(b.queue, r)
}

// dispatchWaiting starts attempts for queued requests while an endpoint can take
// more.
func (b *baselineDispatcher) dispatchWaiting(now time.Time, commands []dispatch.Command) []dispatch.Command {
	for len(b.queue) > 0 {
		e := b.chooseEndpoint()
		if e == nil {
			return commands
		}
		i := b.nextQueued()
		r := b.queue[i]
		b.queue = slices.Delete(b.queue, i, i+1)
		if r.done {
			continue
		}
		r.attempts++
		r.endpoint = e
		r.progressAt = now
		e.outstanding++
		tier := profile.TierStandard
		if b.settings.sendsTier {
			tier = r.request.Profile.Tier()
		}
		commands = append(commands, dispatch.StartAttempt{
			Attempt:       r.attemptID(),
			Endpoint:      e.key,
			Tier:          tier,
			NewConnection: r.request.AtMostOnce,
		})
	}
	return commands
}

func (r *baselineRequest) attemptID() dispatch.AttemptID {
	return dispatch.AttemptID{
		Request: r.request.ID,
		Number:  r.attempts,
	}
}

// nextQueued returns the index of the queued request to dispatch next.
func (b *baselineDispatcher) nextQueued() int {
	if !b.settings.ordersQueueByTier {
		return 0
	}
	best := 0
	for i, r := range b.queue {
		if r.request.Profile.Tier() < b.queue[best].request.Profile.Tier() {
			best = i
			if r.request.Profile.Tier() == profile.TierUrgent {
				break
			}
		}
	}
	return best
}

func (b *baselineDispatcher) chooseEndpoint() *baselineEndpoint {
	var best *baselineEndpoint
	for i := range b.endpoints {
		e := b.endpoints[(b.nextEndpoint+i)%len(b.endpoints)]
		if e.leaving || b.settings.limitsConcurrency && e.outstanding >= b.concurrencyLimit(e) {
			continue
		}
		if best == nil || b.settings.prefersLeastOutstanding && e.outstanding < best.outstanding {
			best = e
		}
	}
	if best != nil {
		b.nextEndpoint = (slices.Index(b.endpoints, best) + 1) % len(b.endpoints)
	}
	return best
}

func (b *baselineDispatcher) concurrencyLimit(e *baselineEndpoint) int {
	return int(math.Ceil(float64(e.slots) / float64(b.hosts)))
}

// requestOfAttempt returns the request whose current attempt has the given id, or
// nil.
func (b *baselineDispatcher) requestOfAttempt(id dispatch.AttemptID) *baselineRequest {
	r := b.open[id.Request]
	if r == nil || r.endpoint == nil || r.attempts != id.Number {
		return nil
	}
	return r
}

func (b *baselineDispatcher) releaseEndpoint(r *baselineRequest) {
	if r.endpoint != nil {
		r.endpoint.outstanding--
		r.endpoint = nil
	}
}

func (b *baselineDispatcher) closeRequest(r *baselineRequest) {
	b.releaseEndpoint(r)
	r.done = true
	delete(b.open, r.request.ID)
}

func (b *baselineDispatcher) cancelRequest(id dispatch.RequestID, commands []dispatch.Command) []dispatch.Command {
	r := b.open[id]
	if r == nil {
		return commands
	}
	if r.endpoint != nil {
		commands = append(commands, dispatch.CancelAttempt{
			Attempt:  r.attemptID(),
			Endpoint: r.endpoint.key,
			Reason:   dispatch.CancelCallerCanceled,
		})
	}
	b.closeRequest(r)
	return commands
}

func (b *baselineDispatcher) recordProgress(now time.Time, id dispatch.AttemptID, tokens int, commands []dispatch.Command) []dispatch.Command {
	r := b.requestOfAttempt(id)
	if r == nil {
		return commands
	}
	r.progressAt = now
	if tokens > r.deliveredTokens {
		commands = append(commands, dispatch.AdoptAttempt{
			Attempt: id,
			From:    r.deliveredTokens,
		})
		r.deliveredTokens = tokens
	}
	return commands
}

func (b *baselineDispatcher) completeRequest(now time.Time, event dispatch.AttemptFinished, commands []dispatch.Command) []dispatch.Command {
	r := b.requestOfAttempt(event.Attempt)
	if r == nil {
		return commands
	}
	commands = b.recordProgress(now, event.Attempt, event.Tokens, commands)
	b.closeRequest(r)
	return append(commands, dispatch.CompleteRequest{
		Request: r.request.ID,
		Attempt: event.Attempt,
	})
}

func (b *baselineDispatcher) handleFailure(event dispatch.AttemptFailed, commands []dispatch.Command) []dispatch.Command {
	r := b.requestOfAttempt(event.Attempt)
	if r == nil {
		return commands
	}
	_, notStarted := event.Failure.(dispatch.NotStarted)
	return b.retryOrRefuse(r, notStarted, commands)
}

// retryOrRefuse queues a request whose attempt failed again if it may be retried, and
// refuses it otherwise.
func (b *baselineDispatcher) retryOrRefuse(r *baselineRequest, notStarted bool, commands []dispatch.Command) []dispatch.Command {
	b.releaseEndpoint(r)
	retryable := notStarted || !r.request.AtMostOnce
	if retryable && r.attempts < baselineMaxAttempts {
		b.enqueue(r)
		return commands
	}
	b.closeRequest(r)
	return append(commands, dispatch.RefuseRequest{
		Request:   r.request.ID,
		Reason:    dispatch.RefuseAttemptsExhausted,
		Execution: dispatch.MayHaveRun,
	})
}

// cancelStalled cancels attempts without progress and retries or refuses their
// requests.
func (b *baselineDispatcher) cancelStalled(now time.Time, commands []dispatch.Command) []dispatch.Command {
	if now.Sub(b.lastSweep) < baselineSweepInterval {
		return commands
	}
	b.lastSweep = now
	b.openByArrival = slices.DeleteFunc(b.openByArrival, func(r *baselineRequest) bool { return r.done })
	for _, r := range b.openByArrival {
		if r.endpoint == nil || now.Sub(r.progressAt) < b.progressTimeout(r) {
			continue
		}
		commands = append(commands, dispatch.CancelAttempt{
			Attempt:  r.attemptID(),
			Endpoint: r.endpoint.key,
			Reason:   dispatch.CancelStalled,
		})
		commands = b.retryOrRefuse(r, false, commands)
	}
	return commands
}

// progressTimeout returns how long an attempt may go without progress. An attempt
// without a first token may still be queued at the endpoint, so it gets at least the
// profile's wait limit.
func (b *baselineDispatcher) progressTimeout(r *baselineRequest) time.Duration {
	if r.deliveredTokens == 0 {
		return max(r.request.Profile.WaitLimit(), baselineProgressTimeout)
	}
	return baselineProgressTimeout
}
