package cmd

import (
	"github.com/gravitational/trace"

	"cactuswell/experiment"
)

// experimentCommand measures the decisions beside the baselines.
type experimentCommand struct {
	Seed uint64 `long:"seed" env:"CACTUSWELL_EXPERIMENT_SEED" description:"seed of the arrivals" default:"1"`
	JSON bool   `long:"json" env:"CACTUSWELL_EXPERIMENT_JSON" description:"print the results as JSON"`

	console *console
}

func newExperimentCommand(c *console) subcommand {
	return subcommand{
		name:  "experiment",
		short: "Measure the decisions under load beside the baselines",
		long: "Runs the decisions of nine hosts in virtual time against fake endpoints, for both deployments and " +
			"every scenario, beside three baselines on the same arrivals, and prints the measures. The same " +
			"seed gives the same figures.",
		command: &experimentCommand{
			console: c,
		},
	}
}

// Execute runs the command.
func (e *experimentCommand) Execute([]string) error {
	results := experiment.All(e.Seed)
	if !e.JSON {
		return trace.Wrap(results.WriteTable(e.console.out))
	}
	data, err := results.JSON()
	if err != nil {
		return trace.Wrap(err)
	}
	e.console.printf("%s\n", data)
	return nil
}
