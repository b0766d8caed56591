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
	// subject names what is changed.
	subject() string
	author() string
	asOf() record.Offset
	check() error
}

// ProfileChange replaces or deletes one profile.
type ProfileChange struct {
	Name string `json:"name"`
	// BaseRevision is the revision that the change was made from, or zero for
	// a name that has none.
	BaseRevision uint64 `json:"baseRevision"`
	// Spec is the whole new text. It is absent when Deleted is true.
	Spec    *profile.Spec `json:"spec,omitempty"`
	Deleted bool          `json:"deleted,omitempty"`
	Author  string        `json:"author"`
	// AsOf is the next offset of the writer's state when it wrote the change.
	AsOf record.Offset `json:"asOf"`
}

// EndpointChange drains one incarnation of an endpoint or resumes it.
type EndpointChange struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// Drained is true to drain and false to resume.
	Drained bool          `json:"drained"`
	Author  string        `json:"author"`
	AsOf    record.Offset `json:"asOf"`
}

// InvalidError says what is wrong with one field of a change.
type InvalidError struct {
	Field  string
	Reason string
}

// Error names the field and the fault.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid change: %s: %s", e.Field, e.Reason)
}

// Encode returns the record of a change. The id is unique to the change; the
// same id marks a repetition. The error is an *InvalidError, a
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

// Fingerprint returns a hash of what the change asks for, without the offset
// at which it was written.
func Fingerprint(change Change) uint64 {
	body, err := json.Marshal(WithAsOf(change, 0))
	if err != nil {
		return 0
	}
	return xxhash.Sum64(append([]byte(change.kind()), body...))
}

// decodeChange returns the change in an envelope's body, or nil for a kind that
// does not belong to the configuration.
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
func (c ProfileChange) subject() string     { return c.Name }
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
func (c EndpointChange) subject() string     { return c.Name }
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

// WithAsOf returns the change as written in front of the given offset.
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
