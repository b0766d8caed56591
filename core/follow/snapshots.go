package follow

import (
	"math/rand/v2"
	"time"

	"cactuswell/core/record"
)

const (
	// snapshotShare of the retention is the age at which the first host in
	// order writes a snapshot; each further host waits for staggerShare more.
	// The last ones act at 9/16 of the retention.
	snapshotShare     = 4
	staggerShare      = 16
	maxSnapshotPlace  = 4
	checksInRetention = 32
	// maxTail is how many records may follow the newest snapshot before the
	// first host in order writes another one.
	maxTail = 512
)

// SnapshotSchedule decides when this host writes a snapshot. It is a state machine
// like Follower.
type SnapshotSchedule struct {
	retention time.Duration
	since     time.Time
	jitter    time.Duration
	known     bool
	next      record.Offset
	writtenAt time.Time
}

// NewSnapshotSchedule returns the decision for a log that keeps records for retention.
// The time is the present.
func NewSnapshotSchedule(now time.Time, retention time.Duration, random *rand.Rand) *SnapshotSchedule {
	return &SnapshotSchedule{
		retention: retention,
		since:     now,
		jitter:    time.Duration(random.Int64N(int64(retention/staggerShare) + 1)),
	}
}

// CheckInterval is how often the snapshot stream is to be read.
func (s *SnapshotSchedule) CheckInterval() time.Duration {
	return s.retention / checksInRetention
}

// RecordSnapshot notes a snapshot in the stream. The age is by the writer's wall clock;
// an impossible one is taken as that of a snapshot about to expire.
func (s *SnapshotSchedule) RecordSnapshot(now time.Time, next record.Offset, age time.Duration) {
	if age < 0 || age > s.retention {
		age = s.retention
	}
	s.known = true
	s.next = max(s.next, next)
	s.writtenAt = latest(s.writtenAt, now.Add(-age))
}

// IsDue reports whether this host is to write a snapshot of a state whose next
// offset is next. The place is the host's in the order of duty, from zero.
func (s *SnapshotSchedule) IsDue(now time.Time, place int, next record.Offset) bool {
	if next == 0 {
		return false
	}
	patience := time.Duration(min(place, maxSnapshotPlace)) * (s.retention / staggerShare)
	if place >= maxSnapshotPlace {
		patience += s.jitter
	}
	if !s.known {
		return now.Sub(s.since) >= patience
	}
	if place == 0 && next-s.next > maxTail {
		return true
	}
	return now.Sub(s.writtenAt) >= s.retention/snapshotShare+patience
}
