package scheduling

// Weights holds the costs used to choose an endpoint, in missed latency targets.
// Zero fields stay zero; DefaultWeights returns a complete set.
type Weights struct {
	// OnTimeMargin is the share of the latency target at which a predicted time has
	// even odds of being late, and OnTimeSpread the spread around it.
	OnTimeMargin float64
	OnTimeSpread float64
	// DelayWeight is the cost of a delay by one latency target.
	DelayWeight float64
	// RecomputeCost is the cost of a second of engine time spent on recomputing
	// what another engine has cached.
	RecomputeCost float64
	// FetchCost is the cost of fetching a thousand tokens from another engine's
	// cache.
	FetchCost float64
	// AffinityBonus is subtracted for an affinity endpoint of a prompt prefix that
	// no endpoint is known to have cached.
	AffinityBonus float64
	// PartitionMissCost is the cost of running a call outside its partition.
	PartitionMissCost float64
	// InterferenceCost is the cost of a long prompt for each latency-sensitive
	// stream that runs on the same engine.
	InterferenceCost float64
	// ErrorCost is the cost of an error rate of one.
	ErrorCost float64
	// ColdStartCost is the cost of an endpoint that is slow after its start.
	ColdStartCost float64
	// ProbeCost is the cost of an endpoint whose ejection has just ended, so that
	// the call is a probe.
	ProbeCost float64
	// LatencyPartitionLoad and PrefillPartitionLoad are the shares of engine time
	// that prefills may take in the latency partition and in the prefill partition.
	LatencyPartitionLoad float64
	PrefillPartitionLoad float64
	// MaxLatencyPartitionShare bounds the share of engines in the latency
	// partition; zero disables partitioning.
	MaxLatencyPartitionShare float64
}

// DefaultWeights returns the default weights.
func DefaultWeights() Weights {
	return Weights{
		OnTimeMargin:             0.8,
		OnTimeSpread:             0.2,
		DelayWeight:              0.15,
		RecomputeCost:            3,
		FetchCost:                0.1,
		AffinityBonus:            0.2,
		PartitionMissCost:        0.3,
		InterferenceCost:         0.2,
		ErrorCost:                1.5,
		ColdStartCost:            0.2,
		ProbeCost:                0.4,
		LatencyPartitionLoad:     0.2,
		PrefillPartitionLoad:     0.6,
		MaxLatencyPartitionShare: 0.5,
	}
}
