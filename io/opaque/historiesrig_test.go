package opaque_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"cactuswell/core/directory"
	"cactuswell/core/route"
	"cactuswell/core/scheduling"
	"cactuswell/io/opaque"
	"cactuswell/io/upstream"
	"cactuswell/timer"
	"cactuswell/trail"
)

const (
	// answerStep is the difference between the times that two answers take, and callTime how long a caller
	// waits.
	answerStep = time.Millisecond
	callTime   = 2 * time.Second
	// maxRequests is more than the number of requests in a history.
	maxRequests = 16
	// warmPath is the path of the requests that connections have carried before a history begins.
	warmPath = "/once/warm"
)

// byteQueue is one direction of a connection in memory.
type byteQueue struct {
	mu       sync.Mutex
	bytes    []byte
	ended    bool
	isReset  bool
	closed   bool
	deadline time.Time
	changed  chan struct{}
}

func newByteQueue() *byteQueue { return &byteQueue{changed: make(chan struct{})} }

// update changes the queue and wakes its reader.
func (q *byteQueue) update(change func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	change()
	close(q.changed)
	q.changed = make(chan struct{})
}

// tryRead reads what there is. It returns what to wait for, until the deadline, if there is nothing.
func (q *byteQueue) tryRead(p []byte) (n int, changed <-chan struct{}, deadline time.Time, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case q.closed:
		return 0, nil, time.Time{}, net.ErrClosed
	case !q.deadline.IsZero() && !time.Now().Before(q.deadline):
		return 0, nil, time.Time{}, os.ErrDeadlineExceeded
	case len(q.bytes) > 0:
		n = copy(p, q.bytes)
		q.bytes = q.bytes[n:]
		return n, nil, time.Time{}, nil
	case q.isReset:
		return 0, nil, time.Time{}, syscall.ECONNRESET
	case q.ended:
		return 0, nil, time.Time{}, io.EOF
	}
	return 0, q.changed, q.deadline, nil
}

// memoryConn is an end of a connection in memory. As with a socket, a write does not wait for the
// reader, and its bytes are lost if the other end has closed.
type memoryConn struct {
	in  *byteQueue
	out *byteQueue
}

// newMemoryConns returns both ends of a connection.
func newMemoryConns() (near, far *memoryConn) {
	there, back := newByteQueue(), newByteQueue()
	return &memoryConn{in: back, out: there}, &memoryConn{in: there, out: back}
}

func (c *memoryConn) Read(p []byte) (int, error) {
	for {
		n, changed, deadline, err := c.in.tryRead(p)
		if changed == nil {
			return n, err
		}
		if deadline.IsZero() {
			<-changed
			continue
		}
		limit := time.NewTimer(time.Until(deadline))
		select {
		case <-changed:
		case <-limit.C:
		}
		limit.Stop()
	}
}

func (c *memoryConn) Write(p []byte) (int, error) {
	c.in.mu.Lock()
	closed := c.in.closed
	c.in.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	c.out.update(func() { c.out.bytes = append(c.out.bytes, p...) })
	return len(p), nil
}

func (c *memoryConn) Close() error {
	c.in.update(func() { c.in.closed = true })
	c.out.update(func() { c.out.ended = true })
	return nil
}

// reset makes the other end's reads fail once they have got what was written.
func (c *memoryConn) reset() { c.out.update(func() { c.out.isReset = true }) }

func (c *memoryConn) SetReadDeadline(deadline time.Time) error {
	c.in.update(func() { c.in.deadline = deadline })
	return nil
}

func (c *memoryConn) SetDeadline(deadline time.Time) error { return c.SetReadDeadline(deadline) }
func (*memoryConn) SetWriteDeadline(time.Time) error       { return nil }
func (*memoryConn) LocalAddr() net.Addr                    { return &net.TCPAddr{} }
func (*memoryConn) RemoteAddr() net.Addr                   { return &net.TCPAddr{} }

// HasUnreadBytes implements tcp.UnreadInspector.
func (c *memoryConn) HasUnreadBytes() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return len(c.in.bytes) > 0
}

// stepScheduler lets the scheduler decide on calls, in place of the decision loop of a host.
type stepScheduler struct {
	mu        sync.Mutex
	scheduler *scheduling.Scheduler
	replies   map[scheduling.CallID]chan<- scheduling.Command
	lastID    scheduling.CallID
	wake      *time.Timer
	// fixedAddress is the address to which all calls are sent, if it is set.
	fixedAddress string
}

func newStepScheduler(table *route.Table, entries []directory.Entry) *stepScheduler {
	s := &stepScheduler{
		scheduler: scheduling.New(scheduling.Settings{
			Zone:         "z0",
			BudgetWindow: 10 * time.Second,
			BudgetRatio:  0.2,
			BudgetSlack:  20,
			Weights:      scheduling.DefaultWeights(),
		}, rand.New(rand.NewPCG(1, 2))),
		replies: make(map[scheduling.CallID]chan<- scheduling.Command),
	}
	s.wake = time.AfterFunc(time.Hour, func() { s.Post(scheduling.Tick{}) })
	s.Post(scheduling.ConfigurationChanged{Table: table})
	for _, entry := range entries {
		s.Post(scheduling.EndpointChanged{Change: directory.Appeared{Entry: entry}})
	}
	return s
}

func (s *stepScheduler) stop() { s.wake.Stop() }

// Submit implements opaque.Scheduler.
func (s *stepScheduler) Submit(call scheduling.Call, replies chan<- scheduling.Command) bool {
	if s.fixedAddress != "" {
		replies <- scheduling.Send{
			Call:    call.ID,
			Address: s.fixedAddress,
		}
		return true
	}
	s.mu.Lock()
	s.replies[call.ID] = replies
	s.mu.Unlock()
	s.Post(scheduling.CallArrived{Call: call})
	return true
}

// Post implements opaque.Scheduler.
func (s *stepScheduler) Post(event scheduling.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, command := range s.scheduler.Step(time.Now(), event, nil) {
		switch command := command.(type) {
		case scheduling.Send:
			s.replies[command.Call] <- command
		case scheduling.GiveUp:
			s.replies[command.Call] <- command
		case scheduling.Refuse:
			s.replies[command.Call] <- command
		case scheduling.DeliverFailure:
			s.replies[command.Call] <- command
		}
	}
	if wakeAt, ok := s.scheduler.NextWake(); ok {
		s.wake.Reset(time.Until(wakeAt))
	}
}

// NextID implements opaque.Scheduler.
func (s *stepScheduler) NextID() scheduling.CallID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	return s.lastID
}

// RandomFloat implements opaque.Scheduler.
func (*stepScheduler) RandomFloat() float64 { return 0 }

// refusalKey names the requests with one ID that a process has received.
type refusalKey struct {
	address string
	id      string
}

// play is the run of a history.
type play struct {
	history   history
	scheduler *stepScheduler
	server    *opaque.Server

	mu    sync.Mutex
	conns []*memoryConn
	// received is the number of requests that the endpoints have received.
	received int
	// runs is the number of runs by the path of the call.
	runs map[string]int
	// refusals is the status of the first refusal of an ID.
	refusals map[refusalKey]string
	// lacksRefusal is set if an endpoint was to repeat a refusal that it has not sent.
	lacksRefusal bool
	wait         sync.WaitGroup
}

// historyTable returns the configuration of all histories.
func historyTable(t *testing.T) *route.Table {
	t.Helper()
	table, err := route.New(route.Spec{
		Version:  1,
		Services: []route.Service{{Name: "s"}},
		Routes: []route.Route{
			{Name: "once", Host: "firm.example", PathPrefix: "/once/", Kind: route.AtMostOnce, MaxAttempts: 2, TargetLatency: 200 * time.Millisecond, Targets: []route.Target{{Service: "s", Weight: 1}}},
			{Name: "stream", Host: "firm.example", PathPrefix: "/stream/", Kind: route.Stream, MaxAttempts: 2, TargetLatency: 200 * time.Millisecond, Targets: []route.Target{{Service: "s", Weight: 1}}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// newPlay returns the run of a history in which no call has been made.
func newPlay(table *route.Table, h history) *play {
	p := &play{
		history:  h,
		runs:     make(map[string]int),
		refusals: make(map[refusalKey]string),
	}
	var entries []directory.Entry
	for i, address := range h.place.addresses() {
		entries = append(entries, directory.Entry{
			ID:      fmt.Sprintf("e%d", i),
			Born:    1,
			Service: "s",
			Address: address,
			Zone:    "z0",
			Slots:   4,
		})
	}
	p.scheduler = newStepScheduler(table, entries)
	p.server = opaque.New(opaque.Dependencies{
		RouteTable:     func() (*route.Table, time.Time) { return table, time.Now() },
		Scheduler:      p.scheduler,
		Dialect:        opaque.NewHeaderDialect(opaque.DefaultHeaderNames()),
		Pool:           upstream.New(upstream.Dependencies{Dial: p.dial}),
		Trail:          trail.New(io.Discard, "host", timer.New()),
		Meter:          silentMeter{},
		BodyMemory:     1 << 24,
		ResponseMemory: 1 << 24,
		ResponseLimit:  1 << 20,
	})
	return p
}

// dial connects to the endpoint at an address.
func (p *play) dial(_ context.Context, address string) (net.Conn, error) {
	near, far := newMemoryConns()
	p.mu.Lock()
	p.conns = append(p.conns, far)
	p.mu.Unlock()
	p.wait.Go(func() { p.runConn(address, far) })
	return near, nil
}

// run makes the calls of the history and returns what became of them.
func (p *play) run() []callResult {
	if p.history.isKept {
		for i, address := range slices.Compact(p.history.place.addresses()) {
			p.scheduler.fixedAddress = address
			p.call(warmPath, fmt.Sprintf("warm-%d", i))
		}
		p.scheduler.fixedAddress = ""
	}
	var results []callResult
	for _, group := range strings.Fields(p.history.calls) {
		ids := strings.FieldsFunc(group, func(r rune) bool { return strings.ContainsRune(answeredInOrder+answeredInReverse, r) })
		statuses := make([]int, len(ids))
		var open sync.WaitGroup
		for i, id := range ids {
			open.Go(func() { statuses[i] = p.call(p.path(len(results)+i), "call-"+id) })
			// The requests reach the endpoints in this order.
			synctest.Wait()
		}
		open.Wait()
		for _, status := range statuses {
			results = append(results, callResult{status: status})
		}
	}
	p.scheduler.stop()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
	p.wait.Wait()
	for i := range results {
		results[i].runs = p.runs[p.path(i)]
	}
	return results
}

// path returns the path of a call, which tells it from others with the same ID.
func (p *play) path(call int) string { return fmt.Sprintf("/%s/%d", p.history.kind, call) }

// call makes a call and returns its status, or zero if its answer broke off.
func (p *play) call(path, id string) (status int) {
	names := opaque.DefaultHeaderNames()
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body"))
	request.Host = "firm.example"
	request.Header.Set(names.RequestID, id)
	request.Header.Set(names.TimeLeft, fmt.Sprint(callTime.Milliseconds()))
	recorder := httptest.NewRecorder()
	defer func() {
		cause := recover()
		if err, ok := cause.(error); cause != nil && (!ok || !errors.Is(err, http.ErrAbortHandler)) {
			panic(cause)
		}
	}()
	p.server.ServeHTTP(recorder, request)
	return recorder.Code
}

// runConn is an endpoint's side of a connection.
func (p *play) runConn(address string, conn *memoryConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		step, after := p.receive(request)
		time.Sleep(after)
		answer := p.answer(address, request, step)
		if _, err := io.WriteString(conn, answer.bytes); err != nil || !answer.stays {
			return
		}
		if step.after == afterLateCopy || step.after == afterLateNameless {
			time.Sleep(answerStep / 2)
			if _, err := io.WriteString(conn, p.lateBytes(request, step)); err != nil {
				return
			}
		}
	}
}

// receive returns the step of the history that a request meets, and after which time it is answered. It counts
// the run.
func (p *play) receive(request *http.Request) (met step, after time.Duration) {
	met = step{act: actOK}
	if request.URL.Path == warmPath {
		return met, answerStep
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.received < len(p.history.steps) {
		met = p.history.steps[p.received]
	}
	p.received++
	if met.act.runs() {
		p.runs[request.URL.Path]++
	}
	if strings.Contains(p.history.calls, answeredInReverse) {
		return met, time.Duration(maxRequests-p.received) * answerStep
	}
	return met, time.Duration(p.received) * answerStep
}

// answer returns what an endpoint sends in a step.
func (p *play) answer(address string, request *http.Request, s step) scriptedAnswer {
	id := request.Header.Get(opaque.DefaultHeaderNames().RequestID)
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.bytesBefore(address, id, s.before)
	if !s.act.runs() {
		if key := (refusalKey{address: address, id: id}); p.refusals[key] == "" {
			p.refusals[key] = s.act.status()
		}
	}
	own := ownAnswer(request, s.act)
	switch s.after {
	case afterCopy:
		own += own
	case afterCutHead:
		return scriptedAnswer{bytes: before + own[:strings.Index(own, "\r\n\r\n")-2]}
	case afterCutBody:
		return scriptedAnswer{bytes: before + own[:len(own)-2]}
	}
	return scriptedAnswer{
		bytes: before + own,
		stays: s.act != actClose && s.after != afterEnd,
	}
}

// lateBytes returns what an endpoint sends some time after its answer.
func (p *play) lateBytes(request *http.Request, s step) string {
	if s.after == afterLateCopy {
		return ownAnswer(request, s.act)
	}
	return refusalHead("503 Service Unavailable", "") + refusalBody
}

// ownAnswer returns the answer to a request.
func ownAnswer(request *http.Request, a act) string {
	id := request.Header.Get(opaque.DefaultHeaderNames().RequestID)
	switch {
	case a == actSilent, a == actClose:
		return ""
	case !a.runs():
		return refusalHead(a.status(), id) + refusalBody
	case a == actOK && strings.HasPrefix(request.URL.Path, "/stream/"):
		return answerHead(request, a.status(), "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n") +
			"f\r\nid: 0\ndata: a\n\n\r\nf\r\nid: 1\ndata: b\n\n\r\n0\r\n\r\n"
	}
	return answerHead(request, a.status(), "Content-Length: 4\r\n") + "done"
}

const refusalBody = "busy"

// refusalHead returns the head of a refusal, which names no call if the ID is empty.
func refusalHead(status, id string) string {
	names := opaque.DefaultHeaderNames()
	head := "HTTP/1.1 " + status + "\r\n" + names.NotRun + ": true\r\n"
	if id != "" {
		head += names.RequestID + ": " + id + "\r\n"
	}
	return head + "Retry-After: 0.1\r\nContent-Length: " + fmt.Sprint(len(refusalBody)) + "\r\n\r\n"
}

// upTo returns the beginning of a text, up to and with a part of it.
func upTo(text, part string) string {
	before, _, _ := strings.Cut(text, part)
	return before + part
}

// bytesBefore returns what an endpoint sends before an answer. It names a call only in a copy of a
// refusal that the same process has sent, to this host or another.
func (p *play) bytesBefore(address, id string, b before) string {
	const full = "503 Service Unavailable"
	names := opaque.DefaultHeaderNames()
	switch b {
	case beforeOwn, beforeTornOwn:
		status := p.refusals[refusalKey{address: address, id: id}]
		if status == "" {
			p.lacksRefusal = true
			return ""
		}
		if b == beforeTornOwn {
			return upTo(refusalHead(status, id), "Retry-After: 0")
		}
		return refusalHead(status, id) + refusalBody
	case beforeOther:
		return refusalHead(full, p.otherID(address, id)) + refusalBody
	case beforeTornOther:
		return upTo(refusalHead(full, p.otherID(address, id)), "Retry-After: 0")
	case beforeTornBody:
		return refusalHead(full, p.otherID(address, id)) + refusalBody[:2]
	case beforeTornID:
		return upTo(refusalHead(full, p.otherID(address, id)), names.RequestID+": cal")
	case beforeNameless503:
		return refusalHead(full, "") + refusalBody
	case beforeNameless421:
		return refusalHead("421 Misdirected Request", "") + refusalBody
	case beforeTorn421:
		return upTo(refusalHead("421 Misdirected Request", ""), "421 Misd")
	case beforeTorn503:
		return upTo(refusalHead(full, ""), "503 Serv")
	case beforeTornNotRun:
		return upTo(refusalHead(full, ""), names.NotRun+": t")
	case beforeTornLater:
		return upTo(refusalHead(full, ""), "Retry-After: 0")
	case beforeTornName:
		return upTo(refusalHead(full, ""), "Retry-A")
	case beforeTornNamelessBody:
		return refusalHead(full, "") + refusalBody[:2]
	case beforeInterim:
		return "HTTP/1.1 100 Continue\r\n\r\n"
	case beforeGarbage:
		return "#*!\r\n\r\n"
	}
	return ""
}

// otherID returns the ID of a call that the process has refused: another call of the history, or one that
// came from another host.
func (p *play) otherID(address, id string) string {
	for _, other := range []string{"call-a", "call-b"} {
		if other != id && p.refusals[refusalKey{address: address, id: other}] != "" {
			return other
		}
	}
	return "call-z"
}
