package admission

import "fmt"

// The defaults and limits of Settings.
const (
	// DefaultMaxQueued bounds a pool's queue, in requests.
	DefaultMaxQueued = 20_000
	// DefaultMaxTeamQueued bounds one team's part of the queue, in requests.
	DefaultMaxTeamQueued = 5_000
	// DefaultClassReserve is how many requests of each class are queued outside
	// the pool's bound.
	DefaultClassReserve = 16
	// DefaultMaxGuaranteed bounds the sum of the guaranteed shares of all
	// classes below the top tier.
	DefaultMaxGuaranteed = 0.9
	// DefaultTopShare is the part of the slots up to which the top tier goes
	// before the guaranteed shares of the others.
	DefaultTopShare = 0.7
	// MaxIdleTeams bounds the idle teams that a class remembers.
	MaxIdleTeams = 64
	// MaxIdleClasses bounds the classes that a tier remembers while idle.
	MaxIdleClasses = 256
)

// Settings bounds a queue. Zero fields stand for the defaults.
type Settings struct {
	// MaxQueued bounds the queue, in requests.
	MaxQueued int
	// MaxTeamQueued bounds one team's part of the queue, in requests.
	MaxTeamQueued int
	// ClassReserve is how many requests of each class are queued outside
	// MaxQueued.
	ClassReserve int
	// MaxGuaranteed bounds the sum of the guaranteed shares below the top tier,
	// from 0 to less than 1.
	MaxGuaranteed float64
	// TopShare is the part of the slots, from 0 to 1, up to which the top tier
	// goes before the guaranteed shares of the others.
	TopShare float64
}

// SettingError says what is wrong with one of the settings.
type SettingError struct {
	Field   string
	Value   any
	Allowed string
}

// Error names the field, its value and what is allowed.
func (e *SettingError) Error() string {
	return fmt.Sprintf("admission setting %s is %v; allowed: %s", e.Field, e.Value, e.Allowed)
}

func settingError(field string, value any, allowed string) *SettingError {
	return &SettingError{
		Field:   field,
		Value:   value,
		Allowed: allowed,
	}
}

// Check returns a *SettingError for the first setting that is out of range.
func (s Settings) Check() error {
	switch {
	case s.MaxQueued < 0:
		return settingError("maxQueued", s.MaxQueued, "0 or more")
	case s.MaxTeamQueued < 0:
		return settingError("maxTeamQueued", s.MaxTeamQueued, "0 or more")
	case s.ClassReserve < 0:
		return settingError("classReserve", s.ClassReserve, "0 or more")
	case s.MaxGuaranteed < 0 || s.MaxGuaranteed >= 1:
		return settingError("maxGuaranteed", s.MaxGuaranteed, "0 to less than 1")
	case s.TopShare < 0 || s.TopShare > 1:
		return settingError("topShare", s.TopShare, "0 to 1")
	}
	return nil
}

// WithDefaults returns the settings with zero fields filled in.
func (s Settings) WithDefaults() Settings {
	if s.MaxQueued == 0 {
		s.MaxQueued = DefaultMaxQueued
	}
	if s.MaxTeamQueued == 0 {
		s.MaxTeamQueued = min(DefaultMaxTeamQueued, max(1, s.MaxQueued/4))
	}
	if s.ClassReserve == 0 {
		s.ClassReserve = DefaultClassReserve
	}
	if s.MaxGuaranteed == 0 {
		s.MaxGuaranteed = DefaultMaxGuaranteed
	}
	if s.TopShare == 0 {
		s.TopShare = DefaultTopShare
	}
	return s
}
