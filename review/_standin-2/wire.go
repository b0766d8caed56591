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
)

// maxMessageBytes bounds a message that a stand-in reads.
const maxMessageBytes = 8 << 20

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

// readHead reads the first line and the header of a message.
func (m *messages) readHead() (line string, header http.Header, err error) {
	m.conn.left = maxMessageBytes
	if line, err = m.text.ReadLine(); err != nil {
		return "", nil, err
	}
	fields, err := m.text.ReadMIMEHeader()
	return line, http.Header(fields), err
}

// readBody reads the body that follows a header. One without a length and chunks ends with the connection if endsWithConn is set,
// and is empty otherwise. The error tells that it is not whole; what has arrived is returned nevertheless.
func (m *messages) readBody(header http.Header, endsWithConn bool) (string, error) {
	var content strings.Builder
	var err error
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
		var length int64
		if length, err = strconv.ParseInt(text, 10, 64); err != nil {
			return "", err
		}
		_, err = io.CopyN(&content, m.text.R, length)
	case endsWithConn:
		_, err = m.text.R.WriteTo(&content)
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return content.String(), err
}

// readAnswer reads an answer into what a client got.
func (m *messages) readAnswer(got *result) {
	line, header, err := m.readHead()
	if err != nil {
		got.err = err
		return
	}
	if _, err := fmt.Sscanf(line, "HTTP/1.1 %d", &got.status); err != nil {
		got.err = err
		return
	}
	got.signature = header.Get("X-Response-Signature")
	got.body, got.err = m.readBody(header, true)
	got.events = strings.Count(got.body, "\n\n")
}

// readRequest reads a request and its body.
func (m *messages) readRequest() (*http.Request, []byte, error) {
	line, header, err := m.readHead()
	if err != nil {
		return nil, nil, err
	}
	words := strings.Fields(line)
	if len(words) != 3 {
		return nil, nil, fmt.Errorf("malformed request line %q", line)
	}
	target, err := url.ParseRequestURI(words[1])
	if err != nil {
		return nil, nil, err
	}
	body, err := m.readBody(header, false)
	return &http.Request{
		Method: words[0],
		URL:    target,
		Header: header,
	}, []byte(body), err
}
