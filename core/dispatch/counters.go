package dispatch

// Counters counts what a pool decided since it was made.
type Counters struct {
	Arrived   uint64 `json:"arrived"`
	Completed uint64 `json:"completed"`
	// Canceled counts the requests whose caller went away.
	Canceled uint64 `json:"canceled"`
	// Refused counts refusals by reason.
	Refused map[RefuseReason]uint64 `json:"refused"`
	// FirstAttempts, Retries, Hedges and Repeats count started attempts;
	// Repeats are those after a preemption or a silent stream.
	FirstAttempts uint64 `json:"firstAttempts"`
	Retries       uint64 `json:"retries"`
	Hedges        uint64 `json:"hedges"`
	HedgesWon     uint64 `json:"hedgesWon"`
	Restarts      uint64 `json:"repeats"`
	Resumes       uint64 `json:"resumes"`
	Preemptions   uint64 `json:"preemptions"`
	// GuaranteedStarts counts attempts started on a guaranteed share.
	GuaranteedStarts uint64 `json:"guaranteedStarts"`
	// UrgentWaitsExtended counts top-tier requests kept beyond their wait limit because
	// work of a lower tier was there.
	UrgentWaitsExtended uint64 `json:"urgentHeld"`
	// BudgetExhausted counts further attempts put off for want of budget.
	BudgetExhausted uint64 `json:"budgetExhausted"`
	// Tokens counts the tokens of all attempts that ended, WastedTokens those
	// that were thrown away.
	Tokens       uint64 `json:"tokens"`
	WastedTokens uint64 `json:"wastedTokens"`
	// LateEvents counts events of attempts that had ended.
	LateEvents uint64 `json:"lateEvents"`
	// ExcludedPicks counts choices of a leaving endpoint that were not followed.
	ExcludedPicks uint64 `json:"leavingPicks"`
	// LargestQueue is the largest number of requests queued at once.
	LargestQueue int `json:"largestQueue"`
}
