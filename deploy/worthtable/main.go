// Command worthtable prints where the worth of each day goes, as a Markdown table, from
// the newest finished full score of each site in the bench's journal.
//
// # Usage
//
//	go run ./deploy/worthtable journal > docs/WORTH.md
package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// shownPrices is the number of prices shown for each day, the highest first.
const shownPrices = 4

// entry is one run in the journal.
type entry struct {
	ID      string   `json:"id"`
	Command string   `json:"cmd"`
	Args    []string `json:"argv"`
	Days    []day    `json:"days"`
}

type day struct {
	Name    string  `json:"name"`
	Worth   float64 `json:"G"`
	Served  float64 `json:"served"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	Parts   []part  `json:"parts"`
	Prices  []price `json:"prices"`
	// Fault is why the day counts for nothing, or null.
	Fault any `json:"fault"`
	// Rules holds the broken rules.
	Rules map[string]any `json:"rules"`
}

// title returns the day's name, marked if the day counts for nothing.
func (d day) title() string {
	title := d.Name
	if d.Fault != nil {
		title += " (fault)"
	}
	for _, rule := range slices.Sorted(maps.Keys(d.Rules)) {
		title += " " + rule
	}
	return title
}

// part is a share of the worth: its name, its weight and its value.
type part struct {
	name   string
	weight float64
	value  float64
}

// UnmarshalJSON decodes a part from an array.
func (p *part) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&p.name, &p.weight, &p.value})
}

// price is what is taken off the worth: its name, the amount and what it costs.
type price struct {
	name   string
	amount float64
	cost   float64
}

// UnmarshalJSON decodes a price from an array.
func (p *price) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&p.name, &p.amount, &p.cost})
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: worthtable JOURNAL")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run writes the tables of a journal's sites.
func run(journal string, out io.Writer) error {
	newest, err := newestScores(journal)
	if err != nil {
		return trace.Wrap(err)
	}
	sites := make([]string, 0, len(newest))
	for site := range newest {
		sites = append(sites, site)
	}
	slices.Sort(sites)
	var text strings.Builder
	text.WriteString("# Where worth goes\n\nMade by `go run ./deploy/worthtable journal`.\n")
	for _, site := range sites {
		writeSite(&text, site, newest[site])
	}
	_, err = io.WriteString(out, text.String())
	return trace.Wrap(err)
}

// newestScores returns the newest finished full score of each site. The names of entries begin
// with their time.
func newestScores(journal string) (map[string]entry, error) {
	paths, err := filepath.Glob(filepath.Join(journal, "*.json"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	slices.Sort(paths)
	newest := make(map[string]entry)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		var e entry
		if err := json.Unmarshal(text, &e); err != nil {
			return nil, trace.Wrap(err, path)
		}
		if site := e.site(); e.Command == "score" && site != "" && len(e.Days) > 0 {
			newest[site] = e
		}
	}
	return newest, nil
}

// site returns the name of the only site of a full score, or "" for other scores.
func (e entry) site() string {
	site := ""
	for _, arg := range e.Args {
		name, isSite := strings.CutSuffix(filepath.Base(arg), ".toml")
		switch {
		case arg == "--quick", arg == "--small", arg == "--no-cpu", isSite && site != "":
			return ""
		case isSite:
			site = name
		}
	}
	return site
}

func writeSite(text *strings.Builder, site string, e entry) {
	fmt.Fprintf(text, "\n## %s (%s)\n\n| day | worth | served | refused | failed |", site, e.ID)
	for _, p := range e.Days[0].Parts {
		fmt.Fprintf(text, " %s (%g) |", p.name, p.weight)
	}
	text.WriteString(" highest prices |\n|---|---|---|---|---|")
	text.WriteString(strings.Repeat("---|", len(e.Days[0].Parts)+1) + "\n")
	for _, d := range e.Days {
		fmt.Fprintf(text, "| %s | %.3f | %.3f | %.3f | %.3f |", d.title(), d.Worth, d.Served, d.Refused, d.Failed)
		for _, p := range d.Parts {
			fmt.Fprintf(text, " %.3f |", p.value)
		}
		fmt.Fprintf(text, " %s |\n", highestPrices(d.Prices))
	}
}

// highestPrices names the highest prices with their costs.
func highestPrices(prices []price) string {
	sorted := slices.Clone(prices)
	slices.SortStableFunc(sorted, func(a, b price) int { return cmp.Compare(b.cost, a.cost) })
	var shown []string
	for _, p := range sorted[:min(len(sorted), shownPrices)] {
		shown = append(shown, fmt.Sprintf("%s %.3f", p.name, p.cost))
	}
	return strings.Join(shown, ", ")
}
