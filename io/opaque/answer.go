package opaque

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"time"

	"cactuswell/core/wholeness"
)

// answer is the response to one call, as far as the caller has got it. Nothing else writes to the caller. A body is begun once
// and written by the attempt that has begun it; another attempt can only continue with events. An answer that is begun and not
// ended is broken off when the handler ends, and it is ended only with the proof that it is whole.
type answer struct {
	writer http.ResponseWriter
	state  answerState
	// events may write the next event, if the answer is a stream.
	events *answerEvents
}

// answerState is how far an answer has got.
type answerState int

const (
	answerNotBegun answerState = iota
	answerBodyBegun
	answerEventsBegun
	answerEnded
)

// answerHead is the head of an answer.
type answerHead struct {
	status int
	header http.Header
	// length is the length of the body in bytes, or negative if it is not told.
	length int64
}

// AnswerBegunError reports that an attempt was about to write to an answer that another attempt has begun.
type AnswerBegunError struct{}

// Error returns a message.
func (*AnswerBegunError) Error() string { return "another attempt has begun to answer the call" }

// UnprovenEndError reports that an answer was to be ended without the proof that it is whole.
type UnprovenEndError struct {
	// Err is what speaks against it, if anything does.
	Err error
}

// Error returns a message with what speaks against the end.
func (e *UnprovenEndError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("nothing proves that the answer is whole: %v", e.Err)
	}
	return "nothing proves that the answer is whole"
}

// Unwrap returns what speaks against the end, or nil.
func (e *UnprovenEndError) Unwrap() error { return e.Err }

// isBegun reports whether the caller has got a status.
func (a *answer) isBegun() bool { return a.state != answerNotBegun }

// isOpen reports whether a further attempt may write to the answer.
func (a *answer) isOpen() bool { return a.state == answerNotBegun || a.state == answerEventsBegun }

// begin sends the status and the header.
func (a *answer) begin(head answerHead, state answerState) error {
	if a.isBegun() {
		return &AnswerBegunError{}
	}
	header := a.writer.Header()
	maps.Copy(header, head.header)
	if header.Get("Content-Type") == "" {
		// An explicit nil prevents the server from detecting a type.
		header["Content-Type"] = nil
	}
	if head.length >= 0 {
		header.Set("Content-Length", fmt.Sprint(head.length))
	}
	a.writer.WriteHeader(head.status)
	a.state = state
	return nil
}

// beginBody begins an answer with a body. The error is an *AnswerBegunError.
func (a *answer) beginBody(head answerHead) (*answerBody, error) {
	if err := a.begin(head, answerBodyBegun); err != nil {
		return nil, err
	}
	return &answerBody{
		answer:    a,
		hasLength: head.length >= 0,
	}, nil
}

// beginEvents begins an answer that is a stream. The error is an *AnswerBegunError.
func (a *answer) beginEvents(head answerHead) (*answerEvents, error) {
	if err := a.begin(head, answerEventsBegun); err != nil {
		return nil, err
	}
	return a.continueEvents()
}

// continueEvents lets an attempt write the next events of a stream, and ends the right of the attempt before. The
// error is an *AnswerBegunError.
func (a *answer) continueEvents() (*answerEvents, error) {
	if a.state != answerEventsBegun {
		return nil, &AnswerBegunError{}
	}
	a.events = &answerEvents{
		answer:     a,
		controller: http.NewResponseController(a.writer),
	}
	return a.events, nil
}

// respond sends an answer of this host's own. A write error is ignored: it means that the caller has disconnected.
func (a *answer) respond(head answerHead, text string) error {
	body, err := a.beginBody(head)
	if err != nil {
		return err
	}
	_, _ = io.WriteString(body, text)
	return body.end(wholeness.Own())
}

// limitBody returns a reader of the request's body that ends at a limit, after which the connection is closed.
func (a *answer) limitBody(body io.ReadCloser, limit int64) io.Reader {
	return http.MaxBytesReader(a.writer, body, limit)
}

// setReadDeadline bounds the time to read the request.
func (a *answer) setReadDeadline(deadline time.Time) {
	_ = http.NewResponseController(a.writer).SetReadDeadline(deadline)
}

// answerBody writes the body of an answer.
type answerBody struct {
	answer *answer
	// hasLength is set if the caller knows the length, so that its last byte ends the body. It is held back until the
	// end is proven.
	hasLength bool
	held      []byte
}

// Write implements io.Writer. The error is an *AnswerBegunError after the end.
func (b *answerBody) Write(p []byte) (int, error) {
	if b.answer.state != answerBodyBegun {
		return 0, &AnswerBegunError{}
	}
	if !b.hasLength || len(p) == 0 {
		return b.answer.writer.Write(p)
	}
	if _, err := b.answer.writer.Write(b.held); err != nil {
		return 0, err
	}
	last := len(p) - 1
	b.held = append(b.held[:0], p[last])
	n, err := b.answer.writer.Write(p[:last])
	if err != nil {
		return n, err
	}
	return len(p), nil
}

// end ends the answer. The error is an *UnprovenEndError without a proof, or that of the connection.
func (b *answerBody) end(proof wholeness.Whole) error {
	if proof == nil {
		return &UnprovenEndError{}
	}
	if b.answer.state != answerBodyBegun {
		return &AnswerBegunError{}
	}
	if _, err := b.answer.writer.Write(b.held); err != nil {
		return err
	}
	b.answer.state = answerEnded
	return nil
}

// answerEvents writes the events of one attempt.
type answerEvents struct {
	answer     *answer
	controller *http.ResponseController
}

// write sends an event. The error is an *AnswerBegunError if another attempt has gone on with the stream, or that of the
// connection.
func (e *answerEvents) write(event []byte) error {
	if e.answer.events != e || e.answer.state != answerEventsBegun {
		return &AnswerBegunError{}
	}
	if _, err := e.answer.writer.Write(event); err != nil {
		return err
	}
	return e.controller.Flush()
}

// end ends the stream. The error is an *UnprovenEndError without a proof, or an *AnswerBegunError.
func (e *answerEvents) end(proof wholeness.Whole) error {
	switch {
	case proof == nil:
		return &UnprovenEndError{}
	case e.answer.events != e || e.answer.state != answerEventsBegun:
		return &AnswerBegunError{}
	}
	e.answer.state = answerEnded
	_ = e.controller.SetWriteDeadline(time.Time{})
	return nil
}

// setWriteDeadline bounds the time in which the caller reads the stream.
func (e *answerEvents) setWriteDeadline(deadline time.Time) {
	_ = e.controller.SetWriteDeadline(deadline)
}
