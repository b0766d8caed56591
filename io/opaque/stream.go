package opaque

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"cactuswell/core/pace"
	"cactuswell/core/scheduling"
)

const (
	// maxEvent bounds one event of a stream.
	maxEvent = 256 << 10
	// eventBuffer is the size of the buffer from which events are read.
	eventBuffer = 4 << 10
)

// stream is what the caller has of a stream.
type stream struct {
	// last is the id of the last event that the caller has, if hasLast is set.
	last    int64
	hasLast bool
	events  int
	lastAt  time.Time
	gap     time.Duration
	// attemptEvents and pace are those of the attempt under way.
	attemptEvents int
	pace          pace.EventGaps
}

func (s *stream) begin() {
	s.attemptEvents = 0
	s.pace = pace.EventGaps{}
}

// usualPause returns the pace of the attempt under way, or zero.
func (s *stream) usualPause() time.Duration {
	usual, _ := s.pace.LowerQuartile()
	return usual
}

// pass notes an event that went to the caller.
func (s *stream) pass(now time.Time, id int64, hasID bool) {
	if hasID {
		s.last = id
		s.hasLast = true
	}
	if s.events > 0 {
		s.gap = max(s.gap, now.Sub(s.lastAt))
	}
	if s.attemptEvents > 0 {
		s.pace.Record(now.Sub(s.lastAt))
	}
	s.lastAt = now
	s.events++
	s.attemptEvents++
}

// EventOrderError is an event whose id does not follow the one before it.
type EventOrderError struct {
	Last int64
	Got  int64
}

// Error names both ids.
func (e *EventOrderError) Error() string {
	return fmt.Sprintf("event %d came after event %d", e.Got, e.Last)
}

// EventTooLargeError is an event over the bound.
type EventTooLargeError struct{}

// Error says so.
func (*EventTooLargeError) Error() string {
	return fmt.Sprintf("an event is larger than %d bytes", maxEvent)
}

// receiveStream passes events on as they come, whole ones only.
func (t *attempt) receiveStream() scheduling.Outcome {
	x := t.exchange
	reader := bufio.NewReaderSize(t.response.Body, eventBuffer)
	controller := http.NewResponseController(x.writer)
	_ = controller.SetWriteDeadline(x.deadline)
	var event []byte
	for {
		var err error
		event, err = readEvent(reader, event[:0])
		if errors.Is(err, io.EOF) && len(event) == 0 {
			return t.endStream(controller)
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return t.readFailed(err)
		}
		id, hasID := eventID(event)
		if err := x.stream.check(id, hasID); err != nil {
			return t.readFailed(err)
		}
		if x.stream.attemptEvents == 0 {
			x.server.Scheduler.Post(scheduling.AnswerStarted{
				Call: x.id,
				Load: t.answer.Load,
			})
		}
		if !x.passEvent(t.response, controller, event) {
			return scheduling.Abandoned{}
		}
		x.stream.pass(time.Now(), id, hasID)
		if t.limit.IsZero() && x.sending.EventGapTimeout == 0 {
			continue
		}
		t.arm(x.sending.EventGapTimeout)
	}
}

// endStream handles the proper end of the endpoint's stream.
func (t *attempt) endStream(controller *http.ResponseController) scheduling.Outcome {
	x := t.exchange
	if !x.committed {
		x.commit(t.response, false, 0)
	}
	_ = controller.SetWriteDeadline(time.Time{})
	return nil
}

// passEvent reports false if the caller is gone.
func (x *exchange) passEvent(response *http.Response, controller *http.ResponseController, event []byte) bool {
	if !x.committed {
		x.firstAt = time.Now()
		x.commit(response, false, 0)
	}
	if _, err := x.writer.Write(event); err != nil {
		return false
	}
	return controller.Flush() == nil
}

// check returns an error if an event does not follow those that the caller has.
func (s *stream) check(id int64, hasID bool) error {
	if hasID && s.hasLast && id != s.last+1 {
		return &EventOrderError{
			Last: s.last,
			Got:  id,
		}
	}
	return nil
}

// readEvent appends the next event, with the empty line that ends it.
func readEvent(reader *bufio.Reader, event []byte) ([]byte, error) {
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
		} else if err == nil && (len(line) == 1 || len(line) == 2 && line[0] == '\r') {
			return event, nil
		}
		if err != nil {
			return event, err
		}
		if len(event) > maxEvent {
			return event, &EventTooLargeError{}
		}
	}
}

// eventID returns the id of an event, if it has a whole number as its id.
func eventID(event []byte) (int64, bool) {
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
