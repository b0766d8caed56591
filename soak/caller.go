package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	product "cactuswell/io/opaque"
	"cactuswell/standin/worker"
)

const (
	connectTimeout = time.Second
	// deadlineSlack is how long before a caller's deadline a host may have ended a stream because of it.
	deadlineSlack = 20 * time.Millisecond
	// maxTries is the number of requests that a caller sends for an operation.
	maxTries = 4
	// maxResponseBody is the maximum size of a response's body in bytes.
	maxResponseBody = 1 << 20
	// splitPause is the time between the two parts of a request that is sent in two, and
	// longestSplitPause the longest one: a host may stop meanwhile.
	splitPause        = 5 * time.Millisecond
	longestSplitPause = 2 * time.Second
	// shortParts is the number of parts of the prompts that consist of very many short ones.
	shortParts = 900
)

// longBodies are the sizes in bytes of requests that are answered early.
var longBodies = []int{60, 200 << 10, 3 << 20}

// bodyLimit is the maximum size in bytes of a request's body in the configuration.
const bodyLimit = 4 << 20

// operationKind is something that callers want done.
type operationKind struct {
	path         string
	isGet        bool
	isRepeatable bool
	isStream     bool
	// isResumable is set if several endpoints may make the events of a stream.
	isResumable bool
	timeLeft    time.Duration
	weight      int
}

// The operations are carried out with these weights.
var (
	plainOperations = []operationKind{
		{path: "/hold/", timeLeft: 2500 * time.Millisecond, weight: 5},
		{path: "/trial/", timeLeft: 600 * time.Millisecond, weight: 5},
		{path: "/lookup/", isRepeatable: true, timeLeft: 2500 * time.Millisecond, weight: 2},
		{path: "/draft/", isStream: true, timeLeft: 2500 * time.Millisecond, weight: 2},
	}
	variedOperations = append([]operationKind{
		{path: "/order/", timeLeft: 2500 * time.Millisecond, weight: 3},
		{path: "/note/", isStream: true, timeLeft: 2500 * time.Millisecond, weight: 1},
	}, plainOperations...)
	answerOperations = append([]operationKind{
		{path: "/lookup/", isGet: true, isRepeatable: true, timeLeft: 2500 * time.Millisecond, weight: 10},
		{path: "/summary/", isStream: true, isResumable: true, isRepeatable: true, timeLeft: 2500 * time.Millisecond, weight: 2},
	}, plainOperations...)
	streamOperations = []operationKind{
		{path: "/summary/", isStream: true, isResumable: true, isRepeatable: true, timeLeft: 5 * time.Second, weight: 3},
		{path: "/hold/", timeLeft: 2500 * time.Millisecond, weight: 1},
	}
)

// result is how an attempt ended. It is implemented only by the types below.
type result interface {
	isResult()
}

// answered means that there was a whole response.
type answered struct {
	status     int
	retryAfter time.Duration
}

// notConnected means that nothing was sent.
type notConnected struct{}

// unread means that the connection was reset before the first byte of a response.
type unread struct{}

// broken means that the connection ended otherwise.
type broken struct{}

// abandoned means that the caller has closed the connection.
type abandoned struct{}

func (answered) isResult()     {}
func (notConnected) isResult() {}
func (unread) isResult()       {}
func (broken) isResult()       {}
func (abandoned) isResult()    {}

// address is where a caller reaches a host.
type address struct {
	host    string
	address string
	// isDirect is set if no network is between, so that a reset comes from the host.
	isDirect bool
}

// caller carries out operations, one after the other, and keeps a connection.
type caller struct {
	name    string
	journal *Journal
	// pick returns the address of a host that takes new connections.
	pick       func(random *rand.Rand) address
	operations []operationKind
	isVaried   bool
	// variesAnswers is set if it asks for answers of all sizes and framings.
	variesAnswers bool
	// sendsLong is set if it sends long requests, some of which are answered early.
	sendsLong bool
	// getsForeign is set if endpoints send events of other answers, so that streams that are broken off may have them.
	getsForeign bool
	names       product.HeaderNames
	random      *rand.Rand
	served      *atomic.Int64
	kept        *callerConn
	sent        int
}

// callerConn is a connection of a caller to a host.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
	to     address
	count  *countingReader
	// leavesAt is when the caller closes it.
	leavesAt time.Time
	// isPipelined is set if two requests were sent at a time, so that unread bytes may be the second.
	isPipelined bool
}

// countingReader counts the bytes that were read.
type countingReader struct {
	reader io.Reader
	n      int
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.n += n
	return n, err
}

// loop carries out operations until ctx is done.
func (c *caller) loop(ctx context.Context) {
	defer c.drop()
	for i := 1; ctx.Err() == nil; i++ {
		c.operate(ctx, fmt.Sprintf("%s-%d", c.name, i))
		c.wait(ctx, time.Duration(c.random.IntN(40))*time.Millisecond)
	}
}

func (c *caller) wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (c *caller) drop() {
	if c.kept != nil {
		_ = c.kept.Close()
		c.kept = nil
	}
}

func (c *caller) drawKind() operationKind {
	total := 0
	for _, kind := range c.operations {
		total += kind.weight
	}
	drawn := c.random.IntN(total)
	for _, kind := range c.operations {
		if drawn -= kind.weight; drawn < 0 {
			return kind
		}
	}
	return c.operations[0]
}

// operate carries out one operation: a request and, where the protocol allows it, retries, each
// on a new connection.
func (c *caller) operate(ctx context.Context, operation string) {
	kind := c.drawKind()
	deadline := time.Now().Add(kind.timeLeft)
	s := &stream{
		lastID:     -1,
		mayBeMixed: c.getsForeign,
	}
	for try := 1; try <= maxTries; try++ {
		end := c.attempt(kind, operation, deadline, s)
		if a, ok := end.(answered); ok && a.status == http.StatusOK {
			c.served.Add(1)
		}
		if !mayRetry(kind, end) || !time.Now().Before(deadline) {
			return
		}
		c.drop()
		// Some callers do not wait as they are told.
		if a, ok := end.(answered); ok && (!c.isVaried || c.random.IntN(2) == 0) {
			c.wait(ctx, min(a.retryAfter, time.Until(deadline)/3))
		}
	}
}

// mayRetry reports whether the protocol allows a caller to send another request.
func mayRetry(kind operationKind, end result) bool {
	switch end := end.(type) {
	case answered:
		if isPromise(end.status) {
			return true
		}
		return kind.isRepeatable && end.status >= http.StatusInternalServerError
	case notConnected, unread:
		return true
	case broken:
		return kind.isRepeatable
	}
	return false
}

// attempt sends one request and records how it ends.
func (c *caller) attempt(kind operationKind, operation string, deadline time.Time, s *stream) result {
	conn := c.kept
	c.kept = nil
	if conn == nil {
		if conn = c.connect(deadline); conn == nil {
			return notConnected{}
		}
	}
	c.sent++
	event := Event{
		Kind:         AttemptSent,
		Operation:    operation,
		Request:      fmt.Sprintf("%s-%d", operation, c.sent),
		IsRepeatable: kind.isRepeatable,
		Host:         conn.to.host,
	}
	c.journal.Record(event)
	s.kind, s.doubt = kind, nil
	end, isKept, detail := c.exchange(conn, kind, event, deadline, s)
	if isKept {
		c.kept = conn
	} else {
		_ = conn.Close()
	}
	event.Detail = detail
	switch end := end.(type) {
	case answered:
		event.Kind = AttemptAnswered
		event.Status = end.status
	case unread:
		event.Kind = AttemptUnread
	case abandoned:
		event.Kind = AttemptAbandoned
	default:
		event.Kind = AttemptBroken
	}
	c.journal.Record(event)
	if s.fault != "" {
		event.Kind = StreamFault
		event.Detail = s.fault
		c.journal.Record(event)
		s.fault = ""
	}
	c.recordDoubt(event, s)
	return end
}

func (c *caller) connect(deadline time.Time) *callerConn {
	to := c.pick(c.random)
	conn, err := net.DialTimeout("tcp", to.address, min(connectTimeout, time.Until(deadline)))
	if err != nil {
		return nil
	}
	count := &countingReader{reader: conn}
	return &callerConn{
		Conn:   conn,
		reader: bufio.NewReader(count),
		to:     to,
		count:  count,
	}
}

// exchange sends a request and reads the response. It also returns whether the connection can be
// used again, and a text for the journal.
func (c *caller) exchange(conn *callerConn, kind operationKind, sent Event, deadline time.Time, s *stream) (end result, isKept bool, detail string) {
	request := sent.Request
	leavesAt := deadline
	if c.random.IntN(20) == 0 {
		leavesAt = time.Now().Add(time.Duration(c.random.Int64N(max(1, int64(time.Until(deadline))))))
	}
	_ = conn.SetDeadline(leavesAt)
	conn.count.n = 0
	conn.leavesAt = leavesAt
	m := c.drawManner(kind)
	path := c.drawPath(kind, request)
	message := c.compose(kind, path, request, deadline, s)
	if m == pipelined {
		conn.isPipelined = true
		next := sent
		next.Request += "-next"
		c.journal.Record(next)
		message += c.compose(kind, kind.path+next.Request, next.Request, deadline, s)
		defer func() { isKept = c.finishNext(conn, next, isKept) }()
	}
	if err := c.send(conn, message, m); err != nil {
		return conn.endOf(err), false, err.Error()
	}
	response, err := conn.readResponse()
	if err != nil {
		return conn.endOf(err), false, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	var body bytes.Buffer
	_, err = io.Copy(&body, io.LimitReader(response.Body, maxResponseBody))
	mark := response.Header.Get(c.names.Mark)
	if kind.isStream && response.StatusCode == http.StatusOK {
		s.read(body.String(), mark, request, err == nil)
	}
	if err != nil && time.Until(deadline) < deadlineSlack {
		// The host ends a stream at the caller's deadline, which it counts from the request's arrival.
		return abandoned{}, false, err.Error()
	}
	if err != nil {
		return conn.endOf(err), false, err.Error()
	}
	if !kind.isStream && response.StatusCode == http.StatusOK {
		s.doubt = doubtOf(body.Bytes(), mark, request, path)
	}
	if found := doubtOfHead(response.Header); found != nil {
		s.doubt = found
	}
	if got := response.Header.Get(c.names.RequestID); got != "" && got != request {
		detail = "the response is for " + got
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return answered{
		status:     response.StatusCode,
		retryAfter: time.Duration(seconds * float64(time.Second)),
	}, !response.Close && m.keepsConnection(), detail
}

// readResponse reads a response and passes over interim ones.
func (conn *callerConn) readResponse() (*http.Response, error) {
	for {
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: http.MethodPost})
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// endOf returns how an attempt ended that has failed with an error. A caller cannot know
// whether a host has read what it sent. But if the host's process ends, or closes the
// connection, the operating system resets a connection with unread bytes, and ends others in
// order.
func (conn *callerConn) endOf(err error) result {
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout():
		return abandoned{}
	case conn.to.isDirect && !conn.isPipelined && conn.count.n == 0 && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)):
		return unread{}
	}
	return broken{}
}

// compose returns a request, with a length or in chunks.
func (c *caller) compose(kind operationKind, path, request string, deadline time.Time, s *stream) string {
	body := strings.Repeat("b", c.random.IntN(400))
	if c.random.IntN(16) == 0 {
		body = strings.Repeat("b", 20_000)
	}
	if strings.HasSuffix(path, worker.EarlySuffix) {
		body = strings.Repeat("b", longBodies[c.random.IntN(len(longBodies))])
	}
	method := http.MethodPost
	if kind.isGet {
		method, body = http.MethodGet, ""
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, callerHost,
		c.names.RequestID, request, c.names.TimeLeft, time.Until(deadline).Milliseconds())
	if s.lastID >= 0 {
		head += fmt.Sprintf("%s: %d\r\n%s: %s\r\n", c.names.LastEventID, s.lastID, c.names.Resumes, s.begunBy)
	}
	if kind.isStream && c.random.IntN(16) == 0 {
		head += fmt.Sprintf("%s: %d,50\r\n%s: %s0:1\r\n", c.names.Tokens, shortParts+1, c.names.PromptParts, strings.Repeat("a:1,", shortParts))
	}
	if kind.isGet {
		return head + "\r\n"
	}
	message := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	if c.random.IntN(3) == 0 && body != "" {
		message = fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
	return message
}
