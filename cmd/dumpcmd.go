package cmd

import (
	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"cactuswell/io/operator/operatorv1"
)

// dumpCommand prints a host's state.
type dumpCommand struct {
	remote
}

func newDumpCommand(c *console) subcommand {
	return subcommand{
		name:  "dump",
		short: "Print a host's state as JSON",
		long: "Prints the state of a running host as JSON: its pools, queues, endpoints, peers, configuration, " +
			"claims and counters. It holds no prompt and no answer.",
		command: &dumpCommand{
			remote: remote{
				console: c,
			},
		},
	}
}

// Execute runs the command.
func (d *dumpCommand) Execute([]string) error {
	client, err := d.client()
	if err != nil {
		return err
	}
	ctx, cancel := d.context()
	defer cancel()
	response, err := client.Service().Dump(ctx, connect.NewRequest(&operatorv1.DumpRequest{}))
	if err != nil {
		return trace.Wrap(err)
	}
	d.console.printf("%s\n", response.Msg.GetJson())
	return nil
}
