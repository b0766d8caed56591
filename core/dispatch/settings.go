package dispatch

import (
	"fmt"
	"time"

	"cactuswell/core/admission"
	"cactuswell/core/profile"
	"cactuswell/core/retry"
)

// The defaults of Settings.
const (
	// DefaultMaxAttempts is the maximum number of attempts at one request.
	DefaultMaxAttempts = 4
	// DefaultModelRunLimit is the maximum time that a request to a model may
	// take after its wait limit.
	DefaultModelRunLimit = 10 * time.Minute
	// DefaultServiceRunLimit is the maximum time that a call of a plain service
	// may take after its wait limit.
	DefaultServiceRunLimit = 30 * time.Second
	// DefaultOutputQuantile is the quantile of a class's answer lengths that
	// predicts the length of its next answer.
	DefaultOutputQuantile = 0.7
	// DefaultJournalSize is the number of latest decisions that are kept.
	DefaultJournalSize = 8192
)

// Settings configures a pool. A zero field means the default.
type Settings struct {
	// Pool is the name of the model or plain service; Kind says which of the two
	// it is.
	Pool string
	Kind profile.Kind
	// Zone is the host's availability zone.
	Zone string
	// Queue configures the queue.
	Queue admission.Settings
	// Backoff configures the delays between attempts.
	Backoff retry.Backoff
	// RetryShare is the number of further attempts (retries, hedges and
	// restarts) allowed for each first attempt, at most retry.DefaultShare.
	RetryShare float64
	// MaxAttempts is the maximum number of attempts at one request.
	MaxAttempts int
	// RunLimit is the maximum time that a request may take after its wait limit.
	RunLimit time.Duration
	// OutputQuantile, from 0 to 1, is the quantile of a class's answer lengths
	// that predicts the length of its next answer.
	OutputQuantile float64
	// JournalSize is the number of latest decisions that are kept.
	JournalSize int
	// NoHedges, NoPreemption and NoEarlyRefusal disable parts of the policy.
	NoHedges       bool
	NoPreemption   bool
	NoEarlyRefusal bool
}

// SettingError reports a setting that is out of range.
type SettingError struct {
	Field   string
	Value   any
	Allowed string
}

// Error returns the setting's name, its value and the allowed values.
func (e *SettingError) Error() string {
	return fmt.Sprintf("dispatch setting %s is %v; allowed: %s", e.Field, e.Value, e.Allowed)
}

func settingError(field string, value any, allowed string) *SettingError {
	return &SettingError{
		Field:   field,
		Value:   value,
		Allowed: allowed,
	}
}

// Check returns an error for the first setting that is out of range: a
// *SettingError or an *admission.SettingError.
func (s Settings) Check() error {
	switch {
	case s.Kind != "" && s.Kind != profile.KindModel && s.Kind != profile.KindService:
		return settingError("kind", s.Kind, "model or service")
	case s.RetryShare < 0 || s.RetryShare > retry.DefaultShare:
		return settingError("retryShare", s.RetryShare, "0 to 0.1")
	case s.MaxAttempts < 0:
		return settingError("maxAttempts", s.MaxAttempts, "0 or more")
	case s.RunLimit < 0:
		return settingError("runLimit", s.RunLimit, "0 or more")
	case s.OutputQuantile < 0 || s.OutputQuantile > 1:
		return settingError("outputQuantile", s.OutputQuantile, "0 to 1")
	case s.JournalSize < 0:
		return settingError("journalSize", s.JournalSize, "0 or more")
	}
	return s.Queue.Check()
}

// withDefaults returns the settings with defaults in place of fields that are
// zero or out of range.
func (s Settings) withDefaults() Settings {
	if s.Kind != profile.KindService {
		s.Kind = profile.KindModel
	}
	if s.RetryShare <= 0 || s.RetryShare > retry.DefaultShare {
		s.RetryShare = retry.DefaultShare
	}
	if s.MaxAttempts <= 0 {
		s.MaxAttempts = DefaultMaxAttempts
	}
	if s.RunLimit <= 0 {
		s.RunLimit = DefaultModelRunLimit
		if s.Kind == profile.KindService {
			s.RunLimit = DefaultServiceRunLimit
		}
	}
	if s.OutputQuantile <= 0 || s.OutputQuantile > 1 {
		s.OutputQuantile = DefaultOutputQuantile
	}
	if s.JournalSize <= 0 {
		s.JournalSize = DefaultJournalSize
	}
	s.Backoff = s.Backoff.WithDefaults()
	s.Queue = s.Queue.WithDefaults()
	return s
}
