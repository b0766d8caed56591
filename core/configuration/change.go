package configuration

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"cactuswell/core/profile"
	"cactuswell/core/record"
)

// Limits on the fields of a change.
const (
	MaxIDLength       = 64
	MaxAuthorLength   = 128
	MaxDocumentBytes  = 64 * 1024
	MaxEndpointLength = 128
)

// Change is one of ProfileChange and EndpointChange.
type Change interface {
	kind() record.Kind
	// targetName returns the name of the changed profile or endpoint.
	targetName() string
	author() string
	asOf() record.Offset
	check() error
}

// ProfileChange replaces or deletes one profile.
type ProfileChange struct {
	Name string `json:"name"`
	// BaseRevision is the current revision as the author saw it, or zero if the
	// name had none.
	BaseRevision uint64 `json:"baseRevision"`
	// Spec is the complete new spec. It is absent if Deleted is true.
	Spec    *profile.Spec `json:"spec,omitempty"`
	Deleted bool          `json:"deleted,omitempty"`
	Author  string        `json:"author"`
	// AsOf is the next offset of the writer's state at the time of writing.
	AsOf record.Offset `json:"asOf"`
}

// EndpointChange drains or resumes one incarnation of an endpoint.
type EndpointChange struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// Drained is true to drain and false to resume.
	Drained bool          `json:"drained"`
	Author  string        `json:"author"`
	AsOf    record.Offset `json:"asOf"`
}

// InvalidError reports an invalid field of a change.
type InvalidError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid change: %s: %s", e.Field, e.Reason)
}

// Encode returns the record of a change. The id must be unique to the change; a
// record with the same id is a duplicate. The error is an *InvalidError, a
// *profile.FieldError or a *record.MalformedError.
func Encode(id, host string, writtenAtMs int64, change Change) ([]byte, error) {
	if err := checkID(id); err != nil {
		return nil, err
	}
	if err := checkChange(change); err != nil {
		return nil, err
	}
	body, err := json.Marshal(change)
	if err != nil {
		return nil, &InvalidError{
			Field:  "body",
			Reason: err.Error(),
		}
	}
	return record.Encode(record.Envelope{
		Kind:        change.kind(),
		ID:          id,
		Host:        host,
		WrittenAtMs: writtenAtMs,
		Body:        body,
	})
}

// Fingerprint returns a hash of the change's content without AsOf.
func Fingerprint(change Change) uint64 {
	body, err := json.Marshal(WithAsOf(change, 0))
	if err != nil {
		return 0
	}
	return xxhash.Sum64(append([]byte(change.kind()), body...))
}

// decodeChange returns the change in an envelope's body, or nil for a kind that
// is not a configuration change.
func decodeChange(envelope record.Envelope) (Change, error) {
	switch envelope.Kind {
	case record.KindProfileChange:
		var change ProfileChange
		err := json.Unmarshal(envelope.Body, &change)
		return change, err
	case record.KindEndpointChange:
		var change EndpointChange
		err := json.Unmarshal(envelope.Body, &change)
		return change, err
	}
	return nil, nil
}

func checkID(id string) error {
	if id == "" || len(id) > MaxIDLength {
		return &InvalidError{
			Field:  "id",
			Reason: "allowed: 1 to 64 bytes",
		}
	}
	return nil
}

func checkChange(change Change) error {
	switch {
	case len(change.author()) > MaxAuthorLength:
		return &InvalidError{
			Field:  "author",
			Reason: "allowed: up to 128 bytes",
		}
	case change.asOf() < 0:
		return &InvalidError{
			Field:  "asOf",
			Reason: "negative",
		}
	}
	return change.check()
}

func (c ProfileChange) kind() record.Kind   { return record.KindProfileChange }
func (c ProfileChange) targetName() string  { return c.Name }
func (c ProfileChange) author() string      { return c.Author }
func (c ProfileChange) asOf() record.Offset { return c.AsOf }

func (c ProfileChange) check() error {
	switch {
	case c.Name == "" || len(c.Name) > profile.MaxNameLength:
		return &InvalidError{
			Field:  "name",
			Reason: "allowed: 1 to 64 bytes",
		}
	case c.Deleted && c.Spec != nil:
		return &InvalidError{
			Field:  "spec",
			Reason: "a deletion has none",
		}
	case c.Deleted:
		return nil
	case c.Spec == nil:
		return &InvalidError{
			Field:  "spec",
			Reason: "missing",
		}
	case c.Spec.Name != c.Name:
		return &InvalidError{
			Field:  "spec",
			Reason: "its name is not the change's",
		}
	}
	_, err := profile.New(*c.Spec)
	return err
}

func (c EndpointChange) kind() record.Kind   { return record.KindEndpointChange }
func (c EndpointChange) targetName() string  { return c.Name }
func (c EndpointChange) author() string      { return c.Author }
func (c EndpointChange) asOf() record.Offset { return c.AsOf }

func (c EndpointChange) check() error {
	if c.Name == "" || len(c.Name) > MaxEndpointLength {
		return &InvalidError{
			Field:  "name",
			Reason: "allowed: 1 to 128 bytes",
		}
	}
	return nil
}

// WithAsOf returns a copy of the change with the given AsOf.
func WithAsOf(change Change, asOf record.Offset) Change {
	switch change := change.(type) {
	case ProfileChange:
		change.AsOf = asOf
		return change
	case EndpointChange:
		change.AsOf = asOf
		return change
	}
	return change
}
