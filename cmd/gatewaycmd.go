package cmd

import (
	"cactuswell/core/directory"
	"cactuswell/core/route"
	"cactuswell/gateway"
	"cactuswell/platform"
	"cactuswell/settings"
)

// gatewayCommand runs one host that serves routes kept in a store.
type gatewayCommand struct {
	settings.Gateway

	console *console
}

func newGatewayCommand(c *console) subcommand {
	return subcommand{
		name:  "gateway",
		short: "Run one host that serves the routes of a stored configuration",
		long: "Runs one host that follows the configuration and the endpoints in the platform's metadata " +
			"store and serves the routes, until SIGTERM or an interrupt. It then stops in good order; a " +
			"second signal ends it at once.",
		command: &gatewayCommand{
			console: c,
		},
	}
}

// storedValues reads what the platform's store holds.
type storedValues struct{}

// Configuration implements gateway.Decoder.
func (storedValues) Configuration(value []byte) (route.Spec, error) {
	return platform.DecodeConfiguration(value)
}

// Endpoint implements gateway.Decoder.
func (storedValues) Endpoint(id string, value []byte) (directory.Entry, error) {
	return platform.DecodeEndpoint(id, value)
}

// Execute runs the command.
func (g *gatewayCommand) Execute([]string) error {
	store := platform.NewStore(g.StoreAddress)
	host, err := gateway.New(gateway.Dependencies{
		Settings: g.Gateway,
		Log:      store,
		Roster:   store,
		Topics: gateway.Topics{
			Configuration:    platform.ConfigurationTopic,
			ConfigurationKey: platform.ConfigurationKey,
			Endpoints:        platform.EndpointTopic,
		},
		Decoder: storedValues{},
		Dialect: platform.Dialect{},
		Output:  g.console.out,
	})
	if err != nil {
		return err
	}
	signals := newStopSignals()
	defer signals.close()
	return host.Run(signals.stop, signals.kill)
}
