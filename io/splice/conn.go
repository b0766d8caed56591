package splice

import (
	"bytes"
	"context"
	"net"
)

const (
	// statusLineStart is the beginning of a status line, with 0 for any digit.
	statusLineStart = "HTTP/0.0 000"
	// statusCodeStart is where the status code begins in statusLineStart.
	statusCodeStart = len(statusLineStart) - len("000")
	// maxFieldName bounds how many bytes of a line are kept for the name of its field.
	maxFieldName = 64
)

// DialFunc dials a connection, as DialContext and DialTLSContext of an http.Transport do.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// CheckFirst returns a function that dials connections for one request each. Reading such a connection
// fails with an *Error if the header of its first response, or of an interim response before it, holds
// the status line of another one.
//
// This also finds what Check cannot see, as http.ReadResponse deletes fields, like a Connection that
// holds the token close. The bytes read must be those of HTTP: a Transport that does TLS itself, for
// want of a DialTLSContext, is not checked.
func CheckFirst(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{
			Conn: conn,
		}, nil
	}
}

// checkedConn checks the header of the first response.
type checkedConn struct {
	net.Conn
	scanner headerScanner
	err     error
}

// Read implements net.Conn. After an *Error it returns no more bytes.
func (c *checkedConn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	if c.err = c.scanner.scan(p[:n]); c.err != nil {
		return 0, c.err
	}
	return n, err
}

// headerScanner reads the headers of interim responses and that of the response after them. It ends
// headers where http.ReadResponse does.
type headerScanner struct {
	// isDone is set after the header of the response.
	isDone bool
	// isInterim is set in the header of an interim response.
	isInterim bool
	// lines counts the lines of the header before the current one, and size the bytes of the current one.
	lines, size int
	// start and before are the beginnings of the current line and of the one before.
	start, before []byte
	// last is the last byte.
	last byte
	// matched is how many bytes of statusLineStart have been read, from matchStart in the line on.
	matched, matchStart int
	// class is the first digit of the status code read last.
	class byte
}

// scan reads on and returns an *Error if there is a status line other than at the beginning of a header.
func (s *headerScanner) scan(data []byte) error {
	for _, b := range data {
		if s.isDone {
			return nil
		}
		if s.isStatus(b) {
			if s.lines > 0 || s.matchStart > 0 {
				return &Error{Field: s.field()}
			}
			s.isInterim = s.class == '1'
		}
		if b == '\n' {
			s.endLine()
			continue
		}
		s.size++
		s.last = b
		if len(s.start) < maxFieldName {
			s.start = append(s.start, b)
		}
	}
	return nil
}

// isStatus reports whether the byte is the one after a version and a status code.
func (s *headerScanner) isStatus(b byte) bool {
	if s.matched == len(statusLineStart) {
		s.matched = 0
		if b == ' ' || b == '\r' || b == '\n' {
			return true
		}
	}
	want := statusLineStart[s.matched]
	switch {
	case b == want || want == '0' && '0' <= b && b <= '9':
		if s.matched == statusCodeStart {
			s.class = b
		}
		if s.matched == 0 {
			s.matchStart = s.size
		}
		s.matched++
	case b == ' ' && s.matched == statusCodeStart: // There may be more than one space.
	case b == statusLineStart[0]:
		s.matched, s.matchStart = 1, s.size
	default:
		s.matched = 0
	}
	return false
}

// endLine ends the line, and the header if the line is blank.
func (s *headerScanner) endLine() {
	isBlank := s.size == 0 || s.size == 1 && s.last == '\r'
	s.start, s.before = s.before[:0], s.start
	s.lines++
	s.size = 0
	if isBlank {
		s.isDone = !s.isInterim
		s.isInterim = false
		s.lines = 0
	}
}

// field returns the name of the field that runs into a status line: of the line before, if the line is one.
func (s *headerScanner) field() string {
	line := s.start[:min(len(s.start), s.matchStart)]
	switch {
	case s.lines == 0 || s.lines == 1 && s.matchStart == 0:
		return ""
	case s.matchStart == 0:
		line = s.before
	}
	name, _, _ := bytes.Cut(line, []byte(":"))
	return string(name)
}
