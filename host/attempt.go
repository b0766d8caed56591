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
	// cancelTimeout bounds the request that cancels an attempt at its endpoint.
	cancelTimeout = 2 * time.Second
	// progressInterval is the minimum time between two progress events of an
	// attempt. It is far below the shortest time after which an attempt without
	// progress counts as silent.
	progressInterval = 50 * time.Millisecond
	// maxBufferedTokens bounds the tokens that are buffered for an attempt that
	// has not been adopted as the caller's answer.
	maxBufferedTokens = 4096
)

// attempt is one execution of a call at one endpoint. Its run method communicates
// with the endpoint in a goroutine of its own; the pool's duty controls it.
type attempt struct {
	id            dispatch.AttemptID
	wireID        string
	call          *call
	pool          *pool
	endpoint      endpoint.Key
	baseURL       string
	newConnection bool

	ctx             context.Context
	cancel          context.CancelFunc
	progressPending atomic.Bool
	// progressPostedAt is when the last progress event was posted. Only the
	// goroutine that receives tokens uses it.
	progressPostedAt time.Time

	mu          sync.Mutex
	adopted     bool
	deliverFrom int
	// deliveredText is the text that the caller has of earlier attempts, which the own
	// tokens before deliverFrom must have as well, and ownText that of those.
	deliveredText tokenText
	ownText       tokenText
	canceled      bool
	// idle is set while no goroutine communicates with the endpoint.
	idle             bool
	resumeRequested  bool
	cancelConnection context.CancelFunc
	received         int
	buffered         []string
	result           attemptResult
}

// attemptResult is the result of a complete answer. A chat has no body.
type attemptResult struct {
	finishReason string
	tokens       int
	contentType  string
	body         []byte
}

// EndpointRemovedError means that the endpoint of an attempt was removed, so that its
// address is unknown.
type EndpointRemovedError struct {
	Name string
}

// Error implements error.
func (e *EndpointRemovedError) Error() string {
	return fmt.Sprintf("endpoint %s was removed", e.Name)
}

// run sends the call to the endpoint, receives the answer, and reports the end of
// the attempt.
func (a *attempt) run() {
	defer a.pool.attempts.Done()
	a.reportEnd(a.recoverPanic(a.perform))
}

// runResumed receives the rest of a stream after its connection broke.
func (a *attempt) runResumed() {
	defer a.pool.attempts.Done()
	a.reportEnd(a.recoverPanic(a.performResume))
}

// reportEnd posts to the pool whether the attempt finished or failed. A failed
// attempt keeps its context, since it may be resumed.
func (a *attempt) reportEnd(failure dispatch.Failure) {
	switch {
	case a.markIdle():
		a.cancel()
		a.cancelAtEndpoint()
	case failure == nil:
		a.cancel()
		a.pool.post(dispatch.AttemptFinished{
			Attempt: a.id,
			Tokens:  a.finalResult().tokens,
		})
	default:
		a.pool.post(dispatch.AttemptFailed{
			Attempt: a.id,
			Failure: failure,
		})
	}
}

// markIdle records that no goroutine communicates with the endpoint any more, and
// reports whether the attempt was canceled.
func (a *attempt) markIdle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.idle = true
	return a.canceled
}

// recoverPanic runs perform and turns a panic into a broken attempt.
func (a *attempt) recoverPanic(perform func() dispatch.Failure) (failure dispatch.Failure) {
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

// perform runs the attempt and returns nil if the answer is complete.
func (a *attempt) perform() dispatch.Failure {
	if a.baseURL == "" {
		return dispatch.NotStarted{}
	}
	if !a.markStarted() {
		return dispatch.NotStarted{}
	}
	failure := a.send()
	a.markNotStarted(failure)
	return failure
}

// markStarted marks the call's ticket as started, just before the first byte may
// be sent. It returns false when the call must not be sent any more.
func (a *attempt) markStarted() bool {
	if a.call.ticket == nil {
		return true
	}
	return a.call.ticket.MarkStarted() == nil
}

// markNotStarted marks the call's ticket as not started, if the failure proves
// that the call did not run.
func (a *attempt) markNotStarted(failure dispatch.Failure) {
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
	response, err := a.pool.clients.service.Call(a.ctx, service.Call{
		AttemptID:      a.wireID,
		BaseURL:        a.baseURL,
		Operation:      a.call.submission.Operation,
		Tier:           int(a.call.submission.Profile.Tier()),
		IdempotencyKey: a.call.submission.IdempotencyKey,
		Body:           a.call.submission.Body,
		NewConnection:  a.newConnection,
	})
	if err != nil {
		return a.failureOf(err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.result = attemptResult{
		contentType: response.ContentType,
		body:        response.Body,
	}
	return nil
}

func (a *attempt) performChat() dispatch.Failure {
	stream, err := a.pool.clients.engine.Start(a.connectionContext(), engine.Call{
		AttemptID:     a.wireID,
		BaseURL:       a.baseURL,
		Tier:          int(a.call.submission.Profile.Tier()),
		Body:          a.call.submission.Body,
		NewConnection: a.newConnection,
	})
	return a.receiveStream(stream, err)
}

// performResume requests the rest of the stream over a new connection.
func (a *attempt) performResume() dispatch.Failure {
	stream, err := a.pool.clients.engine.Resume(a.connectionContext(), a.baseURL, a.wireID, a.receivedTokens())
	return a.receiveStream(stream, err)
}

// receiveStream receives a stream to its end. When a resume is requested, it
// continues with a stream over a new connection.
func (a *attempt) receiveStream(stream *engine.Stream, err error) dispatch.Failure {
	for {
		if err == nil {
			a.pool.post(dispatch.AttemptAccepted{
				Attempt: a.id,
			})
			err = a.receiveTokens(stream)
			_ = stream.Close()
		}
		if err == nil {
			return nil
		}
		if !a.takeResumeRequest() {
			return a.failureOf(err)
		}
		stream, err = a.pool.clients.engine.Resume(a.connectionContext(), a.baseURL, a.wireID, a.receivedTokens())
	}
}

// connectionContext returns the context of the next connection. A request to
// resume cancels it.
func (a *attempt) connectionContext() context.Context {
	ctx, cut := context.WithCancel(a.ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelConnection = cut
	return ctx
}

// receiveTokens receives the stream's tokens until the last. It returns nil when
// the answer is complete.
func (a *attempt) receiveTokens(stream *engine.Stream) error {
	for {
		token, err := stream.Next()
		if err != nil {
			return err
		}
		if token.IsLast {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.result = attemptResult{
				finishReason: token.FinishReason,
				tokens:       token.Index,
			}
			return nil
		}
		a.handleToken(token)
	}
}

// handleToken delivers one token to the caller, or buffers it until the attempt is
// adopted.
func (a *attempt) handleToken(token engine.Token) {
	a.mu.Lock()
	a.received = token.Index + 1
	switch {
	case a.canceled:
	case a.adopted:
		a.deliver(token.Index, token.Text)
	case len(a.buffered) < maxBufferedTokens:
		a.buffered = append(a.buffered, token.Text)
	}
	a.mu.Unlock()
	a.postProgress()
}

// deliver passes one token to the caller, unless an earlier attempt has delivered it.
// If the answer's ring is full because the caller reads too slowly, or the token does
// not follow those that the caller has, it ends the answer with a problem, since
// dropping tokens would leave a gap. The lock must be held.
func (a *attempt) deliver(index int, text string) {
	switch {
	case a.canceled:
		return
	case index < a.deliverFrom:
		a.ownText.add(text)
		return
	case !a.isContinuation() || int64(index) != a.call.delivered.Load():
		a.endAnswer(caller.Refusal(dispatch.RefuseStreamTruncated, dispatch.MayHaveRun, 0))
		a.pool.counters.Add("answersDiverged", 1)
		_ = a.pool.logger.Log("level", "warn", "event", "answerDiverged", "attempt", a.wireID,
			"endpoint", a.endpoint.Name, "delivered", a.deliverFrom)
		return
	case !a.call.answer.Push(caller.TextPart{Text: text}):
		a.endAnswer(caller.SlowCaller())
		a.pool.counters.Add("slowCallersCut", 1)
		return
	}
	sent := tokenText{digest: a.call.deliveredText.Load()}
	sent.add(text)
	a.call.deliveredText.Store(sent.digest)
	a.call.delivered.Store(int64(index) + 1)
}

// isContinuation reports whether the attempt's first tokens are those that the caller
// has of earlier attempts: then the whole answer is that of this attempt. An engine
// need not give the same answer twice. The lock must be held.
func (a *attempt) isContinuation() bool { return a.ownText == a.deliveredText }

// hasDiverged reports whether the caller has got tokens of earlier attempts that this
// one does not have.
func (a *attempt) hasDiverged() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.adopted && !a.isContinuation()
}

// endAnswer ends the caller's answer with a problem, and cancels the call. The lock must
// be held.
func (a *attempt) endAnswer(problem caller.Problem) {
	a.canceled = true
	a.call.answer.End(caller.ProblemPart{
		Problem: problem,
	})
	a.pool.events.TryPush(dispatch.RequestCanceled{
		Request: a.id.Request,
	})
}

// postProgress posts a progress event to the pool, unless one was posted within
// progressInterval or the last one has not been handled yet. The first token is
// always reported immediately.
func (a *attempt) postProgress() {
	now := a.pool.timers.Now()
	if now.Sub(a.progressPostedAt) < progressInterval {
		return
	}
	if a.progressPending.CompareAndSwap(false, true) {
		a.progressPostedAt = now
		a.pool.post(progressEvent{
			attempt: a,
		})
	}
}

// adopt makes the attempt the caller's answer, starting with the token at index
// from. It skips tokens that an earlier attempt has already delivered, which can
// be more than from: the last progress event may not have been handled.
func (a *attempt) adopt(from int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.adopted || a.canceled {
		return
	}
	a.adopted = true
	a.deliverFrom = max(from, int(a.call.delivered.Load()))
	a.deliveredText = tokenText{
		tokens: a.deliverFrom,
		digest: a.call.deliveredText.Load(),
	}
	for index, text := range a.buffered {
		a.deliver(index, text)
	}
	a.buffered = nil
}

// resumeStream continues the attempt over a new connection.
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
		a.resumeRequested = true
		if a.cancelConnection != nil {
			a.cancelConnection()
		}
	}
}

// isRunning reports whether a goroutine communicates with the endpoint.
func (a *attempt) isRunning() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.idle
}

// takeResumeRequest clears a request to resume and reports whether there was one.
// It returns false for a canceled attempt.
func (a *attempt) takeResumeRequest() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	requested := a.resumeRequested && !a.canceled
	a.resumeRequested = false
	return requested
}

// stop cancels the attempt. Tokens that arrive later are not delivered to the
// caller.
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

// runCancel cancels, at the endpoint, an attempt whose connection broke before.
func (a *attempt) runCancel() {
	defer a.pool.attempts.Done()
	a.cancelAtEndpoint()
}

func (a *attempt) receivedTokens() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.received
}

func (a *attempt) finalResult() attemptResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.result
}

// cancelAtEndpoint cancels the attempt at its endpoint. If that request fails, the
// endpoint stops later by itself.
func (a *attempt) cancelAtEndpoint() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.ctx), cancelTimeout)
	defer cancel()
	if _, err := a.pool.clients.engine.Cancel(ctx, a.baseURL, a.wireID); err != nil {
		a.pool.counters.Add("cancelsFailed", 1)
	}
}

// failureOf converts an error of the endpoint's client into a failure for the
// state machines.
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
