package opaque

import (
	"time"

	"cactuswell/core/scheduling"
)

const (
	// firstSilencePoll is the time in which the scheduler usually decides on a silent attempt, and silencePoll the time
	// between two looks at its decision afterwards.
	firstSilencePoll = 2 * time.Millisecond
	silencePoll      = 25 * time.Millisecond
)

// awaitProgress bounds the wait for the endpoint's next bytes by the call's deadline. At an earlier deadline, unless it is zero,
// the scheduler decides whether the attempt is given up.
func (t *attempt) awaitProgress(deadline time.Time) {
	t.endSilence()
	t.silenceDeadline = deadline
	if deadline.IsZero() {
		t.conn.SetReadDeadline(t.exchange.deadline)
		return
	}
	t.silentSince = time.Now()
	t.conn.SetExtensibleDeadline(deadline, t.extendSilence)
}

// extendSilence returns until when a silent attempt is read, and false once it has been given up or the call's deadline
// has passed.
func (t *attempt) extendSilence() (time.Time, bool) {
	x := t.exchange
	now := time.Now()
	if !now.Before(x.deadline) {
		return time.Time{}, false
	}
	poll := silencePoll
	if t.silence == 0 {
		t.beginSilence(now)
		poll = firstSilencePoll
	} else if t.isGivenUp() {
		return time.Time{}, false
	}
	if next := now.Add(poll); next.Before(x.deadline) {
		return next, true
	}
	return x.deadline, true
}

// beginSilence tells the scheduler that the attempt is silent.
func (t *attempt) beginSilence(now time.Time) {
	x := t.exchange
	t.isGivenUp()
	x.silences++
	t.silence = x.silences
	x.server.Scheduler.Post(scheduling.AttemptSilent{
		Call:    x.id,
		Silence: t.silence,
		For:     now.Sub(x.lastSentAt()),
	})
}

// lastSentAt returns when the caller got something last, or when the call arrived.
func (x *exchange) lastSentAt() time.Time {
	if x.answer.isBegun() {
		return x.stream.lastEventAt
	}
	return x.arrivedAt
}

// endSilence tells the scheduler that the attempt has gone on, if it was silent.
func (t *attempt) endSilence() {
	if t.silence == 0 {
		return
	}
	t.silence = 0
	t.logSilence("progress", "")
	t.exchange.server.Scheduler.Post(scheduling.AttemptProgressed{Call: t.exchange.id})
}

// isGivenUp reports whether the scheduler has decided to give up the silent attempt. Another command is kept for the time
// after the attempt.
func (t *attempt) isGivenUp() bool {
	x := t.exchange
	for {
		select {
		case command := <-x.commands:
			giveUp, ok := command.(scheduling.GiveUp)
			if !ok {
				x.nextCommand = command
				return false
			}
			if t.silence != 0 && giveUp.Silence == t.silence {
				t.logSilence("givenUp", giveUp.PlaceAt.ID)
				return true
			}
		default:
			return false
		}
	}
}

// recordEnd records that a silent attempt has ended without being given up.
func (t *attempt) recordEnd(outcome scheduling.Outcome) {
	if _, isGivenUp := outcome.(scheduling.Silent); t.silence != 0 && !isGivenUp {
		t.logSilence("ended", "")
	}
}

// logSilence records how a silence has ended.
func (t *attempt) logSilence(end, placeAt string) {
	x := t.exchange
	x.server.Meter.RecordSilence(end)
	x.server.Trail.Failure("attemptSilent").Text("request", x.requestInfo.RequestID).Text("endpoint", t.endpointID).
		Int("events", int64(x.stream.attemptEvents)).Text("end", end).Text("placeAt", placeAt).
		Millis("silent", time.Since(t.silentSince)).Millis("timeLeft", time.Until(x.deadline)).Text("throughHost", t.throughHost).End()
}
