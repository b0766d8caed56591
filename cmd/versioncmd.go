package cmd

import (
	"runtime"
	"runtime/debug"
)

// versionCommand prints what is running.
type versionCommand struct {
	console *console
}

func newVersionCommand(c *console) subcommand {
	return subcommand{
		name:  "version",
		short: "Print the version",
		long:  "Prints the version of the program and of the Go release that it was built with.",
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
