package fleet

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/gravitational/trace"

	"cactuswell/load"
)

// The promises of the brief, in its order.
const (
	promiseTopTier = iota
	promiseNoStarving
	promiseWholeAnswer
	promiseNotRun
	promiseOnce
	promiseLeaving
	promiseGracefulStop
	promiseConfiguration
	promiseCount
)

// promiseTexts are the promises as the report prints them.
var promiseTexts = [promiseCount]string{
	promiseTopTier:       "top-tier work is never shed for a lower tier",
	promiseNoStarving:    "no class starves",
	promiseWholeAnswer:   "each caller gets the whole answer to its own request",
	promiseNotRun:        "what was told as not run was not run",
	promiseOnce:          "a non-idempotent call runs at most once",
	promiseLeaving:       "a leaving endpoint gets no new work after 3 s",
	promiseGracefulStop:  "a planned stop cuts off no request",
	promiseConfiguration: "an accepted change is in force everywhere within 6 s and stays",
}

// promises counts the checks and breaches of each promise.
type promises struct {
	checks   [promiseCount]int
	breaches [promiseCount]int
	examples []string
}

func newPromises() *promises {
	return &promises{}
}

// check counts one check of a promise, and a breach unless it was kept.
func (p *promises) check(promise int, kept bool, format string, values ...any) {
	p.checks[promise]++
	if kept {
		return
	}
	p.breaches[promise]++
	p.examples = append(p.examples, fmt.Sprintf(promiseTexts[promise]+": "+format, values...))
}

// count adds checks and breaches that were counted elsewhere.
func (p *promises) count(promise, checks, breaches int) {
	p.checks[promise] += checks
	p.breaches[promise] += breaches
}

// Report is what came of a run.
type Report struct {
	Load     *load.Report
	promises *promises
}

// Breaches returns the number of breaches of all promises.
func (r *Report) Breaches() int {
	total := 0
	for _, breaches := range r.promises.breaches {
		total += breaches
	}
	return total
}

// Unchecked returns the promises that the run did not check.
func (r *Report) Unchecked() []string {
	var unchecked []string
	for i, checks := range r.promises.checks {
		if checks == 0 {
			unchecked = append(unchecked, promiseTexts[i])
		}
	}
	return unchecked
}

// WriteText writes the promises with their checks and breaches, and the measures
// of each class.
func (r *Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "promise\tchecks\tbreaches")
	for i, text := range promiseTexts {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\n", text, r.promises.checks[i], r.promises.breaches[i])
	}
	if err := table.Flush(); err != nil {
		return trace.Wrap(err)
	}
	for _, example := range r.promises.examples {
		_, _ = fmt.Fprintln(w, "breach: "+example)
	}
	_, _ = fmt.Fprintln(w)
	return r.Load.WriteText(w)
}
