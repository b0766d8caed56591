package scheduling

// Weights are what the choice of an endpoint weighs, in missed latency targets.
// Zero fields are zero; DefaultWeights gives a complete set. The experiments in
// docs/ROUNDS.md vary one at a time.
type Weights struct {
	// OnTimeMargin is the part of the latency target at which a prediction counts
	// as late with even odds, and OnTimeDoubt the spread around it.
	OnTimeMargin float64
	OnTimeSpread float64
	// DelayWeight weighs the delay itself, in latency targets.
	DelayWeight float64
	// RecomputeCost is the cost of a second of engine time spent on reading what
	// another engine has in memory.
	RecomputeCost float64
	// FetchCost is the cost of a thousand tokens that are fetched from another
	// engine's memory.
	FetchCost float64
	// AffinityBonus is what a home of a subject is preferred by, if no host has told
	// of the subject.
	AffinityBonus float64
	// PartitionMissCost is the cost of a call in the lane that is not its own.
	PartitionMissCost float64
	// InterferenceCost is the cost of a long prompt for each tight stream beside it.
	InterferenceCost float64
	// ErrorCost is the cost of a certain failure of an endpoint's answer.
	ErrorCost float64
	// ColdStartCost is that of an endpoint that is slow after its start.
	ColdStartCost float64
	// ProbeCost is that of an endpoint that was out of use until now.
	ProbeCost float64
	// LatencyPartitionLoad and LongLoad are the parts of their engines' time that reading
	// prompts may take in the lane of tight streams and in the other one.
	LatencyPartitionLoad float64
	PrefillPartitionLoad float64
	// MaxLatencyPartitionShare bounds the part of the engines that serve tight streams only;
	// zero stands for no lanes.
	MaxLatencyPartitionShare float64
}

// DefaultWeights returns the weights of the product.
func DefaultWeights() Weights {
	return Weights{
		OnTimeMargin:             0.8,
		OnTimeSpread:             0.2,
		DelayWeight:              0.15,
		RecomputeCost:            3,
		FetchCost:                0.1,
		AffinityBonus:            0.2,
		PartitionMissCost:        0.3,
		InterferenceCost:         0.1,
		ErrorCost:                1.5,
		ColdStartCost:            0.2,
		ProbeCost:                0.4,
		LatencyPartitionLoad:     0.2,
		PrefillPartitionLoad:     0.6,
		MaxLatencyPartitionShare: 0.5,
	}
}
