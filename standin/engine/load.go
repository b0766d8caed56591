package engine

import (
	"time"

	"cactuswell/io/engine"
)

const (
	// maxLoadSamples limits the load samples that are kept for reports with a lag.
	maxLoadSamples = 256
	// loadSampleInterval is the least time between two load samples.
	loadSampleInterval = 100 * time.Millisecond
)

// loadSample is the engine's load at a point in time.
type loadSample struct {
	at      time.Time
	running int
	queued  int
}

// loadReport records a load sample and returns a load report. The report is from the
// latest sample that is at least as old as the injected report lag.
func (e *Engine) loadReport() engine.LoadReport {
	faults := e.faultSwitches.Current()
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.loadSamples) == 0 || now.Sub(e.loadSamples[len(e.loadSamples)-1].at) >= loadSampleInterval {
		e.loadSamples = append(e.loadSamples, loadSample{
			at:      now,
			running: e.running,
			queued:  len(e.queue),
		})
		e.loadSamples = e.loadSamples[max(0, len(e.loadSamples)-maxLoadSamples):]
	}
	sample := e.loadSamples[0]
	lag := time.Duration(faults.ReportLagMs) * time.Millisecond
	for _, candidate := range e.loadSamples {
		if now.Sub(candidate.at) >= lag {
			sample = candidate
		}
	}
	return engine.LoadReport{
		Name:                   e.settings.Name,
		Incarnation:            e.settings.Incarnation,
		AgeMs:                  now.Sub(sample.at).Milliseconds(),
		Running:                sample.running,
		Queued:                 sample.queued,
		Slots:                  e.settings.Slots,
		TokensPerSecond:        float64(e.settings.Slots) / e.settings.TokenInterval.Seconds(),
		PrefillTokensPerSecond: e.settings.PrefillRate,
		Leaving:                faults.Leaving || e.state.drained,
	}
}
