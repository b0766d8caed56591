package membership

import "time"

// Settings are the rates and bounds of a view.
type Settings struct {
	// Seeds are peer addresses (IP:port) to join through.
	Seeds []string
	// Neighbors is how many members this host probes all the time.
	Neighbors int
	// ProbePeriod is the time between two probes of one neighbor.
	ProbePeriod time.Duration
	// ProbeTimeout bounds one probe; a repeat on a fresh connection has it once
	// more.
	ProbeTimeout time.Duration
	// IndirectProbes is how many other members are asked to probe a silent one.
	IndirectProbes int
	// IndirectTimeout bounds the answers of those members.
	IndirectTimeout time.Duration
	// MinNegativeReports is how many of those members must have had no answer either
	// before the silent one is suspected, as far as there are so many.
	MinNegativeReports int
	// MaxInconclusiveRounds is how often a member is probed in vain before it is
	// suspected even though fewer of the members that were asked answered.
	MaxInconclusiveRounds int
	// SuspicionTimeout is the time that a suspected member has to refute.
	SuspicionTimeout time.Duration
	// ReprobePeriod is the time between two probes of members believed dead.
	ReprobePeriod time.Duration
	// ContestedProbePeriod is the time between two probes of members believed dead
	// that another host believes live.
	ContestedProbePeriod time.Duration
	// EagerDelay is how long urgent news waits for more before it is sent
	// ahead of the next periodic probe.
	EagerDelay time.Duration
	// EagerRoundsPerSecond and EagerBurst bound these early probes: each token is one
	// early round over all neighbors.
	EagerRoundsPerSecond float64
	EagerRoundBurst      float64
	// EagerEndpointRoundsPerSecond is a bound of its own for news of endpoints, so
	// that other news cannot hold it up.
	EagerEndpointRoundsPerSecond float64
	// JoinPeriod is the time between two attempts to join, while alone.
	JoinPeriod time.Duration
	// MaxJoinPeriod bounds the growth of JoinPeriod.
	MaxJoinPeriod time.Duration
	// MinExchangePeriod is the least time between two repairs of the view.
	MinExchangePeriod time.Duration
	// ExchangeTimeout bounds one exchange.
	ExchangeTimeout time.Duration
	// MaxDivergence is how long the view may differ from a peer's before it is
	// repaired by an exchange.
	MaxDivergence time.Duration
	// LeaveTimeout bounds the spreading of a host's own leave.
	LeaveTimeout time.Duration
	// PauseThreshold is how late a wake-up may be before the host takes itself to
	// have been paused.
	PauseThreshold time.Duration
	// UpdateBytes bounds the news on one probe or answer.
	UpdateBytes int
	// UrgentUpdateBytes is the room for urgent news on each probe or answer even when
	// the bound over time is reached.
	UrgentUpdateBytes int
	// UpdateBytesPerSecond and NewsBurst (in bytes) bound the news that a host
	// sends over time.
	UpdateBytesPerSecond float64
	UpdateBurst          float64
	// ExchangeBytes bounds the news in one exchange.
	ExchangeBytes int
	// TransmitFactor times the logarithm (base 2) of the number of hosts is how
	// often a host passes a piece of news on.
	TransmitFactor float64
	// MaxMembers bounds the live members known.
	MaxMembers int
	// MaxRemovedMembers bounds the members remembered as dead or left.
	MaxRemovedMembers int
	// MaxLeavingEndpoints bounds the leaving endpoints remembered.
	MaxLeavingEndpoints int
	// MaxQueuedUpdates bounds the news waiting to be passed on.
	MaxQueuedUpdates int
	// MaxCandidates bounds the addresses known from announcements only.
	MaxCandidates int
}

// DefaultSettings returns the settings of a host in production, without seeds.
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
