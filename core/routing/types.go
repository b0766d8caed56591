// Package routing chooses the endpoint for an attempt: it predicts when each
// candidate would give its first token and finish, keeps a window of running
// attempts for each endpoint, and keeps the endpoints' health.
//
// # Usage
//
//	router := routing.New(settings, random)
//	router.AddEndpoint(now, descriptor)
//	choice, ok := router.Pick(now, &ask)
//	if ok {
//		router.Sent(now, work)
//	}
//
// A Router is a state machine: it reads no clock, starts no goroutine, and
// takes its randomness from the source it was made with. It is not safe for
// concurrent use.
package routing

import (
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
)

// Request describes the work that needs an endpoint.
type Request struct {
	Tier profile.Tier
	// OnGuaranteedShare marks work of a lower tier that is asked for with the rights of Tier,
	// on its class's guaranteed share.
	OnGuaranteedShare bool
	Class             string
	Zone              string
	PromptTokens      int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// Prefix holds the hashes of the prompt's leading blocks.
	Prefix []uint64
	// Avoid lists endpoints that already failed the request; they are chosen
	// only when nothing else is left. It is never longer than a few entries.
	Avoid []endpoint.Key
	// Deadline is when the target is missed.
	Deadline time.Time
}

// Choice is the endpoint chosen for an Ask with the reasons, for explanation.
type Choice struct {
	Key endpoint.Key
	// TimeToFirstToken and Completion are the predicted delays from now.
	TimeToFirstToken time.Duration
	TimeToCompletion time.Duration
	// CachedTokens is the part of the prompt believed to be cached there.
	CachedTokens int
	// Candidates is how many endpoints were compared.
	Candidates int
	// IsProbe reports that the endpoint is being tried again after an ejection.
	IsProbe bool
}

// Attempt is an attempt that was sent to an endpoint.
type Attempt struct {
	Key          endpoint.Key
	Tier         profile.Tier
	Class        string
	PromptTokens int
	CachedTokens int
	OutputTokens int
	Prefix       []uint64
	SentAt       time.Time
	IsProbe      bool
}

// Outcome says how an attempt ended, as far as its endpoint is to blame.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeCompleted is a whole answer.
	OutcomeCompleted Outcome = iota
	// OutcomeCanceled is an attempt that we ended for our own reasons.
	OutcomeCanceled
	// OutcomeRejected is a refusal to start, such as a full queue.
	OutcomeRejected
	// OutcomeFailed is an error, a broken connection or a wrong answer.
	OutcomeFailed
	// OutcomeStalled is an attempt that stopped making progress.
	OutcomeStalled
)

// State is the health of an endpoint.
type State int

// The states of health.
const (
	StateHealthy State = iota
	StateSuspect
	StateEjected
	StateProbing
	StateLeaving
)

// String returns the state's name as it stands in dumps.
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
