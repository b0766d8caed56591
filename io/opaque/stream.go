package opaque

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cactuswell/core/irregularity"
	"cactuswell/core/pace"
	"cactuswell/core/resumption"
	"cactuswell/core/scheduling"
	"cactuswell/core/wholeness"
	"cactuswell/io/upstream"
)

const (
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 256 << 10
	// maxPaddingBytes bounds the comments and blank events between two events.
	maxPaddingBytes = 16 << 10
	// eventStreamType is the media type of streams of events. The response that a caller has got may
	// name none.
	eventStreamType = "text/event-stream"
	// eventBufferSize is the size of the read buffer for events, in bytes.
	eventBufferSize = 4 << 10
)

// stream is the state of the stream that the caller receives.
type stream struct {
	// lastID is the ID of the last event that the caller has, if hasLastID is set.
	lastID    int64
	hasLastID bool
	// tail holds the last events that the caller has, if the stream may be resumed.
	tail        resumption.Tail
	events      int
	lastEventAt time.Time
	longestGap  time.Duration
	// status and mediaType are those of the response that the caller gets.
	status    int
	mediaType string
	// attemptEvents, lastArrivalAt and pace are those of the attempt in progress, with the events that it repeats.
	attemptEvents int
	lastArrivalAt time.Time
	pace          pace.EventGaps
}

func (s *stream) startAttempt() {
	s.attemptEvents = 0
	s.pace = pace.EventGaps{}
}

// usualGap returns the usual gap between events in the current attempt, or zero if
// it is not known.
func (s *stream) usualGap() time.Duration {
	usual, _ := s.pace.LowerQuartile()
	return usual
}

// position returns where the stream goes on.
func (s *stream) position() resumption.Position {
	return resumption.Position{
		ID:    s.lastID,
		HasID: s.hasLastID,
	}
}

// recordArrival records that an event of the attempt has arrived.
func (s *stream) recordArrival(now time.Time) {
	if s.attemptEvents > 0 {
		s.pace.Record(now.Sub(s.lastArrivalAt))
	}
	s.lastArrivalAt = now
	s.attemptEvents++
}

// recordEvent records an event that was sent to the caller.
func (s *stream) recordEvent(now time.Time, id int64, hasID bool) {
	if hasID {
		s.lastID = id
		s.hasLastID = true
	}
	if s.events > 0 {
		s.longestGap = max(s.longestGap, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	s.events++
}

// EventOrderError reports an event whose ID does not follow that of the event before
// it.
type EventOrderError struct {
	Last int64
	Got  int64
}

// Error returns a message with both IDs.
func (e *EventOrderError) Error() string {
	return fmt.Sprintf("event %d came after event %d", e.Got, e.Last)
}

// DifferentResponseError reports a response that is to continue a stream, but is no part of it: it has
// another status or another type than the response that the caller has got.
type DifferentResponseError struct {
	Status    int
	MediaType string
}

// Error names the status and the type.
func (e *DifferentResponseError) Error() string {
	return fmt.Sprintf("the answer with status %d and type %q does not continue the stream", e.Status, e.MediaType)
}

// mediaTypeOf returns the type of a response without its parameters.
func mediaTypeOf(response *http.Response) string {
	name, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// checkContinuation returns an error if a response does not continue the stream that the caller has
// begun to get.
func (x *exchange) checkContinuation(response *http.Response) error {
	mediaType := mediaTypeOf(response)
	isOfKind := mediaType == x.stream.mediaType || mediaType == eventStreamType
	if !x.answer.isBegun() || response.StatusCode == x.stream.status && isOfKind {
		return nil
	}
	return &DifferentResponseError{
		Status:    response.StatusCode,
		MediaType: mediaType,
	}
}

// forwardStream forwards each event to the caller once it was received completely.
func (t *attempt) forwardStream() scheduling.Outcome {
	x := t.exchange
	if err := x.checkContinuation(t.response); err != nil {
		return t.readErrorOutcome(err)
	}
	reader := bufio.NewReaderSize(t.response.Body, eventBufferSize)
	if x.answer.isBegun() {
		var err error
		if t.events, err = x.answer.continueEvents(); err != nil {
			return t.readErrorOutcome(err)
		}
	}
	event := buffer{budget: &x.server.responseMemory}
	defer event.release()
	for {
		err := readEvent(reader, &event)
		if t.held.outcome != nil {
			return t.held.outcome
		}
		t.forwardedBytes = t.bodyBytes
		t.bodyBytes += int64(len(event.bytes))
		if errors.Is(err, io.EOF) && len(event.bytes) == 0 {
			return t.finishStream()
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				t.endsWithinEvent = upstream.IsFramed(t.response)
				err = io.ErrUnexpectedEOF
			}
			return t.readErrorOutcome(err)
		}
		if t.bodyBytes > x.server.ResponseLimit {
			return t.excess(upstream.PartBody, x.server.ResponseLimit)
		}
		if err := errors.Join(t.conn.SplicedBody(), wholeness.CheckEvent(event.bytes)); err != nil {
			return t.readErrorOutcome(err)
		}
		if outcome := t.forwardBlock(event.bytes, reader); outcome != nil {
			return outcome
		}
	}
}

// forwardBlock forwards an event or padding.
func (t *attempt) forwardBlock(text []byte, reader *bufio.Reader) scheduling.Outcome {
	block := irregularity.Block{
		Text:     text,
		IsEvent:  !isPadding(text),
		At:       time.Now(),
		UsualGap: t.exchange.stream.usualGap(),
	}
	if !block.IsEvent {
		return t.forwardPadding(block)
	}
	block.IsFollowed = hasEvent(reader)
	return t.forwardEvent(block)
}

// forwardPadding forwards a comment. It is no progress: it does not
// extend the time in which the next event is due. Before the first event it is kept, so
// that the call can be sent to another endpoint. Blank events and other lines without data are kept until the next event, as
// they may be the end of another answer's event.
func (t *attempt) forwardPadding(block irregularity.Block) scheduling.Outcome {
	padding := block.Text
	t.paddingBytes += len(padding)
	if t.paddingBytes > maxPaddingBytes {
		return t.excess(upstream.PartPadding, maxPaddingBytes)
	}
	if t.check != nil && t.check.IsOpen() {
		t.watch.Learn(block)
		return nil
	}
	t.observe(block)
	switch {
	case t.watch.IsHolding():
		return t.holdBack(streamBlock{text: padding})
	case !t.exchange.answer.isBegun(), len(t.padding) > 0, !isComment(padding):
		t.padding = append(t.padding, padding...)
		return nil
	}
	return t.writeEvent(padding)
}

// forwardEvent forwards an event that follows the last one of the stream, or holds it back.
func (t *attempt) forwardEvent(block irregularity.Block) scheduling.Outcome {
	x := t.exchange
	x.recordExecution()
	event := streamBlock{
		text:    block.Text,
		isEvent: true,
	}
	event.id, event.hasID = parseEventID(block.Text)
	if t.check != nil && t.check.IsOpen() {
		t.watch.Learn(block)
		return t.compareEvent(block.Text, event.id, event.hasID)
	}
	last := t.lastPosition()
	t.observe(block)
	if err := checkOrder(last, event); err != nil {
		return t.readErrorOutcome(err)
	}
	t.postProgress()
	t.paddingBytes = 0
	x.stream.recordArrival(block.At)
	if outcome := t.deliverOrHold(event); outcome != nil {
		return outcome
	}
	t.awaitNextEvent()
	return nil
}

// deliver sends an event to the caller, with the padding before it.
func (t *attempt) deliver(event streamBlock) scheduling.Outcome {
	x := t.exchange
	if outcome := t.ensureBegun(); outcome != nil {
		return outcome
	}
	if x.route.Resumable {
		x.stream.tail.Add(event.text, event.id, event.hasID, x.stream.position())
	}
	text := event.text
	if len(t.padding) > 0 {
		text = append(t.padding, text...)
		t.padding = nil
	}
	t.recordWriter()
	if outcome := t.writeEvent(text); outcome != nil {
		return outcome
	}
	x.stream.recordEvent(time.Now(), event.id, event.hasID)
	return nil
}

// postProgress tells the scheduler of the first event of the attempt and of the second one.
func (t *attempt) postProgress() {
	x := t.exchange
	switch {
	case x.stream.attemptEvents == 0:
		x.server.Scheduler.Post(scheduling.AnswerStarted{
			Call:  x.id,
			Load:  t.responseInfo.Load,
			Limit: t.responseInfo.Limit,
		})
	case x.stream.attemptEvents == 1 && len(x.requestInfo.PromptParts) > 1:
		x.server.Scheduler.Post(scheduling.AnswerContinued{Call: x.id})
	}
}

// awaitNextEvent bounds the wait for the next event.
func (t *attempt) awaitNextEvent() {
	if limit := t.exchange.currentSend.EventGapTimeout; limit > 0 || !t.silenceDeadline.IsZero() {
		t.awaitProgress(t.silenceDeadlineAfter(limit))
	}
}

// finishStream handles the regular end of the endpoint's stream. A stream without framing that
// ends before its first event has been broken off: its end does not differ from that of a
// complete one.
func (t *attempt) finishStream() scheduling.Outcome {
	x := t.exchange
	switch {
	case x.stream.attemptEvents == 0 && !upstream.IsFramed(t.response):
		return t.readErrorOutcome(io.ErrUnexpectedEOF)
	case t.check != nil && t.check.IsOpen():
		return t.endUnmatched()
	}
	t.isForwardedInParts = true
	proof, err := t.endStream()
	if err != nil {
		return t.readErrorOutcome(err)
	}
	if outcome := t.deliverHeld(holdWhole); outcome != nil {
		return outcome
	}
	if !x.answer.isBegun() {
		t.recordWriter()
		if outcome := t.beginEvents(); outcome != nil {
			return outcome
		}
	}
	if len(t.padding) > 0 {
		if outcome := t.writeEvent(t.padding); outcome != nil {
			return outcome
		}
	}
	return t.endAnswer(t.events, proof)
}

// ensureBegun begins the caller's stream if its first event is about to be delivered.
func (t *attempt) ensureBegun() scheduling.Outcome {
	x := t.exchange
	if x.answer.isBegun() {
		return nil
	}
	if !x.awaitRecord() {
		return scheduling.Unrecorded{}
	}
	x.firstEventAt = time.Now()
	if outcome := t.beginEvents(); outcome != nil {
		return outcome
	}
	// Not before: if no event comes in time, the caller gets a response of this host's own after
	// the deadline.
	t.events.setWriteDeadline(x.deadline)
	return nil
}

// beginEvents begins the caller's stream.
func (t *attempt) beginEvents() scheduling.Outcome {
	x := t.exchange
	var err error
	if t.events, err = x.answer.beginEvents(x.headOf(t.response, false, 0)); err != nil {
		return t.readErrorOutcome(err)
	}
	x.stream.status = t.response.StatusCode
	x.stream.mediaType = mediaTypeOf(t.response)
	return nil
}

// writeEvent sends an event to the caller.
func (t *attempt) writeEvent(event []byte) scheduling.Outcome {
	t.hasWritten = true
	if err := t.events.write(event); err != nil {
		t.err = err
		return scheduling.Abandoned{}
	}
	return nil
}

// checkOrder returns an error if an event does not directly follow a position.
func checkOrder(last resumption.Position, event streamBlock) error {
	if event.hasID && last.HasID && event.id != last.ID+1 {
		return &EventOrderError{
			Last: last.ID,
			Got:  event.id,
		}
	}
	return nil
}

// readEvent reads the next event, including the empty line that ends it.
func readEvent(reader *bufio.Reader, event *buffer) error {
	event.bytes = event.bytes[:0]
	for {
		line, err := reader.ReadSlice('\n')
		if len(event.bytes)+len(line) > maxEventBytes {
			return &upstream.ExcessError{
				Part:  upstream.PartEvent,
				Limit: maxEventBytes,
			}
		}
		if !event.grow(len(line), maxEventBytes) {
			return &BufferMemoryError{}
		}
		event.bytes = append(event.bytes, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil:
			return err
		case len(line) == 1 || len(line) == 2 && line[0] == '\r':
			return nil
		}
	}
}

// isPadding reports whether an event has neither an ID nor data.
func isPadding(event []byte) bool {
	for line := range bytes.Lines(event) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if len(bytes.TrimSpace(value)) > 0 && (string(name) == "data" || string(name) == "id") {
			return false
		}
	}
	return true
}

// hasEvent reports whether a whole event has arrived at a reader.
func hasEvent(reader *bufio.Reader) bool {
	arrived, _ := reader.Peek(reader.Buffered())
	start := 0
	for end := 0; end < len(arrived); {
		line, rest, ok := bytes.Cut(arrived[end:], []byte("\n"))
		if !ok {
			return false
		}
		end = len(arrived) - len(rest)
		if len(bytes.TrimRight(line, "\r")) > 0 {
			continue
		}
		if !isPadding(arrived[start:end]) {
			return true
		}
		start = end
	}
	return false
}

// isComment reports whether an event without an ID and data consists of comments.
func isComment(padding []byte) bool {
	for line := range bytes.Lines(padding) {
		if line[0] != ':' && len(bytes.TrimRight(line, "\r\n")) > 0 {
			return false
		}
	}
	return padding[0] == ':'
}

// parseEventID returns the ID of an event. It reports false if the event has none
// or if it is not an integer.
func parseEventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
