package quarantine

import "time"

// maxAnsweredParts and maxAnsweredRequests bound each of the two generations of answers.
const (
	maxAnsweredParts    = 8192
	maxAnsweredRequests = 1024
)

// answers remembers when the last known answer to each subject began. Once the newer generation
// is full, it replaces the older one.
type answers struct {
	limit int
	// newer and older hold times since start.
	newer map[uint64]time.Duration
	older map[uint64]time.Duration
	start time.Time
}

func newAnswers(limit int) answers {
	return answers{
		limit: limit,
		newer: make(map[uint64]time.Duration),
	}
}

// at returns when the last known answer to a subject began.
func (a *answers) at(subject uint64) (time.Time, bool) {
	at, ok := a.newer[subject]
	if !ok {
		at, ok = a.older[subject]
	}
	if !ok {
		return time.Time{}, false
	}
	return a.start.Add(at), true
}

// record records an answer that began at startedAt.
func (a *answers) record(now time.Time, subject uint64, startedAt time.Time) {
	if len(a.newer) >= a.limit {
		a.older = a.newer
		a.newer = make(map[uint64]time.Duration)
	}
	if a.start.IsZero() {
		a.start = now
	}
	a.newer[subject] = startedAt.Sub(a.start)
}
