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

// explainCommand prints the decisions about one request.
type explainCommand struct {
	operatorConnection
	Lines []string `long:"lines" description:"file with log lines of gateways, - for the standard input; may be given many times, and is looked at in place of a running host"`

	Positional struct {
		Request string `positional-arg-name:"REQUEST" description:"request id, as the X-Request-Id header tells it"`
	} `positional-args:"yes" required:"yes"`
}

func newExplainCommand(c *console) subcommand {
	return subcommand{
		name:  "explain",
		short: "Print the decisions about one request",
		long: "Prints the decisions of the host about a recent request and the reasons: which endpoint it was " +
			"sent to and why, and why it was retried, resumed, canceled or refused. Query the host that " +
			"accepted the request. With --lines, combines the log lines of all gateways about the request " +
			"and about its hosts and endpoints at that time, and names the cause of the outcome.",
		command: &explainCommand{
			operatorConnection: operatorConnection{
				console: c,
			},
		},
	}
}

// Execute runs the command.
func (e *explainCommand) Execute([]string) error {
	if len(e.Lines) > 0 {
		return e.explainFromLogs()
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

// stdinName is the file name that means the standard input.
const stdinName = "-"

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// explainFromLogs prints a report of the request from log lines. The error is an
// *incident.NotFoundError or comes from reading a file.
func (e *explainCommand) explainFromLogs() error {
	collector := incident.New(e.Positional.Request)
	for _, name := range e.Lines {
		if err := e.readLog(name, collector); err != nil {
			return trace.Wrap(err)
		}
	}
	report, err := collector.Report()
	if err != nil {
		return trace.Wrap(err)
	}
	e.console.printf("%s", report.String())
	return nil
}

// readLog adds the lines of a log file, or of the standard input, to collector.
func (e *explainCommand) readLog(name string, collector *incident.Collector) error {
	source := e.console.in
	if name != stdinName {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		source = file
	}
	lines := bufio.NewScanner(source)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		collector.Add(lines.Bytes())
	}
	return lines.Err()
}
