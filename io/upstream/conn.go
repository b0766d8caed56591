package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"cactuswell/core/evidence"
	"cactuswell/io/httphead"
	"cactuswell/io/splice"
	"cactuswell/io/tcp"
)

const (
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 4 << 10
	// maxInlineBody is the size in bytes of the largest body that is written together
	// with the header, before the response is read. A larger one is written
	// concurrently, as the endpoint may respond before it has read the body.
	maxInlineBody = 8 << 10
	// maxUnreadBody is the size in bytes up to which a request fits into what a peer takes without
	// reading.
	maxUnreadBody = 48 << 10
	// maxUnsolicitedResponses bounds the responses that are skipped because they
	// belong to earlier requests.
	maxUnsolicitedResponses = 2
	// maxDrainedBody and drainTimeout bound a body that is read only to keep the
	// connection.
	maxDrainedBody = 64 << 10
	drainTimeout   = 100 * time.Millisecond
)

// Request is a request to an endpoint.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is set if the caller sent a body, which may be empty.
	HasBody bool
	// Attempt permits that the request is sent, once.
	Attempt *evidence.Attempt
}

// Relation is how a response relates to the request that was sent last.
type Relation int

// The relations.
const (
	// Own means that the response is the one to the request.
	Own Relation = iota
	// Other means that it is the response to another request.
	Other
	// Doubtful means that it may be the response to the request or another one.
	Doubtful
)

// Conn is a connection to an endpoint. It carries one request at a time. It is not
// safe for concurrent use, except for Abort.
type Conn struct {
	pool    *Pool
	address string
	// host is the host through which the connection leads, or empty.
	host   string
	conn   net.Conn
	input  *deadlineReader
	head   *headLimiter
	reader *bufio.Reader
	// reused is set once the connection has carried a request and its response.
	reused bool
	// requestIDs holds the hashes of the IDs of all requests that the connection was taken for.
	requestIDs []uint32
	// passedOver is the number of idle connections that had carried the request's ID.
	passedOver int
	idleSince  time.Time
	idleUntil  time.Time
	// hasLongBody is set while the connection carries a request whose body may exceed what the
	// endpoint has room for.
	hasLongBody bool
	// bodyWrite is the writing of the request's body if it is written concurrently, or nil.
	bodyWrite *bodyWrite
	// connectionEnd describes how the response that was read last has ended with the connection.
	connectionEnd ConnectionEnd
	unusable      bool
}

// Reused reports whether the connection carried a request before.
func (c *Conn) Reused() bool { return c.reused }

// PassedOver returns the number of idle connections that were not used instead, as they had carried
// a request with the same ID.
func (c *Conn) PassedOver() int { return c.passedOver }

// wasTakenFor reports whether the connection was taken for a request with an ID.
func (c *Conn) wasTakenFor(requestID string) bool {
	return slices.Contains(c.requestIDs, hashID(requestID))
}

// Host returns the address of the host through which the connection leads, or an empty string
// for a direct one.
func (c *Conn) Host() string { return c.host }

func (c *Conn) isDirect() bool { return c.host == "" }

// Abort closes the connection. It may be called from any goroutine.
func (c *Conn) Abort() {
	_ = c.conn.Close()
}

// SetReadDeadline sets the deadline of all later reads.
func (c *Conn) SetReadDeadline(deadline time.Time) {
	c.input.setLimit(readLimit{deadline: deadline})
}

// SetExtensibleDeadline sets a deadline of all later reads at which extend is asked for a later one. It is called by the
// goroutine that reads.
func (c *Conn) SetExtensibleDeadline(deadline time.Time, extend Extend) {
	c.input.setLimit(readLimit{
		deadline: deadline,
		extend:   extend,
	})
}

// SendRequest sends a request. The error is a *SendError. A large body may still be
// in the process of being written when SendRequest returns.
func (c *Conn) SendRequest(request *Request, deadline time.Time) error {
	_ = c.conn.SetWriteDeadline(deadline)
	if len(request.Body) > maxUnreadBody {
		// The endpoint may read a long body late.
		c.hasLongBody = true
		tcp.SetAckTimeout(c.conn, time.Until(deadline))
	}
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
	concurrently := len(request.Body) > maxInlineBody
	if !concurrently {
		head.Write(request.Body)
	}
	n, err := request.Attempt.Send(func() (int, error) { return c.conn.Write(head.Bytes()) })
	if err != nil {
		c.unusable = true
		return &SendError{
			Partial: n > 0,
			Err:     err,
		}
	}
	if concurrently {
		c.bodyWrite = &bodyWrite{done: make(chan struct{})}
		go c.bodyWrite.run(c.conn, request.Body)
	}
	return nil
}

// ReadResponse returns the response to the request with the given method once its
// header was read. The function relate decides how a response relates to the request: those that are
// doubtful, and late ones to earlier requests, are skipped. The error is an *ExcessError if the
// endpoint sends more than a header may hold, a *splice.Error if a header runs into another, and a *httphead.Error if it is
// invalid. Nothing in such a header holds.
func (c *Conn) ReadResponse(method string, relate func(*http.Response) Relation) (*http.Response, error) {
	request := &http.Request{Method: method}
	c.head.begin()
	defer c.head.end()
	unsolicited := 0
	for {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		c.head.keep(buffered)
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			c.unusable = true
			return nil, c.head.cause(err)
		}
		if err := errors.Join(splice.CheckHead(c.head.raw), httphead.Check(response)); err != nil {
			c.unusable = true
			return nil, err
		}
		if len(response.TransferEncoding) > 0 {
			response.Body = &framedBody{
				ReadCloser: response.Body,
				response:   response,
				head:       c.head,
			}
		}
		if response.StatusCode < http.StatusOK {
			c.head.part = PartInterim
			continue
		}
		relation := relate(response)
		if relation == Own {
			return response, nil
		}
		// Without an earlier request there is none that another's response could be late for.
		if relation == Other && !c.reused || unsolicited == maxUnsolicitedResponses {
			break
		}
		unsolicited++
		c.head.end()
		if !c.Drain(response) {
			break
		}
		c.head.begin()
	}
	c.unusable = true
	return nil, &UnsolicitedResponseError{Address: c.address}
}

// Drain reads a short body to its end, so that the connection can carry another
// request, and reports whether it can. A body that is long or slow makes the connection
// unusable.
func (c *Conn) Drain(response *http.Response) bool {
	defer c.input.shorten(drainTimeout)()
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainedBody))
	if err != nil || n == maxDrainedBody || response.Close {
		c.unusable = true
	}
	return !c.unusable
}

// IsUsable reports whether nothing has been found that keeps the connection from carrying
// another request.
func (c *Conn) IsUsable() bool { return !c.unusable }

// HasUnreadBytes reports whether bytes have arrived that no request is waiting for. The
// response body must have been read to its end.
func (c *Conn) HasUnreadBytes() bool { return c.reader.Buffered() > 0 }

// The results of Following.
const (
	FollowedByNothing = "nothing"
	// FollowedByAnswer means that what follows begins like a response.
	FollowedByAnswer = "answer"
	FollowedByOther  = "other"
)

// Following returns what has arrived after the response body, which must have been read to its end.
func (c *Conn) Following() string {
	const start = "HTTP/"
	bytes, _ := c.reader.Peek(min(c.reader.Buffered(), len(start)))
	switch {
	case len(bytes) == 0:
		return FollowedByNothing
	case strings.HasPrefix(start, string(bytes)):
		return FollowedByAnswer
	}
	return FollowedByOther
}

// Release returns the connection to the pool if it can carry another request, and
// closes it otherwise. The response body must have been read to its end.
func (c *Conn) Release(response *http.Response) {
	if c.isReusable(response) {
		c.reused = true
		if c.hasLongBody {
			c.hasLongBody = false
			tcp.SetAckTimeout(c.conn, ackTimeout)
		}
		c.pool.putIdle(c, idleTimeout(response))
		return
	}
	c.Discard()
}

// IsFramed reports whether the end of a response's body is marked other than by the end of
// the connection.
func IsFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

func (c *Conn) isReusable(response *http.Response) bool {
	if c.unusable || response.Close || !IsFramed(response) || c.reader.Buffered() > 0 || len(c.requestIDs) >= maxRequestsPerConn {
		return false
	}
	// If the endpoint responded early, the body may not be written completely.
	isWritten, isFailed := c.bodyWrite.state()
	c.bodyWrite = nil
	return isWritten && !isFailed
}

// Discard closes the connection.
func (c *Conn) Discard() {
	_ = c.conn.Close()
	c.pool.countClosed()
}

// isOpen reports whether an idle connection has neither expired nor received anything.
func (c *Conn) isOpen(now time.Time) bool { return now.Before(c.idleUntil) && tcp.IsIdle(c.conn) }
