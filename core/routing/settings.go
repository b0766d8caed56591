package routing

import "time"

// Settings holds what an operator or an experiment may vary. DefaultSettings gives a
// complete set.
type Settings struct {
	// Host names this host; the subset of endpoints that it uses follows from it.
	Host string
	// Zone is this host's availability zone.
	Zone string
	// InterZoneDelay is the one-way delay between two zones.
	InterZoneDelay time.Duration
	// LimitAlgorithm says how windows follow what is seen.
	LimitAlgorithm LimitAlgorithm
	// Candidates is how many endpoints are drawn at random for one decision.
	Candidates int
	// SubsetSize bounds the endpoints of the pool that this host uses.
	SubsetSize int
	// HeadroomShare is the part of an endpoint's slots, from 0 to 1, that lower
	// tiers leave to the top tier. It is never less than one slot.
	HeadroomShare float64
	// QueueShare is the part of an endpoint's slots, from 0 to 1, that the hosts
	// together may keep waiting in the endpoint's own queue.
	QueueShare float64
	// DefaultSlots is assumed of an endpoint that has not reported.
	DefaultSlots int
	// DefaultPrefillRate is assumed of an endpoint that has not reported, in
	// tokens a second.
	DefaultPrefillRate float64
	// DefaultTokenGap is the assumed time between two tokens.
	DefaultTokenGap time.Duration
	// DefaultServiceTime is the assumed length of an attempt.
	DefaultServiceTime time.Duration
	// MaxReportAge is the age up to which a report may lend idle slots.
	MaxReportAge time.Duration
	// CompletionWeight weighs the time from the first token to the last against
	// the time to the first token.
	CompletionWeight float64
	// MaxPrefixBlocks bounds the prefix index.
	MaxPrefixBlocks int
	// TokensPerBlock is the length of one block of a prompt.
	TokensPerBlock int
	// Health holds the bounds on an endpoint's health.
	Health HealthSettings
}

// HealthSettings holds the bounds on an endpoint's health. Slowness is a ratio
// to the median of the pool's peers.
type HealthSettings struct {
	SuspectSlowness float64
	EjectSlowness   float64
	// MinSamples is how many tokens or answers a comparison needs.
	MinSamples int
	// MinPeers is how many endpoints a median needs.
	MinPeers int
	// FailuresToEject is how many failures in a row eject an endpoint.
	FailuresToEject int
	// MaxEjectedShare is the part of the endpoints, from 0 to 1, that may be ejected
	// or probing at once.
	MaxEjectedShare float64
	// FailureEjectionTime is the length of the first ejection for failures, and EjectSlowFor
	// that for slowness. It doubles with each ejection up to EjectForMax.
	FailureEjectionTime  time.Duration
	SlownessEjectionTime time.Duration
	MaxEjectionTime      time.Duration
	// UrgentProbeDelay is how long a probing endpoint waits for lower-tier work
	// before top-tier work may be its probe.
	UrgentProbeDelay time.Duration
	// ProbesToReinstate is how many probes in a row must succeed.
	ProbesToReinstate int
	// RampUpTime is the time over which a recovered endpoint's window grows back.
	RampUpTime time.Duration
	// MinStallTimeout and SilenceMax bound SilenceBound.
	MinStallTimeout time.Duration
	MaxStallTimeout time.Duration
}

// LimitAlgorithm says how windows follow what is seen. Its types are AIMD and
// Gradient.
type LimitAlgorithm interface {
	isLimitAlgorithm()
}

// AIMD adds Increase slots for a window's worth of good answers, and multiplies
// the window by Decrease on congestion.
type AIMD struct {
	Increase float64
	Decrease float64
}

// Gradient multiplies the window by the ratio of the uncongested first-token
// time to the present one, smoothed by Smoothing (0 to 1), and adds the square
// root of the window as room to grow.
type Gradient struct {
	Smoothing float64
}

func (AIMD) isLimitAlgorithm()     {}
func (Gradient) isLimitAlgorithm() {}

// DefaultSettings returns the settings of the product for the given host.
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
