// Package profile defines the named profiles that operators create and callers
// select. A profile sets the class of a request, its latency target, its priority
// and whether it is idempotent.
//
// # Usage
//
//	p, err := profile.New(profile.Spec{
//		Name:       "weddingMorningCheck",
//		Class:      "calendarCheck",
//		Kind:       profile.KindService,
//		Pool:       "calendar",
//		Tier:       profile.TierUrgent,
//		TargetMs:   800,
//		Idempotent: true,
//	})
package profile

import (
	"fmt"
	"time"
)

// Tier is a priority. Lower numbers are served first.
type Tier int

// The four service tiers, the most urgent first.
const (
	TierUrgent Tier = iota
	TierInteractive
	TierStandard
	TierBulk
)

// TierCount is the number of service tiers.
const TierCount = 4

// Kind is the kind of endpoint that serves a profile.
type Kind string

// The kinds of endpoint: model engines and plain services.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// Measure is the point of an answer that the latency target refers to.
type Measure string

// The points that a latency target can refer to.
const (
	MeasureFirstToken Measure = "firstToken"
	MeasureCompletion Measure = "completion"
)

// Limits on the fields of a Spec.
const (
	MaxNameLength      = 64
	MaxTargetMs        = 10 * 60 * 1000
	MaxWaitLimitFactor = 10
	DefaultValue       = 1.0
	DefaultMinShare    = 0.05
)

// Spec is the definition of a profile, as operators write it and as it is stored
// in the configuration stream. Times are in milliseconds.
type Spec struct {
	Name  string `json:"name"`
	Class string `json:"class"`
	Kind  Kind   `json:"kind"`
	// Pool names the model or the plain service that serves the profile.
	Pool     string  `json:"pool"`
	Tier     Tier    `json:"tier"`
	TargetMs int64   `json:"targetMs"`
	Measure  Measure `json:"measure,omitempty"`
	// WaitLimitMs is how long a request may wait to be started before it is
	// refused. Zero means the latency target.
	WaitLimitMs int64 `json:"waitLimitMs,omitempty"`
	Idempotent  bool  `json:"idempotent"`
	// Value is the weight of one completed request in goodput. Zero means
	// DefaultValue.
	Value float64 `json:"value,omitempty"`
	// MinShare is the share of the pool's service, from 0 to 1, that is guaranteed
	// to the class under any burst. Zero means DefaultMinShare.
	MinShare float64 `json:"minShare,omitempty"`
	// MaxTokens limits the length of an answer if the caller sets no limit. Zero
	// means no limit.
	MaxTokens int `json:"maxTokens,omitempty"`
}

// Profile is a validated, immutable profile.
type Profile struct {
	spec Spec
}

// FieldError reports an invalid value in one field of a Spec.
type FieldError struct {
	Field   string
	Value   any
	Allowed string
}

// Error names the field, its value and what is allowed.
func (e *FieldError) Error() string {
	return fmt.Sprintf("profile field %s is %v; allowed: %s", e.Field, e.Value, e.Allowed)
}

func fieldError(field string, value any, allowed string) *FieldError {
	return &FieldError{
		Field:   field,
		Value:   value,
		Allowed: allowed,
	}
}

// New validates spec and returns its profile. The error is a *FieldError.
func New(spec Spec) (Profile, error) {
	if err := validate(spec); err != nil {
		return Profile{}, err
	}
	return Profile{
		spec: withDefaults(spec),
	}, nil
}

func validate(spec Spec) error {
	switch {
	case !isValidName(spec.Name):
		return fieldError("name", spec.Name, "1 to 64 letters, digits, '.', '_' or '-'")
	case !isValidName(spec.Class):
		return fieldError("class", spec.Class, "1 to 64 letters, digits, '.', '_' or '-'")
	case spec.Kind != KindModel && spec.Kind != KindService:
		return fieldError("kind", spec.Kind, "model or service")
	case !isValidName(spec.Pool):
		return fieldError("pool", spec.Pool, "1 to 64 letters, digits, '.', '_' or '-'")
	case spec.Tier < TierUrgent || spec.Tier > TierBulk:
		return fieldError("tier", spec.Tier, "0 (urgent) to 3 (bulk)")
	case spec.TargetMs < 1 || spec.TargetMs > MaxTargetMs:
		return fieldError("targetMs", spec.TargetMs, "1 to 600000")
	case spec.Measure != "" && spec.Measure != MeasureFirstToken && spec.Measure != MeasureCompletion:
		return fieldError("measure", spec.Measure, "firstToken or completion")
	case spec.WaitLimitMs < 0 || spec.WaitLimitMs > MaxWaitLimitFactor*MaxTargetMs:
		return fieldError("waitLimitMs", spec.WaitLimitMs, "0 to 6000000")
	case spec.Value < 0:
		return fieldError("value", spec.Value, "0 or more")
	case spec.MinShare < 0 || spec.MinShare > 1:
		return fieldError("minShare", spec.MinShare, "0 to 1")
	case spec.MaxTokens < 0:
		return fieldError("maxTokens", spec.MaxTokens, "0 or more")
	}
	return nil
}

func withDefaults(spec Spec) Spec {
	if spec.Measure == "" {
		spec.Measure = MeasureCompletion
		if spec.Kind == KindModel {
			spec.Measure = MeasureFirstToken
		}
	}
	if spec.WaitLimitMs == 0 {
		spec.WaitLimitMs = spec.TargetMs
	}
	if spec.Value == 0 {
		spec.Value = DefaultValue
	}
	if spec.MinShare == 0 {
		spec.MinShare = DefaultMinShare
	}
	return spec
}

func isValidName(name string) bool {
	if name == "" || len(name) > MaxNameLength {
		return false
	}
	for _, char := range name {
		switch {
		case char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z', char >= '0' && char <= '9':
		case char == '.' || char == '_' || char == '-':
		default:
			return false
		}
	}
	return true
}

// Spec returns the profile's definition with the defaults filled in.
func (p Profile) Spec() Spec { return p.spec }

// Name returns the name by which callers select the profile.
func (p Profile) Name() string { return p.spec.Name }

// Class returns the class of the requests.
func (p Profile) Class() string { return p.spec.Class }

// Kind returns the kind of endpoint that serves the profile.
func (p Profile) Kind() Kind { return p.spec.Kind }

// Pool returns the model or plain service that serves the profile.
func (p Profile) Pool() string { return p.spec.Pool }

// Tier returns the priority.
func (p Profile) Tier() Tier { return p.spec.Tier }

// Measure returns the point of an answer that the latency target refers to.
func (p Profile) Measure() Measure { return p.spec.Measure }

// Idempotent reports whether a request may be run more than once.
func (p Profile) Idempotent() bool { return p.spec.Idempotent }

// Value returns the weight of one completed request in goodput.
func (p Profile) Value() float64 { return p.spec.Value }

// MinShare returns the class's guaranteed share of the pool's service.
func (p Profile) MinShare() float64 { return p.spec.MinShare }

// MaxTokens returns the limit on an answer's length, or zero for none.
func (p Profile) MaxTokens() int { return p.spec.MaxTokens }

// Target returns the latency target.
func (p Profile) Target() time.Duration {
	return time.Duration(p.spec.TargetMs) * time.Millisecond
}

// WaitLimit returns how long a request may wait to be started.
func (p Profile) WaitLimit() time.Duration {
	return time.Duration(p.spec.WaitLimitMs) * time.Millisecond
}
