package load

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"

	"cactuswell/core/dispatch"
	"cactuswell/core/profile"
)

const (
	// histogramMax is the longest latency that the histograms distinguish.
	histogramMax = 10 * time.Minute
	// histogramDigits is the precision of the histograms in significant digits.
	histogramDigits = 3
	// maxExamples is the maximum number of breaches that are described individually.
	maxExamples = 20
)

// Report holds the results of a run.
type Report struct {
	Elapsed time.Duration  `json:"elapsedNs"`
	Classes []*ClassReport `json:"classes"`
	// Goodput is the total value of the completed requests per second.
	Goodput float64 `json:"goodputPerSecond"`
	// TokensDelivered counts the tokens of complete answers.
	TokensDelivered uint64 `json:"tokensDelivered"`
	// TokensGenerated counts the tokens that the engines generated. It is zero if
	// no engine was queried.
	TokensGenerated uint64 `json:"tokensGenerated"`
	// WastedShare is the share of the generated tokens that were not delivered in
	// a complete answer.
	WastedShare float64 `json:"wastedShare"`
	// WrongAnswers counts answers that looked complete but were truncated or
	// belonged to another request.
	WrongAnswers int `json:"wrongAnswers"`
	// Duplicates counts bookings that were run more than once.
	Duplicates int `json:"duplicates"`
	// Bookings counts the non-idempotent calls that were checked. ReportedNotRun counts
	// the service calls, idempotent or not, that were reported as not run.
	Bookings       int `json:"bookings"`
	ReportedNotRun int `json:"toldNotRun"`
	// FalseNotRun counts requests that were run although they were reported to the
	// caller as not run.
	FalseNotRun int `json:"falseNotRun"`
	// LostBookings counts bookings that were confirmed but not run.
	LostBookings int `json:"lostBookings"`
	// Untyped counts refusals without a problem code and malformed event streams.
	Untyped  int      `json:"untyped"`
	Examples []string `json:"examples,omitempty"`

	// Refusals lists the requests without a complete answer.
	Refusals []Refusal `json:"-"`

	byClass           map[string]*ClassReport
	results           []result
	executions        map[string]int
	executionsChecked bool
}

// Refusal is a request without a complete answer.
type Refusal struct {
	Class string
	Tier  profile.Tier
	// Host served the last attempt.
	Host string
	Code string
	Ran  dispatch.Execution
	At   time.Time
}

// ClassReport holds the results of one class.
type ClassReport struct {
	Class     string         `json:"class"`
	Tier      profile.Tier   `json:"tier"`
	Requests  int            `json:"requests"`
	Completed int            `json:"completed"`
	Met       int            `json:"met"`
	Value     float64        `json:"value"`
	Problems  map[string]int `json:"problems,omitempty"`
	// Attainment is the share of requests that met their latency target.
	Attainment float64 `json:"attainment"`
	// P50Ms, P95Ms and P99Ms are quantiles of the latency of completed requests, in
	// milliseconds: the time to the first token for models, the total time for
	// services.
	P50Ms float64 `json:"p50Ms"`
	P95Ms float64 `json:"p95Ms"`
	P99Ms float64 `json:"p99Ms"`

	latencies *hdrhistogram.Histogram
}

func newReport(config *Config) *Report {
	return &Report{
		byClass:           make(map[string]*ClassReport),
		executions:        make(map[string]int),
		executionsChecked: len(config.Services) > 0,
	}
}

func (r *Report) classReport(spec *profile.Spec) *ClassReport {
	c, ok := r.byClass[spec.Class]
	if !ok {
		c = &ClassReport{
			Class:     spec.Class,
			Tier:      spec.Tier,
			Problems:  make(map[string]int),
			latencies: hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits),
		}
		r.byClass[spec.Class] = c
		r.Classes = append(r.Classes, c)
	}
	return c
}

func (r *Report) add(res result) {
	c := r.classReport(&res.arrival.spec)
	c.Requests++
	if res.problem != "" {
		c.Problems[res.problem]++
	}
	if res.completed {
		c.Completed++
		c.Value += res.arrival.spec.Value
		r.TokensDelivered += uint64(res.tokens)
		latency := res.totalTime
		if res.arrival.spec.Kind == profile.KindModel {
			latency = res.timeToFirstToken
		}
		_ = c.latencies.RecordValue(min(latency, histogramMax).Microseconds())
	}
	if res.metTarget() {
		c.Met++
	}
	if !res.completed {
		r.Refusals = append(r.Refusals, Refusal{
			Class: res.arrival.spec.Class,
			Tier:  res.arrival.spec.Tier,
			Host:  res.host,
			Code:  res.problem,
			Ran:   res.ran,
			At:    res.finishedAt,
		})
	}
	r.results = append(r.results, res)
}

// finish computes the figures that need all results.
func (r *Report) finish() {
	for i := range r.results {
		r.countBreaches(&r.results[i])
	}
	value := 0.0
	for _, c := range r.Classes {
		c.finish()
		value += c.Value
	}
	sort.Slice(r.Classes, func(i, j int) bool {
		if r.Classes[i].Tier != r.Classes[j].Tier {
			return r.Classes[i].Tier < r.Classes[j].Tier
		}
		return r.Classes[i].Class < r.Classes[j].Class
	})
	r.Goodput = value / r.Elapsed.Seconds()
	if r.TokensGenerated > 0 {
		r.WastedShare = 1 - float64(r.TokensDelivered)/float64(r.TokensGenerated)
	}
}

func (c *ClassReport) finish() {
	c.Attainment = float64(c.Met) / float64(max(1, c.Requests))
	c.P50Ms = float64(c.latencies.ValueAtQuantile(50)) / 1000
	c.P95Ms = float64(c.latencies.ValueAtQuantile(95)) / 1000
	c.P99Ms = float64(c.latencies.ValueAtQuantile(99)) / 1000
}

// countBreaches counts the breaches of guarantees by one request.
func (r *Report) countBreaches(res *result) {
	if res.isWrong {
		r.WrongAnswers++
		r.addExample("%s got a wrong answer", res)
	}
	if res.problem == "untyped" {
		r.Untyped++
		r.addExample("%s got a refusal without a problem code", res)
	}
	if !r.executionsChecked || res.arrival.spec.Kind != profile.KindService {
		return
	}
	runs := r.executions[res.arrival.reference]
	if !res.arrival.spec.Idempotent {
		r.Bookings++
	}
	if res.ran == dispatch.NotRun && !res.mayHaveRun {
		r.ReportedNotRun++
	}
	if !res.arrival.spec.Idempotent && runs > 1 {
		r.Duplicates++
		r.addExample("%s was run %d times", res, runs)
	}
	if res.ran == dispatch.NotRun && !res.mayHaveRun && runs > 0 {
		r.FalseNotRun++
		r.addExample("%s was run although it was reported as not run (%s)", res, res.problem)
	}
	if res.completed && runs == 0 {
		r.LostBookings++
		r.addExample("%s was confirmed but not run", res)
	}
}

func (r *Report) addExample(format string, res *result, more ...any) {
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf(format, append([]any{res}, more...)...))
	}
}

// Breaches returns the number of breaches of guarantees.
func (r *Report) Breaches() int {
	return r.WrongAnswers + r.Duplicates + r.FalseNotRun + r.LostBookings + r.Untyped
}

// WriteText writes the report as text.
func (r *Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "class\ttier\trequests\tcompleted\tattainment\tp50 ms\tp95 ms\tp99 ms\trefusals")
	for _, c := range r.Classes {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.4f\t%.1f\t%.1f\t%.1f\t%s\n", c.Class, c.Tier, c.Requests,
			c.Completed, c.Attainment, c.P50Ms, c.P95Ms, c.P99Ms, c.problemsText())
	}
	_ = table.Flush()
	_, _ = fmt.Fprintf(w, "goodput %.2f value/s, %s\n", r.Goodput, r.tokensText())
	_, err := fmt.Fprintf(w, "%s, wrong answers %d, untyped refusals %d\n",
		r.bookingsText(), r.WrongAnswers, r.Untyped)
	for _, example := range r.Examples {
		_, _ = fmt.Fprintln(w, "  "+example)
	}
	return trace.Wrap(err)
}

func (r *Report) tokensText() string {
	if r.TokensGenerated == 0 {
		return fmt.Sprintf("wasted share not measured (%d tokens delivered)", r.TokensDelivered)
	}
	return fmt.Sprintf("wasted share %.4f (%d of %d tokens delivered)",
		r.WastedShare, r.TokensDelivered, r.TokensGenerated)
}

func (r *Report) bookingsText() string {
	if !r.executionsChecked {
		return `duplicates, false "not run" and lost bookings not checked (no service was queried)`
	}
	return fmt.Sprintf("duplicates %d, false \"not run\" %d, lost bookings %d",
		r.Duplicates, r.FalseNotRun, r.LostBookings)
}

func (c *ClassReport) problemsText() string {
	codes := make([]string, 0, len(c.Problems))
	for code := range c.Problems {
		codes = append(codes, code)
	}
	sort.Strings(codes)
	text := ""
	for _, code := range codes {
		text += fmt.Sprintf("%s:%d ", code, c.Problems[code])
	}
	return text
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(r))
}
