package cmd

import (
	"runtime"
	"runtime/debug"
)

// versionCommand prints the version of the program.
type versionCommand struct {
	console *console
}

func newVersionCommand(c *console) subcommand {
	return subcommand{
		name:  "version",
		short: "Print the version",
		long:  "Prints the version of the program and the version of Go that it was built with.",
		command: &versionCommand{
			console: c,
		},
	}
}

// Execute runs the command.
func (v *versionCommand) Execute([]string) error {
	version := "(devel)"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	v.console.printf("cactuswell %s %s\n", version, runtime.Version())
	return nil
}
