package routing

import "time"

// Settings configures a Router. DefaultSettings returns a complete set; operators
// and experiments vary it.
type Settings struct {
	// Host is this host's name, from which its subset of endpoints is derived.
	Host string
	// Zone is this host's availability zone.
	Zone string
	// InterZoneDelay is the one-way delay between two zones.
	InterZoneDelay time.Duration
	// LimitAlgorithm adjusts the concurrency limit of an endpoint without fresh
	// reports.
	LimitAlgorithm LimitAlgorithm
	// Candidates is the number of endpoints sampled at random for one decision.
	Candidates int
	// SubsetSize is the maximum number of the pool's endpoints that this host uses.
	SubsetSize int
	// HeadroomShare is the share of an endpoint's slots, from 0 to 1, that is
	// reserved for the top tier. At least one slot is reserved.
	HeadroomShare float64
	// QueueShare is the number of attempts that all hosts together may keep in
	// the endpoint's own queue, as a share of its slots from 0 to 1.
	QueueShare float64
	// DefaultSlots is the number of slots assumed before an endpoint reports.
	DefaultSlots int
	// DefaultPrefillRate is the prefill rate assumed before an endpoint reports,
	// in tokens per second.
	DefaultPrefillRate float64
	// DefaultTokenGap is the time between two tokens that is assumed without samples.
	DefaultTokenGap time.Duration
	// DefaultServiceTime is the duration of an attempt that is assumed without
	// samples.
	DefaultServiceTime time.Duration
	// MaxReportAge is the maximum age of a report that adjusts a concurrency
	// limit.
	MaxReportAge time.Duration
	// CompletionWeight is the weight of the time from the first to the last token
	// in an endpoint's score. The time to first token has weight 1.
	CompletionWeight float64
	// MaxPrefixBlocks is the maximum number of blocks in the prefix index.
	MaxPrefixBlocks int
	// TokensPerBlock is the number of tokens in one block of a prompt.
	TokensPerBlock int
	// Health configures health tracking and ejection.
	Health HealthSettings
}

// HealthSettings configures health tracking and ejection. Slowness is the ratio
// of an endpoint's times to the median of its peers in the pool.
type HealthSettings struct {
	// SuspectSlowness and EjectSlowness are the slownesses from which an endpoint
	// is suspect and is ejected.
	SuspectSlowness float64
	EjectSlowness   float64
	// MinSamples is the minimum number of tokens or answers for a comparison.
	MinSamples int
	// MinPeers is the minimum number of endpoints for a median.
	MinPeers int
	// FailuresToEject is the number of consecutive failures that eject an
	// endpoint.
	FailuresToEject int
	// MaxEjectedShare is the maximum share of the endpoints, from 0 to 1, that may be
	// ejected or probing at the same time.
	MaxEjectedShare float64
	// FailureEjectionTime is the duration of the first ejection for failures, and
	// SlownessEjectionTime that of the first one for slowness. It doubles with each
	// ejection up to MaxEjectionTime.
	FailureEjectionTime  time.Duration
	SlownessEjectionTime time.Duration
	MaxEjectionTime      time.Duration
	// UrgentProbeDelay is how long a probing endpoint waits for a lower-tier
	// attempt before a top-tier attempt may be used as the probe.
	UrgentProbeDelay time.Duration
	// ProbesToReinstate is the number of consecutive successful probes after which
	// an ejected endpoint is reinstated.
	ProbesToReinstate int
	// RampUpTime is the time over which a reinstated endpoint's concurrency limit
	// ramps up.
	RampUpTime time.Duration
	// MinStallTimeout and MaxStallTimeout are the bounds of StallTimeout.
	MinStallTimeout time.Duration
	MaxStallTimeout time.Duration
}

// LimitAlgorithm is an algorithm that adjusts concurrency limits by first-token
// times: AIMD or Gradient.
type LimitAlgorithm interface {
	isLimitAlgorithm()
}

// AIMD (additive increase, multiplicative decrease) adds Increase slots for as
// many good answers as the limit has slots, and multiplies the limit by Decrease
// on congestion.
type AIMD struct {
	Increase float64
	Decrease float64
}

// Gradient multiplies the limit by the ratio of the uncongested first-token time
// to the current one, and adds the square root of the limit as room to grow.
// Smoothing (0 to 1) is the weight of the new value.
type Gradient struct {
	Smoothing float64
}

func (AIMD) isLimitAlgorithm()     {}
func (Gradient) isLimitAlgorithm() {}

// DefaultSettings returns the production settings for the given host.
func DefaultSettings(host, zone string) Settings {
	return Settings{
		Host:           host,
		Zone:           zone,
		InterZoneDelay: time.Millisecond,
		LimitAlgorithm: AIMD{
			Increase: 1,
			Decrease: 0.7,
		},
		Candidates:         6,
		SubsetSize:         64,
		HeadroomShare:      0.2,
		QueueShare:         0,
		DefaultSlots:       16,
		DefaultPrefillRate: 4000,
		DefaultTokenGap:    30 * time.Millisecond,
		DefaultServiceTime: 2 * time.Second,
		MaxReportAge:       3 * time.Second,
		CompletionWeight:   0.25,
		MaxPrefixBlocks:    1 << 16,
		TokensPerBlock:     64,
		Health: HealthSettings{
			SuspectSlowness:      2,
			EjectSlowness:        3.5,
			MinSamples:           5,
			MinPeers:             3,
			FailuresToEject:      2,
			MaxEjectedShare:      0.5,
			FailureEjectionTime:  3 * time.Second,
			SlownessEjectionTime: 10 * time.Second,
			MaxEjectionTime:      60 * time.Second,
			UrgentProbeDelay:     2 * time.Second,
			ProbesToReinstate:    2,
			RampUpTime:           10 * time.Second,
			MinStallTimeout:      2 * time.Second,
			MaxStallTimeout:      20 * time.Second,
		},
	}
}
