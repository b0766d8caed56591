package routing

import (
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
)

// loadHistory is how many changes of this host's own work are remembered for
// each endpoint.
const loadHistory = 128

const (
	// intervalWeight is the weight of a new sample of the time between reports.
	intervalWeight = 0.1
	// missedReports is how many usual intervals without a report are too many.
	missedReports = 3.5
	// intervalsNeeded is how many intervals make one usual.
	intervalsNeeded = 3
)

// load reconciles an endpoint's lagged report with this host's own work, so
// that no attempt is counted twice: from the report's total it takes away what
// this host had running at the report's time, and adds what it has running now.
type load struct {
	report   endpoint.Report
	reported bool
	// heardAt is when the last report arrived, and interval the usual time in
	// seconds between two.
	heardAt  time.Time
	interval average
	// overdue says that reports stopped, unlike those of most endpoints.
	overdue bool
	others  int
	// ownThen is this host's own work at the report's time.
	ownThen int
	own     int
	// atTier counts own work by the tier that it was sent with.
	atTier  [profile.TierCount]int
	history [loadHistory]ownCount
	changes int
}

// ownCount is this host's own work at an endpoint from a time on.
type ownCount struct {
	at  time.Time
	own int
}

func (l *load) change(now time.Time, delta int, tier profile.Tier) {
	l.own = max(l.own+delta, 0)
	l.atTier[tier] = max(l.atTier[tier]+delta, 0)
	l.history[l.changes%loadHistory] = ownCount{
		at:  now,
		own: l.own,
	}
	l.changes++
}

// accept takes a report unless it is older than the last one.
func (l *load) accept(now time.Time, report endpoint.Report) bool {
	if !l.heardAt.IsZero() {
		l.interval.add(now.Sub(l.heardAt).Seconds(), intervalWeight)
	}
	l.heardAt = now
	if l.reported && report.At.Before(l.report.At) {
		return false
	}
	l.report = report
	l.reported = true
	l.ownThen = l.ownAt(report.At)
	l.others = max(report.Running+report.Queued-l.ownThen, 0)
	return true
}

// ownAt returns this host's own work at the given time. Before the oldest
// remembered change it returns that change's count.
func (l *load) ownAt(at time.Time) int {
	oldest := max(l.changes-loadHistory, 0)
	for i := l.changes - 1; i >= oldest; i-- {
		entry := l.history[i%loadHistory]
		if !entry.at.After(at) {
			return entry.own
		}
	}
	if oldest == 0 {
		return 0
	}
	return l.history[oldest%loadHistory].own
}

// estimate returns the endpoint's running and queued attempts of all hosts.
func (l *load) estimate() int {
	return l.others + l.own
}

// fresh reports whether the last report is young enough to lend by.
func (l *load) fresh(now time.Time, limit time.Duration) bool {
	return l.reported && now.Sub(l.report.At) <= limit
}

// ownAbove returns this host's own work of the given tier and the more urgent
// ones.
func (l *load) ownAbove(tier profile.Tier) int {
	count := 0
	for _, own := range l.atTier[:tier+1] {
		count += own
	}
	return count
}

// reportedGap returns the time between the tokens of one sequence in seconds, by
// the report, or zero.
func (l *load) reportedGap() float64 {
	if l.report.Running == 0 || l.report.TokensPerSecond <= 0 {
		return 0
	}
	return float64(l.report.Running) / l.report.TokensPerSecond
}

// late reports whether no report has come for longer than usual.
func (l *load) late(now time.Time) bool {
	if l.interval.samples < intervalsNeeded {
		return false
	}
	return now.Sub(l.heardAt).Seconds() > missedReports*l.interval.value
}
