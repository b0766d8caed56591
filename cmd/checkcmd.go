package cmd

import "cactuswell/settings"

// checkCommand validates the settings of the serve command.
type checkCommand struct {
	settings.Settings

	console *console
}

func newCheckCommand(c *console) subcommand {
	return subcommand{
		name:  "check",
		short: "Check the settings of an entry host",
		long: "Checks the settings of the serve command, given as flags or environment variables, and reports " +
			"every error with its flag, its value and the allowed values. Nothing is started.",
		command: &checkCommand{
			console: c,
		},
	}
}

// Execute runs the command.
func (c *checkCommand) Execute([]string) error {
	if err := c.Check(); err != nil {
		return err
	}
	c.console.printf("settings are valid\n")
	return nil
}
