// Package opaque serves calls whose request and response bodies it forwards
// without parsing them. The route, which is looked up by host name and path,
// determines who may call and which service responds.
//
// # Usage
//
//	server := opaque.New(opaque.Dependencies{
//		RouteTable: routeTable,
//		Scheduler:  scheduler,
//		Dialect:    dialect,
//		Pool:       upstream.New(upstream.Dependencies{}),
//		Trail:      lines,
//		Meter:      meter,
//	})
//	http.Serve(listener, server)
//
// A caller gets either the complete, unmodified response of one endpoint or an
// error response that states whether the call may have run. A truncated response
// never looks complete to the caller, and no byte of a response to another request
// is forwarded. Streams are forwarded event by event, in whole events only, and
// may be resumed at another endpoint if the route allows it.
package opaque

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cactuswell/core/evidence"
	"cactuswell/core/irregularity"
	"cactuswell/core/resumption"
	"cactuswell/core/route"
	"cactuswell/core/scheduling"
	"cactuswell/core/shutdown"
	"cactuswell/core/wholeness"
	"cactuswell/io/upstream"
	"cactuswell/trail"
)

// Scheduler decides what is done with calls.
type Scheduler interface {
	// Submit accepts a call. The commands for the call are sent to the given channel,
	// which must have room for them. It reports false if there is no room for the
	// call.
	Submit(call scheduling.Call, commands chan<- scheduling.Command) bool
	// Post reports an event of a call.
	Post(event scheduling.Event)
	// NextID returns the ID for a new call.
	NextID() scheduling.CallID
	// RandomFloat returns a random number from 0 to 1.
	RandomFloat() float64
}

// Meter collects metrics of calls.
type Meter interface {
	// RecordCall records a finished call.
	RecordCall(summary CallSummary)
	// RecordExcess records a response of which a part exceeds its bound.
	RecordExcess(part upstream.Part)
	// RecordContinuation records that an attempt writes to an answer of which the caller has got a part of
	// another attempt.
	RecordContinuation(r *route.Route)
	// RecordResumption records what an attempt shows of the last event of a stream, what speaks against the event, and
	// whether the stream goes on.
	RecordResumption(finding resumption.Finding, doubt resumption.Doubt, goesOn bool)
	// RecordSign records a block of a stream that differs from those before it as one of another response does.
	RecordSign(sign irregularity.Sign)
	// RecordHold records how blocks behind such a sign, which were held back, have ended.
	RecordHold(sign irregularity.Sign, end string)
	// RecordSilence records how the silence of an attempt has ended: "progress", "givenUp", or "ended" with the attempt.
	RecordSilence(end string)
	// RecordHeadRefusal records a response with an invalid head or trailer.
	RecordHeadRefusal(reason string)
	// RecordConnectionEnd records how an answer without a length has ended with its connection.
	RecordConnectionEnd(end string)
	// RecordSplice records a body that holds a part of another response.
	RecordSplice(reason wholeness.Reason)
}

// ExecutionRecorder records the requests that began to run.
type ExecutionRecorder interface {
	// RecordExecution records a request of a team: a stream when its first event arrives, another
	// request when an endpoint has worked on it. It is called once for each request.
	RecordExecution(team string)
}

// CallSummary summarizes a finished call for the metrics.
type CallSummary struct {
	Route    *route.Route
	Service  string
	Priority int
	// Result is one of the Result constants.
	Result string
	Reason string
	Status int
	// TotalTime, QueueTime and TimeToFirstEvent are the times from the call's
	// arrival until it was finished, until it was first sent, and until its first
	// event or its response. LongestGap is the longest gap between two events.
	TotalTime        time.Duration
	QueueTime        time.Duration
	TimeToFirstEvent time.Duration
	LongestGap       time.Duration
	Attempts         int
	// Answer describes the answer, if the result is ResultServed.
	Answer AnswerSummary
}

// AnswerSummary describes an endpoint's answer that was delivered to its end.
type AnswerSummary struct {
	EndpointID string
	// Framing is how the endpoint marked the end of the body: "length", "chunks" or "end" of the connection.
	Framing string
	// BodyBytes is the size of the body of the last attempt.
	BodyBytes int64
	// InParts is set if the body was forwarded as it arrived, and not in one piece.
	InParts bool
	// Connection is "new", "kept", "newTunnel" or "keptTunnel", and ThroughHost the host through which a tunnel leads.
	Connection  string
	ThroughHost string
	// Writers is the number of attempts whose bytes the caller has got.
	Writers int
	// Followed is what had arrived on the connection after the body: "nothing", "answer" or "other".
	Followed string
	// ConnectionEnd describes how the body has ended with the connection.
	ConnectionEnd upstream.ConnectionEnd
}

// Results of calls.
const (
	ResultServed    = "served"
	ResultRefused   = "refused"
	ResultFailed    = "failed"
	ResultCanceled  = "callerLeft"
	ResultTruncated = "cut"
	ResultDenied    = "denied"
)

// StreamVersions keeps at which software version resumable streams have begun. A stream is
// named by the request ID of the call that brought its first event.
type StreamVersions interface {
	// Record begins to keep the version of a stream, in place of an earlier record of it unless
	// that is nil. It returns nil if the version need not be kept.
	Record(service, requestID, version string, replaced StreamRecord) StreamRecord
	// Find returns the version of a stream.
	Find(ctx context.Context, service, requestID string) (FoundVersion, error)
}

// StreamRecord is a record of the version of a stream that is being kept.
type StreamRecord interface {
	// Version is the version of the stream.
	Version() string
	// Await waits until the record is kept. The error tells that it is not yet, or not for sure.
	Await(ctx context.Context, limit time.Duration) error
}

// FoundVersion is the version of a stream, and what tells it.
type FoundVersion struct {
	Version string
	Source  VersionSource
}

// VersionSource is what tells the version of a stream.
type VersionSource string

// The sources.
const (
	// VersionRecorded means that the stream has a record.
	VersionRecorded VersionSource = "record"
	// VersionOfBase means that it has none, and thus the base version.
	VersionOfBase VersionSource = "noRecord"
	// VersionSettled means that no stream of another version can be left.
	VersionSettled VersionSource = "settled"
)

// Dependencies holds what a Server needs.
type Dependencies struct {
	// RouteTable returns the configuration in force, or nil if there is none yet, and since when
	// this host has had it. It is called for each call.
	RouteTable func() (*route.Table, time.Time)
	Scheduler  Scheduler
	Dialect    Dialect
	Pool       *upstream.Pool
	// Versions keeps the software versions of streams. If it is nil, streams that are taken
	// up again go on at any version.
	Versions StreamVersions
	Trail    *trail.Trail
	Meter    Meter
	// Executions records the requests that began to run, unless it is nil.
	Executions ExecutionRecorder
	// BodyMemory bounds the total size of the bodies of all open calls, in bytes, and
	// ResponseMemory that of the parts of responses that are buffered.
	BodyMemory     int64
	ResponseMemory int64
	// CloseStalledWriters closes the connections of callers that do not read their
	// responses, as the memory for responses is short. It reports false if there are none.
	// It may be nil.
	CloseStalledWriters func() bool
	// ResponseLimit is the maximum size of a response body, in bytes.
	ResponseLimit int64
}

// Server is the http.Handler that serves callers.
type Server struct {
	Dependencies
	closeConnections atomic.Bool
	shutdownPlan     atomic.Pointer[shutdown.Plan]
	openCalls        atomic.Int64
	bodyMemory       memoryBudget
	responseMemory   memoryBudget
	arriving         arrivingBodies
	// draining is closed once waiting calls that may outlast the host are refused.
	draining chan struct{}
	// aborted is done once the open calls are broken off.
	aborted context.Context
	abort   context.CancelFunc

	sentIDsMu sync.Mutex
	sentIDs   *evidence.IDs

	durationsMu sync.Mutex
	durations   *shutdown.Durations
}

// New returns a Server.
func New(dependencies Dependencies) *Server {
	s := &Server{
		Dependencies: dependencies,
		bodyMemory: memoryBudget{
			limit:      dependencies.BodyMemory,
			leavesRoom: true,
			released:   make(chan struct{}, 1),
		},
		responseMemory: memoryBudget{
			limit:    dependencies.ResponseMemory,
			released: make(chan struct{}, 1),
		},
		arriving:  arrivingBodies{open: make(map[*arrivingBody]struct{})},
		draining:  make(chan struct{}),
		sentIDs:   evidence.NewIDs(),
		durations: shutdown.NewDurations(),
	}
	s.aborted, s.abort = context.WithCancel(context.Background())
	s.bodyMemory.reclaim = s.arriving.makeRoom
	if dependencies.CloseStalledWriters != nil {
		s.responseMemory.reclaim = func(int64) bool { return dependencies.CloseStalledWriters() }
	}
	return s
}

// BodyBytes returns the memory that the bodies of all open calls take at the moment, and
// ResponseBytes that of the buffered parts of responses.
func (s *Server) BodyBytes() int64 { return s.bodyMemory.taken.Load() }

// ResponseBytes returns the memory of the buffered parts of responses.
func (s *Server) ResponseBytes() int64 { return s.responseMemory.taken.Load() }

// BeginShutdown makes every response from now on close its connection, and refuses calls that may
// outlast the server before they are passed on: another host can serve them without breaking
// them off.
func (s *Server) BeginShutdown(plan shutdown.Plan) {
	s.shutdownPlan.Store(&plan)
	s.closeConnections.Store(true)
}

// RefuseWaitingCalls refuses the waiting calls that may outlast the server. It must not be called more
// than once.
func (s *Server) RefuseWaitingCalls() { close(s.draining) }

// mayOutlast reports whether a call that is about to be passed on is refused, as it may last
// beyond the server's shutdown.
func (s *Server) mayOutlast(r *route.Route, deadline time.Time) bool {
	plan := s.shutdownPlan.Load()
	if plan == nil {
		return false
	}
	now := time.Now()
	s.durationsMu.Lock()
	longest := s.durations.Longest(now, r.Name)
	s.durationsMu.Unlock()
	return plan.Refuses(now, shutdown.Call{
		Deadline:  deadline,
		MayRepeat: r.Kind == route.Safe,
		Longest:   longest,
	})
}

// recordID records that the ID of a call is about to be sent to an address.
func (s *Server) recordID(id, address string, call scheduling.CallID) {
	s.sentIDsMu.Lock()
	defer s.sentIDsMu.Unlock()
	s.sentIDs.Add(time.Now(), id, address, uint64(call))
}

// isIDShared reports whether several calls with an ID were sent to an address.
func (s *Server) isIDShared(id, address string) bool {
	s.sentIDsMu.Lock()
	defer s.sentIDsMu.Unlock()
	return s.sentIDs.IsShared(id, address)
}

// recordDuration records the time of a call from its last attempt to the end of its answer.
func (s *Server) recordDuration(r *route.Route, taken time.Duration) {
	s.durationsMu.Lock()
	defer s.durationsMu.Unlock()
	s.durations.Record(time.Now(), r.Name, taken)
}

// AbortCalls breaks off the open calls. Callers that have no part of an answer get a response of
// this host's own.
func (s *Server) AbortCalls() {
	s.abort()
	s.arriving.failAll()
}

// isAborted reports whether the open calls are broken off.
func (s *Server) isAborted() bool { return s.aborted.Err() != nil }

// OpenCalls returns the number of open calls.
func (s *Server) OpenCalls() int64 { return s.openCalls.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.openCalls.Add(1)
	defer s.openCalls.Add(-1)
	unmarked := newUnmarkedWriter(w, r)
	if unmarked != nil {
		w = unmarked
	}
	x := &exchange{
		server:      s,
		answer:      answer{writer: w},
		request:     r,
		arrivedAt:   time.Now(),
		logged:      !s.Trail.IsOverloaded(),
		body:        buffer{budget: &s.bodyMemory},
		failureBody: buffer{budget: &s.responseMemory},
		account:     evidence.New(false),
	}
	defer x.release()
	x.run()
	if x.answer.state != answerEnded {
		// A caller, also one that has closed only its sending side, would take the end of the handler
		// for the end of a complete response.
		x.abortResponse()
	}
	if unmarked != nil {
		unmarked.end()
	}
}
