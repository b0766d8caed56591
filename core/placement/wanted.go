package placement

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// Limits on the fields of a wanted document.
const (
	MaxModels   = 64
	MaxAdapters = 64
	MaxZones    = 32
	MaxCopies   = 4096
	MaxNameSize = 64
)

// Wanted is the document that operators publish.
type Wanted struct {
	Models []Model `json:"models"`
}

// Model says what the engines of one pool should hold.
type Model struct {
	// Pool names the model, as in the host list.
	Pool     string   `json:"pool"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	// LeastCopies must be live at all times; MostCopies bounds growth.
	LeastCopies int `json:"leastCopies"`
	MostCopies  int `json:"mostCopies"`
	// Zones are the availability zones over which the copies are spread.
	Zones []string `json:"zones,omitempty"`
	// HeadroomSlots is how many slots stay free of urgent work when a copy
	// is drained.
	HeadroomSlots int `json:"headroomSlots,omitempty"`
}

// FieldError says what is wrong with one field of a document.
type FieldError struct {
	Field   string
	Value   any
	Allowed string
}

// Error names the field, its value and what is allowed.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s is %v; allowed: %s", e.Field, e.Value, e.Allowed)
}

// Parse returns the checked document. The error is a *FieldError.
func Parse(document []byte) (Wanted, error) {
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.DisallowUnknownFields()
	var wanted Wanted
	if err := decoder.Decode(&wanted); err != nil {
		return Wanted{}, &FieldError{Field: "document", Value: err.Error(), Allowed: "JSON of the documented fields"}
	}
	if len(wanted.Models) > MaxModels {
		return Wanted{}, &FieldError{Field: "models", Value: len(wanted.Models), Allowed: "up to 64"}
	}
	pools := make(map[string]bool)
	for i, model := range wanted.Models {
		if err := model.check(fmt.Sprintf("models[%d].", i)); err != nil {
			return Wanted{}, err
		}
		if pools[model.Pool] {
			return Wanted{}, &FieldError{
				Field:   fmt.Sprintf("models[%d].pool", i),
				Value:   model.Pool,
				Allowed: "each pool once",
			}
		}
		pools[model.Pool] = true
		slices.Sort(wanted.Models[i].Adapters)
	}
	return wanted, nil
}

func (m Model) check(prefix string) error {
	switch {
	case !named(m.Pool):
		return &FieldError{Field: prefix + "pool", Value: m.Pool, Allowed: "1 to 64 bytes"}
	case !named(m.Version):
		return &FieldError{Field: prefix + "version", Value: m.Version, Allowed: "1 to 64 bytes"}
	case len(m.Role) > MaxNameSize:
		return &FieldError{Field: prefix + "role", Value: m.Role, Allowed: "up to 64 bytes"}
	case m.LeastCopies < 1 || m.LeastCopies > MaxCopies:
		return &FieldError{Field: prefix + "leastCopies", Value: m.LeastCopies, Allowed: "1 to 4096"}
	case m.MostCopies < m.LeastCopies || m.MostCopies > MaxCopies:
		return &FieldError{Field: prefix + "mostCopies", Value: m.MostCopies, Allowed: "leastCopies to 4096"}
	case m.HeadroomSlots < 0:
		return &FieldError{Field: prefix + "headroomSlots", Value: m.HeadroomSlots, Allowed: "0 or more"}
	}
	if err := checkNames(prefix+"adapters", m.Adapters, MaxAdapters); err != nil {
		return err
	}
	return checkNames(prefix+"zones", m.Zones, MaxZones)
}

func checkNames(field string, names []string, limit int) error {
	if len(names) > limit {
		return &FieldError{Field: field, Value: len(names), Allowed: fmt.Sprintf("up to %d", limit)}
	}
	seen := make(map[string]bool)
	for i, name := range names {
		if !named(name) || seen[name] {
			return &FieldError{
				Field:   fmt.Sprintf("%s[%d]", field, i),
				Value:   name,
				Allowed: "1 to 64 bytes, each once",
			}
		}
		seen[name] = true
	}
	return nil
}

func named(name string) bool {
	return name != "" && len(name) <= MaxNameSize
}
