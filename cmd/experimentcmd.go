package cmd

import (
	"github.com/gravitational/trace"

	"cactuswell/experiment"
)

// experimentCommand compares the decisions with the baselines.
type experimentCommand struct {
	Seed uint64 `long:"seed" env:"CACTUSWELL_EXPERIMENT_SEED" description:"seed of the arrivals" default:"1"`
	JSON bool   `long:"json" env:"CACTUSWELL_EXPERIMENT_JSON" description:"print the results as JSON"`

	console *console
}

func newExperimentCommand(c *console) subcommand {
	return subcommand{
		name:  "experiment",
		short: "Compare the decisions under load with the baselines",
		long: "Simulates the decisions of nine hosts in virtual time against fake endpoints, for both deployments " +
			"and every scenario, together with three baselines on the same arrivals, and prints the " +
			"measurements. The same seed gives the same results.",
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
