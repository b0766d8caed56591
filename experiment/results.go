package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"cactuswell/core/dispatch"
)

// Results holds the figures of many runs.
type Results struct {
	Seed uint64       `json:"seed"`
	Runs []RunMetrics `json:"runs"`
}

// RunMetrics are those of one run.
type RunMetrics struct {
	Deployment string         `json:"deployment"`
	Scenario   string         `json:"scenario"`
	Policy     string         `json:"policy"`
	Classes    []ClassMetrics `json:"classes"`
	// GoodputPerSecond is the value of the completed requests a second; under
	// overload, of those completed before it ended.
	GoodputPerSecond float64 `json:"goodputPerSecond"`
	// WasteShare is the share of the generated tokens that no completed answer
	// contains.
	WasteShare float64 `json:"wasteShare"`
	// CachedShare is the share of the prompt tokens that engines found cached.
	CachedShare float64 `json:"cachedShare"`
	// WorstCompletionShare is the least of the classes' completion shares.
	WorstCompletionShare float64 `json:"worstCompletionShare"`
	// ExtraPerFirst is the number of retries and hedges for each first attempt.
	ExtraPerFirst float64 `json:"extraPerFirst"`
	Resumes       int     `json:"resumes"`
	// LargestQueue is the largest number of requests that waited on one host for
	// one pool.
	LargestQueue int `json:"largestQueue"`
	// Ejections counts them over all hosts.
	Ejections int `json:"ejections"`
	// StragglerShare is the most used straggler's part of an even share of the
	// attempts, from 5 s after its slowing.
	StragglerShare float64                       `json:"stragglerShare"`
	Refusals       map[dispatch.RefuseReason]int `json:"refusals"`
	Breaches       Breaches                      `json:"breaches"`
}

// ClassMetrics are those of one class in one run. Shares are from 0 to 1.
type ClassMetrics struct {
	Class     string `json:"class"`
	Tier      int    `json:"tier"`
	Offered   int    `json:"offered"`
	Completed int    `json:"completed"`
	Refused   int    `json:"refused"`
	// Attainment is the share of the offered requests that met their target.
	Attainment float64 `json:"attainment"`
	// OthersAttainment leaves out the largest team.
	OthersAttainment float64 `json:"othersAttainment"`
	// Demand is the class's demand during the fault, as a part of the capacity of
	// what is left alive.
	Demand float64 `json:"demand"`
	// CompletionShare is the part of its guaranteed share, or of its demand if
	// that is less, that the class completed during the fault.
	CompletionShare float64 `json:"completionShare"`
}

// UrgentAttainment returns the attainment of the top tier's classes together.
func (f *RunMetrics) UrgentAttainment() float64 {
	attained, offered := 0.0, 0
	for _, class := range f.Classes {
		if class.Tier == 0 {
			attained += class.Attainment * float64(class.Offered)
			offered += class.Offered
		}
	}
	if offered == 0 {
		return 1
	}
	return attained / float64(offered)
}

// JSON returns the results as indented JSON.
func (r Results) JSON() ([]byte, error) {
	return json.MarshalIndent(r, "", "  ")
}

// WriteTable writes the results as a table in Markdown that also reads as text.
func (r Results) WriteTable(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 1, ' ', 0)
	header := "| deployment\t| scenario\t| policy\t| attainment by class\t| goodput/s\t| waste\t| worst share\t| extra\t| queue\t| ejected\t| straggler\t| breaches\t|"
	if _, err := fmt.Fprintln(table, header); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(table, strings.Repeat("|---\t", 12)+"|"); err != nil {
		return err
	}
	for i := range r.Runs {
		if _, err := fmt.Fprintln(table, r.Runs[i].row()); err != nil {
			return err
		}
	}
	return table.Flush()
}

func (f *RunMetrics) row() string {
	classes := make([]string, 0, len(f.Classes))
	for _, class := range f.Classes {
		classes = append(classes, fmt.Sprintf("%s %.3f", class.Class, class.Attainment))
	}
	return fmt.Sprintf("| %s\t| %s\t| %s\t| %s\t| %.1f\t| %.2f%%\t| %.2f\t| %.3f\t| %d\t| %d\t| %.2f\t| %d\t|",
		f.Deployment, f.Scenario, f.Policy, strings.Join(classes, ", "), f.GoodputPerSecond, 100*f.WasteShare,
		f.WorstCompletionShare, f.ExtraPerFirst, f.LargestQueue, f.Ejections, f.StragglerShare, f.Breaches.Total())
}
