package cmd

import (
	"context"
	"io"
	"sync"

	"github.com/go-kit/log"

	"cactuswell/demo"
	"cactuswell/deployment"
)

// demoCommand runs both deployments in one process.
type demoCommand struct {
	Hosts   int  `long:"hosts" env:"CACTUSWELL_DEMO_HOSTS" description:"entry hosts of each deployment" default:"3"`
	Verbose bool `long:"verbose" env:"CACTUSWELL_DEMO_VERBOSE" description:"write the hosts' logs to the error output"`

	console *console
}

func newDemoCommand(c *console) subcommand {
	return subcommand{
		name:  "demo",
		short: "Run both deployments in one process, with stand-ins",
		long: "Starts stand-ins for the platform and for the endpoints of both deployments and several entry " +
			"hosts for each, publishes the profiles, prints addresses and calls to try, and serves until " +
			"interrupted. Nothing is kept.",
		command: &demoCommand{
			console: c,
		},
	}
}

// Execute runs the command.
func (d *demoCommand) Execute([]string) error {
	logger := log.NewJSONLogger(log.NewSyncWriter(io.Discard))
	if d.Verbose {
		logger = d.console.logger()
	}
	signals := newStopSignals()
	defer signals.close()
	var group sync.WaitGroup
	var runners []*demoRunner
	for _, firm := range []deployment.Deployment{deployment.Kelisim(), deployment.Lindqvist()} {
		running, err := demo.New(firm, d.Hosts, logger)
		if err != nil {
			signals.close()
			group.Wait()
			return err
		}
		r := &demoRunner{
			demo: running,
		}
		runners = append(runners, r)
		group.Add(1)
		go r.run(signals.stop, signals.kill, &group)
		if err := running.PublishProfiles(signals.stop); err != nil {
			signals.endStop()
			group.Wait()
			return err
		}
		d.introduce(firm, running)
	}
	d.console.printf("\nInterrupt to stop.\n")
	group.Wait()
	for _, r := range runners {
		if r.err != nil {
			return r.err
		}
	}
	return nil
}

type demoRunner struct {
	demo *demo.Demo
	err  error
}

func (r *demoRunner) run(stop, kill context.Context, group *sync.WaitGroup) {
	defer group.Done()
	r.err = r.demo.Run(stop, kill)
}

// introduce prints a deployment's addresses and calls to try.
func (d *demoCommand) introduce(firm deployment.Deployment, running *demo.Demo) {
	d.console.printf("\n%s: %d endpoints, %d hosts\n", firm.Name, len(firm.Endpoints()), len(running.Hosts()))
	for _, h := range running.Hosts() {
		d.console.printf("  %-18s callers http://%s  operators http://%s\n",
			h.Name(), h.CallerAddress(), h.OperatorAddress())
	}
	address := running.Hosts()[0].CallerAddress()
	for _, spec := range firm.Profiles {
		switch spec.Kind {
		case "model":
			d.console.printf("  curl -N http://%s/v1/chat/completions -d '{\"model\": %q, \"stream\": true, "+
				"\"messages\": [{\"role\": \"user\", \"content\": \"hello\"}]}'\n", address, spec.Name)
		case "service":
			d.console.printf("  curl http://%s/v1/services/%s -H 'X-Profile: %s' -d '{\"reference\": \"R-1\"}'\n",
				address, spec.Class, spec.Name)
		}
	}
}
