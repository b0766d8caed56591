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

// NotFoundError reports that the host knows no object of a kind with a name.
type NotFoundError struct {
	Kind string
	Name string
}

// Error returns the message with the kind and the name.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no %s named %q is known", e.Kind, e.Name)
}

// SpecError reports that the JSON text of a profile could not be decoded or encoded.
type SpecError struct {
	Cause error
}

// Error returns the message with the cause.
func (e *SpecError) Error() string {
	return "unreadable profile text: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SpecError) Unwrap() error { return e.Cause }

// ConflictError reports that another change was accepted first. It holds the current
// revision.
type ConflictError struct {
	Name     string
	Revision uint64
	Author   string
	Deleted  bool
	// Spec is the current JSON text.
	Spec string
}

// Error returns the message with the current revision and its author.
func (e *ConflictError) Error() string {
	if e.Deleted {
		return fmt.Sprintf("%s was deleted meanwhile: revision %d by %q", e.Name, e.Revision, e.Author)
	}
	return fmt.Sprintf("%s was changed meanwhile: revision %d by %q is current: %s",
		e.Name, e.Revision, e.Author, e.Spec)
}

// LaggingError reports that it was not confirmed in time that all live hosts have
// applied a change. Hosts are those that had not applied it by the last response; it
// is empty if there was no response.
type LaggingError struct {
	Hosts []string
	Cause error
}

// Error returns the message with the hosts.
func (e *LaggingError) Error() string {
	if len(e.Hosts) == 0 {
		return fmt.Sprintf("no host told where the change is in force: %v", e.Cause)
	}
	return fmt.Sprintf("change is not in force on %s: %v", strings.Join(e.Hosts, ", "), e.Cause)
}

// Unwrap returns the reason why the wait ended.
func (e *LaggingError) Unwrap() error { return e.Cause }

// toConnectError converts the error of a change to a Connect error with a code and,
// for a conflict, a detail.
func toConnectError(err error) error {
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
		return toConflictError(conflict)
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

// toConflictError returns a FailedPrecondition error with a Conflict detail.
func toConflictError(conflict *core.ConflictError) error {
	connectErr := connect.NewError(connect.CodeFailedPrecondition, conflict)
	current, err := profileMessage(conflict.Current)
	if err != nil {
		return connectErr
	}
	detail, err := connect.NewErrorDetail(&operatorv1.Conflict{
		Current: current,
		Author:  conflict.Current.Author,
	})
	if err == nil {
		connectErr.AddDetail(detail)
	}
	return connectErr
}

// fromConnectError returns the *ConflictError in the details of a Connect error, or
// err itself if there is none.
func fromConnectError(name string, err error) error {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) || connectErr.Code() != connect.CodeFailedPrecondition {
		return err
	}
	for _, detail := range connectErr.Details() {
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
