package worker

import (
	"bytes"
	"fmt"
	"time"
)

const (
	// stutterPause is the time for which an endpoint stops within a body.
	stutterPause = 20 * time.Millisecond
	// tornPause is how long a connection may stay open after a torn answer.
	tornPause = 200 * time.Millisecond
	// minRestChunk is the size in bytes of the chunks that distinguish the rest of an answer from lines of short numbers.
	minRestChunk = 16
	// bufferedBytes is the size from which on a body may not be held back until it is whole.
	bufferedBytes = 256 << 10
)

// send sends a part of an answer, or what faults make of it. It reports false if the connection is to end.
func (s *session) send(part, whole *message) bool {
	w := s.worker
	late := s.late
	s.late = nil
	switch {
	case part.data() == 0:
	case w.happens(func(f Faults) float64 { return f.CutBodies }):
		return s.cut(part)
	case w.happens(func(f Faults) float64 { return f.TornAnswers }):
		s.goOn(part, s.otherThan(part, whole), "torn", false)
		s.await(time.Duration(w.intN(2)) * tornPause)
		return false
	case late != nil:
		// In a body that ends with its connection, nothing distinguishes a whole answer from a quotation.
		return s.goOn(part, late, "late", part.framing != toEnd)
	case w.happens(func(f Faults) float64 { return f.PausedAnswers }):
		at := s.tearAt(part, nil)
		s.tell("paused", part, at)
		return s.write(part.text[:at]) && s.pause() && s.write(part.text[at:])
	}
	return s.write(part.text)
}

// keepSent keeps an answer that was sent, which faults may send once more, and reports whether the connection may
// stay open. Nothing distinguishes an answer without a body from a quotation in another one.
func (s *session) keepSent(m *message) bool {
	if m.framing == toEnd || m.data() <= len("0\r\n\r\n") {
		return m.framing != toEnd
	}
	w := s.worker
	if w.happens(func(f Faults) float64 { return f.LateAnswers }) {
		s.late = m
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s.incarnation.lastAnswer = m
	return true
}

// cut ends the connection within the body of an answer, in order or with a reset. A body that ends with its
// connection is always reset, as nothing else marks its end.
func (s *session) cut(m *message) bool {
	from := m.headBytes
	if len(m.text) > from+bufferedBytes && s.worker.intN(2) == 0 {
		from += bufferedBytes
	}
	at := from + s.worker.intN(len(m.text)-from)
	s.tell("cut", m, at)
	if s.write(m.text[:at]) && (m.framing == toEnd || s.worker.intN(2) == 0) {
		s.pause()
		s.reset()
	}
	return false
}

// otherThan returns an answer with which an endpoint goes on within a part of another one: the same once more,
// the last one that it has sent, the rest of one of these, or one that names no request.
func (s *session) otherThan(part, m *message) *message {
	w := s.worker
	w.mu.Lock()
	last := s.incarnation.lastAnswer
	w.mu.Unlock()
	switch w.intN(4) {
	case 0:
		if last != nil {
			return last
		}
	case 1:
		// Nothing distinguishes a nameless answer from a part of a body that ends with the connection.
		if m.framing != toEnd {
			body := append(Body(s.incarnation.id, "nameless", false), '\n')
			if w.intN(2) == 0 {
				return newMessage("", "", byLength, body)
			}
			return newMessage("", "", chunked, w.split(body)...)
		}
	case 2:
		if last == nil || w.intN(2) == 0 {
			last = m
		}
		if rest := s.restOf(last); rest != nil && len(fitting(part, rest)) > 0 {
			return rest
		}
	}
	return m
}

// restOf returns the rest of an answer in chunks from a random byte on, or nil.
func (s *session) restOf(m *message) *message {
	if len(m.pieces) < 2 {
		return nil
	}
	chunk := s.worker.intN(len(m.pieces) - 1)
	p := m.pieces[chunk]
	return m.rest(chunk, p.start+s.worker.intN(p.end-p.start))
}

// goOn sends the beginning of a part of an answer, then another answer, and after it, if resumes is set, the rest of
// the part.
func (s *session) goOn(part, other *message, fault string, resumes bool) bool {
	at := s.tearAt(part, other)
	following := follow(part, other, at, resumes)
	for at < len(part.text) && looksQuoted(part, other, following, at) {
		at++
		following = follow(part, other, at, resumes)
	}
	beginning := ""
	if other.isRest {
		beginning = "rest of the "
	}
	s.tell(fmt.Sprintf("%s for %d bytes of the %sanswer to %q, %s,", fault, len(other.text), beginning, other.requestID, other.framing), part, at)
	return s.write(part.text[:at]) && (s.worker.intN(4) == 0 || s.pause()) && s.write(following)
}

// follow returns what is sent after the first bytes of a part of an answer.
func follow(part, other *message, at int, resumes bool) []byte {
	following := bytes.Clone(other.text)
	if resumes {
		following = append(following, part.text[at:]...)
	}
	return following
}

// looksQuoted reports whether nothing on the wire distinguishes another request's answer, with which a body by length ends,
// from a quotation: nothing follows the body, or the beginning of an answer.
func looksQuoted(part, other *message, following []byte, at int) bool {
	const start = "HTTP/"
	left := len(part.text) - at
	if part.framing != byLength || part.requestID == other.requestID || len(following) < left {
		return false
	}
	following = following[left:]
	return bytes.Equal(following[:min(len(start), len(following))], []byte(start[:min(len(start), len(following))]))
}

// tearAt returns where the body of an answer is interrupted: anywhere, or such that other ends a chunk of the body
// where one of its own chunks ends.
func (s *session) tearAt(m, other *message) int {
	w := s.worker
	if other == nil {
		return m.headBytes + w.intN(m.data()+1)
	}
	if fitting := fitting(m, other); len(fitting) > 0 && (other.isRest || w.intN(2) == 0) {
		return fitting[w.intN(len(fitting))]
	}
	left := 1 + w.intN(min(m.data(), len(other.text)+len(other.text)/4))
	return len(m.text) - left
}

// tell reports to the observer what a fault does at a byte of an answer.
func (s *session) tell(fault string, m *message, at int) {
	detail := fmt.Sprintf("%s at byte %d of %d, of which %d are the header, %s", fault, at, len(m.text), m.headBytes, m.framing)
	s.worker.settings.Observer.ObserveFault(s.incarnation.id, m.requestID, detail)
}

// fitting returns where a message in chunks may be interrupted such that other, or its header, ends a chunk of it where
// one of its own ends.
func fitting(m, other *message) []int {
	ends := []int{other.headBytes - len("\r\n")}
	if other.isRest {
		// Nothing reveals a rest that fits with the end of its first, broken chunk.
		ends = nil
	}
	for _, p := range other.pieces {
		if other.isRest && p.end-p.start < minRestChunk {
			break
		}
		ends = append(ends, p.end)
	}
	var places []int
	for _, own := range m.pieces {
		for _, end := range ends {
			if at := own.end - end; at > own.start {
				places = append(places, at)
			}
		}
	}
	return places
}

// pause stops for a moment within an answer, or for longer while the endpoint is frozen.
func (s *session) pause() bool {
	s.await(stutterPause)
	s.worker.awaitThaw()
	return true
}

// sendEndless sends the beginning of an event that is long and does not end.
func (s *session) sendEndless(part *message) bool {
	s.tell("endless", part, len(part.text))
	start := part.text[part.pieces[0].start : part.pieces[0].end-len("\n\n")]
	event := append(bytes.Clone(start), bytes.Repeat([]byte("e"), endlessBytes)...)
	if s.write(fmt.Appendf(nil, "%x\r\n%s\r\n", len(event), event)) {
		s.await(tornPause)
	}
	return false
}
