package host

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"cactuswell/core/dispatch"
	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
	"cactuswell/io/caller"
	"cactuswell/io/engine"
	"cactuswell/io/service"
)

const (
	// cancelTimeout bounds the call that tells an endpoint that nobody waits.
	cancelTimeout = 2 * time.Second
	// progressInterval is the least time between two notices of an attempt's
	// progress. It is far below the least time that is taken for silence.
	progressInterval = 50 * time.Millisecond
	// maxHeldTokens bounds the tokens of an attempt that is not yet the
	// caller's answer.
	maxHeldTokens = 4096
)

// attempt is one try at a call at one endpoint. Its run method is the duty that
// speaks to the endpoint; the pool's duty tells it what to do.
type attempt struct {
	id       dispatch.AttemptID
	wireID   string
	call     *call
	pool     *pool
	endpoint endpoint.Key
	base     string
	fresh    bool

	ctx      context.Context
	cancel   context.CancelFunc
	notified atomic.Bool
	// noticedAt is when the pool was last told of progress. Only the goroutine
	// that receives tokens uses it.
	noticedAt time.Time

	mu       sync.Mutex
	adopted  bool
	from     int
	canceled bool
	// idle says that no goroutine speaks to the endpoint.
	idle     bool
	resume   bool
	cut      context.CancelFunc
	received int
	held     []string
	ending   ending
}

// ending is what a whole answer ended with.
type ending struct {
	finishReason string
	tokens       int
	contentType  string
	body         []byte
}

// EndpointRemovedError says that an attempt's endpoint has no address any more.
type EndpointRemovedError struct {
	Name string
}

// Error names the endpoint.
func (e *EndpointRemovedError) Error() string {
	return fmt.Sprintf("endpoint %s is gone", e.Name)
}

// run speaks to the endpoint until the attempt has ended, and reports how.
func (a *attempt) run() {
	defer a.pool.attempts.Done()
	a.report(a.guard(a.perform))
}

// runResumed goes on with the rest of a stream after its connection broke.
func (a *attempt) runResumed() {
	defer a.pool.attempts.Done()
	a.report(a.guard(a.performResume))
}

// report tells the pool how the attempt ended. A broken one may be resumed.
func (a *attempt) report(failure dispatch.Failure) {
	switch {
	case a.endRun():
		a.cancel()
		a.tellCanceled()
	case failure == nil:
		a.cancel()
		a.pool.post(dispatch.AttemptFinished{
			Attempt: a.id,
			Tokens:  a.end().tokens,
		})
	default:
		a.pool.post(dispatch.AttemptFailed{
			Attempt: a.id,
			Failure: failure,
		})
	}
}

// endRun notes that nothing speaks to the endpoint any more, and reports whether
// the attempt was canceled.
func (a *attempt) endRun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.idle = true
	return a.canceled
}

// guard runs perform and takes a panic for a broken attempt.
func (a *attempt) guard(perform func() dispatch.Failure) (failure dispatch.Failure) {
	defer func() {
		if value := recover(); value != nil {
			a.pool.counters.Add("attemptPanics", 1)
			_ = a.pool.logger.Log("level", "error", "event", "attemptPanicked", "attempt", a.wireID,
				"error", fmt.Sprint(value))
			failure = dispatch.Broken{}
		}
	}()
	return perform()
}

// perform runs the attempt and returns nil for a whole answer.
func (a *attempt) perform() dispatch.Failure {
	if a.base == "" {
		return dispatch.NotStarted{}
	}
	if !a.begin() {
		return dispatch.NotStarted{}
	}
	failure := a.send()
	a.takeBack(failure)
	return failure
}

// begin marks the call as started, just before the first byte may leave. It
// reports false when the call must not be sent any more.
func (a *attempt) begin() bool {
	if a.call.ticket == nil {
		return true
	}
	return a.call.ticket.MarkStarted() == nil
}

// takeBack marks the call as not started after a failure that proves it.
func (a *attempt) takeBack(failure dispatch.Failure) {
	if _, ok := failure.(dispatch.NotStarted); ok && a.call.ticket != nil {
		_ = a.call.ticket.MarkNotStarted()
	}
}

func (a *attempt) send() dispatch.Failure {
	if a.call.submission.Profile.Kind() == profile.KindService {
		return a.performCall()
	}
	return a.performChat()
}

func (a *attempt) performCall() dispatch.Failure {
	answer, err := a.pool.clients.service.Call(a.ctx, service.Call{
		AttemptID:      a.wireID,
		BaseURL:        a.base,
		Operation:      a.call.submission.Operation,
		Tier:           int(a.call.submission.Profile.Tier()),
		IdempotencyKey: a.call.submission.IdempotencyKey,
		Body:           a.call.submission.Body,
		NewConnection:  a.fresh,
	})
	if err != nil {
		return a.failureOf(err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ending = ending{
		contentType: answer.ContentType,
		body:        answer.Body,
	}
	return nil
}

func (a *attempt) performChat() dispatch.Failure {
	stream, err := a.pool.clients.engine.Start(a.newConnection(), engine.Call{
		AttemptID:     a.wireID,
		BaseURL:       a.base,
		Tier:          int(a.call.submission.Profile.Tier()),
		Body:          a.call.submission.Body,
		NewConnection: a.fresh,
	})
	return a.follow(stream, err)
}

// performResume asks for the rest of the stream over a new connection.
func (a *attempt) performResume() dispatch.Failure {
	stream, err := a.pool.clients.engine.Resume(a.newConnection(), a.base, a.wireID, a.receivedTokens())
	return a.follow(stream, err)
}

// follow takes in a stream, and the streams that resume it, to the end.
func (a *attempt) follow(stream *engine.Stream, err error) dispatch.Failure {
	for {
		if err == nil {
			a.pool.post(dispatch.AttemptAccepted{
				Attempt: a.id,
			})
			err = a.receive(stream)
			_ = stream.Close()
		}
		if err == nil {
			return nil
		}
		if !a.wantsResume() {
			return a.failureOf(err)
		}
		stream, err = a.pool.clients.engine.Resume(a.newConnection(), a.base, a.wireID, a.receivedTokens())
	}
}

// newConnection returns the context of the next connection, which a resume
// cuts off.
func (a *attempt) newConnection() context.Context {
	ctx, cut := context.WithCancel(a.ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cut = cut
	return ctx
}

// receive takes in the stream's tokens until the last. It returns nil when the
// answer is whole.
func (a *attempt) receive(stream *engine.Stream) error {
	for {
		token, err := stream.Next()
		if err != nil {
			return err
		}
		if token.IsLast {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.ending = ending{
				finishReason: token.FinishReason,
				tokens:       token.Index,
			}
			return nil
		}
		a.take(token)
	}
}

// take hands one token to the caller, or holds it until the attempt is adopted.
func (a *attempt) take(token engine.Token) {
	a.mu.Lock()
	a.received = token.Index + 1
	switch {
	case a.canceled:
	case a.adopted && token.Index >= a.from:
		a.deliver(token.Index, token.Text)
	case !a.adopted && len(a.held) < maxHeldTokens:
		a.held = append(a.held, token.Text)
	}
	a.mu.Unlock()
	a.notifyProgress()
}

// deliver must be called with the lock held. A caller who is so slow that the
// answer's ring is full gets an explicit end instead of a gap.
func (a *attempt) deliver(index int, text string) {
	if a.canceled {
		return
	}
	if a.call.answer.Push(caller.TextPart{Text: text}) {
		a.call.delivered.Store(int64(index) + 1)
		return
	}
	a.canceled = true
	a.call.answer.End(caller.ProblemPart{
		Problem: caller.SlowCaller(),
	})
	a.pool.counters.Add("slowCallersCut", 1)
	a.pool.events.TryPush(dispatch.RequestCanceled{
		Request: a.id.Request,
	})
}

// notifyProgress tells the pool how far the attempt is, unless it was told within
// the progress interval or the last notice has not been read yet. The first token
// is always told at once.
func (a *attempt) notifyProgress() {
	now := a.pool.timers.Now()
	if now.Sub(a.noticedAt) < progressInterval {
		return
	}
	if a.notified.CompareAndSwap(false, true) {
		a.noticedAt = now
		a.pool.post(progressNotice{
			attempt: a,
		})
	}
}

// adopt makes the attempt the caller's answer from token from on, without the
// tokens that an earlier attempt delivered after its last progress was read.
func (a *attempt) adopt(from int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.adopted || a.canceled {
		return
	}
	a.adopted = true
	a.from = max(from, int(a.call.delivered.Load()))
	for index, text := range a.held {
		if index >= a.from {
			a.deliver(index, text)
		}
	}
	a.held = nil
}

// resumeStream makes the attempt go on over a new connection.
func (a *attempt) resumeStream() {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.canceled:
	case a.idle:
		a.idle = false
		a.pool.attempts.Add(1)
		go a.runResumed()
	default:
		a.resume = true
		if a.cut != nil {
			a.cut()
		}
	}
}

// speaks reports whether a goroutine speaks to the endpoint.
func (a *attempt) speaks() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.idle
}

func (a *attempt) wantsResume() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	wanted := a.resume && !a.canceled
	a.resume = false
	return wanted
}

// stop ends the attempt; nothing that still arrives reaches the caller.
func (a *attempt) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.idle && !a.canceled {
		a.idle = false
		a.pool.attempts.Add(1)
		go a.runCancel()
	}
	a.canceled = true
	a.cancel()
}

// runCancel tells the endpoint that nobody waits for an attempt whose connection
// broke before.
func (a *attempt) runCancel() {
	defer a.pool.attempts.Done()
	a.tellCanceled()
}

func (a *attempt) receivedTokens() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.received
}

func (a *attempt) end() ending {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ending
}

// tellCanceled tells the endpoint that nobody waits. The endpoint stops of
// itself later if the word does not reach it.
func (a *attempt) tellCanceled() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.ctx), cancelTimeout)
	defer cancel()
	if _, err := a.pool.clients.engine.Cancel(ctx, a.base, a.wireID); err != nil {
		a.pool.counters.Add("cancelsFailed", 1)
	}
}

// failureOf returns what an error of the endpoint's client means to the
// decisions.
func (a *attempt) failureOf(err error) dispatch.Failure {
	var notStarted *engine.NotStartedError
	var status *engine.StatusError
	var mismatch *engine.AttemptMismatchError
	var unknown *engine.UnknownAttemptError
	_ = a.pool.logger.Log("level", "warn", "event", "attemptFailed", "attempt", a.wireID,
		"endpoint", a.endpoint.Name, "error", err.Error())
	switch {
	case errors.As(err, &notStarted):
		return dispatch.NotStarted{
			RetryAfter: notStarted.RetryAfter,
		}
	case errors.As(err, &unknown):
		return dispatch.UnknownAttempt{}
	case errors.As(err, &mismatch):
		a.pool.counters.Add("answersMismatched", 1)
		return dispatch.Mismatched{}
	case errors.As(err, &status):
		return dispatch.Errored{
			Status:    status.Status,
			Permanent: status.IsPermanent(),
		}
	}
	return dispatch.Broken{}
}
