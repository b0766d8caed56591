package cmd

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"time"

	"cactuswell/deployment"
	"cactuswell/load"
)

// loadCommand generates load on entry hosts and checks the answers.
type loadCommand struct {
	Hosts    []string      `long:"host" env:"CACTUSWELL_LOAD_HOSTS" env-delim:"," description:"IP:port of an entry host's caller listener; may be given many times" required:"yes"`
	Services []string      `long:"service" env:"CACTUSWELL_LOAD_SERVICES" env-delim:"," description:"IP:port of a stand-in service to ask for executions"`
	Engines  []string      `long:"engine" env:"CACTUSWELL_LOAD_ENGINES" env-delim:"," description:"IP:port of a stand-in engine to ask for generated tokens"`
	Firm     string        `long:"firm" env:"CACTUSWELL_LOAD_FIRM" description:"deployment whose profiles and teams are used" choice:"kelisim" choice:"lindqvist" default:"kelisim"`
	Streams  []string      `long:"stream" env:"CACTUSWELL_LOAD_STREAMS" env-delim:"," description:"profile=rate, with bursts as @start+length*factor, such as schedulingDraft=20@10s+5s*3; may be given many times" required:"yes"`
	Duration time.Duration `long:"duration" env:"CACTUSWELL_LOAD_DURATION" description:"how long requests are started" default:"10s"`
	Seed     uint64        `long:"seed" env:"CACTUSWELL_LOAD_SEED" description:"seed of the arrivals" default:"1"`
	KeyShare float64       `long:"key-share" env:"CACTUSWELL_LOAD_KEY_SHARE" description:"part of the bookings, 0 to 1, that carry an idempotency key and are repeated" default:"0.5"`
	JSON     bool          `long:"json" env:"CACTUSWELL_LOAD_JSON" description:"print the report as JSON"`

	console *console
}

// BreachError reports that a run found breaches of guarantees.
type BreachError struct {
	Breaches int
}

// Error returns the message with the number of breaches.
func (e *BreachError) Error() string {
	return fmt.Sprintf("%d breaches of promises", e.Breaches)
}

func newLoadCommand(c *console) subcommand {
	return subcommand{
		name:  "load",
		short: "Generate load on entry hosts and report the results",
		long: "Sends requests of the named profiles at the given rates, checks every answer, queries the stand-ins " +
			"for how often each booking was run, and prints attainment by class, goodput by value, wasted work, " +
			"duplicates and refusals by kind. Exits with 1 if a promise was breached.",
		command: &loadCommand{
			console: c,
		},
	}
}

// Execute runs the command.
func (l *loadCommand) Execute([]string) error {
	firm, err := deployment.ByName(l.Firm)
	if err != nil {
		return err
	}
	config := load.Config{
		Hosts:      l.Hosts,
		Services:   withoutEmpty(l.Services),
		Engines:    withoutEmpty(l.Engines),
		RunID:      strconv.FormatInt(time.Now().UnixMilli(), 36) + "-",
		Deployment: firm,
		Duration:   l.Duration,
		Seed:       l.Seed,
		KeyShare:   l.KeyShare,
	}
	for _, text := range l.Streams {
		stream, err := load.ParseStream(text)
		if err != nil {
			return err
		}
		config.Streams = append(config.Streams, stream)
	}
	driver, err := load.New(config)
	if err != nil {
		return err
	}
	if l.console.isErrOutTerminal() {
		driver.OnProgress = l.printProgress
	}
	signals := newStopSignals()
	defer signals.close()
	report, err := driver.Run(signals.stop)
	if err != nil {
		return err
	}
	return l.printReport(report)
}

// withoutEmpty returns the values that are not empty. An empty environment variable
// is parsed as one empty value.
func withoutEmpty(values []string) []string {
	return slices.DeleteFunc(values, func(value string) bool { return value == "" })
}

func (l *loadCommand) printProgress(started, total int) {
	_, _ = fmt.Fprintf(l.console.errOut, "\r%d of %d requests started", started, total)
}

func (l *loadCommand) printReport(report *load.Report) error {
	write := report.WriteText
	if l.JSON {
		write = report.WriteJSON
	}
	if err := write(l.console.out); err != nil {
		return err
	}
	if breaches := report.Breaches(); breaches > 0 {
		return &BreachError{Breaches: breaches}
	}
	return nil
}

// isErrOutTerminal reports whether errOut is a terminal.
func (c *console) isErrOutTerminal() bool {
	file, ok := c.errOut.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
