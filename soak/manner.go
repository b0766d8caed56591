package soak

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// slowParts is the number of parts of a request that is sent slowly, and slowPause the time
	// between two of them.
	slowParts = 6
	slowPause = 40 * time.Millisecond
	// continueTimeout is how long a caller waits to be asked for the body.
	continueTimeout = time.Second
)

// manner is how a caller sends a request.
type manner int

// The manners.
const (
	// usual is in one part or two.
	usual manner = iota
	// slow is in many parts.
	slow
	// pipelined is together with a second request.
	pipelined
	// halfClosed closes the sending direction after the request.
	halfClosed
	// expecting sends the body after an interim response.
	expecting
	// stopping never sends the end of the request.
	stopping
)

// drawManner draws how a request of a kind is sent.
func (c *caller) drawManner(kind operationKind) manner {
	if !c.isVaried {
		return usual
	}
	drawn := manner(c.random.IntN(4 * int(stopping)))
	if drawn > stopping || drawn == pipelined && kind.isStream {
		return usual
	}
	return drawn
}

// keepsConnection reports whether the connection can be used again after a whole response.
func (m manner) keepsConnection() bool { return m <= pipelined }

// send sends a request in a manner.
func (c *caller) send(conn *callerConn, message string, m manner) error {
	headBytes := strings.Index(message, "\r\n\r\n") + len("\r\n\r\n")
	switch m {
	case slow:
		return c.sendSlowly(conn, message)
	case pipelined:
		_, err := io.WriteString(conn, message)
		return err
	case halfClosed:
		if _, err := io.WriteString(conn, message); err != nil {
			return err
		}
		half, ok := conn.Conn.(interface{ CloseWrite() error })
		if !ok {
			return nil
		}
		return half.CloseWrite()
	case expecting:
		return c.sendAfterContinue(conn, message, headBytes)
	case stopping:
		_, err := io.WriteString(conn, message[:min(len(message)-1, headBytes+c.random.IntN(len(message)-headBytes+1))])
		return err
	}
	return c.sendUsually(conn, message)
}

// sendUsually sends a request in one part or two.
func (c *caller) sendUsually(conn *callerConn, message string) error {
	first := len(message)
	if c.random.IntN(8) == 0 {
		first = c.random.IntN(len(message))
	}
	if _, err := io.WriteString(conn, message[:first]); err != nil || first == len(message) {
		return err
	}
	pause := splitPause
	if c.random.IntN(4) == 0 {
		pause = time.Duration(c.random.Int64N(int64(longestSplitPause)))
	}
	c.wait(context.Background(), pause)
	_, err := io.WriteString(conn, message[first:])
	return err
}

func (c *caller) sendSlowly(conn *callerConn, message string) error {
	size := len(message)/slowParts + 1
	for len(message) > 0 {
		part := message[:min(size, len(message))]
		if _, err := io.WriteString(conn, part); err != nil {
			return err
		}
		message = message[len(part):]
		c.wait(context.Background(), slowPause)
	}
	return nil
}

// sendAfterContinue sends the body when the host has asked for it or has not answered for a while.
func (c *caller) sendAfterContinue(conn *callerConn, message string, headBytes int) error {
	const interim = "HTTP/1.1 100"
	fields := message[:headBytes-len("\r\n")] + "Expect: 100-continue\r\n\r\n"
	if _, err := io.WriteString(conn, fields); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(earlier(conn.leavesAt, time.Now().Add(continueTimeout)))
	start, err := conn.reader.Peek(len(interim))
	_ = conn.SetReadDeadline(conn.leavesAt)
	if err == nil && string(start) != interim {
		return nil
	}
	if err == nil {
		if _, err = http.ReadResponse(conn.reader, nil); err != nil {
			return err
		}
	}
	_, err = io.WriteString(conn, message[headBytes:])
	return err
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// finishNext reads the response to the second request of a connection, which is not sent again. It
// reports whether the connection can be used again.
func (c *caller) finishNext(conn *callerConn, next Event, isOpen bool) bool {
	next.Kind = AttemptBroken
	defer func() { c.journal.Record(next) }()
	if !isOpen {
		return false
	}
	response, err := conn.readResponse()
	if err != nil {
		next.Detail = err.Error()
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBody))
	if err != nil {
		next.Detail = err.Error()
		return false
	}
	if response.StatusCode == http.StatusOK {
		c.recordDoubt(next, &stream{doubt: doubtOf(body, response.Header.Get(c.names.Mark), next.Request, "")})
	}
	next.Kind = AttemptAnswered
	next.Status = response.StatusCode
	return !response.Close
}
