package membership

// Counters holds counts of probes, membership changes and exchanges since the Machine was
// created.
type Counters struct {
	ProbesSent   uint64 `json:"probesSent"`
	ProbesFailed uint64 `json:"probesFailed"`
	// NewConnectionProbes counts probes retried on a new connection, and
	// NewConnectionAnswers those of them that were answered.
	NewConnectionProbes  uint64 `json:"freshProbes"`
	NewConnectionAnswers uint64 `json:"freshAnswers"`
	// IndirectAnswers counts the reports of other members that they reached the target.
	IndirectProbes  uint64 `json:"indirectProbes"`
	IndirectAnswers uint64 `json:"indirectAnswers"`
	// InconclusiveRounds counts rounds with too few negative reports to suspect a
	// member.
	InconclusiveRounds uint64 `json:"silentRounds"`
	Suspicions         uint64 `json:"suspicions"`
	Refutations        uint64 `json:"refutations"`
	MembersJoined      uint64 `json:"membersJoined"`
	MembersDead        uint64 `json:"membersDead"`
	MembersLeft        uint64 `json:"membersLeft"`
	MembersReplaced    uint64 `json:"membersReplaced"`
	MembersRejected    uint64 `json:"membersRefused"`
	// Reprobes counts probes of dead members, contested ones included.
	Reprobes        uint64 `json:"reprobes"`
	Exchanges       uint64 `json:"exchanges"`
	ExchangesFailed uint64 `json:"exchangesFailed"`
	// EagerRounds counts rounds that probe all neighbors early to send urgent
	// updates, and EagerRoundsDeferred how often such a round had to wait for a
	// token.
	EagerRounds         uint64 `json:"eagerRounds"`
	EagerRoundsDeferred uint64 `json:"eagerDeferred"`
	EndpointsLearned    uint64 `json:"endpointsHeard"`
	EndpointsEvicted    uint64 `json:"endpointsForgotten"`
	UpdatesDropped      uint64 `json:"newsDropped"`
	// Pauses counts wake-ups that were late by at least PauseThreshold.
	Pauses uint64 `json:"pauses"`
}

// Dump is a snapshot of a Machine for operators.
type Dump struct {
	Self             MemberDump   `json:"self"`
	Joined           bool         `json:"joined"`
	Superseded       bool         `json:"superseded"`
	LiveCount        int          `json:"hosts"`
	Neighbors        []string     `json:"neighbors"`
	Members          []MemberDump `json:"members"`
	LeavingEndpoints int          `json:"leavingEndpoints"`
	QueuedUpdates    int          `json:"queuedNews"`
	Candidates       int          `json:"candidates"`
	Counters         Counters     `json:"counters"`
}

// MemberDump is a member's state for operators.
type MemberDump struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Version     uint32 `json:"version"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Status      string `json:"status"`
}
