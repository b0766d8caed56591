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
	// DefaultMaxAttempts bounds the attempts at one request.
	DefaultMaxAttempts = 4
	// DefaultModelRunLimit bounds the time that a request to a model may take
	// after its wait limit.
	DefaultModelRunLimit = 10 * time.Minute
	// DefaultServiceRunLimit bounds the time that a call of a plain service may
	// take after its wait limit.
	DefaultServiceRunLimit = 30 * time.Second
	// DefaultOutputQuantile is the quantile of a class's answer lengths that
	// stands for the length of its next answer.
	DefaultOutputQuantile = 0.7
	// DefaultJournalSize is the number of decisions kept for explanation.
	DefaultJournalSize = 8192
)

// Settings says how a pool works. Zero fields stand for the defaults.
type Settings struct {
	// Pool names the model or the plain service, and Kind says which it is.
	Pool string
	Kind profile.Kind
	// Zone is the host's availability zone.
	Zone string
	// Queue bounds the queue.
	Queue admission.Settings
	// Backoff sets the delays between attempts.
	Backoff retry.Backoff
	// RetryShare is the number of retries, hedges and repetitions after a
	// preemption for each first attempt, at most retry.DefaultShare.
	RetryShare float64
	// MaxAttempts bounds the attempts at one request.
	MaxAttempts int
	// RunLimit bounds the time that a request may take after its wait limit.
	RunLimit time.Duration
	// OutputQuantile, from 0 to 1, is the quantile of a class's answer lengths
	// that stands for the length of its next answer.
	OutputQuantile float64
	// JournalSize is the number of decisions kept for explanation.
	JournalSize int
	// NoHedges, NoPreemption and NoEarlyRefusal turn off a part of the policy.
	NoHedges       bool
	NoPreemption   bool
	NoEarlyRefusal bool
}

// SettingError says what is wrong with one of the settings.
type SettingError struct {
	Field   string
	Value   any
	Allowed string
}

// Error names the field, its value and what is allowed.
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

// withDefaults fills in zero fields and replaces those that are out of range.
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
