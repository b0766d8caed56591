package cmd

import (
	"cactuswell/host"
	"cactuswell/settings"
)

// serveCommand runs one entry host.
type serveCommand struct {
	settings.Settings

	console *console
}

func newServeCommand(c *console) subcommand {
	return subcommand{
		name:  "serve",
		short: "Run one entry host",
		long: "Runs one entry host until SIGTERM or an interrupt. It then stops in good order: it is no " +
			"longer ready but still accepts for the balancer's lag, then takes no new work, finishes every " +
			"request in flight and leaves. A second signal ends it at once.",
		command: &serveCommand{
			console: c,
		},
	}
}

// Execute runs the command.
func (s *serveCommand) Execute([]string) error {
	h, err := host.New(host.Dependencies{
		Settings: s.Settings,
		Logger:   s.console.logger(),
	})
	if err != nil {
		return err
	}
	signals := newStopSignals()
	defer signals.close()
	return h.Run(signals.stop, signals.kill)
}
