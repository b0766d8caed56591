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
	// histogramMax is the longest delay that the histograms tell apart.
	histogramMax = 10 * time.Minute
	// histogramDigits is the histograms' precision.
	histogramDigits = 3
	// maxExamples bounds the breaches that are described one by one.
	maxExamples = 20
)

// Report is what came of a run.
type Report struct {
	Elapsed time.Duration  `json:"elapsedNs"`
	Classes []*ClassReport `json:"classes"`
	// Goodput is the value of the completed requests a second.
	Goodput float64 `json:"goodputPerSecond"`
	// TokensDelivered counts the tokens of whole answers.
	TokensDelivered uint64 `json:"tokensDelivered"`
	// TokensGenerated counts the tokens that the engines generated, if they
	// were asked.
	TokensGenerated uint64 `json:"tokensGenerated"`
	// WastedShare is the part of the generated tokens that no caller got as
	// part of a whole answer.
	WastedShare float64 `json:"wastedShare"`
	// WrongAnswers counts answers that looked whole but were another's or not
	// whole.
	WrongAnswers int `json:"wrongAnswers"`
	// Duplicates counts bookings that were run more than once.
	Duplicates int `json:"duplicates"`
	// Bookings counts the non-idempotent calls that were checked, and ToldNotRun
	// those of all calls to services that were told as not run.
	Bookings       int `json:"bookings"`
	ReportedNotRun int `json:"toldNotRun"`
	// FalseNotRun counts requests that were run though the caller was told
	// that they were not.
	FalseNotRun int `json:"falseNotRun"`
	// LostBookings counts bookings that were confirmed but not run.
	LostBookings int `json:"lostBookings"`
	// Untyped counts refusals without a type.
	Untyped  int      `json:"untyped"`
	Examples []string `json:"examples,omitempty"`

	// Refusals lists the requests that got no whole answer.
	Refusals []Refusal `json:"-"`

	byClass    map[string]*ClassReport
	results    []result
	executions map[string]int
	asked      bool
}

// Refusal is a request that got no whole answer.
type Refusal struct {
	Class string
	Tier  profile.Tier
	// Host served the last attempt.
	Host string
	Code string
	Ran  dispatch.Execution
	At   time.Time
}

// ClassReport is what came of one class.
type ClassReport struct {
	Class     string         `json:"class"`
	Tier      profile.Tier   `json:"tier"`
	Requests  int            `json:"requests"`
	Completed int            `json:"completed"`
	Met       int            `json:"met"`
	Value     float64        `json:"value"`
	Problems  map[string]int `json:"problems,omitempty"`
	// Attainment is the share of requests that met their target.
	Attainment float64 `json:"attainment"`
	// P50Ms, P95Ms and P99Ms are quantiles of the delay that the target bounds,
	// over completed requests, in milliseconds.
	P50Ms float64 `json:"p50Ms"`
	P95Ms float64 `json:"p95Ms"`
	P99Ms float64 `json:"p99Ms"`

	delays *hdrhistogram.Histogram
}

func newReport(config *Config) *Report {
	return &Report{
		byClass:    make(map[string]*ClassReport),
		executions: make(map[string]int),
		asked:      len(config.Services) > 0,
	}
}

func (r *Report) class(spec *profile.Spec) *ClassReport {
	c, ok := r.byClass[spec.Class]
	if !ok {
		c = &ClassReport{
			Class:    spec.Class,
			Tier:     spec.Tier,
			Problems: make(map[string]int),
			delays:   hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits),
		}
		r.byClass[spec.Class] = c
		r.Classes = append(r.Classes, c)
	}
	return c
}

func (r *Report) add(one result) {
	c := r.class(&one.arrival.spec)
	c.Requests++
	if one.problem != "" {
		c.Problems[one.problem]++
	}
	if one.completed {
		c.Completed++
		c.Value += one.arrival.spec.Value
		r.TokensDelivered += uint64(one.tokens)
		delay := one.total
		if one.arrival.spec.Kind == profile.KindModel {
			delay = one.firstToken
		}
		_ = c.delays.RecordValue(min(delay, histogramMax).Microseconds())
	}
	if one.met() {
		c.Met++
	}
	if !one.completed {
		r.Refusals = append(r.Refusals, Refusal{
			Class: one.arrival.spec.Class,
			Tier:  one.arrival.spec.Tier,
			Host:  one.host,
			Code:  one.problem,
			Ran:   one.ran,
			At:    one.endedAt,
		})
	}
	r.results = append(r.results, one)
}

// finish works out what can be told only at the end.
func (r *Report) finish() {
	for i := range r.results {
		r.judge(&r.results[i])
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
	c.P50Ms = float64(c.delays.ValueAtQuantile(50)) / 1000
	c.P95Ms = float64(c.delays.ValueAtQuantile(95)) / 1000
	c.P99Ms = float64(c.delays.ValueAtQuantile(99)) / 1000
}

// judge counts the breaches of promises by one request.
func (r *Report) judge(one *result) {
	if one.wrong {
		r.WrongAnswers++
		r.example("%s got a wrong answer", one)
	}
	if one.problem == "untyped" {
		r.Untyped++
		r.example("%s got a refusal without a type", one)
	}
	if !r.asked || one.arrival.spec.Kind != profile.KindService {
		return
	}
	runs := r.executions[one.arrival.reference]
	if !one.arrival.spec.Idempotent {
		r.Bookings++
	}
	if one.ran == dispatch.NotRun && !one.maybeRan {
		r.ReportedNotRun++
	}
	if !one.arrival.spec.Idempotent && runs > 1 {
		r.Duplicates++
		r.example("%s was run %d times", one, runs)
	}
	if one.ran == dispatch.NotRun && !one.maybeRan && runs > 0 {
		r.FalseNotRun++
		r.example("%s was run though told not run (%s)", one, one.problem)
	}
	if one.completed && runs == 0 {
		r.LostBookings++
		r.example("%s was confirmed but not run", one)
	}
}

func (r *Report) example(format string, one *result, more ...any) {
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf(format, append([]any{one}, more...)...))
	}
}

// Breaches counts the breaches of promises.
func (r *Report) Breaches() int {
	return r.WrongAnswers + r.Duplicates + r.FalseNotRun + r.LostBookings + r.Untyped
}

// WriteText writes the report as a table.
func (r *Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "class\ttier\trequests\tcompleted\tattainment\tp50 ms\tp95 ms\tp99 ms\trefusals")
	for _, c := range r.Classes {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.4f\t%.1f\t%.1f\t%.1f\t%s\n", c.Class, c.Tier, c.Requests,
			c.Completed, c.Attainment, c.P50Ms, c.P95Ms, c.P99Ms, c.problems())
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
	if !r.asked {
		return `duplicates, false "not run" and lost bookings not checked (no service was asked)`
	}
	return fmt.Sprintf("duplicates %d, false \"not run\" %d, lost bookings %d",
		r.Duplicates, r.FalseNotRun, r.LostBookings)
}

func (c *ClassReport) problems() string {
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
