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
		long: "Runs one entry host until SIGTERM or an interrupt. It then shuts down gracefully: it reports " +
			"that it is not ready but accepts requests for the balancer's lag, then accepts no new requests, " +
			"finishes those in flight and leaves the fleet. A second signal stops it immediately.",
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
