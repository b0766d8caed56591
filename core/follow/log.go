package follow

import (
	"bytes"
	"time"

	"cactuswell/core/record"
)

// shortestPoll separates long polls that are answered with nothing.
const shortestPoll = LongPollWait / 4

// logState is what the follower knows of the log.
type logState struct {
	// busy tells that a ReadLog or ReadSnapshots is unanswered.
	busy    bool
	askedAt time.Time
	// waits tells that the log may hold back the answer that is awaited.
	waits   bool
	retryAt time.Time
	delay   time.Duration
	// failed tells that the latest read had no usable answer.
	failed bool
	// everFailed tells that some read since the start failed.
	everFailed bool
	// verified tells that the log's last record before the state's next one
	// was compared since the latest trouble.
	verified bool
	// reset and replaced tell that the alarm was given.
	reset    bool
	replaced bool
	// truncated tells that the log's oldest record is beyond the state, and
	// uncovered that no snapshot helps.
	truncated bool
	uncovered bool
	caughtUp  bool
	// wanted is an offset that the log is known to hold.
	wanted record.Offset
}

// readLog asks the log if this host is to follow it now.
func (f *Follower) readLog(now time.Time) {
	if f.log.busy || f.log.replaced || now.Before(f.log.retryAt) || !f.wantsLog(now) {
		return
	}
	f.log.busy = true
	f.log.askedAt = now
	f.log.waits = f.log.caughtUp && f.IsReader()
	if f.log.truncated {
		f.emit(ReadSnapshots{})
		return
	}
	wait := time.Duration(0)
	if f.log.waits {
		wait = LongPollWait
	}
	f.emit(ReadLog{
		From: f.readFrom(),
		Wait: wait,
	})
}

// readFrom returns the next offset, or the one before it if the log's record
// there is still to be compared with the one that was applied.
func (f *Follower) readFrom() record.Offset {
	if !f.log.verified && len(f.recent) > 0 {
		return f.state.NextOffset() - 1
	}
	return f.state.NextOffset()
}

func (f *Follower) wantsLog(now time.Time) bool {
	switch {
	case f.IsReader(), f.log.wanted > f.state.NextOffset():
		return true
	case !f.started && f.askedEnough():
		return now.Sub(f.startedAt) >= min(time.Duration(f.zoneTree.self)*startStagger, maxStartStagger)
	}
	place := min(f.zoneTree.self, maxFallbackPlace)
	patience := fallbackAfter + time.Duration(place)*fallbackStagger
	return now.Sub(latest(f.confirmedAt, f.startedAt)) > patience
}

func (f *Follower) logAnswered(now time.Time, event LogRead) {
	f.log.busy = false
	if event.NextOffset < f.state.NextOffset() {
		f.logWentBack(now, event.NextOffset)
		return
	}
	records := event.Records
	if !f.log.verified && len(f.recent) > 0 && len(records) > 0 {
		if !f.verify(records[0]) {
			f.log.replaced = true
			f.log.failed = true
			f.alarm(AlarmLogReplaced, "", records[0].Offset)
			return
		}
	}
	before := f.state.NextOffset()
	if !f.apply(records) {
		f.logFailed(now)
		return
	}
	f.log.verified = true
	f.log.reset = false
	f.log.failed = false
	f.log.delay = 0
	f.log.caughtUp = f.state.NextOffset() >= event.NextOffset
	switch {
	case f.state.BlockedBy() != nil:
		f.log.retryAt = now.Add(blockedRetryDelay)
	case f.log.caughtUp:
		f.log.wanted = 0
		f.forgetHead()
		f.caughtUpWith(now)
		f.confirm(now)
		if f.log.waits && len(records) == 0 && now.Sub(f.log.askedAt) < shortestPoll {
			// The log does not hold back its answers.
			f.log.retryAt = now.Add(shortestPoll)
		}
	case f.state.NextOffset() == before:
		f.logFailed(now)
	}
}

// verify compares a record with the one that was applied at its offset.
func (f *Follower) verify(stored Record) bool {
	for _, applied := range f.recent {
		if applied.Offset == stored.Offset {
			return bytes.Equal(applied.Data, stored.Data)
		}
	}
	return true
}

// logWentBack is a log whose head is behind what was applied. What it holds is
// not taken, and says nothing about being up to date.
func (f *Follower) logWentBack(now time.Time, next record.Offset) {
	if !f.log.reset {
		f.alarm(AlarmLogReset, "", next)
	}
	f.log.reset = true
	f.logFailed(now)
}

func (f *Follower) logTruncated(now time.Time, event LogTruncated) {
	f.log.busy = false
	if event.OldestOffset <= f.state.NextOffset() {
		// Only the record to be compared is gone.
		f.log.verified = true
		return
	}
	f.log.truncated = true
	f.log.caughtUp = false
	f.log.wanted = max(f.log.wanted, event.OldestOffset)
	f.log.retryAt = now
	f.headHeard(now, "", event.OldestOffset)
}

func (f *Follower) snapshotsRead(now time.Time, event SnapshotsRead) {
	f.log.busy = false
	if event.State != nil {
		f.adopt(event.State)
	}
	if f.state.NextOffset() < f.log.wanted {
		if !f.log.uncovered {
			f.alarm(AlarmTruncatedWithoutSnapshot, "", f.log.wanted)
		}
		f.log.uncovered = true
		f.logFailed(now)
		return
	}
	f.log.truncated = false
	f.log.uncovered = false
	f.log.delay = 0
	f.log.retryAt = now
}

func (f *Follower) logFailed(now time.Time) {
	f.log.busy = false
	f.log.failed = true
	f.log.everFailed = true
	f.log.caughtUp = false
	f.log.verified = false
	longest := maxOtherRetryDelay
	if f.IsReader() {
		longest = maxReaderRetryDelay
	}
	f.log.delay = min(max(2*f.log.delay, firstRetryDelay), longest)
	jitter := time.Duration(f.random.Int64N(int64(f.log.delay/2) + 1))
	f.log.retryAt = now.Add(f.log.delay/2 + jitter)
}
