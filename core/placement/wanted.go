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

func fieldError(field string, value any, allowed string) *FieldError {
	return &FieldError{
		Field:   field,
		Value:   value,
		Allowed: allowed,
	}
}

// Parse returns the checked document. The error is a *FieldError.
func Parse(document []byte) (Wanted, error) {
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.DisallowUnknownFields()
	var wanted Wanted
	if err := decoder.Decode(&wanted); err != nil {
		return Wanted{}, fieldError("document", err.Error(), "JSON of the documented fields")
	}
	if len(wanted.Models) > MaxModels {
		return Wanted{}, fieldError("models", len(wanted.Models), "up to 64")
	}
	pools := make(map[string]bool)
	for i, model := range wanted.Models {
		if err := model.check(fmt.Sprintf("models[%d].", i)); err != nil {
			return Wanted{}, err
		}
		if pools[model.Pool] {
			return Wanted{}, fieldError(fmt.Sprintf("models[%d].pool", i), model.Pool, "each pool once")
		}
		pools[model.Pool] = true
		slices.Sort(wanted.Models[i].Adapters)
	}
	return wanted, nil
}

func (m Model) check(prefix string) error {
	switch {
	case !named(m.Pool):
		return fieldError(prefix+"pool", m.Pool, "1 to 64 bytes")
	case !named(m.Version):
		return fieldError(prefix+"version", m.Version, "1 to 64 bytes")
	case len(m.Role) > MaxNameSize:
		return fieldError(prefix+"role", m.Role, "up to 64 bytes")
	case m.LeastCopies < 1 || m.LeastCopies > MaxCopies:
		return fieldError(prefix+"leastCopies", m.LeastCopies, "1 to 4096")
	case m.MostCopies < m.LeastCopies || m.MostCopies > MaxCopies:
		return fieldError(prefix+"mostCopies", m.MostCopies, "leastCopies to 4096")
	case m.HeadroomSlots < 0:
		return fieldError(prefix+"headroomSlots", m.HeadroomSlots, "0 or more")
	}
	if err := checkNames(prefix+"adapters", m.Adapters, MaxAdapters); err != nil {
		return err
	}
	return checkNames(prefix+"zones", m.Zones, MaxZones)
}

func checkNames(field string, names []string, limit int) error {
	if len(names) > limit {
		return fieldError(field, len(names), fmt.Sprintf("up to %d", limit))
	}
	seen := make(map[string]bool)
	for i, name := range names {
		if !named(name) || seen[name] {
			return fieldError(fmt.Sprintf("%s[%d]", field, i), name, "1 to 64 bytes, each once")
		}
		seen[name] = true
	}
	return nil
}

func named(name string) bool {
	return name != "" && len(name) <= MaxNameSize
}
