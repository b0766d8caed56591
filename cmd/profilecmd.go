package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"cactuswell/core/profile"
	"cactuswell/core/record"
	"cactuswell/io/operator"
	"cactuswell/io/operator/operatorv1"
)

// profileCommand groups the commands on profiles.
type profileCommand struct {
	List    profileList    `command:"list" description:"List the profiles in force"`
	Get     profileGet     `command:"get" description:"Print one profile"`
	Set     profileSet     `command:"set" description:"Create or replace a profile"`
	Delete  profileDelete  `command:"delete" description:"Delete a profile"`
	History profileHistory `command:"history" description:"Print who changed a profile and when"`
}

// profileName is the argument that names a profile.
type profileName struct {
	Positional struct {
		Name string `positional-arg-name:"NAME" description:"name of the profile"`
	} `positional-args:"yes" required:"yes"`
}

// waiting is how a change waits to be in force.
type waiting struct {
	Wait bool `long:"wait" description:"return once the change is in force on every live host, or name those that lag"`
}

func newProfileCommand(c *console) subcommand {
	common := remote{
		console: c,
	}
	return subcommand{
		name:  "profile",
		short: "List, read and change the profiles",
		long: "Lists, reads and changes the named profiles that callers pick. A change is made from a base " +
			"revision; if another operator was faster it is refused and the winner's text is printed.",
		command: &profileCommand{
			List:    profileList{remote: common},
			Get:     profileGet{remote: common},
			Set:     profileSet{remote: common},
			Delete:  profileDelete{remote: common},
			History: profileHistory{remote: common},
		},
	}
}

type profileList struct {
	remote
}

// Execute runs the command.
func (p *profileList) Execute([]string) error {
	client, err := p.client()
	if err != nil {
		return err
	}
	ctx, cancel := p.context()
	defer cancel()
	response, err := client.Service().ListProfiles(ctx, connect.NewRequest(&operatorv1.ListProfilesRequest{}))
	if err != nil {
		return trace.Wrap(err)
	}
	table := tabwriter.NewWriter(p.console.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "NAME\tREVISION\tCLASS\tPOOL\tTIER\tTARGET\tIDEMPOTENT")
	for _, one := range response.Msg.GetProfiles() {
		var spec profile.Spec
		if err := json.Unmarshal([]byte(one.GetSpec()), &spec); err != nil {
			return trace.Wrap(err)
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%d\t%dms\t%v\n", spec.Name, one.GetRevision(), spec.Class,
			spec.Pool, spec.Tier, spec.TargetMs, spec.Idempotent)
	}
	return trace.Wrap(table.Flush())
}

type profileGet struct {
	remote
	profileName
}

// Execute runs the command.
func (p *profileGet) Execute([]string) error {
	client, err := p.client()
	if err != nil {
		return err
	}
	ctx, cancel := p.context()
	defer cancel()
	current, err := liveProfile(ctx, client, p.Positional.Name)
	if err != nil {
		return err
	}
	p.console.printf("%s\n", current.GetSpec())
	return nil
}

// liveProfile returns a profile that is not deleted.
func liveProfile(ctx context.Context, client *operator.Client, name string) (*operatorv1.Profile, error) {
	current, err := getProfile(ctx, client, name)
	if err != nil {
		return nil, err
	}
	if current.GetDeleted() {
		return nil, trace.Wrap(&operator.NotFoundError{
			Kind: "profile",
			Name: name,
		})
	}
	return current, nil
}

// getProfile returns a profile, which may be deleted and then tells only its
// revision.
func getProfile(ctx context.Context, client *operator.Client, name string) (*operatorv1.Profile, error) {
	response, err := client.Service().GetProfile(ctx, connect.NewRequest(&operatorv1.GetProfileRequest{
		Name: name,
	}))
	if connect.CodeOf(err) == connect.CodeNotFound {
		return nil, trace.Wrap(&operator.NotFoundError{
			Kind: "profile",
			Name: name,
		})
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return response.Msg.GetProfile(), nil
}

type profileSet struct {
	remote
	author
	waiting

	File string `long:"file" description:"file with the profile as JSON; - for the standard input" default:"-"`
	Base *int64 `long:"base" description:"revision that the change is made from; by default the one in force now"`
}

// Execute runs the command.
func (p *profileSet) Execute([]string) error {
	spec, err := p.read()
	if err != nil {
		return err
	}
	client, err := p.client()
	if err != nil {
		return err
	}
	ctx, cancel := p.context()
	defer cancel()
	base, err := baseRevision(ctx, client, p.Base, spec.Name)
	if err != nil {
		return err
	}
	accepted, err := client.SetProfile(ctx, spec, base, p.name())
	if err != nil {
		return err
	}
	return p.console.report(ctx, client, accepted, p.Wait)
}

// read returns the checked profile. Unknown fields are refused.
func (p *profileSet) read() (profile.Spec, error) {
	input := p.console.in
	if p.File != "-" {
		file, err := os.Open(p.File)
		if err != nil {
			return profile.Spec{}, trace.Wrap(err)
		}
		defer func() { _ = file.Close() }()
		input = file
	}
	decoder := json.NewDecoder(io.LimitReader(input, record.MaxBytes))
	decoder.DisallowUnknownFields()
	var spec profile.Spec
	if err := decoder.Decode(&spec); err != nil {
		return profile.Spec{}, trace.Wrap(&operator.SpecError{Cause: err})
	}
	_, err := profile.New(spec)
	return spec, trace.Wrap(err)
}

// baseRevision returns the revision to change from: the one asked for, or the
// one in force, or zero for a new name.
func baseRevision(ctx context.Context, client *operator.Client, asked *int64, name string) (uint64, error) {
	if asked != nil {
		return uint64(max(0, *asked)), nil
	}
	current, err := getProfile(ctx, client, name)
	var missing *operator.NotFoundError
	if errors.As(err, &missing) {
		return 0, nil
	}
	return current.GetRevision(), err
}

// report prints an accepted change, and waits for it if that is wanted.
func (c *console) report(ctx context.Context, client *operator.Client, accepted operator.AcceptedChange, wait bool) error {
	c.printf("accepted as revision %d at offset %d\n", accepted.Revision, accepted.Offset)
	if !wait {
		return nil
	}
	return c.awaitInForce(ctx, client, accepted.Offset)
}

func (c *console) awaitInForce(ctx context.Context, client *operator.Client, offset record.Offset) error {
	if err := client.AwaitInForce(ctx, offset); err != nil {
		return err
	}
	c.printf("in force on every live host\n")
	return nil
}

type profileDelete struct {
	remote
	author
	waiting
	profileName

	Base *int64 `long:"base" description:"revision that is deleted; by default the one in force now"`
}

// Execute runs the command.
func (p *profileDelete) Execute([]string) error {
	client, err := p.client()
	if err != nil {
		return err
	}
	ctx, cancel := p.context()
	defer cancel()
	if _, err := liveProfile(ctx, client, p.Positional.Name); err != nil {
		return err
	}
	base, err := baseRevision(ctx, client, p.Base, p.Positional.Name)
	if err != nil {
		return err
	}
	accepted, err := client.DeleteProfile(ctx, p.Positional.Name, base, p.name())
	if err != nil {
		return err
	}
	return p.console.report(ctx, client, accepted, p.Wait)
}

type profileHistory struct {
	remote
	profileName
}

// Execute runs the command.
func (p *profileHistory) Execute([]string) error {
	client, err := p.client()
	if err != nil {
		return err
	}
	ctx, cancel := p.context()
	defer cancel()
	response, err := client.Service().History(ctx, connect.NewRequest(&operatorv1.HistoryRequest{
		Name: p.Positional.Name,
	}))
	if err != nil {
		return trace.Wrap(err)
	}
	table := tabwriter.NewWriter(p.console.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "REVISION\tOFFSET\tAUTHOR\tRESULT\tTEXT")
	for _, entry := range response.Msg.GetEntries() {
		_, _ = fmt.Fprintf(table, "%d\t%d\t%s\t%s\t%s\n", entry.GetRevision(), entry.GetOffset(), entry.GetAuthor(),
			resultOf(entry), entry.GetSpec())
	}
	return trace.Wrap(table.Flush())
}

func resultOf(entry *operatorv1.HistoryEntry) string {
	switch {
	case !entry.GetAccepted():
		return "conflict"
	case entry.GetDeleted():
		return "deleted"
	}
	return "accepted"
}
