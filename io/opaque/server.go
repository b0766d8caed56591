// Package opaque serves calls whose bodies and answers it passes on unread: a
// route, found by host name and path, says who may call and which service
// answers.
//
// # Usage
//
//	server := opaque.New(opaque.Dependencies{
//		Tables:  tables,
//		Decider: decider,
//		Dialect: dialect,
//		Pool:    upstream.New(),
//		Trail:   lines,
//		Meter:   meter,
//	})
//	http.Serve(listener, server)
//
// What a caller gets is the whole answer of one endpoint, unchanged, or a plain
// failure that says whether the call may have run. An answer that breaks off
// never looks complete, and no byte of an answer to another request goes out.
// Streams are passed on event by event, whole events only, and may go on at
// another endpoint where the route allows it.
package opaque

import (
	"net/http"
	"sync/atomic"
	"time"

	"cactuswell/core/route"
	"cactuswell/core/scheduling"
	"cactuswell/io/upstream"
	"cactuswell/trail"
)

// Scheduler takes calls and says what is to be done with them.
type Scheduler interface {
	// Submit takes a call. What is decided comes on replies, which must have
	// room for one command. It reports false if there is no room for the call.
	Submit(call scheduling.Call, replies chan<- scheduling.Command) bool
	// Post tells of what happened to a call.
	Post(event scheduling.Event)
	// NextID returns the number of a new call.
	NextID() scheduling.CallID
	// RandomFloat returns a random number from 0 to 1.
	RandomFloat() float64
}

// Meter counts what callers get.
type Meter interface {
	// RecordCall counts a call that came to its end.
	RecordCall(end CallSummary)
}

// CallSummary is the end of a call, for the counters.
type CallSummary struct {
	Route    *route.Route
	Service  string
	Priority int
	// Result is one of the Result constants.
	Result string
	Reason string
	Status int
	// TotalTime is the time from the call's arrival to its end, Queued that until it
	// was first sent, First that to its first event or its answer, and Gap the
	// longest pause between two events.
	TotalTime        time.Duration
	QueueTime        time.Duration
	TimeToFirstEvent time.Duration
	LongestGap       time.Duration
	Attempts         int
}

// The results of calls.
const (
	ResultServed    = "served"
	ResultRefused   = "refused"
	ResultFailed    = "failed"
	ResultCanceled  = "callerLeft"
	ResultTruncated = "cut"
	ResultDenied    = "denied"
)

// Dependencies is what a server is made from.
type Dependencies struct {
	// RouteTable returns the configuration in force, or nil if there is none yet.
	RouteTable func() *route.Table
	Scheduler  Scheduler
	Dialect    Dialect
	Pool       *upstream.Pool
	Trail      *trail.Trail
	Meter      Meter
	// BodyMemory bounds the bodies of all open calls together, in bytes.
	BodyMemory int64
}

// Server serves callers. It is an http.Handler.
type Server struct {
	Dependencies
	leaving    atomic.Bool
	endsBy     atomic.Pointer[time.Time]
	open       atomic.Int64
	bodyMemory atomic.Int64
	cut        chan struct{}
}

// New returns a server.
func New(dependencies Dependencies) *Server {
	return &Server{
		Dependencies: dependencies,
		cut:          make(chan struct{}),
	}
}

// DisableKeepAlives makes every answer from now on the last one on its connection.
func (s *Server) DisableKeepAlives() { s.leaving.Store(true) }

// SetShutdownDeadline refuses from now on the streams that may last longer than until then: a
// caller is better served by another host than by a stream that is cut.
func (s *Server) SetShutdownDeadline(till time.Time) { s.endsBy.Store(&till) }

// outlives reports whether a stream with that deadline may last longer than the
// server.
func (s *Server) outlives(deadline time.Time) bool {
	till := s.endsBy.Load()
	return till != nil && deadline.After(*till)
}

// AbortCalls ends the calls that are still open. It may be called once.
func (s *Server) AbortCalls() { close(s.cut) }

// OpenCalls returns the number of open calls.
func (s *Server) OpenCalls() int64 { return s.open.Load() }

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.open.Add(1)
	defer s.open.Add(-1)
	x := &exchange{
		server:  s,
		writer:  w,
		request: r,
		arrived: time.Now(),
		logged:  !s.Trail.IsUnderPressure(),
	}
	defer x.releaseBody()
	x.run()
}
