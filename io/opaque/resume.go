package opaque

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"cactuswell/core/irregularity"
	"cactuswell/core/resumption"
	"cactuswell/core/scheduling"
)

// UnmatchedRunError reports an attempt that does not show that the last event that the caller has is a part of the answer.
type UnmatchedRunError struct {
	Finding resumption.Finding
	Doubt   resumption.Doubt
}

// Error returns a message with the finding and the doubt.
func (e *UnmatchedRunError) Error() string {
	return fmt.Sprintf("the last event of the stream is not shown to be of this answer: finding %q, doubt %q", e.Finding, e.Doubt)
}

// beginCheck begins the check of the last events that the caller has, if the attempt is to go on with a stream.
func (t *attempt) beginCheck() {
	x := t.exchange
	if x.answer.isBegun() && x.stream.tail.IsResumable() {
		t.check = x.stream.tail.Resume()
	}
}

// requestedPosition returns the position from which on the endpoint is asked for events.
func (t *attempt) requestedPosition() resumption.Position {
	if t.check != nil {
		return t.check.After()
	}
	return t.exchange.stream.position()
}

// compareEvent compares an event with the one that the caller has, and decides after the last one whether the
// stream goes on.
func (t *attempt) compareEvent(event []byte, id int64, hasID bool) scheduling.Outcome {
	x := t.exchange
	if err := t.check.Compare(event, id, hasID); err != nil {
		return t.readErrorOutcome(err)
	}
	t.postProgress()
	x.stream.recordArrival(time.Now())
	t.awaitNextEvent()
	if t.check.IsOpen() {
		return nil
	}
	if !t.check.Permits() {
		return t.endUnmatched()
	}
	t.logResumption(true)
	if t.check.Finding() == resumption.FindingSame {
		x.stream.tail.Question(resumption.DoubtNone)
	}
	return nil
}

// endUnmatched ends an attempt that must not go on with the stream.
func (t *attempt) endUnmatched() scheduling.Outcome {
	t.logResumption(false)
	t.err = &UnmatchedRunError{
		Finding: t.check.Finding(),
		Doubt:   t.exchange.stream.tail.Doubt(),
	}
	return scheduling.Unmatched{}
}

// logResumption records whether the stream goes on with the attempt, after which event and by what evidence.
func (t *attempt) logResumption(goesOn bool) {
	x := t.exchange
	finding, doubt := t.check.Finding(), x.stream.tail.Doubt()
	x.server.Meter.RecordResumption(finding, doubt, goesOn)
	before := ""
	if x.lastWriter != nil {
		before = x.lastWriter.endpointID
	}
	x.server.Trail.Failure("streamResumed").Text("request", x.requestInfo.RequestID).Text("endpoint", t.endpointID).
		Text("before", before).Int("lastEvent", x.stream.lastID).Int("repeated", int64(t.check.Compared())).
		Text("finding", string(finding)).Text("doubt", string(doubt)).Bool("goesOn", goesOn).
		Millis("gap", time.Since(x.stream.lastEventAt)).Millis("after", time.Since(t.sentAt)).End()
}

// doubt returns what speaks against the last event or padding of the attempt that the caller has, once the attempt has
// ended without the whole answer. A later part of another response may have ended that event.
func (t *attempt) doubt() resumption.Doubt {
	var order *EventOrderError
	isRepeated := errors.As(t.err, &order) && order.Got <= order.Last
	isUnusual := !t.watch.HasBaseline() && len(bytes.TrimRight(t.padding, "\r\n")) > 0
	switch {
	case isRepeated, t.endsWithinEvent, isUnusual, irregularity.HasOddLine(t.padding):
		return resumption.DoubtFollowed
	case t.conn != nil && t.conn.IsDoubtful(t.forwardedBytes):
		return resumption.DoubtFraming
	}
	return resumption.Doubt(t.watch.Doubt())
}
