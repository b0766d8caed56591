package opaque

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cactuswell/core/route"
	"cactuswell/core/scheduling"
	"cactuswell/trail"
)

const (
	// defaultTimeout bounds calls whose caller and route name no time.
	defaultTimeout = 60 * time.Second
	// bodyTime bounds the arrival of a body.
	bodyTime = 10 * time.Second
	// noConfigurationRetry is when to come back to a host that has just started:
	// about the time in which it reads its configuration.
	noConfigurationRetry = 500 * time.Millisecond
	// busyRetry is when to come back to a host whose memory is full of calls.
	busyRetry = time.Second
	// stoppingRetry is when to come back from a host that stops, to another one:
	// about the time of a new connection.
	stoppingRetry = 10 * time.Millisecond
	// decisionSlack is how long after its deadline a call waits for a decision,
	// which comes before it unless the duty that decides has failed.
	decisionSlack = 200 * time.Millisecond
	// unknownShare is the part of the limit that a body of unknown length counts
	// for while it is read; few are near the limit.
	unknownShare = 16
	// defaultBodyLimit bounds a body if the configuration does not.
	defaultBodyLimit = 4 << 20
)

// exchange is one call from its arrival to its end. One goroutine runs it.
type exchange struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time
	logged  bool

	table    *route.Table
	caller   RequestInfo
	route    *route.Route
	team     string
	priority int
	service  string
	deadline time.Time
	body     []byte
	held     int64
	id       scheduling.CallID
	header   http.Header

	// sending is the order under way.
	sending  scheduling.Send
	attempts int
	firstAt  time.Time
	queued   time.Duration
	// committed says that the header of an answer went to the caller.
	committed bool
	stream    stream
	// kept is the failed answer of the last endpoint.
	kept *keptAnswer
}

// run serves the call.
func (x *exchange) run() {
	if !x.accept() {
		return
	}
	replies := make(chan scheduling.Command, 1)
	if !x.server.Scheduler.Submit(x.call(), replies) {
		x.refuse(scheduling.Refuse{
			Reason:     ReasonHostFull,
			RetryAfter: busyRetry,
		})
		return
	}
	x.line("callTaken").Int("version", x.table.Version()).Text("route", x.route.Name).
		Text("service", x.service).Text("team", x.team).Int("priority", int64(x.priority)).
		Int("promptTokens", int64(x.caller.PromptTokens)).Millis("timeLeft", x.deadline.Sub(x.arrived)).End()
	x.obey(replies)
}

// Reasons of this package, beside those of scheduling.
const (
	ReasonHostFull        scheduling.Reason = "hostFull"
	ReasonNoConfiguration scheduling.Reason = "noConfiguration"
	ReasonStopping        scheduling.Reason = "hostStopping"
	ReasonNoRoute         scheduling.Reason = "noRoute"
	ReasonUnknownKey      scheduling.Reason = "unknownKey"
	ReasonMalformed       scheduling.Reason = "malformed"
	ReasonBodyTooLarge    scheduling.Reason = "bodyTooLarge"
	ReasonHeaderTooLarge  scheduling.Reason = "headerTooLarge"
)

// obey carries out what is decided until the call has its end.
func (x *exchange) obey(replies <-chan scheduling.Command) {
	limited, cancel := context.WithDeadline(x.request.Context(), x.deadline.Add(decisionSlack))
	defer cancel()
	for {
		select {
		case <-limited.Done():
			if x.request.Context().Err() == nil {
				x.refuse(scheduling.Refuse{
					Reason:     scheduling.ReasonTimedOut,
					MayHaveRun: x.attempts > 0,
				})
				return
			}
			x.server.Scheduler.Post(scheduling.CallCanceled{Call: x.id})
			x.end(ResultCanceled, "", 0)
			return
		case <-x.server.cut:
			x.server.Scheduler.Post(scheduling.CallCanceled{Call: x.id})
			x.refuse(scheduling.Refuse{
				Reason:     ReasonStopping,
				MayHaveRun: x.attempts > 0,
			})
			return
		case command := <-replies:
			if x.carryOut(command) {
				return
			}
		}
	}
}

// carryOut reports whether the call has its end.
func (x *exchange) carryOut(command scheduling.Command) bool {
	switch command := command.(type) {
	case scheduling.Send:
		return x.send(command)
	case scheduling.DeliverFailure:
		x.deliverKept()
		return true
	case scheduling.Refuse:
		x.refuse(command)
		return true
	}
	return false
}

// accept checks the call and reads its body. It reports false if the call has
// its answer.
func (x *exchange) accept() bool {
	var err error
	if x.caller, err = x.server.Dialect.ParseRequest(x.request); err != nil {
		return x.deny(http.StatusBadRequest, ReasonMalformed, err)
	}
	x.table = x.server.RouteTable()
	if x.table == nil {
		x.refuse(scheduling.Refuse{
			Reason:     ReasonNoConfiguration,
			RetryAfter: noConfigurationRetry,
		})
		return false
	}
	if limit := x.table.Limits().MaxHeaderBytes; limit > 0 && headerBytes(x.request.Header) > limit {
		return x.deny(http.StatusRequestHeaderFieldsTooLarge, ReasonHeaderTooLarge, nil)
	}
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	found, ok := x.table.Lookup(x.request.Host, path)
	if !ok {
		return x.deny(http.StatusNotFound, ReasonNoRoute, nil)
	}
	x.route = found
	x.priority = found.Priority
	if !x.authorize() {
		return x.deny(http.StatusUnauthorized, ReasonUnknownKey, nil)
	}
	x.deadline = x.arrived.Add(defaultTimeout)
	for _, limit := range []time.Duration{x.caller.TimeLeft, found.Timeout} {
		if limit > 0 && x.arrived.Add(limit).Before(x.deadline) {
			x.deadline = x.arrived.Add(limit)
		}
	}
	if found.Kind == route.Stream && x.server.outlives(x.deadline) {
		x.refuse(scheduling.Refuse{
			Reason:     ReasonStopping,
			RetryAfter: stoppingRetry,
		})
		return false
	}
	return x.readBody()
}

// authorize finds the team that calls.
func (x *exchange) authorize() bool {
	if !x.table.HasTeams() {
		return true
	}
	team, ok := x.table.TeamByKey(x.caller.APIKey)
	if !ok {
		return x.route.Public
	}
	x.team = team.Name
	if team.HasPriority {
		x.priority = team.Priority
	}
	return true
}

// readBody reads the body into memory, of which all calls together have a
// bounded amount.
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
	x.held = r.ContentLength
	if x.held < 0 {
		x.held = limit / unknownShare
	}
	if x.server.bodyMemory.Add(x.held) > x.server.BodyMemory {
		x.refuse(scheduling.Refuse{
			Reason:     ReasonHostFull,
			RetryAfter: busyRetry,
		})
		return false
	}
	till := x.arrived.Add(bodyTime)
	if x.deadline.Before(till) {
		till = x.deadline
	}
	controller := http.NewResponseController(x.writer)
	_ = controller.SetReadDeadline(till)
	body, err := io.ReadAll(http.MaxBytesReader(x.writer, r.Body, limit))
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		return x.bodyFailed(err)
	}
	x.body = body
	// A body whose length was not known took a guess until now.
	x.server.bodyMemory.Add(int64(len(body)) - x.held)
	x.held = int64(len(body))
	return true
}

func (x *exchange) bodyFailed(err error) bool {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return x.deny(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, err)
	}
	if x.request.Context().Err() != nil {
		x.end(ResultCanceled, "", 0)
		return false
	}
	return x.deny(http.StatusRequestTimeout, ReasonMalformed, err)
}

func (x *exchange) releaseBody() {
	if x.held > 0 {
		x.server.bodyMemory.Add(-x.held)
	}
}

// call describes the call to the decisions.
func (x *exchange) call() scheduling.Call {
	x.id = x.server.Scheduler.NextID()
	x.service = x.route.PickService(x.server.Scheduler.RandomFloat())
	x.header = x.forwardHeader()
	x.stream.last = x.caller.LastEventID
	x.stream.hasLast = x.caller.HasLastEventID
	return scheduling.Call{
		ID:           x.id,
		RequestID:    x.caller.RequestID,
		Route:        x.route,
		Service:      x.service,
		Team:         x.team,
		Priority:     x.priority,
		Deadline:     x.deadline,
		PromptTokens: x.caller.PromptTokens,
		Prompt:       x.caller.PromptParts,
	}
}

// deny answers a call that the configuration does not allow.
func (x *exchange) deny(status int, reason scheduling.Reason, err error) bool {
	x.server.Trail.Failure("callDenied").Text("request", x.caller.RequestID).Text("reason", string(reason)).
		Int("status", int64(status)).Int("version", x.version()).Err(err).End()
	x.answerOwn(status, string(reason), 0)
	x.end(ResultDenied, string(reason), status)
	return false
}

func (x *exchange) version() int64 {
	if x.table == nil {
		return 0
	}
	return x.table.Version()
}

// refuse ends the call without an answer of an endpoint.
func (x *exchange) refuse(refusal scheduling.Refuse) {
	status := http.StatusServiceUnavailable
	result := ResultRefused
	if refusal.MayHaveRun {
		// Who may have been served is not told to come back.
		refusal.RetryAfter = 0
		result = ResultFailed
		status = http.StatusBadGateway
		if refusal.Reason == scheduling.ReasonTimedOut {
			status = http.StatusGatewayTimeout
		}
	}
	if x.committed {
		result = ResultTruncated
	}
	x.server.Trail.Failure("callRefused").Text("request", x.caller.RequestID).Text("reason", string(refusal.Reason)).
		Text("cause", string(refusal.Cause)).Bool("mayHaveRun", refusal.MayHaveRun).Int("attempts", int64(x.attempts)).Millis("retryAfter", refusal.RetryAfter).
		Int("endpoints", int64(refusal.KnownEndpoints)).Int("usable", int64(refusal.UsableEndpoints)).
		Int("waiting", int64(refusal.QueuedCalls)).Int("version", x.version()).
		Millis("after", time.Since(x.arrived)).Text("result", result).End()
	x.end(result, string(refusal.Reason), status)
	if x.committed {
		// The connection is closed without the end of the answer, so that it
		// cannot look complete.
		panic(http.ErrAbortHandler)
	}
	x.answerOwn(status, string(refusal.Reason), refusal.RetryAfter)
}

// answerOwn gives an answer of this host's own.
func (x *exchange) answerOwn(status int, reason string, retryAfter time.Duration) {
	header := x.writer.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	x.setConnection(header)
	x.writer.WriteHeader(status)
	// A caller that is gone needs no answer.
	_, _ = io.WriteString(x.writer, reason+"\n")
}

func (x *exchange) setConnection(header http.Header) {
	if x.server.leaving.Load() {
		header.Set("Connection", "close")
	}
}

// end counts and logs the end of the call.
func (x *exchange) end(result, reason string, status int) {
	now := time.Now()
	end := CallSummary{
		Route:      x.route,
		Service:    x.service,
		Priority:   x.priority,
		Result:     result,
		Reason:     reason,
		Status:     status,
		TotalTime:  now.Sub(x.arrived),
		QueueTime:  x.queued,
		LongestGap: x.stream.gap,
		Attempts:   x.attempts,
	}
	if !x.firstAt.IsZero() {
		end.TimeToFirstEvent = x.firstAt.Sub(x.arrived)
	}
	x.server.Meter.RecordCall(end)
	if result == ResultDenied {
		return
	}
	x.line("callEnded").Text("result", result).Int("status", int64(status)).Int("attempts", int64(x.attempts)).
		Millis("total", end.TotalTime).Millis("first", end.TimeToFirstEvent).Millis("gap", end.LongestGap).
		Int("events", int64(x.stream.events)).End()
}

// line begins a line on this call. Calls that began under pressure are left out
// whole; their failures are told all the same.
func (x *exchange) line(event string) *trail.Line {
	if !x.logged {
		return x.server.Trail.DiscardedLine()
	}
	return x.server.Trail.Event(event).Text("request", x.caller.RequestID)
}
