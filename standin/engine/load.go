package engine

import (
	"time"

	"cactuswell/io/engine"
)

const (
	// maxReports bounds the history from which lagging reports are served.
	maxReports = 256
	// reportInterval is the least time between two entries of that history.
	reportInterval = 100 * time.Millisecond
)

// report is the engine's load at one time.
type report struct {
	at      time.Time
	running int
	queued  int
}

// load returns the load report, as old as the faults make it.
func (e *Engine) load() engine.LoadReport {
	faults := e.switches.Current()
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.reports) == 0 || now.Sub(e.reports[len(e.reports)-1].at) >= reportInterval {
		e.reports = append(e.reports, report{
			at:      now,
			running: e.running,
			queued:  len(e.waiting),
		})
		e.reports = e.reports[max(0, len(e.reports)-maxReports):]
	}
	chosen := e.reports[0]
	lag := time.Duration(faults.ReportLagMs) * time.Millisecond
	for _, candidate := range e.reports {
		if now.Sub(candidate.at) >= lag {
			chosen = candidate
		}
	}
	return engine.LoadReport{
		Name:                   e.settings.Name,
		Incarnation:            e.settings.Incarnation,
		AgeMs:                  now.Sub(chosen.at).Milliseconds(),
		Running:                chosen.running,
		Queued:                 chosen.queued,
		Slots:                  e.settings.Slots,
		TokensPerSecond:        float64(e.settings.Slots) / e.settings.TokenInterval.Seconds(),
		PrefillTokensPerSecond: e.settings.PrefillRate,
		Leaving:                faults.Leaving || e.state.drained,
	}
}
