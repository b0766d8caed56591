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
	// Refusals is how many of those members must have had no answer either
	// before the silent one is suspected, as far as there are so many.
	Refusals int
	// SilentRounds is how often a member is probed in vain before it is
	// suspected even though fewer of the members that were asked answered.
	SilentRounds int
	// SuspicionTimeout is the time that a suspected member has to refute.
	SuspicionTimeout time.Duration
	// ReprobePeriod is the time between two probes of members believed dead.
	ReprobePeriod time.Duration
	// ContestedPeriod is the time between two probes of members believed dead
	// that another host believes live.
	ContestedPeriod time.Duration
	// EagerDelay is how long urgent news waits for more before it is sent
	// ahead of the next periodic probe.
	EagerDelay time.Duration
	// EagerPerSecond and EagerBurst bound these early probes: each token is one
	// early round over all neighbors.
	EagerPerSecond float64
	EagerBurst     float64
	// EagerEndpointPerSecond is a bound of its own for news of endpoints, so
	// that other news cannot hold it up.
	EagerEndpointPerSecond float64
	// JoinPeriod is the time between two attempts to join, while alone.
	JoinPeriod time.Duration
	// MaxJoinPeriod bounds the growth of JoinPeriod.
	MaxJoinPeriod time.Duration
	// ExchangePeriod is the least time between two repairs of the view.
	ExchangePeriod time.Duration
	// ExchangeTimeout bounds one exchange.
	ExchangeTimeout time.Duration
	// DiffersBound is how long the view may differ from a peer's before it is
	// repaired by an exchange.
	DiffersBound time.Duration
	// LeaveTimeout bounds the spreading of a host's own leave.
	LeaveTimeout time.Duration
	// PauseBound is how late a wake-up may be before the host takes itself to
	// have been paused.
	PauseBound time.Duration
	// NewsBytes bounds the news on one probe or answer.
	NewsBytes int
	// UrgentBytes is the room for urgent news on each probe or answer even when
	// the bound over time is reached.
	UrgentBytes int
	// NewsBytesPerSecond and NewsBurst (in bytes) bound the news that a host
	// sends over time.
	NewsBytesPerSecond float64
	NewsBurst          float64
	// ExchangeBytes bounds the news in one exchange.
	ExchangeBytes int
	// TransmitFactor times the logarithm (base 2) of the number of hosts is how
	// often a host passes a piece of news on.
	TransmitFactor float64
	// MaxMembers bounds the live members known.
	MaxMembers int
	// MaxRemembered bounds the members remembered as dead or left.
	MaxRemembered int
	// MaxEndpoints bounds the leaving endpoints remembered.
	MaxEndpoints int
	// MaxQueuedNews bounds the news waiting to be passed on.
	MaxQueuedNews int
	// MaxCandidates bounds the addresses known from announcements only.
	MaxCandidates int
}

// DefaultSettings returns the settings of a host in production, without seeds.
func DefaultSettings() Settings {
	return Settings{
		Neighbors:              3,
		ProbePeriod:            2 * time.Second,
		ProbeTimeout:           500 * time.Millisecond,
		IndirectProbes:         3,
		IndirectTimeout:        1200 * time.Millisecond,
		Refusals:               2,
		SilentRounds:           3,
		SuspicionTimeout:       4 * time.Second,
		ReprobePeriod:          20 * time.Second,
		ContestedPeriod:        500 * time.Millisecond,
		EagerDelay:             50 * time.Millisecond,
		EagerPerSecond:         0.3,
		EagerEndpointPerSecond: 0.2,
		EagerBurst:             4,
		JoinPeriod:             time.Second,
		MaxJoinPeriod:          10 * time.Second,
		ExchangePeriod:         10 * time.Second,
		ExchangeTimeout:        2 * time.Second,
		DiffersBound:           4 * time.Second,
		LeaveTimeout:           2 * time.Second,
		PauseBound:             time.Second,
		NewsBytes:              1200,
		UrgentBytes:            50,
		NewsBytesPerSecond:     250,
		NewsBurst:              256 * 1024,
		ExchangeBytes:          8 * 1024,
		TransmitFactor:         1,
		MaxMembers:             8192,
		MaxRemembered:          4096,
		MaxEndpoints:           4096,
		MaxQueuedNews:          1024,
		MaxCandidates:          1024,
	}
}
