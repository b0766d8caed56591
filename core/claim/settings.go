package claim

import "time"

// Settings are the bounds of a Machine.
type Settings struct {
	// Window is how long keys are remembered at least, while the log keeps its
	// records that long.
	Window time.Duration
	// MaxGrantAge is how long after its claim was written a granted call may
	// still be started. It must be far below Window and the log's retention.
	MaxGrantAge time.Duration
	// MaxKeys is the number of keys from which on calls with new keys are
	// refused. It holds for the claimed keys and for the issued ones.
	MaxKeys int
	// MaxTeamKeys is the same for the keys of one team.
	MaxTeamKeys int
	// MaxTotalBodyBytes bounds the answer bodies that are kept, in bytes, for claimed
	// keys and for issued ones.
	MaxTotalBodyBytes int
	// MaxCalls bounds the calls that wait for a decision.
	MaxCalls int
	// MaxUnwrittenRecords bounds the records that wait to be written.
	MaxUnwrittenRecords int
	// MaxBatchRecords bounds the records of one append.
	MaxBatchRecords int
	// BatchDelay is how long the first record waits for others to share its append.
	BatchDelay time.Duration
	// AppendsPerSecond is the rate of appends that the claims of all hosts
	// together may use.
	AppendsPerSecond float64
	// MaxAppendInterval bounds the pause between two appends of this host
	// after the log refused some.
	MaxAppendInterval time.Duration
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
}

// DefaultSettings returns the settings for a fleet of today's size.
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
