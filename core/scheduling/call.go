package scheduling

import (
	"time"

	"cactuswell/core/route"
)

// CallID numbers the calls of one host's life.
type CallID uint64

// PromptPart is a part of a prompt. Prompts that begin with the same parts share what
// an engine has read of them.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Call is a caller's request as the decisions see it.
type Call struct {
	ID CallID
	// RequestID is the caller's name for it, for explanation.
	RequestID string
	Route     *route.Route
	Service   string
	Team      string
	// Priority is the rank in force: the team's, or else the route's.
	Priority int
	// Deadline is when the caller gives up, or the route's timeout is over.
	Deadline time.Time
	// PromptTokens is the size of a generation's prompt, and zero for plain
	// services.
	PromptTokens int
	Prompt       []PromptPart
}

// Key names one incarnation of an endpoint.
type Key struct {
	ID          string
	Incarnation int64
}

// Hash returns the short name by which hosts tell each other of an endpoint.
func (k Key) Hash() uint64 { return mix(uint64(k.Incarnation), hashID(k.ID)) }

// call is a call that has no final command yet.
type call struct {
	spec    Call
	pool    *pool
	arrived time.Time
	// chain holds a hash for each leading run of the prompt's parts.
	chain []uint64
	// state
	queued   bool
	holdTill time.Time
	target   *target
	sentAt   time.Time
	began    bool
	// work is the engine time expected to read the prompt at the target.
	work      time.Duration
	predicted time.Duration
	// held is the number of the prompt's leading tokens that some endpoint holds.
	held int
	// source is the endpoint from which the most of the prompt can be fetched, with
	// the number of leading tokens that it holds.
	source     *target
	sourceHeld int
	// homes are the endpoints that are preferred for the call's subject, if no host
	// has told of it.
	homes [homes]*target
	// ran counts the attempts that may have run; sends counts all.
	ran   int
	sends int
	// avoid holds the endpoints that failed the call.
	avoid []Key
	// cause is why the last attempt failed.
	cause Reason
	tight bool
}
