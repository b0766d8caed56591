package quarantine

import (
	"slices"
	"time"
)

// judgeRequest quarantines a request if it has crashed enough endpoints.
func (l *Ledger) judgeRequest(now time.Time, request uint64) {
	if request == 0 || l.ruleFor(request, nil) != nil {
		return
	}
	crashes := l.countCrashes(request)
	if crashes < requestCrashes || l.isExcused(now, request) {
		return
	}
	l.addRule(now, rule{
		request: request,
		since:   now,
	}, now.Add(firstTerm), crashes)
}

// countCrashes returns the number of crashes under a request since its last answer, each of
// which came after the request had been sent anew. Endpoints that fail together break copies
// that were sent before.
func (l *Ledger) countCrashes(request uint64) int {
	crashes := 0
	var last time.Time
	for _, c := range l.suspects[request].crashes {
		if l.isAnsweredSince(c, request) || crashes > 0 && c.lastSent(request).Add(reportJitter).Before(last) {
			continue
		}
		last = c.at
		crashes++
	}
	return crashes
}

// isExcused reports whether a quarantine explains all crashes under a request, and crashes
// without it too.
func (l *Ledger) isExcused(now time.Time, request uint64) bool {
	own := l.suspects[request].crashes
	return slices.ContainsFunc(l.rules, func(r *rule) bool {
		if !now.Before(r.until) {
			return false
		}
		for _, c := range own {
			if !l.isAnsweredSince(c, request) && !r.isAnyCovered(c) {
				return false
			}
		}
		return slices.ContainsFunc(l.crashes, func(c *crash) bool { return r.isAnyCovered(c) && !slices.Contains(own, c) })
	})
}

// clearRequest empties the rule of a request that was answered.
func (l *Ledger) clearRequest(now time.Time, r *rule) {
	if now.Before(r.until) {
		l.changes = append(l.changes, Lifted{Request: r.request})
	}
	r.request = 0
}
