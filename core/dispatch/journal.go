package dispatch

import (
	"time"

	"cactuswell/core/endpoint"
)

// DecisionKind says what was decided.
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

// Decision is one decision on one request, for explanation.
type Decision struct {
	Request  RequestID    `json:"request"`
	At       time.Time    `json:"at"`
	Kind     DecisionKind `json:"kind"`
	Attempt  uint32       `json:"attempt,omitempty"`
	Endpoint endpoint.Key `json:"endpoint"`
	// Reason is a refusal's or cancellation's reason, the kind of failure, or
	// what an attempt was started for.
	Reason string `json:"reason,omitempty"`
	// FirstToken and Completion are the predicted delays of a started attempt.
	FirstToken   time.Duration `json:"firstTokenNs,omitempty"`
	Completion   time.Duration `json:"completionNs,omitempty"`
	CachedTokens int           `json:"cachedTokens,omitempty"`
	Candidates   int           `json:"candidates,omitempty"`
	Probe        bool          `json:"probe,omitempty"`
	// Wait is how long the request had waited, or is to wait for a retry.
	Wait time.Duration `json:"waitNs,omitempty"`
	// Tokens is the number of tokens that the decision counted with.
	Tokens int `json:"tokens,omitempty"`
}

// journal is a bounded ring of the latest decisions.
type journal struct {
	decisions []Decision
	next      int
	full      bool
}

func newJournal(size int) journal {
	return journal{
		decisions: make([]Decision, size),
	}
}

func (j *journal) add(decision Decision) {
	j.decisions[j.next] = decision
	j.next++
	if j.next == len(j.decisions) {
		j.next = 0
		j.full = true
	}
}

// of returns the kept decisions on a request, the oldest first.
func (j *journal) of(id RequestID) []Decision {
	var found []Decision
	if j.full {
		found = appendDecisions(found, j.decisions[j.next:], id)
	}
	return appendDecisions(found, j.decisions[:j.next], id)
}

func appendDecisions(found, decisions []Decision, id RequestID) []Decision {
	for i := range decisions {
		if decisions[i].Request == id {
			found = append(found, decisions[i])
		}
	}
	return found
}
