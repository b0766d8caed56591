package opaque

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cactuswell/core/evidence"
	"cactuswell/core/quarantine"
	"cactuswell/core/route"
	"cactuswell/core/scheduling"
	"cactuswell/io/clientconns"
	"cactuswell/io/tcp"
	"cactuswell/trail"
)

const (
	// commandCapacity is the number of a call's commands that may wait: its next one, and those to give up attempts that
	// have gone on.
	commandCapacity = 4
	// MaxCallTime is the maximum duration of a call; the caller and the route may
	// set a shorter one.
	MaxCallTime = 60 * time.Second
	// bodyReadTimeout bounds the time to receive a request body.
	bodyReadTimeout = 10 * time.Second
	// noConfigurationRetryAfter is the Retry-After of a host that has just started:
	// about the time that it needs to read its configuration.
	noConfigurationRetryAfter = 500 * time.Millisecond
	// hostFullRetryAfter is the Retry-After of a host that has no memory left for
	// further calls.
	hostFullRetryAfter = time.Second
	// stoppingRetryAfter is the Retry-After of a host that shuts down. The caller
	// retries at another host, so it is about the time to open a connection.
	stoppingRetryAfter = 10 * time.Millisecond
	// versionRetryAfter is the Retry-After of a stream whose version could not be found out:
	// about the time in which a host that has just started knows the base version.
	versionRetryAfter = 300 * time.Millisecond
	// recordTimeout bounds how long the first event of a stream waits for the record of its
	// version, and requiredRecordTimeout how long if it is not delivered without.
	recordTimeout         = 250 * time.Millisecond
	requiredRecordTimeout = time.Second
	// decisionGracePeriod is how long a call waits for a decision beyond its
	// deadline. Decisions arrive before the deadline unless the scheduler has
	// failed.
	decisionGracePeriod = 200 * time.Millisecond
	// unreadBodyTimeout bounds the wait for the rest of a body that is not needed, which
	// the HTTP server reads before it responds.
	unreadBodyTimeout = 200 * time.Millisecond
	// firstBodyBytes is the memory in bytes that a body takes before any of it has arrived.
	firstBodyBytes = 16 << 10
	// defaultBodyLimit bounds a body in bytes if the configuration sets no limit.
	defaultBodyLimit = 4 << 20
)

// exchange is the state of one call from its arrival to its completion. It is used
// by one goroutine.
type exchange struct {
	server    *Server
	answer    answer
	request   *http.Request
	arrivedAt time.Time
	logged    bool

	table *route.Table
	// tableAge is how long the configuration had been in force here when it decided the call.
	tableAge    time.Duration
	requestInfo RequestInfo
	route       *route.Route
	team        string
	priority    int
	service     string
	deadline    time.Time
	body        buffer
	// hasUnreadBody is set while the caller may still be sending the body.
	hasUnreadBody   bool
	id              scheduling.CallID
	forwardedHeader http.Header
	// requestHash is the request's fingerprint.
	requestHash uint64

	// currentSend is the command of the attempt in progress.
	currentSend scheduling.Send
	// account holds what proves that the attempts of the call have not run.
	account  *evidence.Account
	attempts int
	// commands brings the scheduler's commands, and nextCommand is one that came during an attempt.
	commands    <-chan scheduling.Command
	nextCommand scheduling.Command
	// silences counts the silences of the attempts.
	silences     int
	sentAt       time.Time
	firstEventAt time.Time
	queueTime    time.Duration
	// writers is the number of attempts whose bytes the caller has got, and lastWriter the last of them.
	writers    int
	lastWriter *attempt
	// summary describes the answer once it was delivered to its end.
	summary AnswerSummary
	// isScheduled is set while the scheduler may hold the call.
	isScheduled bool
	// hasBegun is set once the request was recorded as one that began to run.
	hasBegun bool
	stream   stream
	// record is the record of the version at which the stream begins, or nil if it needs none.
	record StreamRecord
	// replacesRecord is set if the record takes the place of one of another version.
	replacesRecord bool
	// lastFailure is the failure response of the last attempt, or nil.
	lastFailure *failureResponse
	failureBody buffer
}

// run serves the call until it is finished.
func (x *exchange) run() {
	if !x.admit() {
		return
	}
	call := x.newCall()
	if !x.bindVersion(&call) {
		return
	}
	commands := make(chan scheduling.Command, commandCapacity)
	x.commands = commands
	if !x.server.Scheduler.Submit(call, commands) {
		x.refuse(scheduling.Refuse{
			Reason:     ReasonHostFull,
			RetryAfter: hostFullRetryAfter,
		})
		return
	}
	x.logLine("callTaken").Int("version", x.table.Version()).Millis("versionAge", x.tableAge).Text("route", x.route.Name).
		Text("service", x.service).Text("team", x.team).Int("priority", int64(x.priority)).Int("routePriority", int64(x.route.Priority)).
		Int("promptTokens", int64(x.requestInfo.PromptTokens)).Millis("read", time.Since(x.arrivedAt)).Millis("timeLeft", x.deadline.Sub(x.arrivedAt)).
		Text("requestHash", quarantine.FormatHash(x.requestHash)).Text("resumes", x.requestInfo.Resumes).End()
	x.isScheduled = true
	defer x.withdraw()
	x.executeCommands()
}

// withdraw tells the scheduler that the call has ended, unless one of them has told the other. The
// scheduler may be about to place the call, or have placed it: the place would stay taken.
func (x *exchange) withdraw() {
	if x.isScheduled {
		x.isScheduled = false
		x.server.Scheduler.Post(scheduling.CallCanceled{Call: x.id})
	}
}

// bindVersion binds a stream that is taken up again to the version at which it began. It reports
// false if the call is finished, as the version is not known.
func (x *exchange) bindVersion(call *scheduling.Call) bool {
	if x.server.Versions == nil || !x.route.Resumable || x.requestInfo.Resumes == "" {
		return true
	}
	found, err := x.server.Versions.Find(x.request.Context(), x.service, x.requestInfo.Resumes)
	if err != nil {
		x.server.Trail.Failure("streamVersionUnknown").Text("request", x.requestInfo.RequestID).
			Text("resumes", x.requestInfo.Resumes).Err(err).End()
		x.refuse(scheduling.Refuse{
			Reason:     ReasonVersionUnknown,
			RetryAfter: versionRetryAfter,
		})
		return false
	}
	x.logLine("streamVersionFound").Text("resumes", x.requestInfo.Resumes).
		Text("endpointVersion", found.Version).Text("source", string(found.Source)).End()
	call.Version = found.Version
	call.IsBoundToVersion = true
	return true
}

// recordVersion begins to record the version at which a resumable stream is about to begin.
func (x *exchange) recordVersion() {
	if x.server.Versions == nil || !x.route.Resumable || x.answer.isBegun() || x.requestInfo.Resumes != "" || x.requestInfo.HasLastEventID {
		return
	}
	if x.record == nil || x.record.Version() != x.currentSend.Version {
		x.replacesRecord = x.record != nil
		x.record = x.server.Versions.Record(x.service, x.requestInfo.RequestID, x.currentSend.Version, x.record)
	}
}

// awaitRecord waits until the version of the stream is recorded, before its caller gets the first
// event. It reports false if the stream must not begin, as a host that takes it up again would
// take it for one of another version. Where the base version has no endpoint, a stream without a
// record begins all the same: it is refused when it is taken up.
func (x *exchange) awaitRecord() bool {
	if x.record == nil {
		return true
	}
	isRequired := x.currentSend.RequiresRecord || x.replacesRecord
	limit := recordTimeout
	if isRequired {
		limit = requiredRecordTimeout
	}
	err := x.record.Await(x.request.Context(), min(limit, time.Until(x.deadline)))
	if err != nil && x.request.Context().Err() == nil {
		x.server.Trail.Failure("streamNotRecorded").Text("request", x.requestInfo.RequestID).
			Text("endpointVersion", x.currentSend.Version).Bool("delivered", !isRequired).Err(err).End()
	}
	return err == nil || !isRequired
}

// Reasons that this package adds to those of scheduling.
const (
	ReasonHostFull        scheduling.Reason = "hostFull"
	ReasonNoConfiguration scheduling.Reason = "noConfiguration"
	ReasonStopping        scheduling.Reason = "hostStopping"
	ReasonNoRoute         scheduling.Reason = "noRoute"
	ReasonUnknownKey      scheduling.Reason = "unknownKey"
	ReasonMalformed       scheduling.Reason = "malformed"
	ReasonBodyTooLarge    scheduling.Reason = "bodyTooLarge"
	ReasonHeaderTooLarge  scheduling.Reason = "headerTooLarge"
	ReasonVersionUnknown  scheduling.Reason = "versionUnknown"
)

// executeCommands executes the commands for the call until it is finished.
func (x *exchange) executeCommands() {
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline.Add(decisionGracePeriod))
	defer cancel()
	draining := x.server.draining
	for {
		if command := x.nextCommand; command != nil {
			x.nextCommand = nil
			if x.execute(command) {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			x.withdraw()
			if x.request.Context().Err() != nil {
				x.finish(ResultCanceled, "", 0)
				return
			}
			x.refuse(scheduling.Refuse{Reason: scheduling.ReasonTimedOut})
			return
		case <-x.server.aborted.Done():
			x.cancelStopping()
			return
		case <-draining:
			draining = nil
			if !x.answer.isBegun() && x.server.mayOutlast(x.route, x.deadline) {
				x.cancelStopping()
				return
			}
		case command := <-x.commands:
			if x.execute(command) {
				return
			}
		}
	}
}

// cancelStopping withdraws the call and refuses it as this host shuts down.
func (x *exchange) cancelStopping() {
	x.withdraw()
	x.refuseStopping()
}

// execute executes a command and reports whether the call is finished.
func (x *exchange) execute(command scheduling.Command) bool {
	switch command := command.(type) {
	case scheduling.Send:
		if x.server.isAborted() || !x.answer.isBegun() && x.server.mayOutlast(x.route, x.deadline) {
			x.cancelStopping()
			return true
		}
		if x.answer.isBegun() && !x.stream.tail.IsResumable() {
			// The last event does not say where the stream continues.
			x.withdraw()
			x.refuse(scheduling.Refuse{
				Reason:     scheduling.ReasonErrors,
				MayHaveRun: true,
			})
			return true
		}
		return x.runAttempt(command)
	case scheduling.DeliverFailure:
		x.isScheduled = false
		x.forwardFailure()
		return true
	case scheduling.Refuse:
		x.isScheduled = false
		x.refuse(command)
		return true
	}
	// A GiveUp comes too late once the attempt has ended.
	return false
}

// admit checks the call against the configuration and reads its body. It reports
// false if the call is finished.
func (x *exchange) admit() bool {
	var err error
	x.hasUnreadBody = x.request.ContentLength != 0
	if conn := clientconns.FromContext(x.request.Context()); conn != nil && conn.IsClosed() {
		x.finish(ResultCanceled, "", 0)
		return false
	}
	if x.requestInfo, err = x.server.Dialect.ParseRequest(x.request); err != nil {
		return x.deny(http.StatusBadRequest, ReasonMalformed, err)
	}
	var inForceSince time.Time
	x.table, inForceSince = x.server.RouteTable()
	if x.table == nil {
		x.refuse(scheduling.Refuse{
			Reason:     ReasonNoConfiguration,
			RetryAfter: noConfigurationRetryAfter,
		})
		return false
	}
	x.tableAge = time.Since(inForceSince)
	if limit := x.table.Limits().MaxHeaderBytes; limit > 0 && headerSize(x.request.Header) > limit {
		return x.deny(http.StatusRequestHeaderFieldsTooLarge, ReasonHeaderTooLarge, nil)
	}
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	found, ok := x.table.Lookup(x.request.Host, path)
	if !ok {
		return x.deny(http.StatusNotFound, ReasonNoRoute, nil)
	}
	x.route = found
	x.priority = x.table.Priority(found, nil)
	if !x.authorize() {
		return x.deny(http.StatusUnauthorized, ReasonUnknownKey, nil)
	}
	x.deadline = x.arrivedAt.Add(MaxCallTime)
	for _, limit := range []time.Duration{x.requestInfo.TimeLeft, found.Timeout} {
		if limit > 0 && x.arrivedAt.Add(limit).Before(x.deadline) {
			x.deadline = x.arrivedAt.Add(limit)
		}
	}
	// The time to read the body passes before the call can be passed on.
	return !x.refuseIfStopping() && x.readBody() && !x.refuseIfStopping()
}

// refuseIfStopping refuses a call that is not passed on, as it may outlast this host, and reports
// whether it has.
func (x *exchange) refuseIfStopping() bool {
	if !x.server.isAborted() && !x.server.mayOutlast(x.route, x.deadline) {
		return false
	}
	x.refuseStopping()
	return true
}

// refuseStopping refuses a call as this host shuts down.
func (x *exchange) refuseStopping() {
	x.refuse(scheduling.Refuse{
		Reason:     ReasonStopping,
		RetryAfter: stoppingRetryAfter,
	})
}

// authorize looks up the caller's team and applies the team's priority. It reports
// false if the route requires an API key and the caller's is unknown.
func (x *exchange) authorize() bool {
	if !x.table.HasTeams() {
		return true
	}
	team, ok := x.table.TeamByKey(x.requestInfo.APIKey)
	if !ok {
		return x.route.Public
	}
	x.team = team.Name
	x.priority = x.table.Priority(x.route, team)
	return true
}

// readBody reads the body into memory. The bodies of all open calls share a memory
// limit. It reports false if the call is finished.
func (x *exchange) readBody() bool {
	r := x.request
	if r.ContentLength == 0 {
		return true
	}
	limit := x.table.Limits().MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if r.ContentLength > limit {
		return x.deny(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, nil)
	}
	// Memory is taken as bytes arrive: a declared length costs a client nothing. One more
	// byte makes room for the read that finds the end.
	maxSize, firstSize := int(limit)+1, int64(-1)
	if r.ContentLength > 0 {
		maxSize = int(r.ContentLength) + 1
		firstSize = min(r.ContentLength, firstBodyBytes)
	}
	end := x.server.arriving.begin(r.Context(), &x.body)
	readDeadline := x.arrivedAt.Add(bodyReadTimeout)
	if x.deadline.Before(readDeadline) {
		readDeadline = x.deadline
	}
	x.answer.setReadDeadline(readDeadline)
	complete, err := x.body.readFrom(x.answer.limitBody(r.Body, limit), maxSize, firstSize)
	x.answer.setReadDeadline(time.Time{})
	if !end() {
		if x.server.isAborted() {
			x.body.release()
			x.refuseStopping()
			return false
		}
		return x.refuseFull()
	}
	if err != nil {
		x.body.release()
		return x.handleBodyError(err)
	}
	if !complete {
		return x.refuseFull()
	}
	x.hasUnreadBody = false
	return true
}

// refuseFull refuses a call for which the host has no memory.
func (x *exchange) refuseFull() bool {
	x.body.release()
	x.refuse(scheduling.Refuse{
		Reason:     ReasonHostFull,
		RetryAfter: hostFullRetryAfter,
	})
	return false
}

// handleBodyError finishes a call whose body could not be read.
func (x *exchange) handleBodyError(err error) bool {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return x.deny(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, err)
	}
	// A read that timed out also cancels the context.
	if x.request.Context().Err() != nil && !tcp.IsTimeout(err) {
		x.finish(ResultCanceled, "", 0)
		return false
	}
	return x.deny(http.StatusRequestTimeout, ReasonMalformed, err)
}

// release returns the memory of the call's buffers.
func (x *exchange) release() {
	x.body.release()
	x.failureBody.release()
}

// newCall assigns the call its ID and service and returns its description for the
// scheduler.
func (x *exchange) newCall() scheduling.Call {
	x.id = x.server.Scheduler.NextID()
	x.service = x.route.PickService(x.server.Scheduler.RandomFloat())
	x.account = evidence.New(x.route.Retryable())
	x.requestHash = x.fingerprint()
	x.forwardedHeader = x.newForwardedHeader()
	x.stream.lastID = x.requestInfo.LastEventID
	x.stream.hasLastID = x.requestInfo.HasLastEventID
	return scheduling.Call{
		ID:           x.id,
		RequestID:    x.requestInfo.RequestID,
		RequestHash:  x.requestHash,
		Route:        x.route,
		Service:      x.service,
		Team:         x.team,
		Priority:     x.priority,
		Deadline:     x.deadline,
		PromptTokens: x.requestInfo.PromptTokens,
		Prompt:       x.requestInfo.PromptParts,
	}
}

// deny finishes a call that is invalid or not allowed by the configuration.
func (x *exchange) deny(status int, reason scheduling.Reason, err error) bool {
	x.server.Trail.Failure("callDenied").Text("request", x.requestInfo.RequestID).Text("reason", string(reason)).
		Int("status", int64(status)).Int("version", x.configurationVersion()).Millis("versionAge", x.tableAge).
		Millis("after", time.Since(x.arrivedAt)).Err(err).End()
	if impliesNotRun(status) {
		x.respondNotRun(x.account.NotRun(), status, string(reason), 0)
	} else {
		x.respond(status, string(reason))
	}
	x.finish(ResultDenied, string(reason), status)
	return false
}

func (x *exchange) configurationVersion() int64 {
	if x.table == nil {
		return 0
	}
	return x.table.Version()
}

// refuse finishes the call with a response of this host's own or, if a response has
// started, aborts the connection.
func (x *exchange) refuse(refusal scheduling.Refuse) {
	status := http.StatusServiceUnavailable
	result := ResultRefused
	proof := x.account.NotRun()
	if refusal.MayHaveRun = refusal.MayHaveRun || proof == nil; refusal.MayHaveRun {
		// No Retry-After: the call may have run, so it is not safe to repeat.
		refusal.RetryAfter = 0
		result = ResultFailed
		status = http.StatusBadGateway
		if refusal.Reason == scheduling.ReasonTimedOut {
			status = http.StatusGatewayTimeout
		}
	}
	if x.answer.isBegun() {
		result = ResultTruncated
	}
	line := x.server.Trail.Failure("callRefused").Text("request", x.requestInfo.RequestID).Text("reason", string(refusal.Reason)).
		Text("cause", string(refusal.Cause)).Bool("mayHaveRun", refusal.MayHaveRun).Int("attempts", int64(x.attempts)).Millis("retryAfter", refusal.RetryAfter).
		Int("endpoints", int64(refusal.KnownEndpoints)).Int("usable", int64(refusal.UsableEndpoints)).
		Int("waiting", int64(refusal.QueuedCalls)).Int("version", x.configurationVersion()).Millis("versionAge", x.tableAge).Millis("waited", x.waited())
	if refusal.Reason == scheduling.ReasonOverloaded {
		line = line.Millis("predictedFirst", refusal.TimeToFirstEvent).Millis("delayLimit", refusal.DelayLimit)
	}
	line.Millis("after", time.Since(x.arrivedAt)).Text("result", result).End()
	x.finish(result, string(refusal.Reason), status)
	if x.answer.isBegun() {
		x.abortResponse()
	}
	if refusal.MayHaveRun {
		x.respond(status, string(refusal.Reason))
		return
	}
	x.respondNotRun(proof, status, string(refusal.Reason), refusal.RetryAfter)
}

// waited returns the time until the call was first sent, or until now if it was not.
func (x *exchange) waited() time.Duration {
	if x.attempts > 0 {
		return x.queueTime
	}
	return time.Since(x.arrivedAt)
}

// abortResponse ends the handler and closes the connection without ending the response, so that the
// caller cannot take it for complete. A response over HTTP/1.0 has no chunks of which the last one
// could be missing: its connection is reset. Without a byte of a response that would look like a request
// that was not read.
func (x *exchange) abortResponse() {
	if conn := clientconns.FromContext(x.request.Context()); conn != nil && x.answer.isBegun() && !x.request.ProtoAtLeast(1, 1) {
		conn.ResetOnClose()
	}
	panic(http.ErrAbortHandler)
}

// respondNotRun sends a response of this host's own with a status that promises that the call has not
// run and never will, which the proof must show.
func (x *exchange) respondNotRun(proof evidence.NotRun, status int, reason string, retryAfter time.Duration) {
	if proof == nil {
		x.respond(http.StatusBadGateway, reason)
		return
	}
	header := make(http.Header)
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	x.writeResponse(header, status, reason)
}

// respond sends a response of this host's own with a status that promises nothing.
func (x *exchange) respond(status int, reason string) {
	if impliesNotRun(status) {
		status = http.StatusBadGateway
	}
	x.writeResponse(make(http.Header), status, reason)
}

// writeResponse sends a response of this host's own. It is called by respond and respondNotRun only.
func (x *exchange) writeResponse(header http.Header, status int, reason string) {
	header.Set("Content-Type", "text/plain; charset=utf-8")
	x.setConnectionHeader(header)
	if x.hasUnreadBody {
		if conn := clientconns.FromContext(x.request.Context()); conn != nil {
			// A caller that does not stop sending may be evicted for others.
			conn.BeginBody()
		}
		x.answer.setReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
	// An answer that has begun, or whose caller has disconnected, is broken off.
	_ = x.answer.respond(answerHead{
		status: status,
		header: header,
		length: int64(len(reason) + 1),
	}, reason+"\n")
}

func (x *exchange) setConnectionHeader(header http.Header) {
	if x.server.closeConnections.Load() {
		header.Set("Connection", "close")
	}
}

// finish records and logs the result of the call; deny logs denied calls itself.
func (x *exchange) finish(result, reason string, status int) {
	now := time.Now()
	summary := CallSummary{
		Route:      x.route,
		Service:    x.service,
		Priority:   x.priority,
		Result:     result,
		Reason:     reason,
		Status:     status,
		TotalTime:  now.Sub(x.arrivedAt),
		QueueTime:  x.queueTime,
		LongestGap: x.stream.longestGap,
		Attempts:   x.attempts,
		Answer:     x.summary,
	}
	if !x.firstEventAt.IsZero() {
		summary.TimeToFirstEvent = x.firstEventAt.Sub(x.arrivedAt)
	}
	if x.attempts > 0 {
		x.server.recordDuration(x.route, now.Sub(x.sentAt))
	}
	x.server.Meter.RecordCall(summary)
	if result == ResultDenied {
		return
	}
	line := x.logLine("callEnded").Int("version", x.configurationVersion()).Text("result", result).Int("status", int64(status)).Int("attempts", int64(x.attempts)).
		Millis("total", summary.TotalTime).Millis("first", summary.TimeToFirstEvent).Millis("gap", summary.LongestGap).
		Int("events", int64(x.stream.events)).Text("endpoint", x.summary.EndpointID).Text("framing", x.summary.Framing).Int("bodyBytes", x.summary.BodyBytes).
		Bool("inParts", x.summary.InParts).Text("connection", x.summary.Connection).Text("throughHost", x.summary.ThroughHost).
		Int("writers", int64(x.writers)).Text("followed", x.summary.Followed)
	if end := x.summary.ConnectionEnd; end.Verdict != "" {
		line = line.Text("end", string(end.Verdict)).Millis("endWaited", end.Waited)
	}
	line.End()
}

// logLine starts an ordinary log line about the call. Calls that arrived while the
// log was overloaded have none of these lines; their failures are logged anyway.
func (x *exchange) logLine(event string) *trail.Line {
	if !x.logged {
		return x.server.Trail.DiscardedLine()
	}
	return x.server.Trail.Event(event).Text("request", x.requestInfo.RequestID)
}
