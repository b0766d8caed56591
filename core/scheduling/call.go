package scheduling

import (
	"math"
	"time"

	"cactuswell/core/evidence"
	"cactuswell/core/quarantine"
	"cactuswell/core/route"
)

// CallID identifies a call within one host process.
type CallID uint64

// PromptPart is a part of a prompt. Prompts that begin with the same parts can
// share the KV cache that an engine has computed for them.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// MaxPromptParts bounds the parts of a prompt that are told apart: as many as the quarantine does, and
// the last one, which no other prompt shares. The work for a call grows with its parts, at each
// endpoint of the service.
const MaxPromptParts = quarantine.MaxParts + 1

// AppendPart appends a part to a prompt. The parts from MaxPromptParts on count as one, which is the
// same for prompts with the same parts.
func AppendPart(prompt []PromptPart, part PromptPart) []PromptPart {
	if len(prompt) < MaxPromptParts {
		return append(prompt, part)
	}
	last := &prompt[len(prompt)-1]
	last.ID = mix(last.ID, part.ID)
	last.Tokens = min(last.Tokens+part.Tokens, math.MaxInt32)
	return prompt
}

// Call is a caller's request as the scheduler sees it.
type Call struct {
	ID CallID
	// RequestID is the caller's ID for the request, used in explanations.
	RequestID string
	// RequestHash is the same for all copies of a request, at all hosts. It is zero if it is
	// unknown.
	RequestHash uint64
	Route       *route.Route
	Service     string
	Team        string
	// Priority is the effective priority: the team's, or else the route's.
	Priority int
	// Deadline is when the caller gives up or the route's timeout expires.
	Deadline time.Time
	// PromptTokens is the size of the prompt for model engines, and zero for plain
	// services.
	PromptTokens int
	Prompt       []PromptPart
	// Version is the software version at which a stream that is taken up again began, if
	// IsBoundToVersion is set. It may go on only there.
	Version          string
	IsBoundToVersion bool
}

// Key identifies one incarnation of an endpoint.
type Key struct {
	ID          string
	Incarnation int64
}

// Hash returns the hash by which hosts identify the endpoint in messages to each
// other.
func (k Key) Hash() uint64 { return mix(uint64(k.Incarnation), hashID(k.ID)) }

// call is a call that has no final command yet.
type call struct {
	spec    Call
	pool    *pool
	arrived time.Time
	// prefixHashes holds one hash for each prefix of the prompt's parts, shortest
	// first.
	prefixHashes []uint64
	// parts holds the hashes of the prompt's parts that other prompts may hold.
	parts      []uint64
	queued     bool
	queueUntil time.Time
	endpoint   *endpoint
	sentAt     time.Time
	started    bool
	startedAt  time.Time
	// version is the software version at which the stream began, if isBoundToVersion is set.
	// It may go on only there.
	version          string
	isBoundToVersion bool
	// beginsAtBase is set while the stream may begin only at the base version.
	beginsAtBase bool
	// unsettled holds the versions at which the stream may not begin.
	unsettled []string
	// isSound is set once an answer to the request has gone on after its beginning.
	isSound bool
	// prefillTime is the expected engine time to prefill the prompt at the chosen
	// endpoint.
	prefillTime               time.Duration
	predictedTimeToFirstEvent time.Duration
	// nominalPrefill is the expected time to the first event at an engine of usual speed, or zero
	// if the measured time does not tell the engine's speed. utilization is the share of the
	// endpoint's slots that were in use when the call was sent.
	nominalPrefill time.Duration
	utilization    float64
	// demandTime is the prefill time in the unit in which the partitions are sized: that of the
	// performance model, with this host's own estimate of the endpoint's slowness.
	demandTime time.Duration
	// cachedTokens is the number of the prompt's leading tokens that at least one
	// usable endpoint has cached.
	cachedTokens int
	// fetchSource is the endpoint from which most of the prompt can be fetched, and
	// fetchSourceTokens the number of leading tokens that it has cached.
	fetchSource       *endpoint
	fetchSourceTokens int
	// affinity holds the preferred endpoints for the prompt's shared prefix. It is
	// empty if some endpoint is known to have the prefix cached.
	affinity [affinityEndpointCount]*endpoint
	// possibleRuns counts the attempts that may have run; sends counts all
	// attempts.
	possibleRuns int
	sends        int
	// sentTo lists the places that have received the call.
	sentTo []evidence.Place
	// avoid lists the endpoints at which an attempt of the call has failed.
	avoid []Key
	// waitsForOther is set if the call waits for an endpoint that has not failed it, even
	// while one that has failed it has room.
	waitsForOther bool
	// otherUntil is until when it does.
	otherUntil time.Time
	// silence is that of the attempt in flight, or nil while it is not silent. IsSilenceRecorded is set once one of the
	// attempt counts against its endpoint.
	silence           *silence
	isSilenceRecorded bool
	// hasPaidRetry is set once the retry budget was charged for the next attempt.
	hasPaidRetry bool
	// lastFailure is why the last attempt failed.
	lastFailure      Reason
	latencySensitive bool
	// isPartlyDelivered is set once the caller has got a part of an answer.
	isPartlyDelivered bool
	// isUnmet is set once the call has found no room.
	isUnmet bool
}

// recordPart records whether the caller has got a part of the answer of an attempt. Only the events of a stream can be
// continued by another attempt. It may wait for an endpoint until its deadline: its caller waits, and would lose what it has.
func (c *call) recordPart(isDelivered bool) {
	if isDelivered {
		c.isPartlyDelivered = true
		c.queueUntil = c.spec.Deadline
	}
}
