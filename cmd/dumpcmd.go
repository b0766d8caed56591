package cmd

import (
	"net/http"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"cactuswell/gateway"
	"cactuswell/io/httpjson"
	"cactuswell/io/operator/operatorv1"
)

// dumpCommand prints the state of a host or of a gateway.
type dumpCommand struct {
	operatorConnection
	Gateway string `long:"gateway" env:"CACTUSWELL_GATEWAY" description:"IP:port of the ready listener of a gateway, which is asked in place of an operator listener"`
}

func newDumpCommand(c *console) subcommand {
	return subcommand{
		name:  "dump",
		short: "Print a host's state as JSON",
		long: "Prints the state of a running host as JSON: its pools, queues, endpoints, peers, configuration, " +
			"claims and counters; or, with --gateway, a gateway's view of its services and endpoints. " +
			"The output contains no prompts and no answers.",
		command: &dumpCommand{
			operatorConnection: operatorConnection{
				console: c,
			},
		},
	}
}

// Execute runs the command.
func (d *dumpCommand) Execute([]string) error {
	if d.Gateway != "" {
		return d.dumpGateway()
	}
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

// maxDumpBytes is the maximum size of the state of a gateway.
const maxDumpBytes = 64 << 20

// dumpGateway prints the state of a gateway. The error is an *httpjson.StatusError or
// a connection error.
func (d *dumpCommand) dumpGateway() error {
	ctx, cancel := d.context()
	defer cancel()
	state, err := httpjson.Fetch(ctx, http.DefaultClient, http.MethodGet, "http://"+d.Gateway+gateway.DumpPath, nil, maxDumpBytes)
	if err != nil {
		return trace.Wrap(err)
	}
	d.console.printf("%s", state)
	return nil
}
