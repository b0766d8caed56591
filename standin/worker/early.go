package worker

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// EarlySuffix ends the paths of requests that are answered before their body was read, by an answer that ends with
	// the connection.
	EarlySuffix = "/early"
	// BadHeadField is in all answers that follow or are themselves an invalid head.
	BadHeadField = "X-Bad-Head"

	// partRead is the number of bytes of a request that some endpoints read before they answer.
	partRead = 20 << 10
	// earlyPause is the time after which some reset the connection.
	earlyPause = 2 * time.Millisecond
)

// isAnsweredEarly reports whether a request is answered before its body was read, at once: while the body is being written.
func isAnsweredEarly(request *http.Request) bool {
	return strings.HasSuffix(request.URL.Path, EarlySuffix)
}

// answerEarly answers a request before its body was read, and ends the connection: in order, once it has read the rest, or by a
// fault within the answer with a reset, or a close that leaves the rest unread.
func (s *session) answerEarly(request *http.Request, id string) {
	w := s.worker
	whole := newMessage(id, w.identify(id)+s.markHeader(), toEnd, Body(s.incarnation.id, id, false))
	if w.intN(2) == 0 {
		_, _ = io.CopyN(io.Discard, request.Body, partRead)
	}
	// A request that has been read, or fits into the sockets' buffers, may have arrived.
	if whole.data() > 0 && request.ContentLength > minEarlyCut && w.happens(func(f Faults) float64 { return f.EarlyCuts }) {
		at := whole.headBytes + w.intN(whole.data())
		end := w.intN(3)
		s.tell(fmt.Sprintf("cut early, end %d,", end), whole, at)
		if s.write(whole.text[:at]) && end < 2 {
			s.await(time.Duration(end) * earlyPause)
			s.reset()
		}
		return
	}
	if !s.write(whole.text) {
		return
	}
	if half, ok := s.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
		discardBody(request)
	}
}

// minEarlyCut is the size of a request from which on an early answer to it may be cut. A shorter one may have arrived by then,
// so that nothing tells that the answer is not whole.
const minEarlyCut = 100 << 10

// spoilHead returns an answer with an invalid head, or after one.
func (s *session) spoilHead(m *message) []byte {
	before := []string{"HTTP/1.1 000 Odd\r\n\r\n", "HTTP/1.1 099 Odd\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n"}
	within := []string{"X Odd: 1\r\n", "X-Odd : 1\r\n", "Content-Type : text/plain\r\n"}
	form := s.worker.intN(len(before) + len(within))
	s.tell(fmt.Sprintf("invalid head %d,", form), m, 0)
	head, data := string(m.text[:m.headBytes-len("\r\n")]), string(m.text[m.headBytes:])
	head += BadHeadField + ": " + fmt.Sprint(form) + "\r\n"
	if form < len(before) {
		return []byte(before[form] + head + "\r\n" + data)
	}
	line, fields, _ := strings.Cut(head, "\r\n")
	return []byte(line + "\r\n" + within[form-len(before)] + fields + "\r\n" + data)
}
