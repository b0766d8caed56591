// Package cmd holds the command line: one file for each subcommand, with its
// flags, its help and what it does.
//
// # Usage
//
//	os.Exit(cmd.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
package cmd

import "io"

// Exit codes of the program.
const (
	// ExitOK says that the command did what was asked.
	ExitOK = 0
	// ExitFailure says that the command was understood but failed.
	ExitFailure = 1
	// ExitUsage says that the command line or the settings are wrong.
	ExitUsage = 2
)

// Main runs the command line in args and returns the exit code.
func Main(_ []string, _ io.Reader, _, _ io.Writer) int {
	return ExitUsage
}
