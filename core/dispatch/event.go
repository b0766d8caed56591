// Package dispatch schedules the requests of one pool (one model or one plain
// service) on one host. It decides which requests are queued or refused, which
// endpoint each is sent to, and when one is retried, hedged, resumed or canceled.
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
// A dispatcher is a state machine that takes typed events with their time and
// returns typed commands. It reads no clock, opens no socket and starts no
// goroutine, so the same code runs in production, in tests and in experiments.
// It is not safe for concurrent use.
package dispatch

import (
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
)

// RequestID identifies a request within one incarnation of a host. Zero means
// none.
type RequestID uint64

// AttemptID identifies one attempt at a request. Attempts of a request are
// numbered from 1.
type AttemptID struct {
	Request RequestID
	Number  uint32
}

// Request holds what the dispatcher needs to know of a caller's request. It
// does not hold the prompt itself.
type Request struct {
	ID      RequestID
	Team    string
	Profile profile.Profile
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// MaxTokens is the maximum length of the answer, or zero for no limit.
	MaxTokens int
	// PrefixHashes holds the hashes of the prompt's leading blocks.
	PrefixHashes []uint64
	// AtMostOnce marks a request that must not be sent again once any byte of an
	// attempt may have left the host. It is set for non-idempotent profiles.
	AtMostOnce bool
}

// Dispatcher is the interface of a dispatching state machine. Pool and the
// baselines that it is compared with implement it.
type Dispatcher interface {
	// Step handles one event that happened at now, appends the resulting
	// commands to commands, and returns the extended slice. now must not go
	// backwards between calls.
	Step(now time.Time, event Event, commands []Command) []Command
	// NextWake returns the time at which a Tick event is due. It returns false
	// when none is due.
	NextWake() (time.Time, bool)
}

// Event is an input of a dispatcher. All event types are in this file.
type Event interface {
	isEvent()
}

// RequestArrived reports a new request.
type RequestArrived struct {
	Request Request
}

// RequestCanceled reports that the caller no longer waits for the answer.
type RequestCanceled struct {
	Request RequestID
}

// AttemptAccepted reports that the endpoint accepted the attempt.
type AttemptAccepted struct {
	Attempt AttemptID
}

// AttemptProgressed reports that the attempt has produced Tokens tokens in
// total. One event may cover several new tokens. It is not sent for a plain
// service.
type AttemptProgressed struct {
	Attempt AttemptID
	Tokens  int
}

// AttemptFinished reports that the complete answer arrived and was checked.
type AttemptFinished struct {
	Attempt AttemptID
	// Tokens is the length of the complete answer.
	Tokens int
}

// AttemptFailed reports that the attempt ended without a complete answer.
type AttemptFailed struct {
	Attempt AttemptID
	Failure Failure
}

// EndpointAdded reports a new endpoint, or a new incarnation of one.
type EndpointAdded struct {
	Descriptor endpoint.Descriptor
}

// EndpointLeaving reports that an endpoint accepts no new work. This is never
// reverted for that incarnation.
type EndpointLeaving struct {
	Key endpoint.Key
}

// EndpointDrainChanged reports that an operator drained an endpoint or reverted
// the drain. An endpoint that is leaving stays leaving.
type EndpointDrainChanged struct {
	Key     endpoint.Key
	Drained bool
}

// EndpointRemoved reports that an endpoint was removed.
type EndpointRemoved struct {
	Key endpoint.Key
}

// LoadReported delivers an endpoint's report of its load.
type LoadReported struct {
	Report endpoint.Report
}

// CacheChanged delivers an engine's prefix cache events.
type CacheChanged struct {
	Update endpoint.CacheUpdate
}

// HostCountChanged reports how many hosts share the pool's endpoints.
type HostCountChanged struct {
	Hosts int
}

// Tick carries only the time, so that due timers run.
type Tick struct{}

// DrainStarted reports that the host is shutting down: new requests are
// refused, and requests already accepted are finished.
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
func (HostCountChanged) isEvent()     {}
func (Tick) isEvent()                 {}
func (DrainStarted) isEvent()         {}

// Failure is the way in which an attempt failed. All failure types are in this
// file.
type Failure interface {
	isFailure()
}

// NotStarted means that the attempt certainly did not run: the connection was
// refused, or the endpoint reported that it did not start the attempt.
type NotStarted struct {
	// RetryAfter is the delay that the endpoint asked for before the next
	// attempt, or zero.
	RetryAfter time.Duration
}

// Broken means that the connection was lost or the answer was truncated. The
// endpoint may have run the attempt, partly or completely.
type Broken struct{}

// Errored means that the endpoint answered with an error. It may have run the
// attempt.
type Errored struct {
	// Status is the HTTP status code.
	Status int
	// Permanent marks an error that a retry would not change, such as a
	// rejected request body.
	Permanent bool
}

// Mismatched means that the answer belongs to another attempt.
type Mismatched struct{}

// UnknownAttempt means that the endpoint no longer knows the attempt that was
// to be resumed.
type UnknownAttempt struct{}

func (NotStarted) isFailure()     {}
func (Broken) isFailure()         {}
func (Errored) isFailure()        {}
func (Mismatched) isFailure()     {}
func (UnknownAttempt) isFailure() {}
