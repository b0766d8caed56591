// Package cmd holds the command line: one file for each subcommand, with its
// flags, its help and what it does.
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
	// ExitOK says that the command did what was asked.
	ExitOK = 0
	// ExitFailure says that the command was understood but failed.
	ExitFailure = 1
	// ExitUsage says that the command line or the settings are wrong.
	ExitUsage = 2
)

// console is what the commands read from and write to.
type console struct {
	in     io.Reader
	out    io.Writer
	errors io.Writer
	// args is the command line.
	args []string
}

// logger returns a logger that writes JSON lines to the error output.
func (c *console) logger() log.Logger {
	logger := log.NewJSONLogger(log.NewSyncWriter(c.errors))
	return log.With(logger, "time", log.DefaultTimestampUTC)
}

// printf writes to the output. A failure to write shows up nowhere else, so it
// is left to the next write.
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
func Main(args []string, in io.Reader, out, errorsTo io.Writer) int {
	c := &console{
		in:     in,
		out:    out,
		errors: errorsTo,
		args:   args,
	}
	parser := flags.NewNamedParser("cactuswell", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "cactuswell routes language-model traffic with service levels and priorities."
	for _, s := range subcommands(c) {
		if _, err := parser.AddCommand(s.name, s.short, s.long, s.command); err != nil {
			_, _ = fmt.Fprintln(errorsTo, err)
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
	_, _ = fmt.Fprintf(c.errors, "cactuswell: %s\n", trace.UserMessage(err))
	var invalid *settings.InvalidError
	if errors.As(err, &parse) || errors.As(err, &invalid) {
		return ExitUsage
	}
	return ExitFailure
}
