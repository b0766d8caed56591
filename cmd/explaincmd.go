package cmd

import (
	"bufio"
	"os"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"cactuswell/core/incident"
	"cactuswell/io/operator"
	"cactuswell/io/operator/operatorv1"
)

// explainCommand prints the decisions on one request.
type explainCommand struct {
	remote
	Lines []string `long:"lines" description:"file with log lines of gateways, - for the standard input; may be given many times, and is looked at in place of a running host"`

	Positional struct {
		Request string `positional-arg-name:"REQUEST" description:"request id, as the X-Request-Id header tells it"`
	} `positional-args:"yes" required:"yes"`
}

func newExplainCommand(c *console) subcommand {
	return subcommand{
		name:  "explain",
		short: "Print the decisions on one request",
		long: "Prints what the host decided on a recent request and why: where it was sent, why there, why it " +
			"was retried, resumed, canceled or refused. Ask the host that took the request. With --lines, " +
			"puts together what the log lines of all gateways tell of the request, of its hosts and of its " +
			"endpoints around it, and names the cause.",
		command: &explainCommand{
			remote: remote{
				console: c,
			},
		},
	}
}

// Execute runs the command.
func (e *explainCommand) Execute([]string) error {
	if len(e.Lines) > 0 {
		return e.explainLines()
	}
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
			Kind: "request",
			Name: e.Positional.Request,
		})
	}
	if err != nil {
		return trace.Wrap(err)
	}
	e.console.printf("%s\n", response.Msg.GetJson())
	return nil
}

// standardInput is the name of a file that stands for the standard input.
const standardInput = "-"

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// explainLines prints what log lines tell of the request. The error is an
// *incident.NotFoundError or that of a file.
func (e *explainCommand) explainLines() error {
	found := incident.New(e.Positional.Request)
	for _, name := range e.Lines {
		if err := e.readLines(name, found); err != nil {
			return trace.Wrap(err)
		}
	}
	report, err := found.Report()
	if err != nil {
		return trace.Wrap(err)
	}
	e.console.printf("%s", report.String())
	return nil
}

func (e *explainCommand) readLines(name string, found *incident.Collector) error {
	source := e.console.in
	if name != standardInput {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		source = file
	}
	lines := bufio.NewScanner(source)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		found.Add(lines.Bytes())
	}
	return lines.Err()
}
