package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"cactuswell/io/tcp"
)

const (
	// readBuffer is the size of a connection's read buffer.
	readBuffer = 4 << 10
	// inlineBody is the largest body that is written together with the header
	// before the answer is read. A larger one is written beside, as the endpoint
	// may answer before it has read it.
	inlineBody = 8 << 10
	// maxStrayAnswers bounds the answers to earlier requests that are skipped.
	maxStrayAnswers = 2
	// maxStrayBody bounds the body of an answer that is skipped.
	maxStrayBody = 64 << 10
)

// Request is what goes to an endpoint.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody says that the caller framed a body, be it empty.
	HasBody bool
}

// Conn is a connection to an endpoint. It carries one request at a time and is
// not safe for concurrent use, but for Abort.
type Conn struct {
	pool    *Pool
	address string
	conn    net.Conn
	reader  *bufio.Reader
	// used says that an answer came on it before.
	used     bool
	idleFrom time.Time
	idleTill time.Time
	// written gets the result of writing the body, if that goes on beside.
	written chan error
	spoiled bool
}

// Reused reports whether the connection carried a request before.
func (c *Conn) Reused() bool { return c.used }

// Abort closes the connection from any goroutine.
func (c *Conn) Abort() {
	_ = c.conn.Close()
}

// SetReadDeadline bounds the reads that follow.
func (c *Conn) SetReadDeadline(at time.Time) {
	_ = c.conn.SetReadDeadline(at)
}

// SendRequest sends a request. The error is a *SendError. A large body may still be on
// its way when Write returns.
func (c *Conn) SendRequest(request *Request, deadline time.Time) error {
	_ = c.conn.SetWriteDeadline(deadline)
	var head bytes.Buffer
	head.Grow(len(request.Body) + 1024)
	head.WriteString(request.Method)
	head.WriteByte(' ')
	head.WriteString(request.Target)
	head.WriteString(" HTTP/1.1\r\nHost: ")
	head.WriteString(request.Host)
	head.WriteString("\r\n")
	if request.HasBody {
		head.WriteString("Content-Length: ")
		head.WriteString(strconv.Itoa(len(request.Body)))
		head.WriteString("\r\n")
	}
	if err := request.Header.Write(&head); err != nil {
		return &SendError{Err: err}
	}
	head.WriteString("\r\n")
	beside := len(request.Body) > inlineBody
	if !beside {
		head.Write(request.Body)
	}
	n, err := c.conn.Write(head.Bytes())
	if err != nil {
		c.spoiled = true
		return &SendError{
			Partial: n > 0,
			Err:     err,
		}
	}
	if beside {
		c.written = make(chan error, 1)
		go c.runWrite(request.Body)
	}
	return nil
}

// runWrite writes the body while the answer is awaited.
func (c *Conn) runWrite(body []byte) {
	_, err := c.conn.Write(body)
	c.written <- err
}

// ReadResponse returns the header of the answer to the request of the given method. Own
// reports whether an answer belongs to it: answers to earlier requests that
// came late are skipped.
func (c *Conn) ReadResponse(method string, own func(*http.Response) bool) (*http.Response, error) {
	request := &http.Request{Method: method}
	for range maxStrayAnswers + 1 {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			c.spoiled = true
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if own(response) {
			return response, nil
		}
		if !c.used {
			// No earlier request could have a late answer here.
			break
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBody))
		if err != nil || n == maxStrayBody || response.Close {
			break
		}
	}
	c.spoiled = true
	return nil, &UnsolicitedResponseError{Address: c.address}
}

// Release gives the connection back to the pool after the answer's body was read
// to its end, if it can carry another request, and closes it otherwise.
func (c *Conn) Release(response *http.Response) {
	if c.mayReuse(response) {
		c.used = true
		c.pool.put(c, keepAlive(response))
		return
	}
	c.Discard()
}

func (c *Conn) mayReuse(response *http.Response) bool {
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if c.spoiled || response.Close || !framed || c.reader.Buffered() > 0 {
		return false
	}
	if c.written == nil {
		return true
	}
	// An answer before the end of the body leaves the rest due.
	select {
	case err := <-c.written:
		c.written = nil
		return err == nil
	default:
		return false
	}
}

// Discard closes the connection.
func (c *Conn) Discard() {
	_ = c.conn.Close()
	c.pool.closed()
}

// fit reports whether an idle connection may carry a request.
func (c *Conn) fit(now time.Time, maxIdle time.Duration) bool {
	return now.Before(c.idleTill) && now.Sub(c.idleFrom) <= maxIdle && tcp.IsIdle(c.conn)
}
