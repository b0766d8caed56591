package follow

import (
	"bytes"
	"time"

	"cactuswell/core/record"
)

// minPollInterval is the minimum interval between long polls that return no
// record.
const minPollInterval = LongPollWait / 4

// logState is the follower's view of the log.
type logState struct {
	// readPending is true while a ReadLog or ReadSnapshots is outstanding.
	readPending bool
	requestedAt time.Time
	// isLongPoll is true if the outstanding read is a long poll.
	isLongPoll bool
	retryAt    time.Time
	retryDelay time.Duration
	// lastReadFailed is true if the latest read failed.
	lastReadFailed bool
	// anyReadFailed is true if a read has failed since the start.
	anyReadFailed bool
	// lastRecordVerified is true if the log's record at the last applied offset
	// was compared with the applied one since the latest failed read or adopted
	// state.
	lastRecordVerified bool
	// resetDetected and replacementDetected are true once the alarm was raised.
	// A replaced log is not read again.
	resetDetected       bool
	replacementDetected bool
	// truncated is true if the log's oldest record is beyond the state's next
	// offset, and snapshotMissing if no snapshot includes the dropped records.
	truncated       bool
	snapshotMissing bool
	caughtUp        bool
	// targetOffset is a next offset that the log is known to have reached.
	targetOffset record.Offset
}

// requestLogRead reads the log if this host should do so now.
func (f *Follower) requestLogRead(now time.Time) {
	if f.log.readPending || f.log.replacementDetected || now.Before(f.log.retryAt) || !f.shouldReadLog(now) {
		return
	}
	f.log.readPending = true
	f.log.requestedAt = now
	f.log.isLongPoll = f.log.caughtUp && f.IsReader()
	if f.log.truncated {
		f.emit(ReadSnapshots{})
		return
	}
	wait := time.Duration(0)
	if f.log.isLongPoll {
		wait = LongPollWait
	}
	f.emit(ReadLog{
		From: f.readFrom(),
		Wait: wait,
	})
}

// readFrom returns the next offset, or the one before it if the log's record
// there has yet to be compared with the applied one.
func (f *Follower) readFrom() record.Offset {
	if !f.log.lastRecordVerified && len(f.recentRecords) > 0 {
		return f.state.NextOffset() - 1
	}
	return f.state.NextOffset()
}

func (f *Follower) shouldReadLog(now time.Time) bool {
	switch {
	case f.IsReader(), f.log.targetOffset > f.state.NextOffset():
		return true
	case !f.started && f.queriedEnoughPeers():
		return now.Sub(f.startedAt) >= min(time.Duration(f.zoneTree.selfRank)*startStagger, maxStartStagger)
	}
	rank := min(f.zoneTree.selfRank, maxFallbackRank)
	maxAge := fallbackAge + time.Duration(rank)*fallbackStagger
	return now.Sub(laterOf(f.confirmedAt, f.startedAt)) > maxAge
}

func (f *Follower) handleLogRead(now time.Time, event LogRead) {
	f.log.readPending = false
	if event.NextOffset < f.state.NextOffset() {
		f.handleLogReset(now, event.NextOffset)
		return
	}
	records := event.Records
	if !f.log.lastRecordVerified && len(f.recentRecords) > 0 && len(records) > 0 {
		if !f.matchesApplied(records[0]) {
			f.log.replacementDetected = true
			f.log.lastReadFailed = true
			f.raiseAlarm(AlarmLogReplaced, "", records[0].Offset)
			return
		}
	}
	before := f.state.NextOffset()
	if !f.apply(records) {
		f.handleLogFailure(now)
		return
	}
	f.log.lastRecordVerified = true
	f.log.resetDetected = false
	f.log.lastReadFailed = false
	f.log.retryDelay = 0
	f.log.caughtUp = f.state.NextOffset() >= event.NextOffset
	switch {
	case f.state.BlockedBy() != nil:
		f.log.retryAt = now.Add(blockedRetryDelay)
	case f.log.caughtUp:
		f.log.targetOffset = 0
		f.clearHead()
		f.recordContact(now)
		f.recordConfirmation(now)
		if f.log.isLongPoll && len(records) == 0 && now.Sub(f.log.requestedAt) < minPollInterval {
			// The log answers long polls without waiting.
			f.log.retryAt = now.Add(minPollInterval)
		}
	case f.state.NextOffset() == before:
		f.handleLogFailure(now)
	}
}

// matchesApplied reports whether a record equals the one applied at its offset,
// or that one is no longer held.
func (f *Follower) matchesApplied(stored Record) bool {
	for _, applied := range f.recentRecords {
		if applied.Offset == stored.Offset {
			return bytes.Equal(applied.Data, stored.Data)
		}
	}
	return true
}

// handleLogReset handles a log whose head is behind the applied offset. Its
// records are not applied, and it does not confirm that the state is up to date.
func (f *Follower) handleLogReset(now time.Time, next record.Offset) {
	if !f.log.resetDetected {
		f.raiseAlarm(AlarmLogReset, "", next)
	}
	f.log.resetDetected = true
	f.handleLogFailure(now)
}

func (f *Follower) handleLogTruncated(now time.Time, event LogTruncated) {
	f.log.readPending = false
	if event.OldestOffset <= f.state.NextOffset() {
		// Only the record to be compared was dropped.
		f.log.lastRecordVerified = true
		return
	}
	f.log.truncated = true
	f.log.caughtUp = false
	f.log.targetOffset = max(f.log.targetOffset, event.OldestOffset)
	f.log.retryAt = now
	f.handleAdvertisedHead(now, "", event.OldestOffset)
}

func (f *Follower) handleSnapshotsRead(now time.Time, event SnapshotsRead) {
	f.log.readPending = false
	if event.State != nil {
		f.adoptState(event.State)
	}
	if f.state.NextOffset() < f.log.targetOffset {
		if !f.log.snapshotMissing {
			f.raiseAlarm(AlarmTruncatedWithoutSnapshot, "", f.log.targetOffset)
		}
		f.log.snapshotMissing = true
		f.handleLogFailure(now)
		return
	}
	f.log.truncated = false
	f.log.snapshotMissing = false
	f.log.retryDelay = 0
	f.log.retryAt = now
}

func (f *Follower) handleLogFailure(now time.Time) {
	f.log.readPending = false
	f.log.lastReadFailed = true
	f.log.anyReadFailed = true
	f.log.caughtUp = false
	f.log.lastRecordVerified = false
	maxDelay := maxNonReaderRetryDelay
	if f.IsReader() {
		maxDelay = maxReaderRetryDelay
	}
	f.log.retryDelay = min(max(2*f.log.retryDelay, minRetryDelay), maxDelay)
	jitter := time.Duration(f.random.Int64N(int64(f.log.retryDelay/2) + 1))
	f.log.retryAt = now.Add(f.log.retryDelay/2 + jitter)
}
