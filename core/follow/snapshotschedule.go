package follow

import (
	"math/rand/v2"
	"time"

	"cactuswell/core/record"
)

const (
	// The host of rank zero writes a snapshot when the newest one is as old as
	// the retention divided by snapshotAgeDivisor. Each further rank up to
	// maxSnapshotRank waits longer by the retention divided by staggerDivisor, and
	// the last hosts add up to as much jitter, so that they write at 9/16 of the
	// retention at the latest.
	snapshotAgeDivisor = 4
	staggerDivisor     = 16
	maxSnapshotRank    = 4
	checksPerRetention = 32
	// maxRecordsAfterSnapshot is how many records may follow the newest snapshot
	// before the host of rank zero writes another one.
	maxRecordsAfterSnapshot = 512
)

// SnapshotSchedule decides when this host writes a snapshot. Like Follower it
// is a state machine that reads no clock.
type SnapshotSchedule struct {
	retention      time.Duration
	startedAt      time.Time
	jitter         time.Duration
	snapshotKnown  bool
	snapshotOffset record.Offset
	writtenAt      time.Time
}

// NewSnapshotSchedule returns the schedule for a log that keeps records for
// retention, starting now.
func NewSnapshotSchedule(now time.Time, retention time.Duration, random *rand.Rand) *SnapshotSchedule {
	return &SnapshotSchedule{
		retention: retention,
		startedAt: now,
		jitter:    time.Duration(random.Int64N(int64(retention/staggerDivisor) + 1)),
	}
}

// CheckInterval returns the interval at which the snapshot stream is to be read.
func (s *SnapshotSchedule) CheckInterval() time.Duration {
	return s.retention / checksPerRetention
}

// RecordSnapshot records a snapshot in the stream. The age is computed from the
// writer's wall clock; an age outside 0 to the retention is replaced by the
// retention, as if the snapshot was about to expire.
func (s *SnapshotSchedule) RecordSnapshot(now time.Time, nextOffset record.Offset, age time.Duration) {
	if age < 0 || age > s.retention {
		age = s.retention
	}
	s.snapshotKnown = true
	s.snapshotOffset = max(s.snapshotOffset, nextOffset)
	s.writtenAt = laterOf(s.writtenAt, now.Add(-age))
}

// IsDue reports whether this host is to write a snapshot of a state whose next
// offset is nextOffset. The rank is the host's index in the rendezvous order for
// snapshots.
func (s *SnapshotSchedule) IsDue(now time.Time, rank int, nextOffset record.Offset) bool {
	if nextOffset == 0 {
		return false
	}
	delay := time.Duration(min(rank, maxSnapshotRank)) * (s.retention / staggerDivisor)
	if rank >= maxSnapshotRank {
		delay += s.jitter
	}
	if !s.snapshotKnown {
		return now.Sub(s.startedAt) >= delay
	}
	if rank == 0 && nextOffset-s.snapshotOffset > maxRecordsAfterSnapshot {
		return true
	}
	return now.Sub(s.writtenAt) >= s.retention/snapshotAgeDivisor+delay
}
