// Package irregularity finds the events of a stream that may be those of another response: they differ from the ones before
// them as a piece of another response does.
//
// A faulty endpoint may stop within its response and go on with bytes of another one. Nothing says where that begins. What a
// response shows of itself is how its events look and when they come: the lines between them, their fields, what their data has in
// common, and the pace at which they are generated. A block of lines that departs from that is a sign, which is no proof. The block
// is therefore held back, with what comes after it, until it is followed by events without a sign. If the stream breaks off
// before, none of it has been delivered, and the stream goes on from there at another endpoint.
//
// A sign also casts doubt upon what was delivered if the foreign bytes may have begun within the event before, or if the blocks
// were not held back for long enough.
//
// # Usage
//
//	var watch irregularity.Watch
//	sign := watch.Observe(block)
//	if watch.IsHolding() {
//		// Keep the block. After watch.HoldTime(limit) of holding call watch.EndHold, and deliver what is kept.
//	}
//	...
//	if sign := watch.Doubt(); sign != irregularity.None {
//		// The stream has broken off, and its last events may be those of another response.
//	}
//
// Load: one watch for each attempt at a stream that may be resumed. Its memory does not grow with the stream.
package irregularity

import (
	"bytes"
	"time"
)

const (
	// minEvents is the number of events that show how the events of a response look.
	minEvents = 2
	// heldEvents is the number of events that must follow a sign before it is delivered. It is also enough to prove padding, which
	// sound endpoints send in pauses, and early events, as a burst of another response is over then. Nothing is doubtful any more
	// behind provenEvents, but for odd lines.
	heldEvents   = 3
	provenEvents = 8
	// lineHoldTime bounds the time for which events behind an odd line are held back. Sound servers send none.
	lineHoldTime = time.Second
)

// Sign is in what a block of lines departs from those before it.
type Sign string

// The signs.
const (
	None Sign = ""
	// OddLine is a line that is no field and no comment, or an ID that is no number behind others that are.
	OddLine Sign = "oddLine"
	// Padding is a comment, a blank event or other lines without data where most events so far had none before them.
	Padding Sign = "padding"
	// Form is an event with other fields, or other line breaks, than the ones so far.
	Form Sign = "form"
	// Opening is an event whose data does not begin as that of all events so far.
	Opening Sign = "opening"
	// Early is an event that came sooner than the endpoint generates events.
	Early Sign = "early"
)

// Block is a block of lines of a stream, with the blank line that ends it.
type Block struct {
	Text []byte
	// IsEvent is set if the block has an ID or data.
	IsEvent bool
	// At is when the block had arrived.
	At time.Time
	// IsFollowed is set if a whole event behind the block had arrived with it.
	IsFollowed bool
	// UsualGap is the usual gap between two events of the response, or zero if it is not known.
	UsualGap time.Duration
}

// Watch follows the blocks of a response. The zero value has seen none. It is not safe for concurrent use.
type Watch struct {
	lines   lines
	opening opening
	timing  timing
	events  int

	// sign is the last one, followed the number of events without a sign since, and proven the number that proves what came before.
	sign     Sign
	followed int
	proven   int
	// isHolding is set while what follows the sign is held back. HasDelivered is set once some of it was delivered although
	// fewer than provenEvents have followed.
	isHolding    bool
	hasDelivered bool
	// reachesBack is set if the event before the sign may hold bytes of another response, too.
	reachesBack bool
	// hasOddLine is set for good once there was an odd line, and hasDeliveredOddLine once what follows it was delivered.
	hasOddLine          bool
	hasDeliveredOddLine bool
	// hasOddEnd is set for good once an odd line came behind an event.
	hasOddEnd bool
}

// Learn takes a block of the response that is known to be its own.
func (w *Watch) Learn(block Block) {
	w.compare(block)
}

// Observe takes the next block, and returns the sign of it.
func (w *Watch) Observe(block Block) Sign {
	eventsBefore := w.events
	sign, reachesBack := w.compare(block)
	switch {
	case sign != None:
		w.begin(sign, reachesBack, eventsBefore)
	case block.IsEvent && w.sign != None:
		w.followed++
		w.settle()
	}
	return sign
}

// compare returns the sign of a block, and whether it reaches back to the event before.
func (w *Watch) compare(block Block) (sign Sign, reachesBack bool) {
	look := w.lines.look(block, w.events)
	if !block.IsEvent {
		return look, look != None && endsInCRLF(block.Text)
	}
	w.events++
	departs := w.opening.departs(block.Text)
	isEarly := w.timing.isEarly(block, w.events)
	// The first one of a burst comes a gap after the event before, which is no part of the burst.
	beginsBurst := isEarly && block.IsFollowed
	switch {
	case look == OddLine:
		return OddLine, bytes.Contains(block.Text, []byte("\r\n"))
	case look == Form:
		// Had foreign bytes begun before, this would be a whole event.
		return Form, false
	case departs:
		return Opening, !beginsBurst
	case isEarly:
		return Early, !beginsBurst
	}
	return None, false
}

// begin begins to hold back what arrives.
func (w *Watch) begin(sign Sign, reachesBack bool, eventsBefore int) {
	if !w.isHolding {
		// What was delivered behind an earlier sign remains doubtful.
		w.reachesBack = w.reachesBack || reachesBack
	}
	if sign == OddLine {
		w.hasOddLine = true
		w.hasOddEnd = w.hasOddEnd || eventsBefore > 0
	}
	switch sign {
	case Padding, Early:
		w.proven = max(w.proven, heldEvents)
	default:
		w.proven = provenEvents
	}
	w.sign = sign
	w.followed = 0
	w.isHolding = true
}

// settle ends what enough events have followed.
func (w *Watch) settle() {
	held := heldEvents
	if w.hasOddLine {
		held = provenEvents
	}
	if w.followed >= held {
		w.EndHold()
	}
	if w.followed >= w.proven {
		w.lines.accept()
		w.sign = None
		w.proven = 0
		w.hasDelivered = false
		w.reachesBack = false
	}
}

// IsHolding reports whether what has arrived last, and what arrives, is held back.
func (w *Watch) IsHolding() bool { return w.isHolding }

// HoldTime returns the longest time for which blocks are held back: a limit, or more behind an odd line.
func (w *Watch) HoldTime(limit time.Duration) time.Duration {
	if w.hasOddLine {
		return lineHoldTime
	}
	return limit
}

// EndHold records that what was held back is delivered.
func (w *Watch) EndHold() {
	if !w.isHolding {
		return
	}
	w.isHolding = false
	w.hasDelivered = true
	w.hasDeliveredOddLine = w.hasOddLine
}

// Doubt returns the sign that speaks against the last events that were delivered, or None.
func (w *Watch) Doubt() Sign {
	switch {
	case w.hasDeliveredOddLine:
		return OddLine
	case w.hasDelivered, w.reachesBack:
		return w.sign
	}
	return None
}

// HasOddEnd reports whether the end of the response does not show that it is whole, if it has no framing: odd lines came behind an
// event, and most events before them had none.
func (w *Watch) HasOddEnd() bool { return w.hasOddEnd }

// HasBaseline reports whether enough events have come to tell what is usual.
func (w *Watch) HasBaseline() bool { return w.events >= minEvents }
