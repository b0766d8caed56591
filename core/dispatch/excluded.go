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

func (c *excludedEndpoints) has(key endpoint.Key) bool {
	_, drained := c.drained[key]
	return drained || c.leaving.has(key)
}

// setDrained records or removes a drain. Drains beyond maxLeaving are not
// recorded; only the router honors them.
func (c *excludedEndpoints) setDrained(key endpoint.Key, drained bool) {
	if !drained {
		delete(c.drained, key)
		return
	}
	if len(c.drained) < maxLeaving {
		c.drained[key] = struct{}{}
	}
}
