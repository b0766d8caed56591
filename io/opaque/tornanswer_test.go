package opaque_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"cactuswell/core/detour"
	"cactuswell/core/route"
	"cactuswell/core/scheduling"
	"cactuswell/io/clientconns"
	"cactuswell/io/opaque"
	"cactuswell/io/tunnel"
	"cactuswell/io/upstream"
	"cactuswell/timer"
	"cactuswell/trail"
)

// scriptedEndpoint answers each request on a connection with the bytes that its script gives for the
// request's target, and closes the connection after those that are cut.
type scriptedEndpoint struct {
	address string
	script  func(request *http.Request) scriptedAnswer
}

// scriptedAnswer is what an endpoint sends. Stays is set if the connection stays open after it.
type scriptedAnswer struct {
	bytes string
	stays bool
}

func newScriptedEndpoint(t testing.TB, script func(*http.Request) scriptedAnswer) *scriptedEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &scriptedEndpoint{
		address: listener.Addr().String(),
		script:  script,
	}
	go e.run(listener)
	return e
}

func (e *scriptedEndpoint) run(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go e.runConn(conn)
	}
}

func (e *scriptedEndpoint) runConn(conn net.Conn) {
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
		answer := e.script(request)
		if _, err := io.WriteString(conn, answer.bytes); err != nil || !answer.stays {
			return
		}
	}
}

// scriptedScheduler sends a call to the endpoints in turn, as long as a part of a stream was delivered
// or the call goes on, and refuses it after that.
type scriptedScheduler struct {
	addresses []string

	mu    sync.Mutex
	calls map[scheduling.CallID]*scriptedCall
}

type scriptedCall struct {
	commands chan<- scheduling.Command
	attempts int
}

func newScriptedScheduler(addresses ...string) *scriptedScheduler {
	return &scriptedScheduler{
		addresses: addresses,
		calls:     make(map[scheduling.CallID]*scriptedCall),
	}
}

func (s *scriptedScheduler) Submit(call scheduling.Call, commands chan<- scheduling.Command) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[call.ID] = &scriptedCall{commands: commands}
	s.send(call.ID)
	return true
}

func (s *scriptedScheduler) send(id scheduling.CallID) {
	call := s.calls[id]
	call.attempts++
	call.commands <- scheduling.Send{
		Call:    id,
		Key:     scheduling.Key{ID: s.addresses[call.attempts-1]},
		Address: s.addresses[call.attempts-1],
		IsRetry: call.attempts > 1,
	}
}

func (s *scriptedScheduler) Post(event scheduling.Event) {
	ended, ok := event.(scheduling.AttemptEnded)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	call := s.calls[ended.Call]
	switch ended.Outcome.(type) {
	case scheduling.Completed, scheduling.Abandoned:
		return
	}
	if call.attempts < len(s.addresses) {
		s.send(ended.Call)
		return
	}
	if _, failed := ended.Outcome.(scheduling.Failed); failed {
		call.commands <- scheduling.DeliverFailure{Call: ended.Call}
		return
	}
	call.commands <- scheduling.Refuse{
		Call:       ended.Call,
		Reason:     scheduling.ReasonErrors,
		MayHaveRun: true,
	}
}

func (s *scriptedScheduler) NextID() scheduling.CallID { return scheduling.CallID(rand.Uint64()) }

func (s *scriptedScheduler) RandomFloat() float64 { return 0 }

// startScripted starts a server of callers, whose calls go to the endpoints in turn, and returns its
// address. If it is tunnelled, another host connects it to them.
func startScripted(t testing.TB, isTunnelled bool, addresses ...string) string {
	t.Helper()
	host := ""
	if isTunnelled {
		host = newTunnelHost(t)
	}
	return startScriptedThrough(t, host, addresses...)
}

// startScriptedThrough does the same with the address of the other host, or an empty one if there is none.
func startScriptedThrough(t testing.TB, host string, addresses ...string) string {
	t.Helper()
	target := []route.Target{{Service: "s", Weight: 1}}
	table, err := route.New(route.Spec{
		Version:  1,
		Services: []route.Service{{Name: "s"}},
		Routes: []route.Route{
			{Name: "safe", Host: "firm.example", PathPrefix: "/safe/", Kind: route.Safe, MaxAttempts: 2, Targets: target},
			{Name: "once", Host: "firm.example", PathPrefix: "/once/", Kind: route.AtMostOnce, MaxAttempts: 1, Targets: target},
			{Name: "stream", Host: "firm.example", PathPrefix: "/stream/", Kind: route.Stream, Resumable: true, MaxAttempts: 2, Targets: target},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	var dependencies upstream.Dependencies
	if host != "" {
		client := tunnel.NewClient(oneHost(host))
		dependencies.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			conn, _, err := client.Connect(ctx, address)
			return conn, err
		}
	}
	server := opaque.New(opaque.Dependencies{
		RouteTable:     func() (*route.Table, time.Time) { return table, time.Now() },
		Scheduler:      newScriptedScheduler(addresses...),
		Dialect:        opaque.NewHeaderDialect(opaque.DefaultHeaderNames()),
		Pool:           upstream.New(dependencies),
		Trail:          trail.New(io.Discard, "host", timer.New()),
		Meter:          silentMeter{},
		BodyMemory:     1 << 24,
		ResponseMemory: 1 << 24,
		ResponseLimit:  1 << 27,
	})
	conns := clientconns.New(clientconns.Settings{})
	callers := httptest.NewUnstartedServer(server)
	callers.Listener = conns.Listen(callers.Listener)
	callers.Config.ConnState = conns.TrackState
	callers.Config.ConnContext = clientconns.WithConn
	callers.Start()
	t.Cleanup(callers.Close)
	return callers.Listener.Addr().String()
}

// oneHost is the only other host.
type oneHost string

// PickHost implements tunnel.Hosts.
func (h oneHost) PickHost(isExcluded func(string) bool) string {
	if isExcluded(string(h)) {
		return ""
	}
	return string(h)
}

// newTunnelHost starts a host that serves tunnels, and returns its address.
func newTunnelHost(t testing.TB) string {
	t.Helper()
	return newTunnelHostBehind(t, func(helper http.Handler) http.Handler { return helper })
}

// newTunnelHostBehind does the same with a handler before that of the host.
func newTunnelHostBehind(t testing.TB, before func(http.Handler) http.Handler) string {
	t.Helper()
	helper := tunnel.NewServer(tunnel.ServerDependencies{
		Find: func(address string) (detour.Endpoint, tunnel.Reason) {
			return detour.Endpoint{Address: address}, ""
		},
		Dial: func(ctx context.Context, to detour.Endpoint) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", to.Address)
		},
		IsPathProven: func(detour.Endpoint) bool { return true },
	})
	server := httptest.NewServer(before(helper))
	t.Cleanup(func() {
		helper.Abort()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// caller is a connection of a caller.
type caller struct {
	conn    net.Conn
	reader  *bufio.Reader
	version string
	timeMs  int
}

func dialCaller(t testing.TB, address, version string) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &caller{
		conn:    conn,
		reader:  bufio.NewReader(conn),
		version: version,
		timeMs:  3000,
	}
}

// callerReply is what a caller got. It is whole if nothing tells that the answer broke off.
type callerReply struct {
	status  int
	body    string
	isWhole bool
}

func (c *caller) get(id, path string) callerReply {
	names := opaque.DefaultHeaderNames()
	_, err := fmt.Fprintf(c.conn, "GET %s HTTP/%s\r\nHost: firm.example\r\n%s: %s\r\n%s: %d\r\n\r\n",
		path, c.version, names.RequestID, id, names.TimeLeft, c.timeMs)
	if err != nil {
		return callerReply{}
	}
	return c.readReply()
}

func (c *caller) readReply() callerReply {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return callerReply{}
	}
	body, err := io.ReadAll(response.Body)
	return callerReply{
		status:  response.StatusCode,
		body:    string(body),
		isWhole: err == nil,
	}
}

// answerHead returns the head of an endpoint's answer to a request.
func answerHead(request *http.Request, status, fields string) string {
	names := opaque.DefaultHeaderNames()
	return "HTTP/1.1 " + status + "\r\n" + names.RequestID + ": " + request.Header.Get(names.RequestID) + "\r\n" +
		names.Mark + ": e1\r\n" + fields + "\r\n"
}

// tornPath names a request whose answer ends at a byte.
func tornPath(kind, shape string, end int) string { return fmt.Sprintf("/%s/%s/%d", kind, shape, end) }

// tornShapes are the fields of heads by the way in which the body's end is marked, and the bodies.
var tornShapes = map[string]struct{ fields, body string }{
	"length":    {"Content-Length: 6\r\n", "answer"},
	"chunks":    {"Transfer-Encoding: chunked\r\n", "6\r\nanswer\r\n0\r\n\r\n"},
	"neither":   {"", "answer"},
	"empty":     {"Content-Length: 0\r\n", ""},
	"events":    {"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", "f\r\nid: 0\ndata: a\n\n\r\n0\r\n\r\n"},
	"endEvents": {"Content-Type: text/event-stream\r\n", "id: 0\ndata: a\n\n"},
}

// tornAnswer is the script of an endpoint that ends its answers within the head, as the path says.
func tornAnswer(stays bool) func(request *http.Request) scriptedAnswer {
	return func(request *http.Request) scriptedAnswer {
		parts := strings.Split(request.URL.Path, "/")
		shape := tornShapes[parts[2]]
		whole := answerHead(request, "200 OK", shape.fields)
		var end int
		if _, err := fmt.Sscan(parts[3], &end); err != nil || end < 0 {
			return scriptedAnswer{bytes: answerHead(request, "200 OK", "Content-Length: 4\r\n") + "good", stays: true}
		}
		return scriptedAnswer{bytes: whole[:min(end, len(whole)-1)], stays: stays}
	}
}

// headLength returns the length of the head of a shape for a request ID.
func headLength(id, fields string) int {
	request := &http.Request{Header: make(http.Header)}
	request.Header.Set(opaque.DefaultHeaderNames().RequestID, id)
	return len(answerHead(request, "200 OK", fields))
}

// TestAnswerTornInHeadIsNoSuccess guards against an answer that ends within its head and that the
// caller gets as a success with an empty or a short body.
func TestAnswerTornInHeadIsNoSuccess(t *testing.T) {
	for _, isTunnelled := range []bool{false, true} {
		for _, version := range []string{"1.0", "1.1"} {
			for _, isKept := range []bool{false, true} {
				if isKept && version == "1.0" {
					continue
				}
				t.Run(fmt.Sprintf("HTTP/%s, tunnelled %v, kept %v", version, isTunnelled, isKept), func(t *testing.T) {
					t.Parallel()
					endpoint := newScriptedEndpoint(t, tornAnswer(false))
					address := startScripted(t, isTunnelled, endpoint.address)
					kept := dialCaller(t, address, version)
					requests := 0
					for name, shape := range tornShapes {
						for _, kind := range []string{"safe", "once", "stream"} {
							for end := range headLength("torn-10000", shape.fields) {
								requests++
								caller := kept
								if isKept {
									// The endpoint's connection has carried a request, too.
									if got := caller.get(fmt.Sprintf("good-%d", requests), tornPath("once", name, -1)); got.body != "good" {
										t.Fatalf("before byte %d of %s: %+v", end, name, got)
									}
								} else {
									caller = dialCaller(t, address, version)
								}
								got := caller.get(fmt.Sprintf("torn-%d", 10000+requests), tornPath(kind, name, end))
								if got.status != http.StatusBadGateway {
									t.Errorf("%s, %s, byte %d: %+v", kind, name, end, got)
								}
								_ = caller.conn.SetDeadline(time.Time{})
								if !isKept {
									_ = caller.conn.Close()
								}
							}
						}
					}
				})
			}
		}
	}
}

// TestAnswerThatStopsInHeadIsNoSuccess guards against the same where the endpoint keeps the connection.
func TestAnswerThatStopsInHeadIsNoSuccess(t *testing.T) {
	endpoint := newScriptedEndpoint(t, tornAnswer(true))
	address := startScripted(t, false, endpoint.address)
	var wait sync.WaitGroup
	defer wait.Wait()
	for name, shape := range tornShapes {
		for _, kind := range []string{"safe", "once", "stream"} {
			for end := range headLength("torn-10000", shape.fields) {
				caller := dialCaller(t, address, "1.1")
				caller.timeMs = 500
				wait.Add(1)
				go func() {
					defer wait.Done()
					defer func() { _ = caller.conn.Close() }()
					if got := caller.get(fmt.Sprintf("torn-%d", 10000+end), tornPath(kind, name, end)); got.status < 500 {
						t.Errorf("%s, %s, byte %d: %+v", kind, name, end, got)
					}
				}()
			}
			wait.Wait()
		}
	}
}

// secondAnswers are the answers of an endpoint that is to resume a stream and that bring no event.
var secondAnswers = map[string]string{
	"error with length":       "500 Internal Server Error|Content-Length: 6\r\nContent-Type: text/plain\r\n|broken",
	"error to the end":        "500 Internal Server Error|Content-Type: text/plain\r\n|broken",
	"error in chunks":         "502 Bad Gateway|Transfer-Encoding: chunked\r\n|6\r\nbroken\r\n0\r\n\r\n",
	"error as events":         "500 Internal Server Error|Content-Type: text/event-stream\r\n|id: 3\ndata: broken\n\n",
	"full":                    "503 Service Unavailable|Retry-After: 1\r\nContent-Length: 6\r\n|broken",
	"no such path":            "404 Not Found|Content-Length: 6\r\n|broken",
	"text":                    "200 OK|Content-Type: text/plain\r\nContent-Length: 6\r\n|broken",
	"text that ends as event": "200 OK|Content-Type: text/plain\r\nContent-Length: 8\r\n|broken\n\n",
	"page to the end":         "200 OK|Content-Type: text/html\r\n|<p>broken</p>\n\n",
	"no type":                 "200 OK|Content-Length: 8\r\n|broken\n\n",
	"empty text":              "200 OK|Content-Type: text/plain\r\nContent-Length: 0\r\n|",
	"empty without type":      "200 OK|Content-Length: 0\r\n|",
	"no content":              "204 No Content||",
	"accepted":                "202 Accepted|Content-Type: text/event-stream\r\nContent-Length: 0\r\n|",
	"interim and error":       "100 Continue\r\n\r\nHTTP/1.1 500 Internal Server Error|Content-Length: 6\r\n|broken",
}

// TestErrorsStayOutOfResumedStreams guards against callers who find another endpoint's error in the
// middle of their stream, or to whom a stream that was not resumed ends as if it were complete.
func TestErrorsStayOutOfResumedStreams(t *testing.T) {
	const delivered = "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n"
	firsts := map[string]string{
		"chunks":    "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(delivered), delivered),
		"in event":  "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s", len(delivered)+20, delivered+"id: 3\nda"),
		"length":    fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(delivered)+15, delivered),
		"mid chunk": "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n1f", len(delivered), delivered),
	}
	for _, isTunnelled := range []bool{false, true} {
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(fmt.Sprintf("HTTP/%s, tunnelled %v", version, isTunnelled), func(t *testing.T) {
				t.Parallel()
				first := newScriptedEndpoint(t, func(request *http.Request) scriptedAnswer {
					head := strings.TrimSuffix(answerHead(request, "200 OK", "Content-Type: text/event-stream\r\n"), "\r\n")
					return scriptedAnswer{bytes: head + firsts[strings.ReplaceAll(strings.Split(request.URL.Path, "/")[2], "_", " ")]}
				})
				second := newScriptedEndpoint(t, func(request *http.Request) scriptedAnswer {
					parts := strings.Split(strings.ReplaceAll(request.URL.Path, "_", " "), "/")
					answer := strings.Split(secondAnswers[parts[3]], "|")
					whole := answerHead(request, answer[0], answer[1]) + answer[2]
					var end int
					if _, err := fmt.Sscan(parts[4], &end); err == nil && end >= 0 {
						whole = whole[:min(end, len(whole)-1)]
					}
					return scriptedAnswer{bytes: whole}
				})
				address := startScripted(t, isTunnelled, first.address, second.address)
				requests := 0
				check := func(firstName, secondName string, end int) {
					requests++
					caller := dialCaller(t, address, version)
					defer func() { _ = caller.conn.Close() }()
					path := strings.ReplaceAll(fmt.Sprintf("/stream/%s/%s/%d", firstName, secondName, end), " ", "_")
					got := caller.get(fmt.Sprintf("resumed-%d", 10000+requests), path)
					if got.status != http.StatusOK || got.body != delivered || got.isWhole {
						t.Errorf("%s, then %s, byte %d: %+v", firstName, secondName, end, got)
					}
				}
				for firstName := range firsts {
					for secondName := range secondAnswers {
						check(firstName, secondName, -1)
					}
				}
				for _, secondName := range []string{"error with length", "text", "no content"} {
					parts := strings.Split(secondAnswers[secondName], "|")
					for end := range headLength("resumed-10000", parts[1]) + len(parts[0]) - len("200 OK") + len(parts[2]) {
						check("chunks", secondName, end)
					}
				}
			})
		}
	}
}

// TestResumedStreamMayHaveNoMoreEvents checks that a stream that broke off after its last event ends as
// complete once another endpoint says so: its run ends after that event. One that has not even the event says nothing.
func TestResumedStreamMayHaveNoMoreEvents(t *testing.T) {
	const event = "id: 0\ndata: a\n\n"
	const field = "Content-Type: text/event-stream\r\n"
	const whole = "f\r\n" + event + "\r\n"
	first := newScriptedEndpoint(t, func(request *http.Request) scriptedAnswer {
		return scriptedAnswer{bytes: answerHead(request, "200 OK", field+"Transfer-Encoding: chunked\r\n") + whole}
	})
	for rest, isWhole := range map[string]bool{whole + "0\r\n\r\n": true, "0\r\n\r\n": false} {
		second := newScriptedEndpoint(t, func(request *http.Request) scriptedAnswer {
			return scriptedAnswer{bytes: answerHead(request, "200 OK", field+"Transfer-Encoding: chunked\r\n") + rest, stays: true}
		})
		caller := dialCaller(t, startScripted(t, false, first.address, second.address), "1.1")
		if got := caller.get("resumed", "/stream/x"); got.body != event || got.isWhole != isWhole {
			t.Errorf("after %q the caller got %+v", rest, got)
		}
	}
}
