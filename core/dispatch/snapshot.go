package dispatch

import (
	"maps"
	"time"

	"cactuswell/core/admission"
	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
)

// maxSnapshotAttempts bounds the number of running attempts in a snapshot.
const maxSnapshotAttempts = 256

// Snapshot is the state of a pool for dumps. It contains no prompts and no
// answers.
type Snapshot struct {
	Pool     string       `json:"pool"`
	Kind     profile.Kind `json:"kind"`
	Draining bool         `json:"draining"`
	// Queued and BackingOff count requests; Running counts attempts.
	Queued     int                   `json:"queued"`
	BackingOff int                   `json:"backingOff"`
	Running    int                   `json:"running"`
	Queue      []admission.TeamQueue `json:"queue"`
	// Attempts lists at most maxSnapshotAttempts running attempts.
	Attempts []RunningAttempt `json:"attempts"`
	Budget   BudgetSnapshot   `json:"budget"`
	// ServiceRate is the slot time provided per second, in seconds.
	ServiceRate     float64  `json:"serviceRate"`
	UsableEndpoints int      `json:"usableEndpoints"`
	Counters        Counters `json:"counters"`
}

// RunningAttempt describes a running attempt.
type RunningAttempt struct {
	Request    RequestID    `json:"request"`
	Attempt    uint32       `json:"attempt"`
	Endpoint   endpoint.Key `json:"endpoint"`
	Tier       profile.Tier `json:"tier"`
	Class      string       `json:"class"`
	Tokens     int          `json:"tokens"`
	SentAt     time.Time    `json:"sentAt"`
	ProgressAt time.Time    `json:"progressAt"`
	Hedge      bool         `json:"hedge"`
}

// BudgetSnapshot describes the retry budget; see retry.Budget.
type BudgetSnapshot struct {
	Available     float64 `json:"saved"`
	FirstAttempts uint64  `json:"firsts"`
	Reserved      uint64  `json:"taken"`
}

// Snapshot returns the pool's state.
func (p *Pool) Snapshot() Snapshot {
	return Snapshot{
		Pool:       p.settings.Pool,
		Kind:       p.settings.Kind,
		Draining:   p.draining,
		Queued:     p.queue.Len(),
		BackingOff: p.backingOff,
		Running:    p.running,
		Queue:      p.queue.TeamQueues(),
		Attempts:   p.runningAttempts(),
		Budget: BudgetSnapshot{
			Available:     p.budget.Available(),
			FirstAttempts: p.budget.FirstAttempts(),
			Reserved:      p.budget.Reserved(),
		},
		ServiceRate:     p.serviceRate(),
		UsableEndpoints: p.router.UsableEndpoints(),
		Counters:        p.Counters(),
	}
}

// Counters returns the counts of the pool's decisions since its creation.
func (p *Pool) Counters() Counters {
	counters := p.counters
	counters.Refused = maps.Clone(p.counters.Refused)
	return counters
}

// Decisions returns the decisions on a request that are still in the log, the
// oldest first.
func (p *Pool) Decisions(id RequestID) []Decision {
	return p.decisionLog.of(id)
}

// QueuedRequests returns the number of queued requests.
func (p *Pool) QueuedRequests() int {
	return p.queue.Len()
}

// OpenRequests returns the number of requests without a final command. A host
// that shuts down waits until it is zero.
func (p *Pool) OpenRequests() int {
	return len(p.requests)
}

func (p *Pool) runningAttempts() []RunningAttempt {
	attempts := make([]RunningAttempt, 0, min(p.running, maxSnapshotAttempts))
	for i := range p.timers.Len() {
		r := p.timers.At(i)
		for _, a := range r.attempts[:r.running] {
			if len(attempts) == maxSnapshotAttempts {
				return attempts
			}
			attempts = append(attempts, a.snapshot())
		}
	}
	return attempts
}

func (a *attempt) snapshot() RunningAttempt {
	return RunningAttempt{
		Request:    a.id.Request,
		Attempt:    a.id.Number,
		Endpoint:   a.work.Key,
		Tier:       a.request.entry.Tier,
		Class:      a.work.Class,
		Tokens:     a.tokens,
		SentAt:     a.work.SentAt,
		ProgressAt: a.progressAt,
		Hedge:      a.isHedge,
	}
}
