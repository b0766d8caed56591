package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const (
	// maxMessageBytes bounds a message that a stand-in reads, and serverIdleTime the time for which
	// a server waits for one. Clients wait for as long as their case says.
	maxMessageBytes = 8 << 20
	serverIdleTime  = 30 * time.Second
)

var errLongMessage = errors.New("the message is too long")

// boundedConn is a connection from which a bounded number of bytes is read for each message.
type boundedConn struct {
	net.Conn
	left int
}

// Read implements io.Reader.
func (c *boundedConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, errLongMessage
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// messages reads the messages that arrive over a connection.
type messages struct {
	conn *boundedConn
	text *textproto.Conn
}

func newMessages(conn net.Conn) *messages {
	bounded := &boundedConn{Conn: conn}
	return &messages{
		conn: bounded,
		text: textproto.NewConn(bounded),
	}
}

// readHead reads the first line and the header of a message, within the given time from now.
func (m *messages) readHead(limit time.Duration) (line string, header http.Header, err error) {
	m.conn.left = maxMessageBytes
	if err := m.conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return "", nil, err
	}
	if line, err = m.text.ReadLine(); err != nil {
		return "", nil, err
	}
	fields, err := m.text.ReadMIMEHeader()
	return line, http.Header(fields), err
}

// readBody reads the body that follows a header. One without a length and chunks ends with the
// connection if endsWithConn is set, and is empty otherwise. The error tells that it is not whole.
func (m *messages) readBody(header http.Header, endsWithConn bool) (body string, length int64, err error) {
	var content strings.Builder
	length = -1
	switch text := header.Get("Content-Length"); {
	case strings.EqualFold(header.Get("Transfer-Encoding"), "chunked"):
		_, err = io.CopyN(&content, httputil.NewChunkedReader(m.text.R), maxMessageBytes)
		switch {
		case err == nil:
			err = errLongMessage
		case errors.Is(err, io.EOF):
			_, err = m.text.ReadMIMEHeader()
		}
	case text != "":
		if length, err = strconv.ParseInt(text, 10, 64); err != nil {
			return "", -1, err
		}
		_, err = io.CopyN(&content, m.text.R, length)
	case endsWithConn:
		_, err = m.text.R.WriteTo(&content)
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return content.String(), length, err
}

// readAnswer reads an answer within the given time from now.
func (m *messages) readAnswer(limit time.Duration) *answer {
	line, header, err := m.readHead(limit)
	if err != nil {
		return &answer{err: err}
	}
	var status int
	if _, err := fmt.Sscanf(line, "HTTP/1.1 %d", &status); err != nil {
		return &answer{err: err}
	}
	body, length, err := m.readBody(header, true)
	return &answer{
		status:    status,
		signature: header.Get("X-Response-Signature"),
		requestID: header.Get("X-Request-Id"),
		body:      body,
		length:    length,
		complete:  err == nil,
		err:       err,
	}
}

// readRequest reads a request and its body.
func (m *messages) readRequest() (*http.Request, string, error) {
	line, header, err := m.readHead(serverIdleTime)
	if err != nil {
		return nil, "", err
	}
	words := strings.Fields(line)
	if len(words) != 3 {
		return nil, "", fmt.Errorf("malformed request line %q", line)
	}
	target, err := url.ParseRequestURI(words[1])
	if err != nil {
		return nil, "", err
	}
	body, _, err := m.readBody(header, false)
	return &http.Request{
		Method: words[0],
		URL:    target,
		Header: header,
	}, body, err
}
