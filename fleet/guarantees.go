package fleet

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/gravitational/trace"

	"cactuswell/load"
)

// The guarantees, in the order of the report.
const (
	guaranteeUrgentTier = iota
	guaranteeNoStarvation
	guaranteeCompleteAnswer
	guaranteeNotRun
	guaranteeAtMostOnce
	guaranteeLeaving
	guaranteeGracefulStop
	guaranteeConfiguration
	guaranteeCount
)

// guaranteeTexts are the guarantees as printed in the report.
var guaranteeTexts = [guaranteeCount]string{
	guaranteeUrgentTier:     "top-tier work is never shed for a lower tier",
	guaranteeNoStarvation:   "no class starves",
	guaranteeCompleteAnswer: "each caller gets the whole answer to its own request",
	guaranteeNotRun:         "what was told as not run was not run",
	guaranteeAtMostOnce:     "a non-idempotent call runs at most once",
	guaranteeLeaving:        "a leaving endpoint gets no new work after 3 s",
	guaranteeGracefulStop:   "a planned stop cuts off no request",
	guaranteeConfiguration:  "an accepted change is in force everywhere within 6 s and stays",
}

// guarantees counts the checks and breaches of each guarantee.
type guarantees struct {
	checks   [guaranteeCount]int
	breaches [guaranteeCount]int
	examples []string
}

func newGuarantees() *guarantees {
	return &guarantees{}
}

// check adds one check of a guarantee and, unless it was kept, a breach with an example.
func (p *guarantees) check(guarantee int, kept bool, format string, values ...any) {
	p.checks[guarantee]++
	if kept {
		return
	}
	p.breaches[guarantee]++
	p.examples = append(p.examples, fmt.Sprintf(guaranteeTexts[guarantee]+": "+format, values...))
}

// addCounts adds checks and breaches that the load tool has counted.
func (p *guarantees) addCounts(guarantee, checks, breaches int) {
	p.checks[guarantee] += checks
	p.breaches[guarantee] += breaches
}

// Report holds the results of a run.
type Report struct {
	Load       *load.Report
	guarantees *guarantees
}

// Breaches returns the total number of breaches of all guarantees.
func (r *Report) Breaches() int {
	total := 0
	for _, breaches := range r.guarantees.breaches {
		total += breaches
	}
	return total
}

// Unchecked returns the texts of the guarantees that the run did not check.
func (r *Report) Unchecked() []string {
	var unchecked []string
	for i, checks := range r.guarantees.checks {
		if checks == 0 {
			unchecked = append(unchecked, guaranteeTexts[i])
		}
	}
	return unchecked
}

// WriteText writes the number of checks and breaches of each guarantee, the examples of
// breaches, and the report of the load.
func (r *Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "promise\tchecks\tbreaches")
	for i, text := range guaranteeTexts {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\n", text, r.guarantees.checks[i], r.guarantees.breaches[i])
	}
	if err := table.Flush(); err != nil {
		return trace.Wrap(err)
	}
	for _, example := range r.guarantees.examples {
		_, _ = fmt.Fprintln(w, "breach: "+example)
	}
	_, _ = fmt.Fprintln(w)
	return r.Load.WriteText(w)
}
