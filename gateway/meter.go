package gateway

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cactuswell/core/irregularity"
	"cactuswell/core/resumption"
	"cactuswell/core/route"
	"cactuswell/core/wholeness"
	"cactuswell/io/opaque"
	"cactuswell/io/upstream"
)

const (
	// maxHistogramMicros is the largest value of a histogram, in microseconds.
	maxHistogramMicros = int64(60 * time.Second / time.Microsecond)
	// histogramDigits is the number of significant digits of a histogram's values.
	histogramDigits = 2
)

var percentiles = []float64{50, 90, 99}

// meter holds the counters and histograms of a host.
type meter struct {
	mu         sync.Mutex
	counters   map[string]int64
	histograms map[string]*hdrhistogram.Histogram
	gauges     map[string]func() float64
}

var _ opaque.Meter = (*meter)(nil)

func newMeter() *meter {
	return &meter{
		counters:   make(map[string]int64),
		histograms: make(map[string]*hdrhistogram.Histogram),
		gauges:     make(map[string]func() float64),
	}
}

// addGauge registers a gauge whose value is read at each scrape.
func (m *meter) addGauge(name string, read func() float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges[name] = read
}

func (m *meter) addToCounter(name string, delta int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters[name] += delta
}

func (m *meter) observeDuration(name string, value time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordLocked(name, value)
}

// recordLocked adds a duration to a histogram, creating the histogram if it is new.
// Longer durations are recorded as the histogram's maximum. The caller of
// recordLocked holds m.mu.
func (m *meter) recordLocked(name string, value time.Duration) {
	histogram, ok := m.histograms[name]
	if !ok {
		histogram = hdrhistogram.New(1, maxHistogramMicros, histogramDigits)
		m.histograms[name] = histogram
	}
	_ = histogram.RecordValue(min(max(value.Microseconds(), 1), maxHistogramMicros))
}

// RecordCall implements opaque.Meter.
func (m *meter) RecordCall(end opaque.CallSummary) {
	kind := "none"
	if end.Route != nil {
		kind = end.Route.Kind.String()
	}
	labels := fmt.Sprintf(`{kind=%q,priority="%d"`, kind, end.Priority)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters[fmt.Sprintf(`cactuswell_calls_total%s,result=%q,reason=%q}`, labels, end.Result, end.Reason)]++
	m.counters["cactuswell_attempts_total"] += int64(end.Attempts)
	if end.Result != opaque.ResultServed {
		return
	}
	answer := end.Answer
	m.counters[fmt.Sprintf("cactuswell_answers_total{framing=%q,inParts=\"%t\",connection=%q,followed=%q}",
		answer.Framing, answer.InParts, answer.Connection, answer.Followed)]++
	m.recordLocked("cactuswell_call_seconds"+labels, end.TotalTime)
	m.recordLocked("cactuswell_first_seconds"+labels, end.TimeToFirstEvent)
	m.recordLocked("cactuswell_queued_seconds"+labels, end.QueueTime)
	if end.LongestGap > 0 {
		m.recordLocked("cactuswell_gap_seconds"+labels, end.LongestGap)
	}
}

// RecordExcess implements opaque.Meter.
func (m *meter) RecordExcess(part upstream.Part) {
	m.addToCounter(fmt.Sprintf("cactuswell_response_excess_total{part=%q}", part), 1)
}

// RecordContinuation implements opaque.Meter.
func (m *meter) RecordContinuation(r *route.Route) {
	m.addToCounter(fmt.Sprintf("cactuswell_answers_continued_total{kind=%q}", r.Kind), 1)
}

// RecordSign implements opaque.Meter.
func (m *meter) RecordSign(sign irregularity.Sign) {
	m.addToCounter(fmt.Sprintf("cactuswell_stream_signs_total{sign=%q}", sign), 1)
}

// RecordHold implements opaque.Meter.
func (m *meter) RecordHold(sign irregularity.Sign, end string) {
	m.addToCounter(fmt.Sprintf("cactuswell_stream_holds_total{sign=%q,end=%q}", sign, end), 1)
}

// RecordResumption implements opaque.Meter.
func (m *meter) RecordResumption(finding resumption.Finding, doubt resumption.Doubt, goesOn bool) {
	m.addToCounter(fmt.Sprintf("cactuswell_streams_resumed_total{finding=%q,doubt=%q,goesOn=\"%t\"}", finding, doubt, goesOn), 1)
}

// RecordSilence implements opaque.Meter.
func (m *meter) RecordSilence(end string) {
	m.addToCounter(fmt.Sprintf("cactuswell_silences_total{end=%q}", end), 1)
}

// RecordHeadRefusal implements opaque.Meter.
func (m *meter) RecordHeadRefusal(reason string) {
	m.addToCounter(fmt.Sprintf("cactuswell_heads_refused_total{reason=%q}", reason), 1)
}

// RecordConnectionEnd implements opaque.Meter.
func (m *meter) RecordConnectionEnd(end string) {
	m.addToCounter(fmt.Sprintf("cactuswell_connection_ends_total{end=%q}", end), 1)
}

// RecordSplice implements opaque.Meter.
func (m *meter) RecordSplice(reason wholeness.Reason) {
	m.addToCounter(fmt.Sprintf("cactuswell_answers_spliced_total{reason=%q}", reason), 1)
}

// writeText writes all metrics as text, one line each, sorted by name.
func (m *meter) writeText(w io.Writer) {
	m.mu.Lock()
	lines := make([]string, 0, len(m.counters)+len(m.gauges)+3*len(m.histograms))
	for name, value := range m.counters {
		lines = append(lines, fmt.Sprintf("%s %d", name, value))
	}
	for name, read := range m.gauges {
		lines = append(lines, fmt.Sprintf("%s %g", name, read()))
	}
	for name, histogram := range m.histograms {
		for _, quantile := range percentiles {
			value := float64(histogram.ValueAtQuantile(quantile)) / 1e6
			lines = append(lines, fmt.Sprintf(`%s,quantile="%g"} %g`, name, quantile/100, value))
		}
	}
	m.mu.Unlock()
	sort.Strings(lines)
	for _, line := range lines {
		// An error means that the scraper has disconnected.
		_, _ = fmt.Fprintln(w, line)
	}
}
