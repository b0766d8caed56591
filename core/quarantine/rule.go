package quarantine

import (
	"slices"
	"time"
)

// rule is a quarantine of a request or of prompt parts. It is kept after its end, so that a
// single crash renews it.
type rule struct {
	request uint64
	parts   []uint64
	since   time.Time
	until   time.Time
	term    time.Duration
}

// covers reports whether the rule is about a call.
func (r *rule) covers(request uint64, parts []uint64) bool {
	if r.request != 0 {
		return r.request == request
	}
	return containsAll(parts, r.parts)
}

// isAnyCovered reports whether the rule is about a call that broke at a crash.
func (r *rule) isAnyCovered(c *crash) bool {
	return slices.ContainsFunc(c.calls, func(call brokenCall) bool { return r.covers(call.request, call.parts) })
}

func (r *rule) finding(now time.Time) Quarantine {
	return Quarantine{
		Request: r.request,
		Parts:   r.parts,
		Age:     now.Sub(r.since),
		Left:    r.until.Sub(now),
	}
}
