// Package routing chooses the endpoint for an attempt. It predicts the time to
// first token and the completion time at each candidate, limits the attempts
// that run concurrently at each endpoint, and tracks the endpoints' health.
//
// # Usage
//
//	router := routing.New(settings, random)
//	router.AddEndpoint(now, descriptor)
//	choice, ok := router.Pick(now, &request)
//	if ok {
//		router.RecordSent(now, attempt)
//	}
//
// A Router is a state machine: it reads no clock, starts no goroutine, and
// takes its randomness from the source that was passed to New. It is not safe
// for concurrent use.
package routing

import (
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
)

// Request describes work that needs an endpoint.
type Request struct {
	Tier profile.Tier
	// OnGuaranteedShare reports whether the attempt uses its class's guaranteed
	// share: it is placed with the rights of Tier although its own tier is lower.
	OnGuaranteedShare bool
	Class             string
	Zone              string
	PromptTokens      int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// PrefixHashes holds the hashes of the prompt's leading blocks.
	PrefixHashes []uint64
	// Avoid lists endpoints that already failed the request; they are chosen
	// only when no other candidate has room. It has a few entries at most.
	Avoid []endpoint.Key
	// Deadline is the time after which the latency target is missed.
	Deadline time.Time
}

// Choice is the endpoint chosen for a Request, with the predictions that explain
// the choice.
type Choice struct {
	Key endpoint.Key
	// TimeToFirstToken and TimeToCompletion are the predicted delays from now.
	TimeToFirstToken time.Duration
	TimeToCompletion time.Duration
	// CachedTokens is the estimated number of prompt tokens in the endpoint's
	// prefix cache.
	CachedTokens int
	// Candidates is the number of endpoints that were compared.
	Candidates int
	// IsProbe reports whether the attempt probes an endpoint after an ejection.
	IsProbe bool
}

// Attempt describes an attempt that was sent to an endpoint.
type Attempt struct {
	Key          endpoint.Key
	Tier         profile.Tier
	Class        string
	PromptTokens int
	CachedTokens int
	OutputTokens int
	PrefixHashes []uint64
	SentAt       time.Time
	IsProbe      bool
}

// Outcome is how an attempt ended, as it counts for the endpoint's health.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeCompleted is a complete answer.
	OutcomeCompleted Outcome = iota
	// OutcomeCanceled is an attempt that this host canceled for reasons of its
	// own. It does not affect the endpoint's health.
	OutcomeCanceled
	// OutcomeRejected is an attempt that the endpoint refused to start, for
	// example because its queue is full.
	OutcomeRejected
	// OutcomeFailed is an error, a broken connection or a malformed answer.
	OutcomeFailed
	// OutcomeStalled is an attempt that made no progress within StallTimeout.
	OutcomeStalled
)

// State is the health state of an endpoint.
type State int

// The health states of an endpoint.
const (
	StateHealthy State = iota
	StateSuspect
	StateEjected
	StateProbing
	StateLeaving
)

// String returns the state's name as written in dumps.
func (s State) String() string {
	switch s {
	case StateHealthy:
		return "healthy"
	case StateSuspect:
		return "suspect"
	case StateEjected:
		return "ejected"
	case StateProbing:
		return "probing"
	case StateLeaving:
		return "leaving"
	}
	return "unknown"
}
