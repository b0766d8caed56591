package wholeness

import "bytes"

const (
	// statusLinePattern is the beginning of a status line, in which zeros stand for any digit.
	statusLinePattern = "HTTP/0.0 000"
	versionPrefix     = "HTTP/"
	// statusLineStart is the length of the pattern in bytes.
	statusLineStart = len(statusLinePattern)
)

// startOfStatusLine is the beginning of a status line up to the status.
type startOfStatusLine [statusLineStart]byte

// statusLines finds the beginnings of status lines in bytes that arrive in pieces.
type statusLines struct {
	// tail holds the last bytes of the pieces before.
	tail [statusLineStart]byte
	n    int
}

// next returns the next beginning of a status line, and the index of the byte after it, which is at least from and lies
// within the piece. The index is -1 if there is none.
func (s *statusLines) next(piece []byte, from int) (startOfStatusLine, int) {
	if from < statusLineStart {
		var joined [2*statusLineStart + 1]byte
		n := copy(joined[:], s.tail[:s.n])
		n += copy(joined[n:], piece[:min(len(piece), statusLineStart)])
		for start := max(0, s.n+from-statusLineStart); start+statusLineStart < n; start++ {
			if beginsStatusLine(joined[start:n]) {
				return startOfStatusLine(joined[start:]), start + statusLineStart - s.n
			}
		}
	}
	for start := max(0, from-statusLineStart); start < len(piece); start++ {
		n := bytes.Index(piece[start:], []byte(versionPrefix))
		if n < 0 {
			break
		}
		start += n
		if beginsStatusLine(piece[start:]) {
			return startOfStatusLine(piece[start:]), start + statusLineStart
		}
	}
	return startOfStatusLine{}, -1
}

// keep keeps the end of a piece, which has been searched.
func (s *statusLines) keep(piece []byte) {
	if len(piece) >= statusLineStart {
		s.n = copy(s.tail[:], piece[len(piece)-statusLineStart:])
		return
	}
	kept := min(s.n, statusLineStart-len(piece))
	copy(s.tail[:], s.tail[s.n-kept:s.n])
	s.n = kept + copy(s.tail[kept:], piece)
}

// endsInStatusLine reports whether the pieces, and the next bytes after them, end within the beginning of a status line
// that begins in the pieces, and returns how many bytes of it these have.
func (s *statusLines) endsInStatusLine(next []byte) (n int, ok bool) {
	if len(next) >= statusLineStart {
		return 0, false
	}
	var joined [2 * statusLineStart]byte
	end := copy(joined[:], s.tail[:s.n])
	end += copy(joined[end:], next)
	for start := max(0, end-statusLineStart); start < s.n; start++ {
		if matchesStatusLine(joined[start:end]) {
			return s.n - start, true
		}
	}
	return 0, false
}

// beginsStatusLine reports whether bytes begin with a status line, of which the part up to the byte after the status
// must be there.
func beginsStatusLine(p []byte) bool {
	if len(p) <= statusLineStart || !matchesStatusLine(p) {
		return false
	}
	switch p[statusLineStart] {
	case ' ', '\r', '\n':
		return true
	}
	return false
}

// matchesStatusLine reports whether bytes begin like a status line as far as they go.
func matchesStatusLine(p []byte) bool {
	for i := range min(len(p), statusLineStart) {
		want := statusLinePattern[i]
		isDigit := '0' <= p[i] && p[i] <= '9'
		if want == '0' && !isDigit || want != '0' && p[i] != want {
			return false
		}
	}
	return true
}

// status returns the status.
func (s startOfStatusLine) status() int {
	digits := s[statusLineStart-len("000"):]
	return int(digits[0]-'0')*100 + int(digits[1]-'0')*10 + int(digits[2]-'0')
}

// hasChunks reports whether the version knows bodies in chunks.
func (s startOfStatusLine) hasChunks() bool {
	return string(s[len(versionPrefix):len("HTTP/0.0")]) >= "1.1"
}
