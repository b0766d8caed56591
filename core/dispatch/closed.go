package dispatch

import "cactuswell/core/endpoint"

// closedKeys says which endpoints get no new work: those that are leaving, and
// those that an operator drains.
type closedKeys struct {
	leaving leavingKeys
	drained map[endpoint.Key]struct{}
}

func newClosedKeys() closedKeys {
	return closedKeys{
		leaving: newLeavingKeys(),
		drained: make(map[endpoint.Key]struct{}),
	}
}

func (c *closedKeys) has(key endpoint.Key) bool {
	_, drained := c.drained[key]
	return drained || c.leaving.has(key)
}

// setDrained notes a drain or takes it back. Drains beyond the bound are left to
// the router alone.
func (c *closedKeys) setDrained(key endpoint.Key, drained bool) {
	if !drained {
		delete(c.drained, key)
		return
	}
	if len(c.drained) < maxLeaving {
		c.drained[key] = struct{}{}
	}
}
