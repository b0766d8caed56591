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
	// baselineAttempts bounds the attempts of one request.
	baselineAttempts = 3
	// baselineSilence is how long a baseline waits for progress.
	baselineSilence = 10 * time.Second
	// baselineSweep is the time between two looks for silent attempts.
	baselineSweep = time.Second
	// baselineSlots is assumed of an endpoint that has not reported.
	baselineSlots = 4
)

// baselineSettings tells the baselines apart.
type baselineSettings struct {
	// windows bounds the attempts at each endpoint by its slots divided by the
	// hosts, and queues what has no room. Without it all is sent at once.
	windows bool
	// leastOutstanding chooses the endpoint with the fewest attempts of this
	// host; otherwise endpoints take turns.
	leastOutstanding bool
	// tiersInQueue serves more urgent tiers first.
	tiersInQueue bool
	// tiersToEndpoint passes the tier on to the endpoint.
	tiersToEndpoint bool
}

// baseline is a simple dispatcher. It retries idempotent requests and those that
// certainly did not start, up to baselineAttempts times, gives up on attempts
// without progress, and refuses nothing while it has an attempt left.
type baseline struct {
	settings  baselineSettings
	endpoints []*baselineEndpoint
	hosts     int
	turn      int
	queue     []*baselineRequest
	open      map[dispatch.RequestID]*baselineRequest
	// order lists the open requests in order of arrival.
	order   []*baselineRequest
	sweptAt time.Time
}

type baselineEndpoint struct {
	key         endpoint.Key
	leaving     bool
	outstanding int
	slots       int
}

type baselineRequest struct {
	request    dispatch.Request
	attempts   uint32
	endpoint   *baselineEndpoint
	progressAt time.Time
	given      int
	ended      bool
}

func newBaseline(settings baselineSettings) *baseline {
	return &baseline{
		settings: settings,
		hosts:    1,
		open:     make(map[dispatch.RequestID]*baselineRequest),
	}
}

// Step takes one event.
func (b *baseline) Step(now time.Time, event dispatch.Event, commands []dispatch.Command) []dispatch.Command {
	switch event := event.(type) {
	case dispatch.RequestArrived:
		b.arrive(event.Request)
	case dispatch.RequestCanceled:
		commands = b.cancel(event.Request, commands)
	case dispatch.AttemptProgressed:
		commands = b.progress(now, event.Attempt, event.Tokens, commands)
	case dispatch.AttemptFinished:
		commands = b.finish(now, event, commands)
	case dispatch.AttemptFailed:
		commands = b.fail(event, commands)
	case dispatch.EndpointAdded:
		b.endpoints = append(b.endpoints, &baselineEndpoint{
			key:   event.Descriptor.Key,
			slots: baselineSlots,
		})
	case dispatch.EndpointLeaving:
		b.find(event.Key).leaving = true
	case dispatch.EndpointRemoved:
		b.find(event.Key).leaving = true
	case dispatch.LoadReported:
		b.find(event.Report.Key).slots = event.Report.Slots
	case dispatch.HostsCounted:
		b.hosts = event.Hosts
	case dispatch.Tick:
		commands = b.sweep(now, commands)
	}
	return b.send(now, commands)
}

// NextWake returns the time of the next look for silent attempts.
func (b *baseline) NextWake() (time.Time, bool) {
	return b.sweptAt.Add(baselineSweep), len(b.open) > 0
}

func (b *baseline) find(key endpoint.Key) *baselineEndpoint {
	for _, e := range b.endpoints {
		if e.key == key {
			return e
		}
	}
	return &baselineEndpoint{}
}

func (b *baseline) arrive(request dispatch.Request) {
	r := &baselineRequest{
		request: request,
	}
	b.open[request.ID] = r
	b.order = append(b.order, r)
	b.enqueue(r)
}

func (b *baseline) enqueue(r *baselineRequest) {
	b.queue = append(b.queue, r)
}

// send gives waiting requests to endpoints that have room.
func (b *baseline) send(now time.Time, commands []dispatch.Command) []dispatch.Command {
	for len(b.queue) > 0 {
		e := b.choose()
		if e == nil {
			return commands
		}
		i := b.first()
		r := b.queue[i]
		b.queue = slices.Delete(b.queue, i, i+1)
		if r.ended {
			continue
		}
		r.attempts++
		r.endpoint = e
		r.progressAt = now
		e.outstanding++
		tier := profile.TierStandard
		if b.settings.tiersToEndpoint {
			tier = r.request.Profile.Tier()
		}
		commands = append(commands, dispatch.StartAttempt{
			Attempt:  r.attempt(),
			Endpoint: e.key,
			Tier:     tier,
			Fresh:    r.request.AtMostOnce,
		})
	}
	return commands
}

func (r *baselineRequest) attempt() dispatch.AttemptID {
	return dispatch.AttemptID{
		Request: r.request.ID,
		Number:  r.attempts,
	}
}

// first returns the index of the request whose turn it is.
func (b *baseline) first() int {
	if !b.settings.tiersInQueue {
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

func (b *baseline) choose() *baselineEndpoint {
	var best *baselineEndpoint
	for i := range b.endpoints {
		e := b.endpoints[(b.turn+i)%len(b.endpoints)]
		if e.leaving || b.settings.windows && e.outstanding >= b.window(e) {
			continue
		}
		if best == nil || b.settings.leastOutstanding && e.outstanding < best.outstanding {
			best = e
		}
	}
	if best != nil {
		b.turn = (slices.Index(b.endpoints, best) + 1) % len(b.endpoints)
	}
	return best
}

func (b *baseline) window(e *baselineEndpoint) int {
	return int(math.Ceil(float64(e.slots) / float64(b.hosts)))
}

// current returns the request whose present attempt is the given one.
func (b *baseline) current(id dispatch.AttemptID) *baselineRequest {
	r := b.open[id.Request]
	if r == nil || r.endpoint == nil || r.attempts != id.Number {
		return nil
	}
	return r
}

func (b *baseline) release(r *baselineRequest) {
	if r.endpoint != nil {
		r.endpoint.outstanding--
		r.endpoint = nil
	}
}

func (b *baseline) end(r *baselineRequest) {
	b.release(r)
	r.ended = true
	delete(b.open, r.request.ID)
}

func (b *baseline) cancel(id dispatch.RequestID, commands []dispatch.Command) []dispatch.Command {
	r := b.open[id]
	if r == nil {
		return commands
	}
	if r.endpoint != nil {
		commands = append(commands, dispatch.CancelAttempt{
			Attempt:  r.attempt(),
			Endpoint: r.endpoint.key,
			Reason:   dispatch.CancelCallerCanceled,
		})
	}
	b.end(r)
	return commands
}

func (b *baseline) progress(now time.Time, id dispatch.AttemptID, tokens int, commands []dispatch.Command) []dispatch.Command {
	r := b.current(id)
	if r == nil {
		return commands
	}
	r.progressAt = now
	if tokens > r.given {
		commands = append(commands, dispatch.AdoptAttempt{
			Attempt: id,
			From:    r.given,
		})
		r.given = tokens
	}
	return commands
}

func (b *baseline) finish(now time.Time, event dispatch.AttemptFinished, commands []dispatch.Command) []dispatch.Command {
	r := b.current(event.Attempt)
	if r == nil {
		return commands
	}
	commands = b.progress(now, event.Attempt, event.Tokens, commands)
	b.end(r)
	return append(commands, dispatch.CompleteRequest{
		Request: r.request.ID,
		Attempt: event.Attempt,
	})
}

func (b *baseline) fail(event dispatch.AttemptFailed, commands []dispatch.Command) []dispatch.Command {
	r := b.current(event.Attempt)
	if r == nil {
		return commands
	}
	_, notStarted := event.Failure.(dispatch.NotStarted)
	return b.again(r, notStarted, commands)
}

// again retries a request whose attempt failed, or refuses it.
func (b *baseline) again(r *baselineRequest, notStarted bool, commands []dispatch.Command) []dispatch.Command {
	b.release(r)
	repeatable := notStarted || !r.request.AtMostOnce
	if repeatable && r.attempts < baselineAttempts {
		b.enqueue(r)
		return commands
	}
	b.end(r)
	return append(commands, dispatch.RefuseRequest{
		Request:   r.request.ID,
		Reason:    dispatch.RefuseAttemptsExhausted,
		Execution: dispatch.MayHaveRun,
	})
}

// sweep gives up on attempts without progress.
func (b *baseline) sweep(now time.Time, commands []dispatch.Command) []dispatch.Command {
	if now.Sub(b.sweptAt) < baselineSweep {
		return commands
	}
	b.sweptAt = now
	b.order = slices.DeleteFunc(b.order, func(r *baselineRequest) bool { return r.ended })
	for _, r := range b.order {
		if r.endpoint == nil || now.Sub(r.progressAt) < b.silence(r) {
			continue
		}
		commands = append(commands, dispatch.CancelAttempt{
			Attempt:  r.attempt(),
			Endpoint: r.endpoint.key,
			Reason:   dispatch.CancelSilent,
		})
		commands = b.again(r, false, commands)
	}
	return commands
}

// silence returns how long an attempt may go without progress. One without a
// first token may be waiting at the endpoint.
func (b *baseline) silence(r *baselineRequest) time.Duration {
	if r.given == 0 {
		return max(r.request.Profile.WaitLimit(), baselineSilence)
	}
	return baselineSilence
}
