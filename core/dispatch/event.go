// Package dispatch decides what happens to the requests of one pool (one model
// or one plain service) on one host: which wait, which are refused, where each
// is sent, and when it is retried, hedged, resumed or canceled.
//
// # Usage
//
//	pool := dispatch.New(settings, router, random)
//	commands = pool.Step(now, event, commands[:0])
//	for _, command := range commands {
//		switch command := command.(type) {
//		case dispatch.StartAttempt:
//			...
//		}
//	}
//	wake, ok := pool.NextWake()
//
// A dispatcher is a state machine: typed events go in with their time and typed
// commands come out. It reads no clock, opens no socket and starts no
// goroutine, so the same code runs in production, in tests and in experiments.
// It is not safe for concurrent use.
package dispatch

import (
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
)

// RequestID numbers the requests of one host's life. Zero stands for none.
type RequestID uint64

// AttemptID names one attempt at a request. Numbers count from 1 for each
// request.
type AttemptID struct {
	Request RequestID
	Number  uint32
}

// Request is a caller's request as the decisions see it; the prompt itself
// stays outside.
type Request struct {
	ID      RequestID
	Team    string
	Profile profile.Profile
	// PromptTokens estimates the length of the prompt.
	PromptTokens int
	// MaxTokens bounds the answer, or is zero for none.
	MaxTokens int
	// Prefix holds the hashes of the prompt's leading blocks.
	Prefix []uint64
	// AtMostOnce marks a request whose attempt must never be repeated after a byte of
	// it may have left the host. It is set for non-idempotent profiles.
	AtMostOnce bool
}

// Dispatcher is the seam between decisions and their surroundings. The product
// and the baselines that it is measured against implement it.
type Dispatcher interface {
	// Step takes one event that happened at now, appends the commands that
	// follow from it to commands, and returns the extended slice. Times never
	// go backwards.
	Step(now time.Time, event Event, commands []Command) []Command
	// NextWake returns the time at which a TimePassed event is due. It reports
	// false when none is.
	NextWake() (time.Time, bool)
}

// Event is something that happened to a pool. The types of this file are all
// there are.
type Event interface {
	isEvent()
}

// RequestArrived brings a new request.
type RequestArrived struct {
	Request Request
}

// RequestCanceled says that the caller no longer waits.
type RequestCanceled struct {
	Request RequestID
}

// AttemptAccepted says that the endpoint took the attempt and will answer.
type AttemptAccepted struct {
	Attempt AttemptID
}

// AttemptProgressed says that the attempt has produced Tokens tokens in all. One
// event may stand for several tokens. For a plain service it is not sent.
type AttemptProgressed struct {
	Attempt AttemptID
	Tokens  int
}

// AttemptFinished says that the whole answer arrived and was checked.
type AttemptFinished struct {
	Attempt AttemptID
	// Tokens is the length of the whole answer.
	Tokens int
}

// AttemptFailed says that the attempt ended without a whole answer.
type AttemptFailed struct {
	Attempt AttemptID
	Failure Failure
}

// EndpointAdded brings an endpoint, or a new incarnation of one.
type EndpointAdded struct {
	Descriptor endpoint.Descriptor
}

// EndpointLeaving says that an endpoint takes no new work. It holds for that
// incarnation for ever.
type EndpointLeaving struct {
	Key endpoint.Key
}

// EndpointDrainChanged says that an operator drains an endpoint, or takes the drain
// back. An endpoint that is leaving stays leaving.
type EndpointDrainChanged struct {
	Key     endpoint.Key
	Drained bool
}

// EndpointRemoved says that an endpoint is gone.
type EndpointRemoved struct {
	Key endpoint.Key
}

// LoadReported brings an endpoint's account of its load.
type LoadReported struct {
	Report endpoint.Report
}

// CacheChanged brings an engine's prefix cache events.
type CacheChanged struct {
	Update endpoint.CacheUpdate
}

// HostsCounted says how many hosts share the pool's endpoints.
type HostsCounted struct {
	Hosts int
}

// Tick says only that time has passed.
type Tick struct{}

// DrainStarted says that the host stops: requests that arrive from now on are
// refused, and those already taken are finished.
type DrainStarted struct{}

func (RequestArrived) isEvent()       {}
func (RequestCanceled) isEvent()      {}
func (AttemptAccepted) isEvent()      {}
func (AttemptProgressed) isEvent()    {}
func (AttemptFinished) isEvent()      {}
func (AttemptFailed) isEvent()        {}
func (EndpointAdded) isEvent()        {}
func (EndpointLeaving) isEvent()      {}
func (EndpointDrainChanged) isEvent() {}
func (EndpointRemoved) isEvent()      {}
func (LoadReported) isEvent()         {}
func (CacheChanged) isEvent()         {}
func (HostsCounted) isEvent()         {}
func (Tick) isEvent()                 {}
func (DrainStarted) isEvent()         {}

// Failure says how an attempt failed. The types of this file are all there are.
type Failure interface {
	isFailure()
}

// NotStarted is a failure after which it is certain that nothing was run: the
// connection was refused, or the endpoint said that it did not start.
type NotStarted struct {
	// RetryAfter is how long the endpoint asked us to stay away, or zero.
	RetryAfter time.Duration
}

// Broken is a lost connection or a truncated answer. The endpoint may have run
// the attempt, in part or whole.
type Broken struct{}

// Errored is an error answer of the endpoint. It may have run the attempt.
type Errored struct {
	// Status is the HTTP status.
	Status int
	// Permanent marks an answer that a retry would not change, such as a
	// rejected body.
	Permanent bool
}

// Mismatched is an answer that belongs to another attempt.
type Mismatched struct{}

// UnknownAttempt says that the endpoint no longer knows the attempt that was to be
// resumed.
type UnknownAttempt struct{}

func (NotStarted) isFailure()     {}
func (Broken) isFailure()         {}
func (Errored) isFailure()        {}
func (Mismatched) isFailure()     {}
func (UnknownAttempt) isFailure() {}
