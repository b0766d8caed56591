package opaque

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"cactuswell/core/route"
	"cactuswell/core/scheduling"
	"cactuswell/io/tcp"
	"cactuswell/io/upstream"
)

const (
	// onceIdle is the longest time that a connection may have been idle to carry
	// a call which must not run twice: an endpoint rarely falls silent in it.
	onceIdle = 250 * time.Millisecond
	// repeatableIdle is the same for calls that may be sent again.
	repeatableIdle = 3 * time.Second
	// maxBuffered is the largest answer that is read whole before it is passed
	// on, so that a broken one can be had anew from another endpoint.
	maxBuffered = 256 << 10
)

// keptAnswer is a whole answer that says that the call failed.
type keptAnswer struct {
	response *http.Response
	body     []byte
}

// UnmarkedResponseError is an answer without the mark of an endpoint.
type UnmarkedResponseError struct {
	Status int
}

// Error names the status.
func (e *UnmarkedResponseError) Error() string {
	return fmt.Sprintf("the answer with status %d bears no mark of an endpoint", e.Status)
}

// attempt is one attempt at a call.
type attempt struct {
	exchange *exchange
	conn     *upstream.Conn
	response *http.Response
	answer   ResponseInfo
	sent     time.Time
	// limit is when the endpoint counts as silent, or zero.
	limit time.Time
	err   error
}

// send sends the call to an endpoint and reports whether the call has its
// end.
func (x *exchange) send(order scheduling.Send) bool {
	x.sending = order
	x.attempts++
	if x.attempts == 1 {
		x.queued = time.Since(x.arrived)
	}
	x.tellChoice(order.Choice)
	t := &attempt{
		exchange: x,
		sent:     time.Now(),
	}
	outcome := t.run()
	x.tellOutcome(t, outcome)
	event := scheduling.AttemptEnded{
		Call:     x.id,
		Outcome:  outcome,
		Load:     t.answer.Load,
		EventGap: x.stream.usualPause(),
	}
	x.server.Scheduler.Post(event)
	switch outcome.(type) {
	case scheduling.Completed:
		x.end(ResultServed, "", t.response.StatusCode)
		return true
	case scheduling.Abandoned:
		x.end(ResultCanceled, "", 0)
		return true
	}
	return false
}

// tellChoice logs where the call goes, and why there.
func (x *exchange) tellChoice(choice scheduling.Choice) {
	line := x.line("callSent").Text("endpoint", x.sending.Key.ID).Int("born", x.sending.Key.Incarnation).
		Int("attempt", int64(x.attempts)).Millis("predictedFirst", choice.TimeToFirstEvent).Millis("reading", choice.PrefillBacklog).
		Int("cached", int64(choice.CachedTokens)).Int("fetched", int64(choice.FetchedTokens)).Text("fetchedFrom", x.sending.FetchFrom.ID).Int("running", int64(choice.Running)).Int("compared", int64(choice.ComparedEndpoints))
	if choice.LoadAge >= 0 {
		line = line.Millis("loadAge", choice.LoadAge)
	}
	line.Millis("waited", choice.QueueTime).Millis("timeLeft", time.Until(x.deadline)).Bool("repeat", x.sending.IsRetry).End()
}

// tellOutcome logs how an attempt ended.
func (x *exchange) tellOutcome(t *attempt, outcome scheduling.Outcome) {
	if _, ok := outcome.(scheduling.Completed); ok {
		return
	}
	status := 0
	if t.response != nil {
		status = t.response.StatusCode
	}
	reused := t.conn != nil && t.conn.Reused()
	x.server.Trail.Failure("attemptEnded").Text("request", x.caller.RequestID).Text("endpoint", x.sending.Key.ID).
		Int("attempt", int64(x.attempts)).Text("outcome", fmt.Sprintf("%T", outcome)[len("scheduling."):]).
		Int("status", int64(status)).Bool("notRun", t.answer.NotRun).Bool("reusedConnection", reused).
		Int("events", int64(x.stream.attemptEvents)).Millis("after", time.Since(t.sent)).Err(t.err).End()
}

// run carries the attempt out.
func (t *attempt) run() scheduling.Outcome {
	x := t.exchange
	x.stream.begin()
	x.kept = nil
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline)
	defer cancel()
	idle := onceIdle
	if x.route.Retryable() {
		idle = repeatableIdle
	}
	conn, err := x.server.Pool.Get(ctx, x.sending.Address, idle)
	if err != nil {
		t.err = err
		if x.request.Context().Err() != nil {
			return scheduling.Abandoned{}
		}
		return x.notSent()
	}
	t.conn = conn
	stop := context.AfterFunc(x.request.Context(), conn.Abort)
	defer stop()
	outcome := t.exchangeWith(conn)
	if outcome == nil {
		outcome = scheduling.Completed{}
	}
	return t.settle(outcome)
}

// notSent returns the outcome of an attempt of which nothing was sent: the
// endpoint is to blame only if there was time.
func (x *exchange) notSent() scheduling.Outcome {
	if !time.Now().Before(x.deadline) {
		return scheduling.Expired{}
	}
	return scheduling.Unreachable{}
}

// settle decides whether the connection can be kept, and puts the caller's own
// leaving before what followed from it.
func (t *attempt) settle(outcome scheduling.Outcome) scheduling.Outcome {
	if t.exchange.request.Context().Err() != nil {
		if _, ok := outcome.(scheduling.Completed); !ok {
			t.conn.Discard()
			return scheduling.Abandoned{}
		}
	}
	switch outcome.(type) {
	case scheduling.Completed, scheduling.Declined, scheduling.Misdirected, scheduling.Failed:
		t.conn.Release(t.response)
	default:
		t.conn.Discard()
	}
	return outcome
}

// exchangeWith sends the call over a connection and passes the answer on. It
// returns nil for a whole answer.
func (t *attempt) exchangeWith(conn *upstream.Conn) scheduling.Outcome {
	x := t.exchange
	if err := conn.SendRequest(t.upstreamRequest(), x.deadline); err != nil {
		t.err = err
		var failed *upstream.SendError
		if errors.As(err, &failed) && !failed.Partial {
			return x.notSent()
		}
		return scheduling.Broken{PartlyDelivered: x.committed}
	}
	t.arm(x.sending.FirstEventTimeout)
	response, err := conn.ReadResponse(x.request.Method, t.owns)
	if err != nil {
		return t.readFailed(err)
	}
	t.response = response
	return t.receive()
}

// upstreamRequest returns what goes to the endpoint.
func (t *attempt) upstreamRequest() *upstream.Request {
	x := t.exchange
	header := x.header.Clone()
	x.server.Dialect.SetAttempt(header, AttemptInfo{
		EndpointID:     x.sending.Key.ID,
		TimeLeft:       time.Until(x.deadline),
		Team:           x.team,
		Priority:       x.sending.Priority,
		IsGeneration:   x.caller.PromptTokens > 0,
		FetchAddress:   x.sending.FetchAddress,
		LastEventID:    x.stream.last,
		HasLastEventID: x.stream.hasLast,
	})
	return &upstream.Request{
		Method:  x.request.Method,
		Target:  x.request.RequestURI,
		Host:    x.request.Host,
		Header:  header,
		Body:    x.body,
		HasBody: x.request.ContentLength != 0 || x.request.Header.Get("Content-Length") != "",
	}
}

// owns reports whether an answer belongs to the call. An answer that names no
// request can only be trusted on a connection that carried no other.
func (t *attempt) owns(response *http.Response) bool {
	answer := t.exchange.server.Dialect.ParseResponse(response)
	if answer.RequestID != t.exchange.caller.RequestID && (answer.RequestID != "" || t.conn.Reused()) {
		return false
	}
	t.answer = answer
	return true
}

// arm bounds the wait for the endpoint's next bytes.
func (t *attempt) arm(limit time.Duration) {
	x := t.exchange
	t.limit = time.Time{}
	at := x.deadline
	if limit > 0 && time.Now().Add(limit).Before(at) {
		t.limit = time.Now().Add(limit)
		at = t.limit
	}
	t.conn.SetReadDeadline(at)
}

// readFailed returns the outcome of an answer that could not be read.
func (t *attempt) readFailed(err error) scheduling.Outcome {
	t.err = err
	x := t.exchange
	var stray *upstream.UnsolicitedResponseError
	switch {
	case tcp.IsTimeout(err) && !time.Now().Before(x.deadline):
		return scheduling.TimedOut{}
	case tcp.IsTimeout(err) && !t.limit.IsZero():
		return scheduling.Silent{PartlyDelivered: x.committed}
	case tcp.IsTimeout(err), tcp.IsClosedByPeer(err):
		return scheduling.Broken{PartlyDelivered: x.committed}
	case errors.As(err, &stray):
		return scheduling.Broken{
			PartlyDelivered: x.committed,
			Malformed:       true,
		}
	}
	return scheduling.Broken{
		PartlyDelivered: x.committed,
		Malformed:       true,
	}
}

// receive handles an answer whose header has arrived.
func (t *attempt) receive() scheduling.Outcome {
	status := t.response.StatusCode
	switch {
	case status == http.StatusMisdirectedRequest:
		return t.drained(scheduling.Misdirected{})
	case t.answer.NotRun:
		return t.drained(scheduling.Declined{RetryAfter: t.answer.RetryAfter})
	case status >= 200 && status < 300 && !t.answer.HasMark:
		t.err = &UnmarkedResponseError{Status: status}
		return scheduling.Broken{
			PartlyDelivered: t.exchange.committed,
			Malformed:       true,
		}
	case status >= 200 && status < 300 && t.exchange.route.Kind == route.Stream:
		return t.receiveStream()
	case status >= 200 && status < 300:
		return t.receiveWhole()
	}
	return t.receiveFailure(status)
}

// drained reads a short answer to its end, so that the connection can be kept.
func (t *attempt) drained(outcome scheduling.Outcome) scheduling.Outcome {
	n, err := io.Copy(io.Discard, io.LimitReader(t.response.Body, maxBuffered))
	if err != nil || n == maxBuffered {
		t.response.Close = true
	}
	return outcome
}

// receiveFailure keeps an answer that says that the call failed.
func (t *attempt) receiveFailure(status int) scheduling.Outcome {
	body, err := io.ReadAll(io.LimitReader(t.response.Body, maxBuffered))
	if err != nil || len(body) == maxBuffered {
		if err == nil {
			err = io.ErrShortBuffer
		}
		return t.readFailed(err)
	}
	t.exchange.kept = &keptAnswer{
		response: t.response,
		body:     body,
	}
	return scheduling.Failed{Status: status}
}

// receiveWhole passes on an answer in one piece; one that is too large for that
// goes out as it comes.
func (t *attempt) receiveWhole() scheduling.Outcome {
	x := t.exchange
	t.arm(0)
	body, err := io.ReadAll(io.LimitReader(t.response.Body, maxBuffered))
	if err != nil {
		return t.readFailed(err)
	}
	x.firstAt = time.Now()
	x.commit(t.response, len(body) < maxBuffered, len(body))
	if _, err := x.writer.Write(body); err != nil {
		t.err = err
		return scheduling.Abandoned{}
	}
	if len(body) < maxBuffered {
		return nil
	}
	if _, err := io.Copy(x.writer, t.response.Body); err != nil {
		return t.readFailed(err)
	}
	return nil
}

// promises reports whether a status tells the caller that the call was not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// deliverKept gives the caller the failed answer of the last endpoint. A status
// that would promise what the endpoint did not becomes a plain failure.
func (x *exchange) deliverKept() {
	if x.kept == nil || x.committed || promises(x.kept.response.StatusCode) {
		x.refuse(scheduling.Refuse{
			Reason:     scheduling.ReasonErrors,
			MayHaveRun: true,
		})
		return
	}
	status := x.kept.response.StatusCode
	x.end(ResultFailed, string(scheduling.ReasonErrors), status)
	x.commit(x.kept.response, true, len(x.kept.body))
	// A caller that is gone needs no answer.
	_, _ = x.writer.Write(x.kept.body)
}

// commit sends the header of an endpoint's answer to the caller. Whole says that
// the body's length is known.
func (x *exchange) commit(response *http.Response, whole bool, length int) {
	header := x.writer.Header()
	for name, values := range endToEnd(response.Header) {
		header[name] = values
	}
	if header.Get("Content-Type") == "" {
		// An explicit nil keeps the server from guessing a type.
		header["Content-Type"] = nil
	}
	switch {
	case !bodyAllowed(response.StatusCode):
	case whole && x.request.Method != http.MethodHead:
		header.Set("Content-Length", fmt.Sprint(length))
	case response.ContentLength >= 0 && x.route.Kind != route.Stream:
		header.Set("Content-Length", fmt.Sprint(response.ContentLength))
	}
	x.setConnection(header)
	x.writer.WriteHeader(response.StatusCode)
	x.committed = true
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
