package cmd

import (
	"io"
	"os"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"cactuswell/io/operator/operatorv1"
)

// placementCommand groups the commands on the placement of models.
type placementCommand struct {
	Show placementShow `command:"show" description:"Print what is wanted, who places it, and the latest orders"`
	Plan placementPlan `command:"plan" description:"Print what would be done next and why, and do nothing"`
	Set  placementSet  `command:"set" description:"Replace the wanted placement"`
}

func newPlacementCommand(c *console) subcommand {
	common := remote{
		console: c,
	}
	return subcommand{
		name:  "placement",
		short: "Show, plan and change where the models stand",
		long: "Shows the wanted placement and its holder, plans the next moves without making them, and " +
			"replaces the wanted placement. Only the host that has the lease makes moves.",
		command: &placementCommand{
			Show: placementShow{remote: common},
			Plan: placementPlan{remote: common},
			Set:  placementSet{remote: common},
		},
	}
}

type placementShow struct {
	remote
}

// Execute runs the command.
func (p *placementShow) Execute([]string) error {
	client, err := p.client()
	if err != nil {
		return err
	}
	ctx, cancel := p.context()
	defer cancel()
	response, err := client.Service().ShowPlacement(ctx, connect.NewRequest(&operatorv1.ShowPlacementRequest{}))
	if err != nil {
		return trace.Wrap(err)
	}
	p.console.printf("%s\n", response.Msg.GetJson())
	return nil
}

type placementPlan struct {
	remote
}

// Execute runs the command.
func (p *placementPlan) Execute([]string) error {
	client, err := p.client()
	if err != nil {
		return err
	}
	ctx, cancel := p.context()
	defer cancel()
	response, err := client.Service().PlanPlacement(ctx, connect.NewRequest(&operatorv1.PlanPlacementRequest{}))
	if err != nil {
		return trace.Wrap(err)
	}
	p.console.printf("%s\n", response.Msg.GetJson())
	return nil
}

type placementSet struct {
	remote
	author
	waiting

	File string  `long:"file" description:"file with the wanted placement as JSON; - for the standard input" default:"-"`
	Base *uint64 `long:"base" description:"revision that the change is made from; by default the one in force now"`
}

// Execute runs the command.
func (p *placementSet) Execute([]string) error {
	document, err := p.read()
	if err != nil {
		return trace.Wrap(err)
	}
	client, err := p.client()
	if err != nil {
		return err
	}
	ctx, cancel := p.context()
	defer cancel()
	var base uint64
	if p.Base != nil {
		base = *p.Base
	} else {
		shown, err := client.Service().ShowPlacement(ctx, connect.NewRequest(&operatorv1.ShowPlacementRequest{}))
		if err != nil {
			return trace.Wrap(err)
		}
		base = shown.Msg.GetRevision()
	}
	accepted, err := client.SetPlacement(ctx, string(document), base, p.name())
	if err != nil {
		return err
	}
	return p.console.report(ctx, client, accepted, p.Wait)
}

func (p *placementSet) read() ([]byte, error) {
	if p.File == "-" {
		return io.ReadAll(p.console.in)
	}
	return os.ReadFile(p.File)
}
