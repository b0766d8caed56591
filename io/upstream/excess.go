package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"cactuswell/io/httphead"
)

const (
	// maxHeadBytes bounds the header of a response with the interim responses before
	// it, and maxHeadLines the number of its lines. The parsed form of a line takes
	// many times the size of a short line.
	maxHeadBytes = 32 << 10
	maxHeadLines = 256
)

// Part is a part of a response that has a bound.
type Part string

// The parts of a response.
const (
	PartHead Part = "head"
	// PartInterim is the responses with a status below 200 that precede the response.
	PartInterim Part = "interimResponses"
	// PartFraming is the chunk sizes, chunk extensions and trailers of a body.
	PartFraming Part = "framing"
	PartBody    Part = "body"
	// PartAfterBody is what follows the end of the body.
	PartAfterBody Part = "afterBody"
	PartEvent     Part = "event"
	// PartPadding is the comments and blank events between two events of a stream.
	PartPadding Part = "padding"
	// PartLateResponse is a response to an earlier request on the connection.
	PartLateResponse Part = "lateResponse"
	// PartUnprovenRefusal is a refusal that may be that of another attempt.
	PartUnprovenRefusal Part = "unprovenRefusal"
)

// ExcessError reports a response of which a part exceeds its bound.
type ExcessError struct {
	Part Part
	// Limit is the bound in bytes, or zero if it is another one.
	Limit int64
	// Err is the parser's error, if it found the excess.
	Err error
}

// Error returns a message with the part and the bound.
func (e *ExcessError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("the %s of the response is malformed or too long: %v", e.Part, e.Err)
	}
	return fmt.Sprintf("the %s of the response exceeds %d bytes", e.Part, e.Limit)
}

// Unwrap returns the parser's error, if it found the excess.
func (e *ExcessError) Unwrap() error { return e.Err }

// ExcessPart returns the part of the response that caused an error, or "" if it was
// something else.
func ExcessPart(err error) Part {
	var excess *ExcessError
	if errors.As(err, &excess) {
		return excess.Part
	}
	return ""
}

// headLimiter is the reader of a connection. It bounds what is read while a header is
// expected.
type headLimiter struct {
	reader io.Reader
	inHead bool
	part   Part
	bytes  int
	lines  int
	// raw holds the bytes since keep: the header, and what has arrived with it.
	raw []byte
	// spare is the memory of the last watch.
	spare []byte
	// watch watches the body of the current response, or is nil.
	watch *bodyWatch
	// err is the error of the last read. Parsers may hide it behind an error about the
	// incomplete line.
	err error
}

// begin starts a header.
func (l *headLimiter) begin() {
	l.inHead = true
	l.part = PartHead
	l.bytes = 0
	l.lines = 0
	l.err = nil
	if l.watch != nil {
		l.spare = l.watch.pending[:0]
		l.watch = nil
	}
}

// takePending returns memory for the bytes that a watch keeps, which the last one has left.
func (l *headLimiter) takePending() []byte {
	spare := l.spare
	l.spare = nil
	return spare
}

// keep begins to keep the bytes of a header, of which some have been read already.
func (l *headLimiter) keep(read []byte) { l.raw = bytes.Clone(read) }

// end ends the header.
func (l *headLimiter) end() {
	l.inHead = false
	l.raw = nil
}

// Read implements io.Reader. All bytes before a further read belong to the header, since
// it would be complete otherwise.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.inHead && l.err != nil {
		// Parsers may read again after an error, and a connection reports a reset only once.
		return 0, l.err
	}
	if l.inHead && (l.bytes >= maxHeadBytes || l.lines > maxHeadLines) {
		l.err = &ExcessError{
			Part:  l.part,
			Limit: maxHeadBytes,
		}
		return 0, l.err
	}
	n, err := l.reader.Read(p)
	if l.inHead {
		l.bytes += n
		l.raw = append(l.raw, p[:n]...)
		l.lines += bytes.Count(p[:n], []byte{'\n'})
	}
	if l.watch != nil {
		l.watch.arrive(p[:n], len(p) > readBufferSize)
	}
	l.err = err
	return n, err
}

// cause returns the error of the connection, if there is one, in place of the parser's.
func (l *headLimiter) cause(err error) error {
	if l.err == nil || errors.Is(l.err, io.EOF) {
		return err
	}
	return l.err
}

// framedBody is the body of a response in chunks. Its errors tell damaged or excessive
// framing, with the trailer, from errors of the connection.
type framedBody struct {
	io.ReadCloser
	response *http.Response
	head     *headLimiter
}

// Read implements io.Reader.
func (b *framedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		// The trailer has been read with the end.
		if fieldsErr := httphead.CheckFields(b.response.Trailer); fieldsErr != nil {
			return n, &ExcessError{
				Part: PartFraming,
				Err:  fieldsErr,
			}
		}
	}
	switch {
	case err == nil || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return n, err
	case b.head.err != nil:
		return n, b.head.cause(io.ErrUnexpectedEOF)
	}
	return n, &ExcessError{
		Part: PartFraming,
		Err:  err,
	}
}
