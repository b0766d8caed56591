// Package cmd implements the command line. Each subcommand has a file with its
// flags, its help text and its implementation.
//
// # Usage
//
//	os.Exit(cmd.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
package cmd

import (
	"errors"
	"fmt"
	"io"

	"github.com/go-kit/log"
	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"cactuswell/settings"
)

// Exit codes of the program.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure means that the command line was valid but the command failed.
	ExitFailure = 1
	// ExitUsage means that the command line or the settings are invalid.
	ExitUsage = 2
)

// console holds the input and the outputs of a command.
type console struct {
	in     io.Reader
	out    io.Writer
	errOut io.Writer
	// args is the command line without the program name.
	args []string
}

// logger returns a logger that writes JSON lines to errOut.
func (c *console) logger() log.Logger {
	logger := log.NewJSONLogger(log.NewSyncWriter(c.errOut))
	return log.With(logger, "time", log.DefaultTimestampUTC)
}

// printf writes to the output. Write errors are ignored: there is no other place to
// report them.
func (c *console) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(c.out, format, values...)
}

// subcommand is one command of the program.
type subcommand struct {
	name    string
	short   string
	long    string
	command any
}

// Main runs the command line in args and returns the exit code.
func Main(args []string, in io.Reader, out, errOut io.Writer) int {
	c := &console{
		in:     in,
		out:    out,
		errOut: errOut,
		args:   args,
	}
	parser := flags.NewNamedParser("cactuswell", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "cactuswell routes language-model traffic with service levels and priorities."
	for _, s := range subcommands(c) {
		if _, err := parser.AddCommand(s.name, s.short, s.long, s.command); err != nil {
			_, _ = fmt.Fprintln(errOut, err)
			return ExitUsage
		}
	}
	_, err := parser.ParseArgs(args)
	return c.exitCode(err)
}

func subcommands(c *console) []subcommand {
	return []subcommand{
		newCheckCommand(c),
		newDemoCommand(c),
		newDoctorCommand(c),
		newDumpCommand(c),
		newEndpointCommand(c),
		newExperimentCommand(c),
		newExplainCommand(c),
		newGatewayCommand(c),
		newLoadCommand(c),
		newProfileCommand(c),
		newServeCommand(c),
		newStandInCommand(c),
		newVersionCommand(c),
	}
}

func (c *console) exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var parse *flags.Error
	if errors.As(err, &parse) && parse.Type == flags.ErrHelp {
		c.printf("%s\n", parse.Message)
		return ExitOK
	}
	_, _ = fmt.Fprintf(c.errOut, "cactuswell: %s\n", trace.UserMessage(err))
	var invalid *settings.InvalidError
	if errors.As(err, &parse) || errors.As(err, &invalid) {
		return ExitUsage
	}
	return ExitFailure
}
