package admission

import "fmt"

// Default settings and fixed limits.
const (
	// DefaultMaxQueued is the maximum length of a pool's queue, in requests.
	DefaultMaxQueued = 20_000
	// DefaultMaxTeamQueued is the maximum number of queued requests of one team.
	DefaultMaxTeamQueued = 5_000
	// DefaultClassReserve is the number of requests of each class that do not
	// count against the maximum queue length.
	DefaultClassReserve = 16
	// DefaultMaxGuaranteed is the maximum sum of the guaranteed shares of all
	// classes below the top tier.
	DefaultMaxGuaranteed = 0.9
	// DefaultTopShare is the share of the slots up to which the top tier has
	// precedence over the guaranteed shares of the other tiers.
	DefaultTopShare = 0.7
	// MaxIdleTeams is the maximum number of idle teams kept for a class.
	MaxIdleTeams = 64
	// MaxIdleClasses is the number of classes of a tier above which idle
	// classes are dropped.
	MaxIdleClasses = 256
)

// Settings configures a queue. A zero field means the default.
type Settings struct {
	// MaxQueued is the maximum length of the queue, in requests.
	MaxQueued int
	// MaxTeamQueued is the maximum number of queued requests of one team. It
	// does not apply to the top tier.
	MaxTeamQueued int
	// ClassReserve is the number of requests of each class that do not count
	// against MaxQueued.
	ClassReserve int
	// MaxGuaranteed is the maximum sum of the guaranteed shares below the top
	// tier, from 0 to less than 1. Larger sums are scaled down to it.
	MaxGuaranteed float64
	// TopShare is the share of the slots, from 0 to 1, up to which the top tier
	// has precedence over the guaranteed shares of the other tiers.
	TopShare float64
}

// SettingError reports a setting that is out of range.
type SettingError struct {
	Field   string
	Value   any
	Allowed string
}

// Error returns the setting's name, its value and the allowed range.
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

// WithDefaults returns the settings with defaults in place of zero fields.
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
