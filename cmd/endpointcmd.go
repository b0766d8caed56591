package cmd

import (
	"context"
	"fmt"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"cactuswell/io/operator"
	"cactuswell/io/operator/operatorv1"
)

// endpointCommand groups the subcommands for endpoints.
type endpointCommand struct {
	List   endpointList   `command:"list" description:"List the endpoints that the host knows"`
	Drain  endpointDrain  `command:"drain" description:"Stop sending new requests to an endpoint"`
	Resume endpointResume `command:"resume" description:"Resume sending requests to a drained endpoint"`
}

// endpointNameArg is the positional argument with the name of an endpoint.
type endpointNameArg struct {
	Positional struct {
		Name string `positional-arg-name:"NAME" description:"name of the endpoint"`
	} `positional-args:"yes" required:"yes"`
}

func newEndpointCommand(c *console) subcommand {
	common := operatorConnection{
		console: c,
	}
	return subcommand{
		name:  "endpoint",
		short: "List, drain and resume endpoints",
		long: "Lists the endpoints with their health, and drains or resumes one. A drain applies to the " +
			"endpoint's current incarnation on every host; requests in flight are finished.",
		command: &endpointCommand{
			List:   endpointList{operatorConnection: common},
			Drain:  endpointDrain{operatorConnection: common},
			Resume: endpointResume{operatorConnection: common},
		},
	}
}

type endpointList struct {
	operatorConnection
}

// Execute runs the command.
func (e *endpointList) Execute([]string) error {
	client, err := e.client()
	if err != nil {
		return err
	}
	ctx, cancel := e.context()
	defer cancel()
	endpoints, err := listEndpoints(ctx, client)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(e.console.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "NAME\tINCARNATION\tKIND\tPOOL\tZONE\tADDRESS\tHEALTH\tRUNNING")
	for _, endpoint := range endpoints {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%d\n", endpoint.GetName(), endpoint.GetIncarnation(), endpoint.GetKind(),
			endpoint.GetPool(), endpoint.GetZone(), endpoint.GetAddress(), endpoint.GetHealth(), endpoint.GetRunning())
	}
	return trace.Wrap(table.Flush())
}

func listEndpoints(ctx context.Context, client *operator.Client) ([]*operatorv1.Endpoint, error) {
	response, err := client.Service().ListEndpoints(ctx, connect.NewRequest(&operatorv1.ListEndpointsRequest{}))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return response.Msg.GetEndpoints(), nil
}

// changeEndpoint drains or resumes the current incarnation of an endpoint.
func changeEndpoint(r *operatorConnection, name, author string, drained, wait bool) error {
	client, err := r.client()
	if err != nil {
		return err
	}
	ctx, cancel := r.context()
	defer cancel()
	endpoints, err := listEndpoints(ctx, client)
	if err != nil {
		return err
	}
	for _, endpoint := range endpoints {
		if endpoint.GetName() != name {
			continue
		}
		offset, err := client.ChangeEndpoint(ctx, name, endpoint.GetIncarnation(), drained, author)
		if err != nil {
			return err
		}
		r.console.printf("accepted at offset %d\n", offset)
		if !wait {
			return nil
		}
		return r.console.awaitInForce(ctx, client, offset)
	}
	return trace.Wrap(&operator.NotFoundError{
		Kind: "endpoint",
		Name: name,
	})
}

type endpointDrain struct {
	operatorConnection
	authorFlag
	waitFlag
	endpointNameArg
}

// Execute runs the command.
func (e *endpointDrain) Execute([]string) error {
	return changeEndpoint(&e.operatorConnection, e.Positional.Name, e.authorName(), true, e.Wait)
}

type endpointResume struct {
	operatorConnection
	authorFlag
	waitFlag
	endpointNameArg
}

// Execute runs the command.
func (e *endpointResume) Execute([]string) error {
	return changeEndpoint(&e.operatorConnection, e.Positional.Name, e.authorName(), false, e.Wait)
}
