package opaque_test

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cactuswell/io/opaque"
)

// earlyEnd is how an endpoint ends a connection on which it has answered while the request was still on its way.
type earlyEnd struct {
	// reads is the number of bytes of the body that the endpoint reads before it answers.
	reads int
	// end ends the connection.
	end func(conn *net.TCPConn, rest io.Reader)
	// isWhole is set if the answer is whole.
	isWhole bool
	// isWholeOnceRead is set if it is whole where the request had arrived by then.
	isWholeOnceRead bool
	// mayBeWhole is set if it depends on the time.
	mayBeWhole bool
}

// resetConn closes a connection with a reset.
func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// resetAfter returns an end by a reset after a delay.
func resetAfter(delay time.Duration) func(*net.TCPConn, io.Reader) {
	return func(conn *net.TCPConn, _ io.Reader) {
		<-time.After(delay)
		resetConn(conn)
	}
}

// finAndResetAfter returns an end in order of the endpoint's side, which is followed by a reset.
func finAndResetAfter(delay time.Duration) func(*net.TCPConn, io.Reader) {
	return func(conn *net.TCPConn, rest io.Reader) {
		_ = conn.CloseWrite()
		resetAfter(delay)(conn, rest)
	}
}

func closeConn(conn *net.TCPConn, _ io.Reader) { _ = conn.Close() }

var earlyEnds = map[string]earlyEnd{
	"resets at once":             {end: resetAfter(0)},
	"reads some, resets at once": {reads: 20 << 10, end: resetAfter(0)},
	"resets 2 ms later":          {end: resetAfter(2 * time.Millisecond)},
	"resets 30 ms later":         {end: resetAfter(30 * time.Millisecond)},
	"closes, upload unread":      {end: closeConn, isWholeOnceRead: true},
	"reads some, closes":         {reads: 20 << 10, end: closeConn, isWholeOnceRead: true},
	// Whether the endpoint has ended its side first, or all at once, is told by what it acknowledges in between.
	"ends its side, resets":          {end: finAndResetAfter(0), mayBeWhole: true},
	"ends its side, resets 2 ms on":  {end: finAndResetAfter(2 * time.Millisecond), mayBeWhole: true},
	"ends its side, resets 30 ms on": {end: finAndResetAfter(30 * time.Millisecond), mayBeWhole: true},
	"ends its side, reads on": {
		end: func(conn *net.TCPConn, rest io.Reader) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, rest)
			_ = conn.Close()
		},
		isWhole: true,
	},
	"ends its side, reads late": {
		end: func(conn *net.TCPConn, rest io.Reader) {
			_ = conn.CloseWrite()
			<-time.After(60 * time.Millisecond)
			_, _ = io.Copy(io.Discard, rest)
			_ = conn.Close()
		},
		isWhole: true,
	},
	"ends its side, never reads on": {
		end: func(conn *net.TCPConn, _ io.Reader) {
			_ = conn.CloseWrite()
			<-time.After(2 * time.Second)
			_ = conn.Close()
		},
		isWhole: true,
	},
}

// earlyEndpoint answers a request while its body is still on its way, without a length, and ends the connection.
type earlyEndpoint struct {
	address string

	mu   sync.Mutex
	runs map[string]int
}

func newEarlyEndpoint(t *testing.T, end earlyEnd) *earlyEndpoint {
	t.Helper()
	// The endpoint has no room for a long request that it does not read.
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) { setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 32<<10) })
		return errors.Join(err, setErr)
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &earlyEndpoint{
		address: listener.Addr().String(),
		runs:    make(map[string]int),
	}
	go e.run(listener, end)
	return e
}

func (e *earlyEndpoint) run(listener net.Listener, end earlyEnd) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go e.runConn(conn.(*net.TCPConn), end)
	}
}

func (e *earlyEndpoint) runConn(conn *net.TCPConn, end earlyEnd) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReaderSize(conn, 256)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.runs[request.Header.Get(opaque.DefaultHeaderNames().RequestID)]++
	e.mu.Unlock()
	_, _ = io.CopyN(io.Discard, request.Body, int64(end.reads))
	query := request.URL.Query()
	head := answerHead(request, cmp.Or(query.Get("status"), "200 OK"), earlyFields[query.Get("fields")])
	if query.Get("fields") == "1.0" {
		head = strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1)
	}
	_, _ = io.WriteString(conn, head+earlyBody+strings.Repeat("m", len(query["more"])*moreBytes))
	end.end(conn, request.Body)
}

func (e *earlyEndpoint) runsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// moreBytes is the size of what follows earlyBody in answers that do not fit into the host's buffer.
const moreBytes = 400 << 10

const earlyBody = "id: 0\ndata: a\n\n"

// earlyFields are the fields of answers that end with their connection.
var earlyFields = map[string]string{
	"plain":  "",
	"close":  "Connection: close\r\n",
	"1.0":    "",
	"events": "Content-Type: text/event-stream\r\n",
}

// post sends a request with a body. The host reads it before it passes the request on.
func (c *caller) post(id, path string, size int) callerReply {
	names := opaque.DefaultHeaderNames()
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/%s\r\nHost: firm.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, c.version, names.RequestID, id, names.TimeLeft, c.timeMs, size, strings.Repeat("u", size))
	if err != nil {
		return callerReply{}
	}
	return c.readReply()
}

// checkEarlyAnswers sends a request of each kind for answers with all fields, and checks what the caller gets.
func checkEarlyAnswers(t *testing.T, address string, endpoint *earlyEndpoint, end earlyEnd, size int) {
	t.Helper()
	for fields := range earlyFields {
		for _, kind := range []string{"safe", "once", "stream"} {
			id := strings.ReplaceAll(t.Name()+fields+kind, " ", "-")
			caller := dialCaller(t, address, "1.1")
			got := caller.post(id, fmt.Sprintf("/%s/x?fields=%s", kind, fields), size)
			_ = caller.conn.Close()
			passed := got.status == http.StatusOK && got.isWhole
			isArrived := end.isWholeOnceRead && size <= 1<<10
			switch {
			case passed && got.body != earlyBody:
				t.Errorf("%s, %s: whole with the body %q", fields, kind, got.body)
			case passed && !end.isWhole && !end.mayBeWhole && !isArrived:
				t.Errorf("%s, %s: a part ends as complete", fields, kind)
			case !passed && end.isWhole:
				t.Errorf("%s, %s: a whole answer was not delivered: %+v", fields, kind, got)
			}
			if runs := endpoint.runsOf(id); kind == "once" && runs != 1 {
				t.Errorf("%s: a call that may run once was sent %d times", fields, runs)
			}
		}
	}
}

// TestEarlyAnswerEndsWithItsConnection guards against an answer without a length that is cut by a reset while its request is
// still on its way and ends as complete: the goroutine that writes the request gets the connection's only report of the reset,
// and the one that reads sees an end in order. Answers that the endpoint has ended itself must arrive.
func TestEarlyAnswerEndsWithItsConnection(t *testing.T) {
	for _, isTunnelled := range []bool{false, true} {
		for name, end := range earlyEnds {
			for _, size := range []int{60, 200 << 10, 3 << 20} {
				t.Run(fmt.Sprintf("tunnelled %v/%s/%d bytes", isTunnelled, name, size), func(t *testing.T) {
					t.Parallel()
					endpoint := newEarlyEndpoint(t, end)
					address := startScripted(t, isTunnelled, endpoint.address, endpoint.address)
					checkEarlyAnswers(t, address, endpoint, end, size)
				})
			}
		}
	}
}

// TestEarlyFailureEndsWithItsConnection guards against a part of a failure, and of an answer that is forwarded as it arrives, that
// ends as complete in the same way.
func TestEarlyFailureEndsWithItsConnection(t *testing.T) {
	for _, isTunnelled := range []bool{false, true} {
		for _, name := range []string{"resets at once", "reads some, closes", "ends its side, reads on"} {
			t.Run(fmt.Sprintf("tunnelled %v/%s", isTunnelled, name), func(t *testing.T) {
				t.Parallel()
				end := earlyEnds[name]
				endpoint := newEarlyEndpoint(t, end)
				address := startScripted(t, isTunnelled, endpoint.address)
				for query, want := range map[string]callerReply{
					"status=500+Odd": {status: http.StatusInternalServerError, body: earlyBody, isWhole: true},
					"status=413+Odd": {status: http.StatusRequestEntityTooLarge, body: earlyBody, isWhole: true},
					"more":           {status: http.StatusOK, body: earlyBody + strings.Repeat("m", moreBytes), isWhole: true},
				} {
					for _, kind := range []string{"safe", "once"} {
						caller := dialCaller(t, address, "1.1")
						got := caller.post(t.Name()+query+kind, "/"+kind+"/x?"+query, 3<<20)
						_ = caller.conn.Close()
						if (got == want) != end.isWhole {
							t.Errorf("%s, %s: status %d, %d bytes, whole %v", query, kind, got.status, len(got.body), got.isWhole)
						}
					}
				}
			})
		}
	}
}

// TestEarlyAnswerThroughHostOfEarlierVersion guards against the same where the host between says nothing of the request:
// nothing proves then that an answer to a long one is whole.
func TestEarlyAnswerThroughHostOfEarlierVersion(t *testing.T) {
	for name, end := range earlyEnds {
		for _, size := range []int{60, 200 << 10, 3 << 20} {
			t.Run(fmt.Sprintf("%s/%d bytes", name, size), func(t *testing.T) {
				t.Parallel()
				endpoint := newEarlyEndpoint(t, end)
				host := newTunnelHostBehind(t, func(helper http.Handler) http.Handler {
					return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						r.Header.Del("Cactuswell-Receipts")
						helper.ServeHTTP(w, r)
					})
				})
				expected := end
				if size > 60 {
					expected.isWhole, expected.mayBeWhole = false, false
				}
				checkEarlyAnswers(t, startScriptedThrough(t, host, endpoint.address, endpoint.address), endpoint, expected, size)
			})
		}
	}
}
