package dispatch

import (
	"time"

	"cactuswell/core/endpoint"
)

// DecisionKind is the kind of a decision.
type DecisionKind string

// The kinds of decision.
const (
	DecisionQueued       DecisionKind = "queued"
	DecisionStarted      DecisionKind = "started"
	DecisionAdopted      DecisionKind = "adopted"
	DecisionResumed      DecisionKind = "resumed"
	DecisionCanceled     DecisionKind = "canceled"
	DecisionFailed       DecisionKind = "failed"
	DecisionRetry        DecisionKind = "retryScheduled"
	DecisionWaitExtended DecisionKind = "held"
	DecisionCompleted    DecisionKind = "completed"
	DecisionRefused      DecisionKind = "refused"
)

// Decision is one decision on one request, recorded to explain how the request
// was handled.
type Decision struct {
	Request  RequestID    `json:"request"`
	At       time.Time    `json:"at"`
	Kind     DecisionKind `json:"kind"`
	Attempt  uint32       `json:"attempt,omitempty"`
	Endpoint endpoint.Key `json:"endpoint"`
	// Reason is the reason for a refusal, a cancellation or the start of an
	// attempt, or the kind of failure.
	Reason string `json:"reason,omitempty"`
	// FirstToken and Completion are the predicted delays until the first token
	// and the completion of a started attempt.
	FirstToken   time.Duration `json:"firstTokenNs,omitempty"`
	Completion   time.Duration `json:"completionNs,omitempty"`
	CachedTokens int           `json:"cachedTokens,omitempty"`
	Candidates   int           `json:"candidates,omitempty"`
	Probe        bool          `json:"probe,omitempty"`
	// Wait is the time since the request's arrival, or the delay before a retry.
	Wait time.Duration `json:"waitNs,omitempty"`
	// Tokens is the number of tokens that the decision was based on.
	Tokens int `json:"tokens,omitempty"`
}

// decisionLog is a ring buffer of the latest decisions.
type decisionLog struct {
	decisions []Decision
	next      int
	full      bool
}

func newDecisionLog(size int) decisionLog {
	return decisionLog{
		decisions: make([]Decision, size),
	}
}

func (j *decisionLog) add(decision Decision) {
	j.decisions[j.next] = decision
	j.next++
	if j.next == len(j.decisions) {
		j.next = 0
		j.full = true
	}
}

// of returns the decisions on a request that are still in the log, the oldest
// first.
func (j *decisionLog) of(id RequestID) []Decision {
	var found []Decision
	if j.full {
		found = appendDecisionsOf(found, j.decisions[j.next:], id)
	}
	return appendDecisionsOf(found, j.decisions[:j.next], id)
}

func appendDecisionsOf(found, decisions []Decision, id RequestID) []Decision {
	for i := range decisions {
		if decisions[i].Request == id {
			found = append(found, decisions[i])
		}
	}
	return found
}
