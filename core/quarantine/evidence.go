package quarantine

import (
	"slices"
	"time"
)

// crash is the crash of an endpoint with the calls that broke.
type crash struct {
	endpoint uint64
	at       time.Time
	calls    []brokenCall
	// hasBegun is set if the answer to some call had begun. The other calls had nothing to
	// do with the crash then.
	hasBegun bool
	// isDropped is set once the ledger no longer holds the crash.
	isDropped bool
}

// isSuspect reports whether a call with the part may have caused the crash.
func (c *crash) isSuspect(call brokenCall, part uint64) bool {
	return call.began == c.hasBegun && slices.Contains(call.parts, part)
}

// weight returns the weight of the crash as evidence.
func (c *crash) weight() float64 {
	if c.hasBegun {
		return beganWeight
	}
	return waitingWeight
}

// onlySuspect returns the request of the calls that may have caused the crash by the part, or
// zero if it is unknown or there are several.
func (c *crash) onlySuspect(part uint64) uint64 {
	request := uint64(0)
	for _, call := range c.calls {
		if !c.isSuspect(call, part) {
			continue
		}
		if call.request == 0 || request != 0 && call.request != request {
			return 0
		}
		request = call.request
	}
	return request
}

// lastSent returns when the request was last sent to the endpoint.
func (c *crash) lastSent(request uint64) time.Time {
	var last time.Time
	for _, call := range c.calls {
		if call.request == request && call.sentAt.After(last) {
			last = call.sentAt
		}
	}
	return last
}

type brokenCall struct {
	id      uint64
	request uint64
	sentAt  time.Time
	began   bool
	parts   []uint64
}

// suspect is a part or a request that is known from a crash.
type suspect struct {
	// crashes holds the crashes of calls with it, in the order of their times.
	crashes []*crash
	// announcedAt is when the last answer began that this or another host has reported.
	announcedAt time.Time
}

// lastCrashAt returns when the last crash was, or the zero time if none is known.
func (s *suspect) lastCrashAt() time.Time {
	if len(s.crashes) == 0 {
		return time.Time{}
	}
	return s.crashes[len(s.crashes)-1].at
}

// add adds a call. It reports false if the call is known or there are too many, of which
// those whose answer had begun are kept.
func (c *crash) add(call brokenCall) bool {
	if slices.ContainsFunc(c.calls, func(known brokenCall) bool { return known.id == call.id }) {
		return false
	}
	c.hasBegun = c.hasBegun || call.began
	if len(c.calls) < maxCallsOfCrash {
		c.calls = append(c.calls, call)
		return true
	}
	replaced := slices.IndexFunc(c.calls, func(known brokenCall) bool { return !known.began })
	if !call.began || replaced < 0 {
		return false
	}
	c.calls[replaced] = call
	return true
}

// add adds a crash.
func (s *suspect) add(c *crash) {
	index, _ := slices.BinarySearchFunc(s.crashes, c.at, func(c *crash, at time.Time) int { return c.at.Compare(at) })
	if slices.Contains(s.crashes, c) {
		return
	}
	s.crashes = slices.Insert(s.crashes, index, c)
}
