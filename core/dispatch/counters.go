package dispatch

// Counters counts a pool's decisions since its creation.
type Counters struct {
	Arrived   uint64 `json:"arrived"`
	Completed uint64 `json:"completed"`
	// Canceled counts requests canceled by their caller.
	Canceled uint64 `json:"canceled"`
	// Refused counts refusals by reason.
	Refused map[RefuseReason]uint64 `json:"refused"`
	// FirstAttempts, Retries, Hedges and Restarts count started attempts.
	// Restarts follow a preemption or a stalled stream.
	FirstAttempts uint64 `json:"firstAttempts"`
	Retries       uint64 `json:"retries"`
	Hedges        uint64 `json:"hedges"`
	HedgesWon     uint64 `json:"hedgesWon"`
	Restarts      uint64 `json:"repeats"`
	Resumes       uint64 `json:"resumes"`
	Preemptions   uint64 `json:"preemptions"`
	// GuaranteedStarts counts attempts started on a guaranteed share.
	GuaranteedStarts uint64 `json:"guaranteedStarts"`
	// UrgentWaitsExtended counts top-tier requests that stayed queued beyond
	// their wait limit because requests of lower tiers could make room.
	UrgentWaitsExtended uint64 `json:"urgentHeld"`
	// BudgetExhausted counts how often a further attempt was postponed because
	// the retry budget was exhausted.
	BudgetExhausted uint64 `json:"budgetExhausted"`
	// Tokens counts the tokens of all attempts that ended, WastedTokens those of
	// attempts that did not complete.
	Tokens       uint64 `json:"tokens"`
	WastedTokens uint64 `json:"wastedTokens"`
	// LateEvents counts events of attempts that had already ended.
	LateEvents uint64 `json:"lateEvents"`
	// ExcludedPicks counts choices of the router that were rejected because the
	// endpoint is leaving or drained.
	ExcludedPicks uint64 `json:"leavingPicks"`
	// LargestQueue is the maximum queue length so far.
	LargestQueue int `json:"largestQueue"`
}
