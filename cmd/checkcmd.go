package cmd

import "cactuswell/settings"

// checkCommand checks settings without serving.
type checkCommand struct {
	settings.Settings

	console *console
}

func newCheckCommand(c *console) subcommand {
	return subcommand{
		name:  "check",
		short: "Check the settings of an entry host",
		long: "Checks the settings that serve would be given, as flags or environment variables, and names " +
			"every fault with its flag, value and what is allowed. Nothing is started.",
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
