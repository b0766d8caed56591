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

// endpointCommand groups the commands on endpoints.
type endpointCommand struct {
	List   endpointList   `command:"list" description:"List the endpoints that the host knows"`
	Drain  endpointDrain  `command:"drain" description:"Let an endpoint have no new work"`
	Resume endpointResume `command:"resume" description:"Let a drained endpoint have work again"`
}

// endpointName is the argument that names an endpoint.
type endpointName struct {
	Positional struct {
		Name string `positional-arg-name:"NAME" description:"name of the endpoint"`
	} `positional-args:"yes" required:"yes"`
}

func newEndpointCommand(c *console) subcommand {
	common := remote{
		console: c,
	}
	return subcommand{
		name:  "endpoint",
		short: "List, drain and resume endpoints",
		long: "Lists the endpoints with their health, and drains or resumes one. A drain holds for the " +
			"endpoint's present incarnation on every host; work in flight is finished.",
		command: &endpointCommand{
			List:   endpointList{remote: common},
			Drain:  endpointDrain{remote: common},
			Resume: endpointResume{remote: common},
		},
	}
}

type endpointList struct {
	remote
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
	for _, one := range endpoints {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%d\n", one.GetName(), one.GetIncarnation(), one.GetKind(),
			one.GetPool(), one.GetZone(), one.GetAddress(), one.GetHealth(), one.GetRunning())
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

// changeEndpoint drains or resumes the present incarnation of an endpoint.
func changeEndpoint(r *remote, name, author string, drained, wait bool) error {
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
	for _, one := range endpoints {
		if one.GetName() != name {
			continue
		}
		offset, err := client.ChangeEndpoint(ctx, name, one.GetIncarnation(), drained, author)
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
	remote
	author
	waiting
	endpointName
}

// Execute runs the command.
func (e *endpointDrain) Execute([]string) error {
	return changeEndpoint(&e.remote, e.Positional.Name, e.name(), true, e.Wait)
}

type endpointResume struct {
	remote
	author
	waiting
	endpointName
}

// Execute runs the command.
func (e *endpointResume) Execute([]string) error {
	return changeEndpoint(&e.remote, e.Positional.Name, e.name(), false, e.Wait)
}
