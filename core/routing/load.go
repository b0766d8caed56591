package routing

import (
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
)

// loadHistory is the number of changes of this host's own load that are kept for
// each endpoint.
const loadHistory = 128

const (
	// reportIntervalWeight is the weight of a new sample of the report interval.
	reportIntervalWeight = 0.1
	// overdueIntervals is the time without a report, in mean report intervals,
	// after which the next report is overdue.
	overdueIntervals = 3.5
	// minReportIntervals is the number of samples that the mean report interval
	// needs before it is used.
	minReportIntervals = 3
)

// load combines an endpoint's report, which lags, with this host's own load so
// that no attempt is counted twice: it subtracts from the reported total the
// attempts that this host had running at the time of the report, and adds those
// that it has running now.
type load struct {
	report    endpoint.Report
	hasReport bool
	// receivedAt is when the last report arrived, and reportInterval the mean
	// time between two reports in seconds.
	receivedAt     time.Time
	reportInterval average
	// overdue reports whether this endpoint's reports stopped while those of most
	// endpoints still arrive.
	overdue bool
	// otherHosts, ownAtReport and own count attempts: those of the other hosts
	// and of this host at the time of the report, and those of this host now.
	otherHosts  int
	ownAtReport int
	own         int
	// ownByTier counts this host's attempts by the tier that they were sent with.
	ownByTier   [profile.TierCount]int
	history     [loadHistory]ownCount
	changeCount int
}

// ownCount is the number of this host's attempts at an endpoint from a time on.
type ownCount struct {
	at  time.Time
	own int
}

func (l *load) addOwn(now time.Time, delta int, tier profile.Tier) {
	l.own = max(l.own+delta, 0)
	l.ownByTier[tier] = max(l.ownByTier[tier]+delta, 0)
	l.history[l.changeCount%loadHistory] = ownCount{
		at:  now,
		own: l.own,
	}
	l.changeCount++
}

// recordReport stores a report. It returns false for one that is older than the
// last.
func (l *load) recordReport(now time.Time, report endpoint.Report) bool {
	if !l.receivedAt.IsZero() {
		l.reportInterval.add(now.Sub(l.receivedAt).Seconds(), reportIntervalWeight)
	}
	l.receivedAt = now
	if l.hasReport && report.At.Before(l.report.At) {
		return false
	}
	l.report = report
	l.hasReport = true
	l.ownAtReport = l.ownAt(report.At)
	l.otherHosts = max(report.Running+report.Queued-l.ownAtReport, 0)
	return true
}

// ownAt returns the number of this host's attempts at the given time. Before the
// oldest change in the history it returns that change's count.
func (l *load) ownAt(at time.Time) int {
	oldest := max(l.changeCount-loadHistory, 0)
	for i := l.changeCount - 1; i >= oldest; i-- {
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

// estimate returns the estimated number of running and queued attempts of all
// hosts at the endpoint.
func (l *load) estimate() int {
	return l.otherHosts + l.own
}

// isFresh reports whether the last report is at most maxAge old.
func (l *load) isFresh(now time.Time, maxAge time.Duration) bool {
	return l.hasReport && now.Sub(l.report.At) <= maxAge
}

// ownAtOrAbove returns the number of this host's attempts of the given tier and
// the more urgent ones.
func (l *load) ownAtOrAbove(tier profile.Tier) int {
	count := 0
	for _, own := range l.ownByTier[:tier+1] {
		count += own
	}
	return count
}

// reportedTokenGap returns the time between two tokens of one sequence in seconds,
// derived from the report, or zero if it cannot be derived.
func (l *load) reportedTokenGap() float64 {
	if l.report.Running == 0 || l.report.TokensPerSecond <= 0 {
		return 0
	}
	return float64(l.report.Running) / l.report.TokensPerSecond
}

// isLate reports whether the next report is overdue.
func (l *load) isLate(now time.Time) bool {
	if l.reportInterval.samples < minReportIntervals {
		return false
	}
	return now.Sub(l.receivedAt).Seconds() > overdueIntervals*l.reportInterval.value
}
