package placement

import "cactuswell/core/endpoint"

// Action is one kind of move.
type Action string

// The moves. Between a load and a taking in, the engine's state is read back
// and must be the wanted one.
const (
	ActionDrain  Action = "drain"
	ActionLoad   Action = "load"
	ActionTakeIn Action = "takeIn"
)

// Move is one step at one engine.
type Move struct {
	Action   Action       `json:"action"`
	Endpoint endpoint.Key `json:"endpoint"`
	// Urgent reports whether the pool has less than its least copies.
	Urgent bool   `json:"urgent,omitempty"`
	Reason string `json:"reason"`
}

// Reason says why nothing is done at an endpoint, or in a pool if the endpoint
// is empty.
type Reason struct {
	Endpoint string `json:"endpoint,omitempty"`
	Text     string `json:"text"`
}

// Plan is what is to be done next in one pool.
type Plan struct {
	Pool string `json:"pool"`
	// Live counts the engines that serve, Outdated those of them that do not
	// hold what is wanted.
	Live     int `json:"live"`
	Outdated int `json:"outdated"`
	Target   int `json:"target"`
	// Move is the next move, or nil.
	Move    *Move    `json:"move,omitempty"`
	Reasons []Reason `json:"reasons,omitempty"`
}
