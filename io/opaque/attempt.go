package opaque

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"cactuswell/core/detour"
	"cactuswell/core/evidence"
	"cactuswell/core/irregularity"
	"cactuswell/core/quarantine"
	"cactuswell/core/resumption"
	"cactuswell/core/route"
	"cactuswell/core/scheduling"
	"cactuswell/core/wholeness"
	"cactuswell/io/httphead"
	"cactuswell/io/splice"
	"cactuswell/io/tcp"
	"cactuswell/io/upstream"
)

const (
	// maxIdleNonRetryable is the longest time that a connection may have been idle
	// and still carry a call that must not run twice: an endpoint rarely becomes
	// unresponsive within that time.
	maxIdleNonRetryable = 250 * time.Millisecond
	// maxIdleRetryable is the same bound for calls that may be retried.
	maxIdleRetryable = 3 * time.Second
	// maxBufferedBody is the size in bytes up to which a response body is buffered
	// before it is forwarded, so that the call can be retried at another endpoint
	// if the response breaks off.
	maxBufferedBody = 256 << 10
	// justBegunTime is the time after its header within which an answer has just begun. Some
	// endpoints send the header long before they have anything to answer.
	justBegunTime = 250 * time.Millisecond
	// checkTimeout bounds the check of an endpoint after a break, during which the call
	// waits. A refusal takes a round trip.
	checkTimeout = 100 * time.Millisecond
)

// failureResponse is a complete response that reports the failure of the call.
type failureResponse struct {
	response *http.Response
	body     []byte
	proof    wholeness.Whole
}

// UnmarkedResponseError reports a response that lacks the mark header of an
// endpoint.
type UnmarkedResponseError struct {
	Status int
}

// Error returns a message with the status.
func (e *UnmarkedResponseError) Error() string {
	return fmt.Sprintf("the answer with status %d bears no mark of an endpoint", e.Status)
}

// attempt is one attempt to run a call at an endpoint.
type attempt struct {
	exchange   *exchange
	endpointID string
	conn       *upstream.Conn
	// usesKeptConn, throughHost and passedOverConns describe the connection as it was when the attempt got it.
	// Once the attempt has released it, another one may use it.
	usesKeptConn    bool
	throughHost     string
	passedOverConns int
	// unbindConn ends what bindConn began. It reports false if the caller has canceled, and
	// unbindAbort if the server has aborted its calls.
	unbindConn   func() bool
	unbindAbort  func() bool
	response     *http.Response
	respondedAt  time.Time
	responseInfo ResponseInfo
	sentAt       time.Time
	// silenceDeadline is when the endpoint is considered unresponsive, or zero if
	// only the call's deadline applies.
	silenceDeadline time.Time
	// silence is the number of the silence that the scheduler knows of, or zero. SilentSince is when the attempt was last known not
	// to be silent.
	silence     int
	silentSince time.Time
	// awaitsFurther is set once the attempt waits for a further response.
	awaitsFurther bool
	// padding holds the comments and blank events that the caller gets with the next event, and
	// paddingBytes counts those since the last event.
	padding      []byte
	paddingBytes int
	// watch follows the blocks of a stream, and held are those of them that are held back.
	watch irregularity.Watch
	held  heldBlocks
	// bodyBytes is the number of bytes of the response body that were received.
	bodyBytes int64
	// isForwardedInParts is set if the body was forwarded as it arrived.
	isForwardedInParts bool
	// followed is what had arrived on the connection after the body.
	followed string
	// connectionEnd describes how the body has ended with the connection.
	connectionEnd upstream.ConnectionEnd
	// hasExcess is set if the endpoint sent bytes after a complete response: after that of the
	// attempt, or after that of an earlier request on the connection.
	hasExcess bool
	// requestBytes is the size of the request's body.
	requestBytes int
	// isSent is set once the whole request has been sent.
	isSent bool
	// evidence records what proves that the attempt has not run.
	evidence *evidence.Attempt
	// events writes the attempt's events to the caller, or is nil before the first one.
	events *answerEvents
	// hasWritten is set once the caller got an event or padding of the attempt.
	hasWritten bool
	// check compares the events that the attempt repeats with those that the caller has. It is nil if the attempt does
	// not go on with a stream.
	check *resumption.Check
	// endsWithinEvent is set if the body has ended by its framing within an event.
	endsWithinEvent bool
	// forwardedBytes is the number of bytes of the events before the current one.
	forwardedBytes int64
	// earlierSends is the number of the call's earlier attempts that were sent to what may be the same endpoint.
	earlierSends int
	// isRefusalUnproven is set once the endpoint has sent a refusal that may be that of another attempt.
	isRefusalUnproven bool
	// isIDShared is set if that is so as the caller has given another call the same ID. Then the refusal is
	// most likely the attempt's own, and no further response is waited for.
	isIDShared bool
	err        error
}

// runAttempt sends the call to an endpoint and reports whether the call is
// finished.
func (x *exchange) runAttempt(send scheduling.Send) bool {
	x.currentSend = send
	x.attempts++
	if x.attempts == 1 {
		x.queueTime = time.Since(x.arrivedAt)
	}
	x.logChoice(send.Choice)
	x.recordVersion()
	x.sentAt = time.Now()
	t := &attempt{
		exchange:   x,
		endpointID: send.Key.ID,
		sentAt:     x.sentAt,
	}
	outcome := t.run()
	t.dropHeld()
	if t.hasWritten && !isFinal(outcome) {
		x.stream.tail.Question(t.doubt())
	}
	x.logOutcome(t, outcome)
	t.recordEnd(outcome)
	event := scheduling.AttemptEnded{
		Call:      x.id,
		Outcome:   outcome,
		Load:      t.responseInfo.Load,
		HasAnswer: t.response != nil && t.response.StatusCode != http.StatusMisdirectedRequest,
		Limit:     t.responseInfo.Limit,
		EventGap:  x.stream.usualGap(),
		QuietFor:  t.quietFor(),
		Excess:    t.hasExcess,
	}
	x.server.Scheduler.Post(event)
	switch outcome.(type) {
	case scheduling.Completed:
		x.isScheduled = false
		x.summary = t.summarize()
		x.finish(ResultServed, "", t.response.StatusCode)
		return true
	case scheduling.Abandoned:
		x.isScheduled = false
		x.finish(ResultCanceled, "", 0)
		return true
	}
	return false
}

// isFinal reports whether the call is finished with an attempt, whatever may be said of its outcome.
func isFinal(outcome scheduling.Outcome) bool {
	switch outcome.(type) {
	case scheduling.Completed, scheduling.Abandoned:
		return true
	}
	return false
}

// logChoice logs the chosen endpoint and the reasons for the choice.
func (x *exchange) logChoice(choice scheduling.Choice) {
	line := x.logLine("callSent").Text("endpoint", x.currentSend.Key.ID).Int("born", x.currentSend.Key.Incarnation).
		Text("endpointVersion", x.currentSend.Version).Int("attempt", int64(x.attempts)).Millis("predictedFirst", choice.TimeToFirstEvent).Millis("reading", choice.PrefillBacklog).
		Int("cached", int64(choice.CachedTokens)).Int("fetched", int64(choice.FetchedTokens)).Text("fetchedFrom", x.currentSend.FetchFrom.ID).Int("running", int64(choice.Running)).
		Int("ownTokens", int64(choice.OwnTokens)).Int("compared", int64(choice.ComparedEndpoints))
	if choice.LoadAge >= 0 {
		line = line.Millis("loadAge", choice.LoadAge)
	}
	if choice.PeerLoadAge >= 0 {
		line = line.Millis("peerLoadAge", choice.PeerLoadAge)
	}
	line.Millis("waited", choice.QueueTime).Millis("timeLeft", time.Until(x.deadline)).Bool("repeat", x.currentSend.IsRetry).End()
}

// logOutcome logs the outcome of an attempt that did not complete.
func (x *exchange) logOutcome(t *attempt, outcome scheduling.Outcome) {
	if _, ok := outcome.(scheduling.Completed); ok {
		return
	}
	status := 0
	if t.response != nil {
		status = t.response.StatusCode
	}
	line := x.server.Trail.Failure("attemptEnded").Text("request", x.requestInfo.RequestID).Text("endpoint", x.currentSend.Key.ID).
		Int("attempt", int64(x.attempts)).Text("outcome", fmt.Sprintf("%T", outcome)[len("scheduling."):]).
		Int("status", int64(status)).Bool("notRun", t.responseInfo.NotRun).Bool("reusedConnection", t.usesKeptConn).
		Int("passedOverConnections", int64(t.passedOverConns)).Text("throughHost", t.throughHost).
		Int("namedRequests", int64(t.responseInfo.RequestIDs)).Int("earlierSends", int64(t.earlierSends)).
		Int("events", int64(x.stream.attemptEvents))
	if t.hasWritten && x.route.Resumable {
		line = line.Text("doubt", string(x.stream.tail.Doubt())).Text("sign", string(t.held.sign)).Int("signAfter", t.held.signAfter)
	}
	if broken, ok := outcome.(scheduling.Broken); ok {
		line = line.Bool("endpointDown", broken.EndpointDown).Text("requestHash", quarantine.FormatHash(x.requestHash))
		if parts := scheduling.SharedPartHashes(x.service, x.requestInfo.PromptParts); len(parts) > 0 {
			line = line.Bool("justBegun", broken.JustBegun).
				Text("promptParts", strings.Join(quarantine.FormatParts(parts[:min(len(parts), maxLoggedParts)]), ","))
		}
	}
	line.Millis("after", time.Since(t.sentAt)).Err(t.err).End()
}

// maxLoggedParts bounds the parts of a prompt that a line names.
const maxLoggedParts = 8

// run executes the attempt.
func (t *attempt) run() scheduling.Outcome {
	x := t.exchange
	x.stream.startAttempt()
	x.lastFailure = nil
	x.failureBody.release()
	if !x.answer.isOpen() {
		t.err = &AnswerBegunError{}
		return scheduling.Broken{PartlyDelivered: true}
	}
	t.beginCheck()
	t.earlierSends = x.account.SendsTo(x.place())
	if t.evidence = x.account.Begin(x.place()); t.evidence == nil {
		t.err = &evidence.UnpermittedError{}
		return scheduling.Unproven{}
	}
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(x.server.aborted, cancel)()
	maxIdle := maxIdleNonRetryable
	if x.route.Retryable() {
		maxIdle = maxIdleRetryable
	}
	conn, err := x.server.Pool.Get(ctx, x.endpoint(), maxIdle, x.requestInfo.RequestID)
	if err != nil {
		t.err = err
		if x.request.Context().Err() != nil {
			return scheduling.Abandoned{}
		}
		return x.unsentOutcome()
	}
	t.bindConn(conn)
	x.server.recordID(x.requestInfo.RequestID, x.currentSend.Address, x.id)
	outcome := t.roundTrip(conn)
	if outcome == nil {
		outcome = scheduling.Completed{Unframed: !upstream.IsFramed(t.response)}
	}
	return t.checkEndpoint(ctx, t.releaseConn(outcome))
}

// checkEndpoint finds out whether the endpoint is down, if the answer broke off at its
// beginning. A process that has crashed refuses connections; a fault of a single
// connection does not lead to that. If the attempt to connect has no result, the network may
// be at fault, unless the answer had just begun.
func (t *attempt) checkEndpoint(ctx context.Context, outcome scheduling.Outcome) scheduling.Outcome {
	x := t.exchange
	broken, ok := outcome.(scheduling.Broken)
	if !ok || !t.isSent || x.stream.attemptEvents > scheduling.MaxStartEvents {
		return outcome
	}
	broken.JustBegun = t.response != nil && x.route.Kind == route.Stream && x.stream.attemptEvents == 0 &&
		time.Since(t.respondedAt) < justBegunTime
	checkCtx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	err := x.server.Pool.Check(checkCtx, x.endpoint())
	broken.EndpointDown = tcp.IsRefused(err) || err != nil && broken.JustBegun && ctx.Err() == nil
	return broken
}

// endpoint returns the endpoint of the attempt in progress.
func (x *exchange) endpoint() detour.Endpoint {
	return detour.Endpoint{
		Service: x.service,
		Address: x.currentSend.Address,
	}
}

// place returns where the attempt in progress is sent.
func (x *exchange) place() evidence.Place {
	return evidence.Place{
		Address:    x.currentSend.Address,
		EndpointID: x.currentSend.Key.ID,
	}
}

// bindConn makes the caller's cancellation and the end of the server abort the connection until it is
// released.
func (t *attempt) bindConn(conn *upstream.Conn) {
	t.conn = conn
	t.usesKeptConn = conn.Reused()
	t.throughHost = conn.Host()
	t.passedOverConns = conn.PassedOver()
	t.unbindConn = context.AfterFunc(t.exchange.request.Context(), conn.Abort)
	t.unbindAbort = context.AfterFunc(t.exchange.server.aborted, conn.Abort)
}

// unsentOutcome returns the outcome of an attempt of which nothing was sent. It
// counts against the endpoint only if the call's deadline has not passed.
func (x *exchange) unsentOutcome() scheduling.Outcome {
	if !time.Now().Before(x.deadline) {
		return scheduling.Expired{}
	}
	return scheduling.Unreachable{}
}

// releaseConn returns the connection to the pool or closes it. If the caller
// canceled the request, it returns Abandoned in place of the failure that the
// cancellation caused.
func (t *attempt) releaseConn(outcome scheduling.Outcome) scheduling.Outcome {
	if !t.unbindAbort() {
		t.unbindConn()
		t.conn.Discard()
		return t.abortedOutcome(outcome)
	}
	if !t.unbindConn() {
		// The connection is aborted, maybe only once the next call uses it.
		t.conn.Discard()
		if _, ok := outcome.(scheduling.Completed); !ok {
			return scheduling.Abandoned{}
		}
		return outcome
	}
	switch outcome.(type) {
	case scheduling.Completed, scheduling.Declined, scheduling.Misdirected, scheduling.Failed:
		t.followed = t.conn.Following()
		if t.conn.IsUsable() && t.conn.HasUnreadBytes() {
			t.hasExcess = true
			t.recordExcess(upstream.PartAfterBody)
		}
		if t.responseInfo.RequestID != t.exchange.requestInfo.RequestID {
			// The next response could not be told from a late one of this attempt.
			t.conn.Discard()
			break
		}
		t.conn.Release(t.response)
	default:
		t.conn.Discard()
	}
	return outcome
}

// abortedOutcome returns the outcome of an attempt whose connection the server has aborted. An answer
// that was complete by then counts.
func (t *attempt) abortedOutcome(outcome scheduling.Outcome) scheduling.Outcome {
	switch outcome.(type) {
	case scheduling.Completed, scheduling.Declined, scheduling.Misdirected, scheduling.Failed:
		return outcome
	}
	if !t.isSent {
		return outcome
	}
	return scheduling.Broken{PartlyDelivered: t.exchange.answer.isBegun()}
}

// roundTrip sends the call over a connection and forwards the response. It returns
// nil if the response was complete.
func (t *attempt) roundTrip(conn *upstream.Conn) scheduling.Outcome {
	x := t.exchange
	if !x.route.Retryable() && x.hasCallerLeft() {
		t.err = &CallerLeftError{}
		return scheduling.Abandoned{}
	}
	request := t.newRequest()
	t.requestBytes = len(request.Body)
	if err := conn.SendRequest(request, x.deadline); err != nil {
		t.err = err
		var sendError *upstream.SendError
		if errors.As(err, &sendError) && !sendError.Partial {
			return x.unsentOutcome()
		}
		return scheduling.Broken{PartlyDelivered: x.answer.isBegun()}
	}
	t.isSent = true
	t.awaitProgress(t.silenceDeadlineAfter(x.currentSend.FirstEventTimeout))
	firstEventBy := t.silenceDeadline
	response, err := conn.ReadResponse(x.request.Method, t.relate)
	if err != nil {
		return t.readErrorOutcome(err)
	}
	if t.awaitsFurther {
		// The wait after a late response is over.
		t.awaitProgress(firstEventBy)
	}
	t.response = response
	t.respondedAt = time.Now()
	idField, markField := x.server.Dialect.ResponseFields()
	conn.WatchBody(response, wholeness.Settings{
		RequestID:      x.requestInfo.RequestID,
		RequestIDField: idField,
		MarkField:      markField,
	})
	return t.handleResponse()
}

// newRequest returns the request to the endpoint.
func (t *attempt) newRequest() *upstream.Request {
	x := t.exchange
	header := x.forwardedHeader.Clone()
	after := t.requestedPosition()
	x.server.Dialect.SetAttempt(header, AttemptInfo{
		EndpointID:     x.currentSend.Key.ID,
		TimeLeft:       time.Until(x.deadline),
		Team:           x.team,
		Priority:       x.currentSend.Priority,
		IsGeneration:   x.requestInfo.PromptTokens > 0,
		FetchAddress:   x.currentSend.FetchAddress,
		LastEventID:    after.ID,
		HasLastEventID: after.HasID,
	})
	return &upstream.Request{
		Method:  x.request.Method,
		Target:  x.request.RequestURI,
		Host:    x.request.Host,
		Header:  header,
		Body:    x.body.bytes,
		HasBody: x.request.ContentLength != 0 || x.request.Header.Get("Content-Length") != "",
		Attempt: t.evidence,
	}
}

// relate decides how a response relates to the attempt. The connection has carried no other attempt
// with the call's ID, so a response that names the call is the attempt's own, unless it is a refusal that is
// not proven to be. One that names no request may be late if the connection carried an earlier one.
func (t *attempt) relate(response *http.Response) upstream.Relation {
	info := t.exchange.server.Dialect.ParseResponse(response)
	namesCall := info.RequestID == t.exchange.requestInfo.RequestID
	switch {
	case !namesCall && info.RequestID != "":
		t.recordLateResponse(info, response.StatusCode)
		return upstream.Other
	case !namesCall && t.conn.Reused():
		t.recordLateResponse(info, response.StatusCode)
		t.awaitFurtherResponse()
		return upstream.Doubtful
	}
	t.responseInfo = info
	if !info.NotRun && !info.Misdirected || t.isProvenRefusal(info, response.StatusCode) {
		return upstream.Own
	}
	if t.isIDShared {
		// The attempt ends as Unproven.
		return upstream.Own
	}
	t.responseInfo = ResponseInfo{}
	t.awaitFurtherResponse()
	return upstream.Doubtful
}

// isProvenRefusal reports whether a refusal proves that the attempt has not run, and records one that
// does not.
func (t *attempt) isProvenRefusal(info ResponseInfo, status int) bool {
	x := t.exchange
	refusal := evidence.Refusal{
		NamesCall:       info.RequestID == x.requestInfo.RequestID && info.RequestIDs == 1,
		IsContradictory: !isRefusalStatus(status) || info.HasMark,
		IsIDShared:      x.server.isIDShared(x.requestInfo.RequestID, x.currentSend.Address),
	}
	if t.evidence.Refused(refusal) {
		return true
	}
	t.isRefusalUnproven = true
	t.isIDShared = refusal.IsIDShared
	x.server.Meter.RecordExcess(upstream.PartUnprovenRefusal)
	x.server.Trail.Failure("refusalUnproven").Text("request", x.requestInfo.RequestID).Text("endpoint", x.currentSend.Key.ID).
		Int("status", int64(status)).Int("namedRequests", int64(info.RequestIDs)).Bool("contradictory", refusal.IsContradictory).Bool("idShared", refusal.IsIDShared).
		Bool("reusedConnection", t.conn.Reused()).Int("earlierSends", int64(t.earlierSends)).
		Millis("after", time.Since(t.sentAt)).Merge(x.currentSend.Key.ID)
	return false
}

// awaitFurtherResponse bounds the wait for a further response after one that may have been the
// attempt's own: then no other follows, and the call would wait until its deadline. The attempt ends then, whether or not another
// endpoint has room.
func (t *attempt) awaitFurtherResponse() {
	limit := t.exchange.route.TargetLatency
	if limit <= 0 {
		return
	}
	if left := time.Until(t.silenceDeadline); !t.silenceDeadline.IsZero() && left > 0 {
		limit = min(limit, left)
	}
	t.awaitsFurther = true
	t.setReadDeadline(limit)
}

// recordLateResponse records a response that belongs to an earlier request on the connection, or may
// do so.
func (t *attempt) recordLateResponse(info ResponseInfo, status int) {
	if !t.conn.Reused() {
		return
	}
	x := t.exchange
	t.hasExcess = true
	x.server.Meter.RecordExcess(upstream.PartLateResponse)
	x.server.Trail.Failure("lateResponse").Text("request", x.requestInfo.RequestID).Text("endpoint", x.currentSend.Key.ID).
		Text("respondsTo", info.RequestID[:min(len(info.RequestID), maxLoggedValue)]).Int("status", int64(status)).Bool("notRun", info.NotRun).
		Millis("after", time.Since(t.sentAt)).Merge(x.currentSend.Key.ID)
}

// setReadDeadline bounds the wait for the endpoint's next bytes by the call's
// deadline and, unless it is zero, by silenceLimit, after which the attempt ends.
func (t *attempt) setReadDeadline(silenceLimit time.Duration) {
	t.endSilence()
	t.silenceDeadline = t.silenceDeadlineAfter(silenceLimit)
	if t.silenceDeadline.IsZero() {
		t.conn.SetReadDeadline(t.exchange.deadline)
		return
	}
	t.conn.SetReadDeadline(t.silenceDeadline)
}

// silenceDeadlineAfter returns when a limit ends, or zero if only the call's deadline applies.
func (t *attempt) silenceDeadlineAfter(limit time.Duration) time.Time {
	deadline := time.Now().Add(limit)
	if limit <= 0 || !deadline.Before(t.exchange.deadline) {
		return time.Time{}
	}
	return deadline
}

// readErrorOutcome returns the outcome for an error while reading the response.
func (t *attempt) readErrorOutcome(err error) scheduling.Outcome {
	t.err = err
	x := t.exchange
	var noMemory *BufferMemoryError
	var unproven *UnprovenEndError
	var cut *upstream.CutError
	var odd *OddEndError
	if t.response != nil && !upstream.IsFramed(t.response) {
		t.recordCut(err)
	}
	switch {
	case tcp.IsTimeout(err) && !time.Now().Before(x.deadline):
		return scheduling.TimedOut{}
	case t.isRefusalUnproven && t.response == nil:
		return scheduling.Unproven{}
	case tcp.IsTimeout(err) && !t.silenceDeadline.IsZero():
		return scheduling.Silent{PartlyDelivered: x.answer.isBegun()}
	case tcp.IsTimeout(err), tcp.IsClosedByPeer(err), errors.As(err, &noMemory), errors.As(err, &unproven), errors.As(err, &cut), errors.As(err, &odd):
		return scheduling.Broken{PartlyDelivered: x.answer.isBegun()}
	}
	if part := upstream.ExcessPart(err); part != "" {
		t.recordExcess(part)
	}
	var spliced *wholeness.SplicedError
	if errors.As(err, &spliced) {
		t.recordSplice(spliced)
	}
	t.recordHeadRefusal(err)
	return scheduling.Broken{
		PartlyDelivered: x.answer.isBegun(),
		Malformed:       true,
	}
}

// Reasons for which heads are refused, besides those of httphead.
const (
	reasonSplicedHead  = "spliced"
	reasonUnparsedHead = "unparsed"
)

// recordHeadRefusal records that the head or the trailer of the response is invalid, if that is the error.
func (t *attempt) recordHeadRefusal(err error) {
	var invalid *httphead.Error
	var spliced *splice.Error
	var unsolicited *upstream.UnsolicitedResponseError
	reason, field, status := reasonUnparsedHead, "", 0
	switch {
	case errors.As(err, &invalid):
		reason, field, status = string(invalid.Reason), invalid.Field, invalid.Status
	case errors.As(err, &spliced):
		reason, field = reasonSplicedHead, spliced.Field
	case t.response != nil, upstream.ExcessPart(err) != "", errors.As(err, &unsolicited), errors.Is(err, net.ErrClosed):
		return
	}
	x := t.exchange
	x.server.Meter.RecordHeadRefusal(reason)
	x.server.Trail.Failure("headRefused").Text("request", x.requestInfo.RequestID).Text("endpoint", x.currentSend.Key.ID).
		Text("reason", reason).Int("status", int64(status)).Text("field", field[:min(len(field), maxLoggedValue)]).Bool("trailer", t.response != nil).
		Bool("reusedConnection", t.usesKeptConn).Text("throughHost", t.throughHost).Millis("after", time.Since(t.sentAt)).Err(err).Merge(x.currentSend.Key.ID)
}

// recordSplice records that the response's body holds a part of another response.
func (t *attempt) recordSplice(spliced *wholeness.SplicedError) {
	x := t.exchange
	x.server.Meter.RecordSplice(spliced.Reason)
	x.server.Trail.Failure("answerSpliced").Text("request", x.requestInfo.RequestID).Text("endpoint", x.currentSend.Key.ID).
		Text("reason", string(spliced.Reason)).Int("offset", spliced.Offset).Int("bodyBytes", t.bodyBytes).
		Text("framing", t.framing()).Bool("reusedConnection", t.usesKeptConn).Text("throughHost", t.throughHost).
		Bool("delivered", x.answer.isBegun()).Millis("after", time.Since(t.sentAt)).Merge(x.currentSend.Key.ID)
}

// The ends of answers that end with their connection, besides those of upload.Verdict.
const (
	endResetSeenByRead = "readReset"
	// endIncomplete is an end in order that no complete answer has, as within an event.
	endIncomplete = "incomplete"
	// endEndpointDown is an end in order of which the endpoint's process may be the cause.
	endEndpointDown = "endpointDown"
	// endOddLine is an end in order behind a line that is no field.
	endOddLine = "oddLine"
)

// recordCut records what was found wrong with the end of an answer that ends with its connection, if it has ended.
func (t *attempt) recordCut(err error) {
	x := t.exchange
	var cut *upstream.CutError
	var unproven *UnprovenEndError
	var odd *OddEndError
	var end string
	switch {
	case errors.As(err, &cut):
		end = string(cut.End.Verdict)
	case errors.As(err, &unproven):
		end = endEndpointDown
	case errors.As(err, &odd):
		end = endOddLine
	case errors.Is(err, syscall.ECONNRESET):
		end = endResetSeenByRead
	case tcp.IsClosedByPeer(err):
		end = endIncomplete
	default:
		return
	}
	x.server.Meter.RecordConnectionEnd(end)
	last := t.conn.ConnectionEnd()
	x.server.Trail.Failure("answerCut").Text("request", x.requestInfo.RequestID).Text("endpoint", x.currentSend.Key.ID).
		Text("end", end).Int("requestBytes", int64(t.requestBytes)).Int("unacked", last.Unacked).Millis("waited", last.Waited).
		Int("bodyBytes", t.bodyBytes).Text("throughHost", t.throughHost).Bool("delivered", x.answer.isBegun()).
		Millis("after", time.Since(t.sentAt)).Merge(x.currentSend.Key.ID)
}

// framing names how the endpoint marks the end of the response's body.
func (t *attempt) framing() string {
	switch {
	case len(t.response.TransferEncoding) > 0:
		return "chunks"
	case t.response.ContentLength >= 0:
		return "length"
	}
	return "end"
}

// recordExcess records that a part of the endpoint's response exceeds its bound.
func (t *attempt) recordExcess(part upstream.Part) {
	x := t.exchange
	x.server.Meter.RecordExcess(part)
	x.server.Trail.Failure("responseExcess").Text("request", x.requestInfo.RequestID).Text("endpoint", x.currentSend.Key.ID).
		Text("part", string(part)).Int("bodyBytes", t.bodyBytes).Millis("after", time.Since(t.sentAt)).Merge(x.currentSend.Key.ID)
}

// excess ends the attempt because a part of the response exceeds its bound.
func (t *attempt) excess(part upstream.Part, limit int64) scheduling.Outcome {
	return t.readErrorOutcome(&upstream.ExcessError{
		Part:  part,
		Limit: limit,
	})
}

// handleResponse handles a response whose header has arrived.
func (t *attempt) handleResponse() scheduling.Outcome {
	t.postNotices()
	status := t.response.StatusCode
	switch {
	case t.isIDShared:
		return t.drainBody(scheduling.Unproven{})
	case status == http.StatusMisdirectedRequest:
		return t.drainBody(scheduling.Misdirected{})
	case t.responseInfo.NotRun:
		return t.drainBody(scheduling.Declined{RetryAfter: t.responseInfo.RetryAfter})
	case status >= 200 && status < 300 && !t.responseInfo.HasMark:
		t.err = &UnmarkedResponseError{Status: status}
		return scheduling.Broken{
			PartlyDelivered: t.exchange.answer.isBegun(),
			Malformed:       true,
		}
	case status >= 200 && status < 300 && t.exchange.route.Kind == route.Stream:
		return t.forwardStream()
	}
	if t.exchange.route.Kind != route.Stream {
		t.exchange.recordExecution()
	}
	if status >= 200 && status < 300 {
		return t.forwardWhole()
	}
	return t.bufferFailure(status)
}

// recordExecution records that the request began to run, unless an earlier attempt did. Requests
// of public routes belong to no team.
func (x *exchange) recordExecution() {
	if x.hasBegun || x.server.Executions == nil || x.team == "" {
		return
	}
	x.hasBegun = true
	x.server.Executions.RecordExecution(x.team)
}

// postNotices passes on what the endpoint says of itself in the header of its response.
// A response of another endpoint, which has taken over the address, says nothing of the
// one that was called.
func (t *attempt) postNotices() {
	x := t.exchange
	if t.response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	if t.responseInfo.Leaving {
		x.server.Scheduler.Post(scheduling.LeavingAnswered{Key: x.currentSend.Key})
	}
	if text := t.responseInfo.MalformedRetryAfter; text != "" {
		x.server.Trail.Failure("retryAfterMalformed").Text("request", x.requestInfo.RequestID).
			Text("endpoint", x.currentSend.Key.ID).Text("value", text[:min(len(text), maxLoggedValue)]).Merge(x.currentSend.Key.ID)
	}
	if text := t.responseInfo.MalformedLimit; text != "" {
		x.server.Trail.Failure("limitMalformed").Text("request", x.requestInfo.RequestID).
			Text("endpoint", x.currentSend.Key.ID).Text("value", text[:min(len(text), maxLoggedValue)]).Merge(x.currentSend.Key.ID)
	}
}

// maxLoggedValue bounds a header value in a log line, in bytes.
const maxLoggedValue = 40

// quietFor returns for how long the endpoint asked not to be sent calls, or zero.
func (t *attempt) quietFor() time.Duration {
	if t.response == nil || t.response.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	return t.responseInfo.RetryAfter
}

// drainBody reads a short response body to its end, so that the connection can be
// reused, and returns the given outcome.
func (t *attempt) drainBody(outcome scheduling.Outcome) scheduling.Outcome {
	t.conn.Drain(t.response)
	return outcome
}

// bufferFailure stores a response that reports the failure of the call.
func (t *attempt) bufferFailure(status int) scheduling.Outcome {
	x := t.exchange
	complete, err := x.failureBody.readFrom(t.response.Body, maxBufferedBody, t.response.ContentLength)
	t.bodyBytes = int64(len(x.failureBody.bytes))
	if err != nil {
		return t.readErrorOutcome(err)
	}
	if !complete && len(x.failureBody.bytes) < maxBufferedBody {
		return t.readErrorOutcome(&BufferMemoryError{})
	}
	if !complete {
		return t.excess(upstream.PartBody, maxBufferedBody)
	}
	proof, err := t.endBody()
	if err != nil {
		return t.readErrorOutcome(err)
	}
	x.lastFailure = &failureResponse{
		response: t.response,
		body:     x.failureBody.bytes,
		proof:    proof,
	}
	return scheduling.Failed{Status: status}
}

// forwardWhole buffers the response body and forwards it in one piece. What does not fit
// into the buffer is forwarded as it arrives.
func (t *attempt) forwardWhole() scheduling.Outcome {
	x := t.exchange
	limit := x.server.ResponseLimit
	if t.response.ContentLength > limit && x.request.Method != http.MethodHead {
		return t.excess(upstream.PartBody, limit)
	}
	t.setReadDeadline(0)
	body := buffer{budget: &x.server.responseMemory}
	defer body.release()
	complete, err := body.readFrom(t.response.Body, int(min(maxBufferedBody, limit)), t.response.ContentLength)
	t.bodyBytes = int64(len(body.bytes))
	if err != nil {
		return t.readErrorOutcome(err)
	}
	var proof wholeness.Whole
	if complete {
		if proof, err = t.endBody(); err != nil {
			return t.readErrorOutcome(err)
		}
	}
	x.firstEventAt = time.Now()
	t.recordWriter()
	to, err := x.answer.beginBody(x.headOf(t.response, complete, len(body.bytes)))
	if err != nil {
		t.err = err
		return scheduling.Broken{PartlyDelivered: true}
	}
	// The call is not sent again, so the caller does not hold the memory of its request while
	// it reads the response.
	x.body.release()
	if _, err := to.Write(body.bytes); err != nil {
		t.err = err
		return scheduling.Abandoned{}
	}
	if !complete {
		t.isForwardedInParts = true
		return t.forwardRest(to, body.bytes[:cap(body.bytes)])
	}
	return t.endAnswer(to, proof)
}

// endBody returns the proof that the response's body, which was read to its end, is whole. A body that ends with its
// connection may have been broken off: the operating system also closes the connections of a process that was killed, and
// then refuses new ones. The request may still be on its way then.
func (t *attempt) endBody() (wholeness.Whole, error) {
	x := t.exchange
	hasBody := x.request.Method != http.MethodHead && allowsBody(t.response.StatusCode)
	if hasBody && !upstream.IsFramed(t.response) && !t.responseInfo.Leaving {
		ctx, cancel := context.WithTimeout(x.request.Context(), checkTimeout)
		defer cancel()
		if err := x.server.Pool.Check(ctx, x.endpoint()); tcp.IsRefused(err) {
			return nil, &UnprovenEndError{Err: err}
		}
	}
	proof, err := t.conn.EndBody()
	if t.connectionEnd = t.conn.ConnectionEnd(); err == nil && t.connectionEnd.Verdict != "" {
		x.server.Meter.RecordConnectionEnd(string(t.connectionEnd.Verdict))
	}
	return proof, err
}

// endAnswer ends the caller's answer, which is whole.
func (t *attempt) endAnswer(to interface{ end(wholeness.Whole) error }, proof wholeness.Whole) scheduling.Outcome {
	if err := to.end(proof); err != nil {
		t.err = err
		return scheduling.Abandoned{}
	}
	return nil
}

// recordWriter records that bytes of the attempt are about to be sent to the caller.
func (t *attempt) recordWriter() {
	x := t.exchange
	if x.lastWriter == t {
		return
	}
	if before := x.lastWriter; before != nil {
		x.server.Meter.RecordContinuation(x.route)
		x.server.Trail.Failure("answerContinued").Text("request", x.requestInfo.RequestID).Text("kind", x.route.Kind.String()).
			Text("endpoint", x.currentSend.Key.ID).Text("before", before.endpointID).Int("bytesBefore", before.bodyBytes).
			Millis("after", time.Since(x.arrivedAt)).End()
	}
	x.writers++
	x.lastWriter = t
}

// summarize describes the answer of an attempt that has completed.
func (t *attempt) summarize() AnswerSummary {
	connection := "new"
	if t.usesKeptConn {
		connection = "kept"
	}
	if t.throughHost != "" {
		connection += "Tunnel"
	}
	return AnswerSummary{
		EndpointID:    t.endpointID,
		Framing:       t.framing(),
		BodyBytes:     t.bodyBytes,
		InParts:       t.isForwardedInParts,
		Connection:    connection,
		ThroughHost:   t.throughHost,
		Writers:       t.exchange.writers,
		Followed:      t.followed,
		ConnectionEnd: t.connectionEnd,
	}
}

// forwardRest forwards the rest of the response body as it arrives.
func (t *attempt) forwardRest(to *answerBody, chunk []byte) scheduling.Outcome {
	x := t.exchange
	if len(chunk) == 0 {
		chunk = make([]byte, initialBufferBytes)
	}
	for {
		n, err := t.response.Body.Read(chunk)
		t.bodyBytes += int64(n)
		if t.bodyBytes > x.server.ResponseLimit {
			return t.excess(upstream.PartBody, x.server.ResponseLimit)
		}
		if _, writeErr := to.Write(chunk[:n]); writeErr != nil {
			t.err = writeErr
			return scheduling.Abandoned{}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return t.readErrorOutcome(err)
		}
	}
	proof, err := t.endBody()
	if err != nil {
		return t.readErrorOutcome(err)
	}
	return t.endAnswer(to, proof)
}

// isRefusalStatus reports whether an endpoint that has not run a request may answer with a status.
func isRefusalStatus(status int) bool {
	return status == http.StatusBadRequest || impliesNotRun(status)
}

// impliesNotRun reports whether callers take a status to mean that the call was not
// run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// forwardFailure forwards the failure response of the last endpoint. If its status
// implies that the call was not run, which the endpoint did not guarantee, the
// caller gets a status of this host's own.
func (x *exchange) forwardFailure() {
	if x.lastFailure == nil || x.answer.isBegun() || impliesNotRun(x.lastFailure.response.StatusCode) {
		x.refuse(scheduling.Refuse{
			Reason:     scheduling.ReasonErrors,
			MayHaveRun: true,
		})
		return
	}
	status := x.lastFailure.response.StatusCode
	x.finish(ResultFailed, string(scheduling.ReasonErrors), status)
	to, err := x.answer.beginBody(x.headOf(x.lastFailure.response, true, len(x.lastFailure.body)))
	if err != nil {
		return
	}
	// A write error is ignored: it means that the caller has disconnected.
	_, _ = to.Write(x.lastFailure.body)
	_ = to.end(x.lastFailure.proof)
}

// headOf returns the head of the answer to the caller for an endpoint's response. If hasLength is set, length is the
// length of the body.
func (x *exchange) headOf(response *http.Response, hasLength bool, length int) answerHead {
	head := answerHead{
		status: response.StatusCode,
		header: endToEndHeader(response.Header),
		length: -1,
	}
	switch {
	case !allowsBody(response.StatusCode):
	case hasLength && x.request.Method != http.MethodHead:
		head.length = int64(length)
	case response.ContentLength >= 0 && x.route.Kind != route.Stream:
		head.length = response.ContentLength
	}
	x.setConnectionHeader(head.header)
	return head
}

func allowsBody(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
