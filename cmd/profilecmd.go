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

// profileCommand groups the subcommands for profiles.
type profileCommand struct {
	List    profileList    `command:"list" description:"List the profiles in force"`
	Get     profileGet     `command:"get" description:"Print one profile"`
	Set     profileSet     `command:"set" description:"Create or replace a profile"`
	Delete  profileDelete  `command:"delete" description:"Delete a profile"`
	History profileHistory `command:"history" description:"Print who changed a profile and when"`
}

// profileNameArg is the positional argument with the name of a profile.
type profileNameArg struct {
	Positional struct {
		Name string `positional-arg-name:"NAME" description:"name of the profile"`
	} `positional-args:"yes" required:"yes"`
}

// waitFlag makes a command wait until its change is in force.
type waitFlag struct {
	Wait bool `long:"wait" description:"return once the change is in force on every live host, or name those that lag"`
}

func newProfileCommand(c *console) subcommand {
	common := operatorConnection{
		console: c,
	}
	return subcommand{
		name:  "profile",
		short: "List, read and change the profiles",
		long: "Lists, reads and changes the named profiles that callers select. A change names its base revision; " +
			"if the profile has changed since, the change is refused and the current text is printed.",
		command: &profileCommand{
			List:    profileList{operatorConnection: common},
			Get:     profileGet{operatorConnection: common},
			Set:     profileSet{operatorConnection: common},
			Delete:  profileDelete{operatorConnection: common},
			History: profileHistory{operatorConnection: common},
		},
	}
}

type profileList struct {
	operatorConnection
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
	for _, listed := range response.Msg.GetProfiles() {
		var spec profile.Spec
		if err := json.Unmarshal([]byte(listed.GetSpec()), &spec); err != nil {
			return trace.Wrap(err)
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%d\t%dms\t%v\n", spec.Name, listed.GetRevision(), spec.Class,
			spec.Pool, spec.Tier, spec.TargetMs, spec.Idempotent)
	}
	return trace.Wrap(table.Flush())
}

type profileGet struct {
	operatorConnection
	profileNameArg
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

// getProfile returns a profile. A deleted profile has only its revision.
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
	operatorConnection
	authorFlag
	waitFlag

	File string `long:"file" description:"file with the profile as JSON; - for the standard input" default:"-"`
	Base *int64 `long:"base" description:"revision that the change is made from; by default the one in force now"`
}

// Execute runs the command.
func (p *profileSet) Execute([]string) error {
	spec, err := p.readSpec()
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
	accepted, err := client.SetProfile(ctx, spec, base, p.authorName())
	if err != nil {
		return err
	}
	return p.console.printAccepted(ctx, client, accepted, p.Wait)
}

// readSpec reads and validates the profile. Unknown fields are rejected.
func (p *profileSet) readSpec() (profile.Spec, error) {
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

// baseRevision returns the base revision of a change: the requested one, or the
// current one, or zero for a new name.
func baseRevision(ctx context.Context, client *operator.Client, requested *int64, name string) (uint64, error) {
	if requested != nil {
		return uint64(max(0, *requested)), nil
	}
	current, err := getProfile(ctx, client, name)
	var missing *operator.NotFoundError
	if errors.As(err, &missing) {
		return 0, nil
	}
	return current.GetRevision(), err
}

// printAccepted prints an accepted change and, if wait is set, waits until it is in
// force.
func (c *console) printAccepted(ctx context.Context, client *operator.Client, accepted operator.AcceptedChange, wait bool) error {
	c.printf("accepted as revision %d at offset %d\n", accepted.Revision, accepted.Offset)
	if !wait {
		return nil
	}
	return c.awaitInForce(ctx, client, accepted.Offset)
}

// awaitInForce waits until the change at the offset is in force on every live host.
func (c *console) awaitInForce(ctx context.Context, client *operator.Client, offset record.Offset) error {
	if err := client.AwaitInForce(ctx, offset); err != nil {
		return err
	}
	c.printf("in force on every live host\n")
	return nil
}

type profileDelete struct {
	operatorConnection
	authorFlag
	waitFlag
	profileNameArg

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
	accepted, err := client.DeleteProfile(ctx, p.Positional.Name, base, p.authorName())
	if err != nil {
		return err
	}
	return p.console.printAccepted(ctx, client, accepted, p.Wait)
}

type profileHistory struct {
	operatorConnection
	profileNameArg
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
			historyResult(entry), entry.GetSpec())
	}
	return trace.Wrap(table.Flush())
}

// historyResult returns the value of the RESULT column.
func historyResult(entry *operatorv1.HistoryEntry) string {
	switch {
	case !entry.GetAccepted():
		return "conflict"
	case entry.GetDeleted():
		return "deleted"
	}
	return "accepted"
}
