package wholeness

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	// maxHeadBytes bounds the header of a response. A longer one is refused by the parser.
	maxHeadBytes = 32 << 10
	// maxReasonBytes bounds the text after the status in a status line.
	maxReasonBytes = 256
	// maxLength bounds the length of a body in bytes.
	maxLength = 1 << 60
	// minLineBytes is how much of a line of a header is kept at least.
	minLineBytes = 256
)

// The lowest status of a final response, and those of responses without a body.
const (
	statusOK          = 200
	statusNoContent   = 204
	statusNotModified = 304
)

// phase is the part of a response that the next byte belongs to.
type phase int

// The phases.
const (
	inStatusLine phase = iota
	inFields
	inLength
	inChunks
	// untilEnd means that the response ends with the connection.
	untilEnd
	ended
	// malformed means that the bytes are no response.
	malformed
)

// response follows a response that may begin within a body, from the byte after its status on.
type response struct {
	// start is the offset at which it begins, and end the one of its end, which is known in the phases inLength and ended.
	start, end int64
	phase      phase
	status     int
	hasChunks  bool

	// line holds the beginning of the current line of the header.
	line []byte
	// headBytes is the length of the header so far, from the byte after the status on.
	headBytes int
	// hasField is set if the header has a field, and hasHead if it has ended.
	hasField  bool
	hasHead   bool
	hasLength bool
	length    int64
	isChunked bool
	chunks    chunks

	// hasNoEventField is set if the header has a field that events do not have.
	hasNoEventField bool
	// namesRequest is set if the header names the request of the body or an earlier one on the connection, namesAny if it names any request, and hasMark if it
	// has the mark field.
	namesRequest, namesAny, hasMark bool
}

// newResponse returns the response that begins at an offset.
func newResponse(start int64, line startOfStatusLine) *response {
	return &response{
		start:     start,
		status:    line.status(),
		hasChunks: line.hasChunks(),
	}
}

// hasEnded reports whether no further byte belongs to the response.
func (r *response) hasEnded() bool { return r.phase == ended || r.phase == malformed }

// hasData reports whether its body has any bytes.
func (r *response) hasData() bool { return r.length > 0 || r.chunks.hasData }

// clone returns a copy that takes other bytes.
func (r *response) clone() *response {
	c := *r
	c.line = bytes.Clone(r.line)
	return &c
}

// take takes the next bytes, at an offset.
func (r *response) take(p []byte, offset int64, settings *Settings) {
	for len(p) > 0 && !r.hasEnded() {
		n := r.step(p, offset, settings)
		p = p[n:]
		offset += int64(n)
	}
}

// step takes some of the next bytes and returns how many.
func (r *response) step(p []byte, offset int64, settings *Settings) int {
	switch r.phase {
	case inStatusLine, inFields:
		return r.takeLine(p, offset, settings)
	case inLength:
		if offset+int64(len(p)) >= r.end {
			r.phase = ended
			return int(r.end - offset)
		}
	case inChunks:
		n := r.chunks.step(p)
		switch r.chunks.phase {
		case chunksEnded:
			r.phase = ended
			r.end = offset + int64(n)
		case chunksMalformed:
			r.phase = malformed
		}
		return n
	}
	return len(p)
}

// takeLine takes the rest of the current line of the header as far as it is there.
func (r *response) takeLine(p []byte, offset int64, settings *Settings) int {
	n := bytes.IndexByte(p, '\n') + 1
	if n == 0 {
		r.line = appendBounded(r.line, p, settings.maxLine())
		r.headBytes += len(p)
		r.checkHead(r.line)
		return len(p)
	}
	line := p[:min(n-1, settings.maxLine())]
	if len(r.line) > 0 {
		r.line = appendBounded(r.line, p[:n-1], settings.maxLine())
		line = r.line
	}
	r.headBytes += n
	r.checkHead(line)
	if !r.hasEnded() {
		r.endLine(bytes.TrimSuffix(line, []byte("\r")), offset+int64(n), settings)
	}
	if !r.hasHead {
		r.line = r.line[:0]
	}
	return n
}

func appendBounded(line, p []byte, limit int) []byte {
	return append(line, p[:min(len(p), max(0, limit-len(line)))]...)
}

// maxLine returns how much of a line of a header is kept, in bytes.
func (s *Settings) maxLine() int {
	return max(minLineBytes, len(s.RequestIDField)+len(s.RequestID)+minLineBytes/2)
}

// checkHead checks the length of the header and, while the status line lasts, its text.
func (r *response) checkHead(line []byte) {
	isMalformed := r.headBytes > maxHeadBytes
	if r.phase == inStatusLine {
		isMalformed = r.headBytes > maxReasonBytes || bytes.ContainsAny(line, "\"\\<`\x00")
	}
	if isMalformed {
		r.phase = malformed
	}
}

// endLine takes a line of the header, after which the offset is given.
func (r *response) endLine(line []byte, offset int64, settings *Settings) {
	switch {
	case r.phase == inStatusLine:
		r.phase = inFields
	case len(line) == 0:
		r.endHead(offset)
	case isBlank(line[0]) && r.hasField:
		// The line continues the field before.
	default:
		r.takeField(line, settings)
		r.hasField = true
	}
}

// takeField takes a field of the header.
func (r *response) takeField(line []byte, settings *Settings) {
	name, rest, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		r.phase = malformed
		return
	}
	value := bytes.TrimSpace(rest)
	r.hasNoEventField = r.hasNoEventField || !isEventField(name)
	r.takeName(name, value, settings)
	switch {
	case isField(name, "Content-Length"):
		length, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || length < 0 || length > maxLength || r.hasLength && r.length != length {
			r.phase = malformed
			return
		}
		r.hasLength = true
		r.length = length
	case isField(name, "Transfer-Encoding") && r.hasChunks:
		r.isChunked = strings.HasSuffix(strings.ToLower(string(value)), "chunked")
	}
}

// takeName records whose response it is by a field.
func (r *response) takeName(name, value []byte, settings *Settings) {
	switch {
	case len(value) == 0:
	case isField(name, settings.RequestIDField):
		r.namesAny = true
		r.namesRequest = r.namesRequest || settings.mayBeAnswered(string(value))
	case isField(name, settings.MarkField):
		r.hasMark = true
	}
}

// takeNames takes over whose response another one is, and its memory.
func (r *response) takeNames(torn *response) {
	r.namesRequest, r.namesAny, r.hasMark = torn.namesRequest, torn.namesAny, torn.hasMark
	r.line = torn.line[:0]
}

// takeUnendedLine takes the current line of the header as if it had ended.
func (r *response) takeUnendedLine(settings *Settings) {
	if r.phase != inFields {
		return
	}
	if name, value, ok := bytes.Cut(r.line, []byte(":")); ok {
		r.takeName(name, bytes.TrimSpace(value), settings)
	}
}

// endHead ends the header, after which the offset is given.
func (r *response) endHead(offset int64) {
	r.line = nil
	r.hasHead = true
	switch {
	case r.status < statusOK || r.status == statusNoContent || r.status == statusNotModified:
		r.phase = ended
		r.end = offset
		r.length = 0
	case r.isChunked:
		r.phase = inChunks
		r.length = 0
	case !r.hasLength:
		r.phase = untilEnd
	default:
		r.phase = inLength
		r.end = offset + r.length
		if r.length == 0 {
			r.phase = ended
		}
	}
}

// isEventField reports whether a name is that of a field of events.
func isEventField(name []byte) bool {
	switch strings.ToLower(string(name)) {
	case "data", "event", "id", "retry":
		return true
	}
	return false
}

// isField reports whether a name is that of a field, which is not empty.
func isField(name []byte, field string) bool {
	return field != "" && len(name) == len(field) && strings.EqualFold(string(name), field)
}

// isToken reports whether bytes are the name of a field.
func isToken(name []byte) bool {
	for _, b := range name {
		isAlphanumeric := '0' <= b && b <= '9' || 'a' <= b|0x20 && b|0x20 <= 'z'
		if !isAlphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return len(name) > 0
}
