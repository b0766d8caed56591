package claim

import "time"

// Settings are the limits of a Machine.
type Settings struct {
	// Window is the minimum time for which keys are stored, provided that
	// the log retains its records that long.
	Window time.Duration
	// MaxGrantAge is the time after the writing of its claim within which a
	// granted call may be started. It must be far below Window and the log's
	// retention.
	MaxGrantAge time.Duration
	// MaxKeys is the number of keys at which calls with new keys are refused.
	// It applies to claimed keys and to issued keys separately.
	MaxKeys int
	// MaxTeamKeys is the corresponding limit for the keys of one team.
	MaxTeamKeys int
	// MaxTotalBodyBytes is the maximum total size of the stored answer bodies
	// in bytes, for claimed keys and for issued keys separately.
	MaxTotalBodyBytes int
	// MaxCalls is the maximum number of calls that wait for a decision.
	MaxCalls int
	// MaxUnwrittenRecords is the number of records waiting to be written at
	// which claims are refused and outcomes are dropped.
	MaxUnwrittenRecords int
	// MaxBatchRecords is the maximum number of records in one append.
	MaxBatchRecords int
	// BatchDelay is the time that the first record waits for others to be
	// appended with it.
	BatchDelay time.Duration
	// AppendsPerSecond is the append rate that all hosts together may use for
	// claims.
	AppendsPerSecond float64
	// MaxAppendInterval is the maximum interval between two appends of this
	// host when it backs off after refused appends.
	MaxAppendInterval time.Duration
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
}

// DefaultSettings returns the settings for the current size of the fleet.
func DefaultSettings() Settings {
	return Settings{
		Window:              Window,
		MaxGrantAge:         10 * time.Minute,
		MaxKeys:             262144,
		MaxTeamKeys:         65536,
		MaxTotalBodyBytes:   32 << 20,
		MaxCalls:            4096,
		MaxUnwrittenRecords: 16384,
		MaxBatchRecords:     256,
		BatchDelay:          2 * time.Millisecond,
		AppendsPerSecond:    200,
		MaxAppendInterval:   time.Second,
		RetryAfter:          time.Second,
	}
}
