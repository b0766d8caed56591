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
	t.silentSince = time.Now()
	t.setReadLimit()
}

// setReadLimit bounds the wait for the endpoint's next bytes: by the call's deadline and, if they are earlier, by the deadline of
// the silence and by the time until which blocks are held back.
func (t *attempt) setReadLimit() {
	limit, isExtensible := t.nextReadLimit(t.silenceDeadline)
	if !isExtensible {
		t.conn.SetReadDeadline(limit)
		return
	}
	t.conn.SetExtensibleDeadline(limit, t.extendRead)
}

// nextReadLimit returns the earliest of a deadline, unless it is zero, the call's deadline and the time until which blocks are held
// back. It reports whether it is another than the call's deadline.
func (t *attempt) nextReadLimit(deadline time.Time) (limit time.Time, isExtensible bool) {
	limit = t.exchange.deadline
	for _, earlier := range []time.Time{deadline, t.held.until} {
		if !earlier.IsZero() && earlier.Before(limit) {
			limit = earlier
			isExtensible = true
		}
	}
	return limit, isExtensible
}

// extendRead returns until when the attempt is read on, and false once it has been given up, the call's deadline has passed, or the
// caller has left.
func (t *attempt) extendRead() (time.Time, bool) {
	now := time.Now()
	if until := t.held.until; !until.IsZero() && !now.Before(until) {
		if t.held.outcome = t.deliverHeld(holdOverdue); t.held.outcome != nil {
			return time.Time{}, false
		}
	}
	next := t.silenceDeadline
	switch {
	case !now.Before(t.exchange.deadline):
		return time.Time{}, false
	case !next.IsZero() && !now.Before(next):
		var ok bool
		if next, ok = t.extendSilence(); !ok {
			return time.Time{}, false
		}
	}
	limit, _ := t.nextReadLimit(next)
	return limit, true
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
