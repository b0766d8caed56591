package opaque

import (
	"bytes"
	"time"

	"cactuswell/core/irregularity"
	"cactuswell/core/resumption"
	"cactuswell/core/scheduling"
	"cactuswell/core/wholeness"
	"cactuswell/io/upstream"
)

const (
	// holdGaps is the number of usual gaps for which events are held back, so that enough events can follow. minHoldTime and
	// maxHoldTime bound the time: events that come without gaps are followed by the end of their connection at once, but for the
	// delays of the network and of this host.
	holdGaps    = 6
	minHoldTime = 100 * time.Millisecond
	maxHoldTime = 250 * time.Millisecond
	// maxHeldBytes bounds the blocks that are held back.
	maxHeldBytes = 64 << 10
)

// holdEnd is how the blocks of a stream that were held back have ended.
type holdEnd string

const (
	// holdProven means that events without a sign have followed.
	holdProven holdEnd = "proven"
	// holdOverdue means that the time was over, and holdFull that the bytes were too many.
	holdOverdue holdEnd = "overdue"
	holdFull    holdEnd = "full"
	// holdWhole means that the stream has ended in order.
	holdWhole holdEnd = "whole"
	// holdDropped means that the attempt has ended before.
	holdDropped holdEnd = "dropped"
)

// OddEndError reports a stream without a length that has ended with its connection, and of which a line is no field and no
// comment: what follows such a line may be of another response, and so may the end.
type OddEndError struct{}

// Error returns a message.
func (*OddEndError) Error() string {
	return "the stream ends with its connection behind a line that is no field"
}

// streamBlock is an event of a stream, or padding.
type streamBlock struct {
	text    []byte
	isEvent bool
	id      int64
	hasID   bool
}

// heldBlocks are the blocks of an attempt that are held back, as they may be of another response.
type heldBlocks struct {
	blocks []streamBlock
	bytes  int
	// last is the position behind the last of them that has an ID.
	last resumption.Position
	// since is when the first one had arrived, and until when the last moment at which all are delivered. Until is zero if
	// none is held back.
	since, until time.Time
	// sign is the one that they are held back for, or the last such one, and signAfter the ID of the event before it.
	sign      irregularity.Sign
	signAfter int64
	// outcome is that of a delivery while the next block was waited for, or nil.
	outcome scheduling.Outcome
}

// isWatched reports whether signs matter: the stream may be resumed, or only its end shows that it is whole.
func (t *attempt) isWatched() bool {
	return t.exchange.route.Resumable || !upstream.IsFramed(t.response)
}

// observe looks for a sign of another response in a block.
func (t *attempt) observe(block irregularity.Block) {
	if !t.isWatched() {
		return
	}
	x := t.exchange
	after := t.lastPosition().ID
	sign := t.watch.Observe(block)
	if sign != irregularity.None {
		x.server.Meter.RecordSign(sign)
		if len(t.held.blocks) == 0 {
			t.held.sign = sign
			t.held.signAfter = after
		}
	}
	if !x.route.Resumable || x.answer.isBegun() && !x.stream.tail.IsResumable() {
		t.watch.EndHold()
	}
}

// lastPosition returns the position behind the last event that the caller has or that is held back.
func (t *attempt) lastPosition() resumption.Position {
	if t.held.last.HasID {
		return t.held.last
	}
	return t.exchange.stream.position()
}

// deliverOrHold delivers an event, or holds it back.
func (t *attempt) deliverOrHold(event streamBlock) scheduling.Outcome {
	if t.watch.IsHolding() {
		return t.holdBack(event)
	}
	if outcome := t.deliverHeld(holdProven); outcome != nil {
		return outcome
	}
	return t.deliver(event)
}

// holdBack holds back a block, and the padding before it.
func (t *attempt) holdBack(block streamBlock) scheduling.Outcome {
	h := &t.held
	if len(h.blocks) == 0 {
		h.since = time.Now()
	}
	if len(t.padding) > 0 {
		h.add(streamBlock{text: t.padding})
		t.padding = nil
	}
	h.add(block)
	if h.bytes > maxHeldBytes {
		return t.deliverHeld(holdFull)
	}
	if until := h.since.Add(t.watch.HoldTime(t.holdLimit())); !until.Equal(h.until) {
		h.until = until
		t.setReadLimit()
	}
	return nil
}

// add adds a block. Padding is joined to that before it, as there may be thousands of lines.
func (h *heldBlocks) add(block streamBlock) {
	h.bytes += len(block.text)
	if last := len(h.blocks) - 1; !block.isEvent && last >= 0 && !h.blocks[last].isEvent {
		h.blocks[last].text = append(h.blocks[last].text, block.text...)
		return
	}
	if block.hasID {
		h.last = resumption.Position{
			ID:    block.id,
			HasID: true,
		}
	}
	block.text = bytes.Clone(block.text)
	h.blocks = append(h.blocks, block)
}

// holdLimit returns for how long events may be held back.
func (t *attempt) holdLimit() time.Duration {
	return min(max(holdGaps*t.exchange.stream.usualGap(), minHoldTime), maxHoldTime)
}

// deliverHeld delivers the blocks that are held back.
func (t *attempt) deliverHeld(end holdEnd) scheduling.Outcome {
	t.watch.EndHold()
	for _, block := range t.endHold(end) {
		if outcome := t.deliverBlock(block); outcome != nil {
			return outcome
		}
	}
	return nil
}

// deliverBlock delivers a block that was held back. Padding does not begin the answer.
func (t *attempt) deliverBlock(block streamBlock) scheduling.Outcome {
	switch {
	case block.isEvent:
		return t.deliver(block)
	case !t.exchange.answer.isBegun():
		t.padding = append(t.padding, block.text...)
		return nil
	}
	return t.writeEvent(block.text)
}

// dropHeld drops the blocks that are held back, as the attempt has ended.
func (t *attempt) dropHeld() {
	t.forwardedBytes -= int64(t.held.bytes)
	t.endHold(holdDropped)
}

// endHold records how the blocks have ended, and returns them.
func (t *attempt) endHold(end holdEnd) []streamBlock {
	h := &t.held
	blocks := h.blocks
	if len(blocks) == 0 {
		return nil
	}
	x := t.exchange
	x.server.Meter.RecordHold(h.sign, string(end))
	x.server.Trail.Failure("eventsHeld").Text("request", x.requestInfo.RequestID).Text("endpoint", t.endpointID).
		Text("sign", string(h.sign)).Int("signAfter", h.signAfter).Int("lastEvent", x.stream.lastID).Int("blocks", int64(len(blocks))).Text("end", string(end)).
		Millis("held", time.Since(h.since)).Millis("usualGap", x.stream.usualGap()).Text("throughHost", t.throughHost).End()
	h.blocks = nil
	h.bytes = 0
	h.last = resumption.Position{}
	h.until = time.Time{}
	return blocks
}

// endStream returns the proof that the stream, which was read to its end, is whole.
func (t *attempt) endStream() (wholeness.Whole, error) {
	if !upstream.IsFramed(t.response) && t.watch.HasOddEnd() {
		return nil, &OddEndError{}
	}
	return t.endBody()
}
