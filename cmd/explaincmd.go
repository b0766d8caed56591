package cmd

import (
	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"cactuswell/io/operator"
	"cactuswell/io/operator/operatorv1"
)

// explainCommand prints the decisions on one request.
type explainCommand struct {
	remote

	Positional struct {
		Request string `positional-arg-name:"REQUEST" description:"request id, as the X-Request-Id header tells it"`
	} `positional-args:"yes" required:"yes"`
}

func newExplainCommand(c *console) subcommand {
	return subcommand{
		name:  "explain",
		short: "Print the decisions on one request",
		long: "Prints what the host decided on a recent request and why: where it was sent, why there, why it " +
			"was retried, resumed, canceled or refused. Ask the host that took the request.",
		command: &explainCommand{
			remote: remote{
				console: c,
			},
		},
	}
}

// Execute runs the command.
func (e *explainCommand) Execute([]string) error {
	client, err := e.client()
	if err != nil {
		return err
	}
	ctx, cancel := e.context()
	defer cancel()
	response, err := client.Service().Explain(ctx, connect.NewRequest(&operatorv1.ExplainRequest{
		RequestId: e.Positional.Request,
	}))
	if connect.CodeOf(err) == connect.CodeNotFound {
		return trace.Wrap(&operator.NotFoundError{
			What: "request",
			Name: e.Positional.Request,
		})
	}
	if err != nil {
		return trace.Wrap(err)
	}
	e.console.printf("%s\n", response.Msg.GetJson())
	return nil
}
