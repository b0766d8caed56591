package cmd

import (
	"os"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"cactuswell/core/directory"
	"cactuswell/core/route"
	"cactuswell/gateway"
	"cactuswell/io/control"
	"cactuswell/io/opaque"
	"cactuswell/platform"
	"cactuswell/settings"
)

// gatewayCommand runs one host that serves the routes of a configuration in the
// metadata store.
type gatewayCommand struct {
	settings.Gateway
	CheckOnly bool `long:"check" description:"check the settings, as flags, environment variables and environment file give them, and end"`

	console *console
}

func newGatewayCommand(c *console) subcommand {
	return subcommand{
		name:  "gateway",
		short: "Run one host that serves the routes of a stored configuration",
		long: "Runs one host that follows the configuration and the endpoints in the platform's metadata " +
			"store and serves the routes, until SIGTERM or an interrupt. It then shuts down gracefully; a " +
			"second signal stops it immediately.",
		command: &gatewayCommand{
			console: c,
		},
	}
}

// storeDecoder decodes the values in the platform's metadata store.
type storeDecoder struct{}

// Configuration implements gateway.Decoder.
func (storeDecoder) Configuration(value []byte) (route.Spec, error) {
	return platform.DecodeConfiguration(value)
}

// ConfigurationVersion implements gateway.Decoder.
func (storeDecoder) ConfigurationVersion(value []byte) (int64, error) {
	return platform.DecodeConfigurationVersion(value)
}

// Endpoint implements gateway.Decoder.
func (storeDecoder) Endpoint(id string, value []byte) (directory.Entry, error) {
	return platform.DecodeEndpoint(id, value)
}

// loadSettings reads the settings. Variables of the environment file override the
// environment, and flags override both.
func (g *gatewayCommand) loadSettings() (settings.Gateway, error) {
	if g.EnvironmentFile != "" {
		variables, err := settings.ReadEnvironment(g.EnvironmentFile)
		if err != nil {
			return settings.Gateway{}, trace.Wrap(err)
		}
		for name, value := range variables {
			if err := os.Setenv(name, value); err != nil {
				return settings.Gateway{}, trace.Wrap(err)
			}
		}
	}
	var parsed settings.Gateway
	parser := flags.NewParser(&parsed, flags.IgnoreUnknown)
	if _, err := parser.ParseArgs(g.console.args); err != nil {
		return settings.Gateway{}, trace.Wrap(err)
	}
	return parsed, nil
}

// newHeaderDialect returns the dialect of the call headers that the settings name.
func newHeaderDialect(names string) opaque.HeaderDialect {
	if names == settings.HeaderNamesPlatform {
		return opaque.NewHeaderDialect(platform.HeaderNames())
	}
	return opaque.NewHeaderDialect(opaque.DefaultHeaderNames())
}

// Execute runs the command.
func (g *gatewayCommand) Execute([]string) error {
	loaded, err := g.loadSettings()
	if err != nil {
		return err
	}
	if g.CheckOnly {
		if err := loaded.Check(); err != nil {
			return err
		}
		g.console.printf("settings are valid\n")
		return nil
	}
	signals := newStopSignals()
	defer signals.close()
	store := platform.NewStore(loaded.StoreAddress)
	var controlAPI control.Client
	if loaded.ControlAddress != "" {
		controlAPI = platform.NewControl(loaded.ControlAddress)
	}
	host, err := gateway.New(gateway.Dependencies{
		Settings: loaded,
		Log:      store,
		Roster:   store,
		Control:  controlAPI,
		Topics: gateway.Topics{
			Configuration:    platform.ConfigurationTopic,
			ConfigurationKey: platform.ConfigurationKey,
			Endpoints:        platform.EndpointTopic,
		},
		Decoder:        storeDecoder{},
		Dialect:        newHeaderDialect(loaded.HeaderNames),
		Output:         g.console.out,
		LoadSettings:   g.loadSettings,
		ReloadRequests: signals.reload,
	})
	if err != nil {
		return err
	}
	return host.Run(signals.stop, signals.kill)
}
