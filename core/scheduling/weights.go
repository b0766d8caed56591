package scheduling

// Weights are what the choice of an endpoint weighs, in missed latency targets.
// Zero fields are zero; DefaultWeights gives a complete set. The experiments in
// docs/ROUNDS.md vary one at a time.
type Weights struct {
	// OnTimeMargin is the part of the latency target at which a prediction counts
	// as late with even odds, and OnTimeDoubt the spread around it.
	OnTimeMargin float64
	OnTimeDoubt  float64
	// DelayWeight weighs the delay itself, in latency targets.
	DelayWeight float64
	// RereadCost is the cost of a second of engine time spent on reading what
	// another engine has in memory.
	RereadCost float64
	// FetchCost is the cost of a thousand tokens that are fetched from another
	// engine's memory.
	FetchCost float64
	// HomeBonus is what a home of a subject is preferred by, if no host has told
	// of the subject.
	HomeBonus float64
	// StrayCost is the cost of a call in the lane that is not its own.
	StrayCost float64
	// DisturbCost is the cost of a long prompt for each tight stream beside it.
	DisturbCost float64
	// ErrorCost is the cost of a certain failure of an endpoint's answer.
	ErrorCost float64
	// ColdCost is that of an endpoint that is slow after its start.
	ColdCost float64
	// TrialCost is that of an endpoint that was out of use until now.
	TrialCost float64
	// TightLoad and LongLoad are the parts of their engines' time that reading
	// prompts may take in the lane of tight streams and in the other one.
	TightLoad float64
	LongLoad  float64
	// MaxTightShare bounds the part of the engines that serve tight streams only;
	// zero stands for no lanes.
	MaxTightShare float64
}

// DefaultWeights returns the weights of the product.
func DefaultWeights() Weights {
	return Weights{
		OnTimeMargin:  0.8,
		OnTimeDoubt:   0.2,
		DelayWeight:   0.15,
		RereadCost:    3,
		FetchCost:     0.1,
		HomeBonus:     0.2,
		StrayCost:     0.3,
		DisturbCost:   0.1,
		ErrorCost:     1.5,
		ColdCost:      0.2,
		TrialCost:     0.4,
		TightLoad:     0.2,
		LongLoad:      0.6,
		MaxTightShare: 0.5,
	}
}
