package placement

import (
	"slices"

	"cactuswell/core/endpoint"
)

// Engine is one engine of a pool as it was observed.
type Engine struct {
	Key           endpoint.Key
	Zone          string
	ChecksFencing bool
	// Reachable reports whether the engine's state and load were read at
	// this observation.
	Reachable bool
	// Suspect reports whether an engine that is not reachable served a short
	// while ago. It does not count as live, but is not replaced yet.
	Suspect bool
	// Leaving reports whether the engine is handed over: it leaves, or an
	// operator drained it.
	Leaving bool
	// Drained reports whether a placement holder drained it.
	Drained bool
	// Settled reports whether its drain is in force on every live host and a
	// load report was made since.
	Settled bool
	Version string
	// Loading names the version that is being loaded, or is empty.
	Loading  string
	Adapters []string
	Role     string
	// Busy is the work that it runs or queues, TopTier the part of it that is
	// of the most urgent tier. If the parts are not known, TopTier is Busy.
	Busy    int
	TopTier int
	Slots   int
}

// Live reports whether the engine serves.
func (e Engine) Live() bool {
	return e.Reachable && !e.Leaving && !e.Drained && e.Version != "" && e.Loading == ""
}

// mayReturn reports whether the engine may well serve again in a moment.
func (e Engine) mayReturn() bool {
	return !e.Reachable && e.Suspect && !e.Leaving && !e.Drained
}

// Holds reports whether the engine holds what is wanted.
func (e Engine) Holds(model Model) bool {
	if !e.Reachable || e.Loading != "" || e.Version != model.Version || e.Role != model.Role {
		return false
	}
	held := slices.Sorted(slices.Values(e.Adapters))
	return slices.Equal(held, slices.Sorted(slices.Values(model.Adapters)))
}

// usable reports whether placement may do something with the engine.
func (e Engine) usable() bool {
	return e.Reachable && !e.Leaving
}
