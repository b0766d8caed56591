package dispatch

import "cactuswell/core/endpoint"

// excludedEndpoints holds the endpoints that get no new work: those that are
// leaving and those drained by an operator.
type excludedEndpoints struct {
	leaving leavingEndpoints
	drained map[endpoint.Key]struct{}
}

func newExcludedEndpoints() excludedEndpoints {
	return excludedEndpoints{
		leaving: newLeavingEndpoints(),
		drained: make(map[endpoint.Key]struct{}),
	}
}

func (e *excludedEndpoints) has(key endpoint.Key) bool {
	_, drained := e.drained[key]
	return drained || e.leaving.has(key)
}

// setDrained records or removes a drain. Drains beyond maxExcluded are not
// recorded; only the router honors them.
func (e *excludedEndpoints) setDrained(key endpoint.Key, drained bool) {
	if !drained {
		delete(e.drained, key)
		return
	}
	if len(e.drained) < maxExcluded {
		e.drained[key] = struct{}{}
	}
}
