package membership

import "time"

// Settings hold the periods, rates and limits of a Machine.
type Settings struct {
	// Seeds are peer addresses (IP:port) to join through.
	Seeds []string
	// Neighbors is the number of members that this host probes periodically.
	Neighbors int
	// ProbePeriod is the time between two probes of a neighbor.
	ProbePeriod time.Duration
	// ProbeTimeout is the timeout of one probe; the retry on a new connection
	// has the same timeout again.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of other members that are asked to probe a
	// member that does not answer.
	IndirectProbes int
	// IndirectTimeout is the timeout of these indirect probes.
	IndirectTimeout time.Duration
	// MinNegativeReports is how many of the asked members must report that they
	// got no answer either before the member is suspected. If fewer were asked,
	// all of them must.
	MinNegativeReports int
	// MaxInconclusiveRounds is the number of rounds with too few reports after
	// which a member is suspected all the same.
	MaxInconclusiveRounds int
	// SuspicionTimeout is the time in which a suspected member can refute the
	// suspicion.
	SuspicionTimeout time.Duration
	// ReprobePeriod is the time between two probes of members considered dead.
	ReprobePeriod time.Duration
	// ContestedProbePeriod is the time between two probes of members that are
	// considered dead here and live by another host.
	ContestedProbePeriod time.Duration
	// EagerDelay is how long an urgent update waits for further ones before it
	// is sent ahead of the next periodic probe.
	EagerDelay time.Duration
	// EagerRoundsPerSecond and EagerRoundBurst limit the eager probe rounds; a
	// round probes all neighbors and takes one token.
	EagerRoundsPerSecond float64
	EagerRoundBurst      float64
	// EagerEndpointRoundsPerSecond is a separate limit for updates about
	// endpoints, so that other updates cannot delay them.
	EagerEndpointRoundsPerSecond float64
	// JoinPeriod is the time between the first two attempts to join while this
	// host knows no other.
	JoinPeriod time.Duration
	// MaxJoinPeriod limits the exponential growth of the time between attempts.
	MaxJoinPeriod time.Duration
	// MinExchangePeriod is the minimum time between two exchanges that repair a
	// differing view.
	MinExchangePeriod time.Duration
	// ExchangeTimeout is the timeout of one exchange.
	ExchangeTimeout time.Duration
	// MaxDivergence is how long the view may differ from a neighbor's before an
	// exchange repairs it.
	MaxDivergence time.Duration
	// LeaveTimeout limits how long a host announces its own leave to its
	// neighbors.
	LeaveTimeout time.Duration
	// PauseThreshold is the delay of a wake-up from which the host assumes that
	// its own process was paused.
	PauseThreshold time.Duration
	// UpdateBytes limits the updates in one probe or answer.
	UpdateBytes int
	// UrgentUpdateBytes is the room for urgent updates in each probe or answer
	// even when the rate limit is reached.
	UrgentUpdateBytes int
	// UpdateBytesPerSecond and UpdateBurst (in bytes) limit the rate of updates
	// that a host sends.
	UpdateBytesPerSecond float64
	UpdateBurst          float64
	// ExchangeBytes limits the updates in one exchange.
	ExchangeBytes int
	// TransmitFactor times the logarithm (base 2) of the number of hosts is how
	// often a host sends an update.
	TransmitFactor float64
	// MaxMembers limits the known live members.
	MaxMembers int
	// MaxRemovedMembers limits the members that are kept as dead or left.
	MaxRemovedMembers int
	// MaxLeavingEndpoints limits the leaving endpoints that are kept.
	MaxLeavingEndpoints int
	// MaxQueuedUpdates limits the updates that wait to be sent.
	MaxQueuedUpdates int
	// MaxCandidates limits the addresses known from announcements only.
	MaxCandidates int
}

// DefaultSettings returns the production settings, without seeds.
func DefaultSettings() Settings {
	return Settings{
		Neighbors:                    3,
		ProbePeriod:                  2 * time.Second,
		ProbeTimeout:                 500 * time.Millisecond,
		IndirectProbes:               3,
		IndirectTimeout:              1200 * time.Millisecond,
		MinNegativeReports:           2,
		MaxInconclusiveRounds:        3,
		SuspicionTimeout:             4 * time.Second,
		ReprobePeriod:                20 * time.Second,
		ContestedProbePeriod:         500 * time.Millisecond,
		EagerDelay:                   50 * time.Millisecond,
		EagerRoundsPerSecond:         0.3,
		EagerEndpointRoundsPerSecond: 0.2,
		EagerRoundBurst:              4,
		JoinPeriod:                   time.Second,
		MaxJoinPeriod:                10 * time.Second,
		MinExchangePeriod:            10 * time.Second,
		ExchangeTimeout:              2 * time.Second,
		MaxDivergence:                4 * time.Second,
		LeaveTimeout:                 2 * time.Second,
		PauseThreshold:               time.Second,
		UpdateBytes:                  1200,
		UrgentUpdateBytes:            50,
		UpdateBytesPerSecond:         250,
		UpdateBurst:                  256 * 1024,
		ExchangeBytes:                8 * 1024,
		TransmitFactor:               1,
		MaxMembers:                   8192,
		MaxRemovedMembers:            4096,
		MaxLeavingEndpoints:          4096,
		MaxQueuedUpdates:             1024,
		MaxCandidates:                1024,
	}
}
