package operator

import (
	"errors"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	core "cactuswell/core/configuration"
	"cactuswell/core/profile"
	"cactuswell/io/configuration"
	"cactuswell/io/operator/operatorv1"
)

// NotFoundError says that the host knows nothing under a name.
type NotFoundError struct {
	Kind string
	Name string
}

// Error names what was asked for.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no %s named %q is known", e.Kind, e.Name)
}

// SpecError says that the text of a profile could not be read.
type SpecError struct {
	Cause error
}

// Error describes the fault.
func (e *SpecError) Error() string {
	return "unreadable profile text: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SpecError) Unwrap() error { return e.Cause }

// ConflictError says that a change lost a race. It carries the winner's text.
type ConflictError struct {
	Name     string
	Revision uint64
	Author   string
	Deleted  bool
	// Spec is the JSON text that is current.
	Spec string
}

// Error names the winner.
func (e *ConflictError) Error() string {
	if e.Deleted {
		return fmt.Sprintf("%s was deleted meanwhile: revision %d by %q", e.Name, e.Revision, e.Author)
	}
	return fmt.Sprintf("%s was changed meanwhile: revision %d by %q is current: %s",
		e.Name, e.Revision, e.Author, e.Spec)
}

// LaggingError names the live hosts that have not applied a change. Hosts is
// empty if no answer said which these are.
type LaggingError struct {
	Hosts []string
	Cause error
}

// Error names the hosts.
func (e *LaggingError) Error() string {
	if len(e.Hosts) == 0 {
		return fmt.Sprintf("no host told where the change is in force: %v", e.Cause)
	}
	return fmt.Sprintf("change is not in force on %s: %v", strings.Join(e.Hosts, ", "), e.Cause)
}

// Unwrap returns why the wait ended.
func (e *LaggingError) Unwrap() error { return e.Cause }

// toConnect gives a refused change the code and the detail that the client
// understands.
func toConnect(err error) error {
	var (
		conflict *core.ConflictError
		stale    *core.StaleError
		rejected *core.RejectedError
		invalid  *core.InvalidError
		field    *profile.FieldError
		spec     *SpecError
		unknown  *configuration.UnknownOutcomeError
		notReady *configuration.NotReadyError
		reused   *configuration.IDReusedError
	)
	switch {
	case errors.As(err, &conflict):
		return conflictToConnect(conflict)
	case errors.As(err, &stale):
		return connect.NewError(connect.CodeAborted, stale)
	case errors.As(err, &rejected), errors.As(err, &invalid), errors.As(err, &field), errors.As(err, &spec):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.As(err, &unknown):
		return connect.NewError(connect.CodeUnknown, unknown)
	case errors.As(err, &notReady):
		return connect.NewError(connect.CodeUnavailable, notReady)
	case errors.As(err, &reused):
		return connect.NewError(connect.CodeAlreadyExists, reused)
	}
	return connect.NewError(connect.CodeInternal, err)
}

func conflictToConnect(conflict *core.ConflictError) error {
	refusal := connect.NewError(connect.CodeFailedPrecondition, conflict)
	current, err := toMessage(conflict.Current)
	if err != nil {
		return refusal
	}
	detail, err := connect.NewErrorDetail(&operatorv1.Conflict{
		Current: current,
		Author:  conflict.Current.Author,
	})
	if err == nil {
		refusal.AddDetail(detail)
	}
	return refusal
}

// fromConnect returns the conflict that an answer carries, or the error as it
// is.
func fromConnect(name string, err error) error {
	var refusal *connect.Error
	if !errors.As(err, &refusal) || refusal.Code() != connect.CodeFailedPrecondition {
		return err
	}
	for _, detail := range refusal.Details() {
		message, decodeErr := detail.Value()
		if decodeErr != nil {
			continue
		}
		if conflict, ok := message.(*operatorv1.Conflict); ok {
			return &ConflictError{
				Name:     name,
				Revision: conflict.GetCurrent().GetRevision(),
				Author:   conflict.GetAuthor(),
				Deleted:  conflict.GetCurrent().GetDeleted(),
				Spec:     conflict.GetCurrent().GetSpec(),
			}
		}
	}
	return err
}
